package requestpath

import (
	"balsamfork/internal/admission"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/keyowner"
)

// joined remembers when a backend server was last made active.
type joined struct {
	version config.Version
	at      int64
}

// SetConfig takes in an accepted configuration.
func (p *Path) SetConfig(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteJoined(c)
	p.cfg = c
	p.rebuild()
}

// noteJoined starts the ramp of backend servers that joined. At the first
// configuration only those that joined with it count: when the others did is not
// known, and long ago as a rule.
func (p *Path) noteJoined(c *config.Config) {
	now := p.clock.now()
	first := p.cfg == nil
	for i := range c.Services {
		for _, s := range c.Services[i].Servers {
			old, known := p.cold[s.Number]
			if known && old.version == s.Joined {
				continue
			}
			j := joined{version: s.Joined}
			if !first || s.Joined == c.Version && c.Version > 1 {
				j.at = now
			}
			p.cold[s.Number] = j
		}
	}
}

// SetView takes in the table of instances.
func (p *Path) SetView(v *fleet.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	now := p.clock.now()
	p.members.Update(now, v)
	if self, found := v.Get(p.self.ID); found && self.State == fleet.Leaving {
		// The others stop counting this instance from now on.
		p.claims.SetLeaving(now)
	}
	for _, c := range p.calls {
		if in, found := v.Get(c.to); !found || !in.Reachable() {
			c.cancel()
		}
	}
	p.abandonOf(v)
	p.rebuild()
}

// abandonOf forgets the copies that came through instances that have died.
func (p *Path) abandonOf(v *fleet.View) {
	for w, c := range p.copies {
		if in, found := v.Get(c.From.ID); found && in.Reachable() {
			continue
		}
		p.forgetCopy(w)
		p.owner.Abandon(p.clock.now(), w)
	}
}

// SetAnnouncements takes in all announced conditions of backend servers.
func (p *Path) SetAnnouncements(all []flow.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.notices)
	for _, a := range all {
		p.notices[a.Server] = a
	}
	p.rebuild()
}

// rebuild derives the tables of the decisions.
func (p *Path) rebuild() {
	if p.cfg == nil || p.view == nil {
		return
	}
	now := p.clock.now()
	centres := make(map[string]config.DataCentre, len(p.cfg.DataCentres))
	for _, d := range p.cfg.DataCentres {
		centres[d.Name] = d
	}
	var rows []admission.Server
	services := make(map[string][]keyowner.Candidate, len(p.cfg.Services))
	for i := range p.cfg.Services {
		sv := &p.cfg.Services[i]
		services[sv.Name] = nil
		for j := range sv.Servers {
			row := p.row(sv, &sv.Servers[j], centres)
			if row.Region != p.opts.Region {
				continue
			}
			admitter, found := p.members.First(admission.ServerName(row.Number), row.DataCentre, row.Region, 0)
			if row.DataCentre == p.opts.DataCentre || admitter == p.self.ID {
				rows = append(rows, row)
			}
			p.servers.set(row.Number, sv.Servers[j].Requests)
			if admitter != p.self.ID {
				p.servers.rest(row.Number)
			}
			if found && row.State == config.Active && row.Condition != flow.Down {
				services[sv.Name] = append(services[sv.Name], keyowner.Candidate{Server: row.Number, Admitter: admitter, Slots: sv.Slots})
			}
		}
	}
	p.admitter.SetServers(now, rows)
	p.claims.SetAlone(now, p.admitter.Alone())
	p.owner.SetServices(services)
	p.flush()
}

func (p *Path) row(sv *config.Service, s *config.Server, centres map[string]config.DataCentre) admission.Server {
	row := admission.Server{
		Number:     s.Number,
		Service:    sv.Name,
		DataCentre: s.DataCentre,
		Region:     centres[s.DataCentre].Region,
		Slots:      sv.Slots,
		Ramp:       sv.Ramp,
		State:      s.State,
		ColdSince:  p.cold[s.Number].at,
	}
	if centres[s.DataCentre].Out {
		row.State = config.Gone
	}
	if a, found := p.notices[s.Number]; found {
		row.Condition = a.Condition
		if a.Condition == flow.Cold || a.Condition == flow.Recovering {
			row.ColdSince = max(row.ColdSince, a.Since)
		}
	}
	return row
}
