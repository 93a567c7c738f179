package requestpath

import (
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/keyowner"
)

// joinTime is when a backend server was last made active: the version of the
// configuration, and the time in nanoseconds of Unix time, or zero if unknown.
type joinTime struct {
	version config.Version
	at      int64
}

// SetConfig applies an accepted configuration.
func (p *Path) SetConfig(c *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordJoins(c)
	p.cfg = c
	p.rebuildTables()
}

// recordJoins starts the ramp of backend servers that joined. With the first
// configuration it starts only the ramps of those that joined in that version: the
// join times of the others are unknown and usually long past.
func (p *Path) recordJoins(c *config.Config) {
	now := p.clock.now()
	first := p.cfg == nil
	for i := range c.Services {
		for _, s := range c.Services[i].Servers {
			old, known := p.joins[s.Number]
			if known && old.version == s.Joined {
				continue
			}
			j := joinTime{version: s.Joined}
			if !first || s.Joined == c.Version && c.Version > 1 {
				j.at = now
			}
			p.joins[s.Number] = j
		}
	}
}

// SetView applies a new table of instances.
func (p *Path) SetView(v *fleet.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	now := p.clock.now()
	p.members.Update(now, v)
	if self, found := v.Get(p.self.ID); found && self.State == fleet.Leaving {
		// The other instances exclude this one from the pairs of keys that are created
		// later.
		p.claims.SetLeaving(int64(self.LeavesAt) * int64(time.Millisecond))
	}
	for _, c := range p.calls {
		if v.IsDead(c.to) {
			c.cancel()
		}
	}
	p.abandonDead(v)
	p.rebuildTables()
}

// abandonDead abandons the copies that were forwarded by instances that the view has as
// dead.
func (p *Path) abandonDead(v *fleet.View) {
	for w, c := range p.copyByWaiter {
		if v.IsDead(c.From.ID) {
			p.removeCopy(w)
			p.owner.Abandon(p.clock.now(), w)
		}
	}
}

// SetAnnouncements replaces all announced conditions of backend servers.
func (p *Path) SetAnnouncements(all []flow.Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.announcements)
	for _, a := range all {
		p.announcements[a.Server] = a
	}
	p.rebuildTables()
}

// rebuildTables derives the tables of the owner, the admitter and the claims from
// the configuration, the view and the announcements, and executes the resulting
// effects. The caller holds mu.
func (p *Path) rebuildTables() {
	if p.cfg == nil || p.view == nil {
		return
	}
	now := p.clock.now()
	dataCentres := make(map[string]config.DataCentre, len(p.cfg.DataCentres))
	for _, d := range p.cfg.DataCentres {
		dataCentres[d.Name] = d
	}
	var rows []admission.Server
	inRegion := make(map[config.Number]bool)
	services := make(map[string][]keyowner.Candidate, len(p.cfg.Services))
	for i := range p.cfg.Services {
		sv := &p.cfg.Services[i]
		services[sv.Name] = nil
		for j := range sv.Servers {
			row := p.row(sv, &sv.Servers[j], dataCentres)
			if row.Region != p.opts.Region {
				continue
			}
			admitter, found := p.members.First(admission.ServerKey(row.Number), row.DataCentre, row.Region, 0)
			if row.DataCentre == p.opts.DataCentre || admitter == p.self.ID {
				rows = append(rows, row)
			}
			p.servers.setAddress(row.Number, sv.Servers[j].Requests)
			inRegion[row.Number] = true
			if admitter != p.self.ID {
				p.servers.closeIdle(row.Number)
			}
			if found && row.State == config.Active && row.Condition != flow.Down {
				services[sv.Name] = append(services[sv.Name], keyowner.Candidate{Server: row.Number, Admitter: admitter, Slots: sv.Slots})
			}
		}
	}
	p.servers.retain(inRegion)
	p.admitter.SetServers(now, rows)
	p.claims.SetAwaitingContact(now, p.admitter.AwaitingContact())
	p.owner.SetServices(services)
	p.runEffects()
}

func (p *Path) row(sv *config.Service, s *config.Server, dataCentres map[string]config.DataCentre) admission.Server {
	row := admission.Server{
		Number:     s.Number,
		Service:    sv.Name,
		DataCentre: s.DataCentre,
		Region:     dataCentres[s.DataCentre].Region,
		Slots:      sv.Slots,
		Ramp:       sv.Ramp,
		State:      s.State,
		ColdSince:  p.joins[s.Number].at,
	}
	if dataCentres[s.DataCentre].Out {
		row.State = config.Gone
	}
	if a, found := p.announcements[s.Number]; found {
		row.Condition = a.Condition
		if a.Condition == flow.Cold || a.Condition == flow.Recovering {
			row.ColdSince = max(row.ColdSince, a.Since)
		}
	}
	return row
}
