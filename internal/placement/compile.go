package placement

import (
	"slices"

	"github.com/zeebo/errs"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// invariant is the class of the panics on a configuration that was not validated.
var invariant = errs.Class("placement: invariant")

// compiler builds plans and caches the tables and times that they share.
type compiler struct {
	cache *table.Cache
	times map[config.Number]*serverTimes
}

func newCompiler() *compiler {
	return &compiler{cache: table.NewCache(), times: map[config.Number]*serverTimes{}}
}

// compile builds the plan of a configuration; prior may be nil.
func (c *compiler) compile(now int64, cfg *config.Config, all []flow.Announcement, prior *plan) *plan {
	p := &plan{
		config:    cfg,
		hasher:    table.NewHasher(cfg.HashKey),
		byName:    make(map[string]*service, len(cfg.Services)),
		serviceOf: map[config.Number]*service{},
	}
	conditions := latestAnnouncements(all)
	for i := range cfg.Services {
		s := c.service(now, cfg, i, conditions, prior)
		p.services = append(p.services, s)
		p.byName[s.name] = s
		for j := range s.servers {
			p.serviceOf[s.servers[j].number] = s
		}
	}
	p.buildSlots()
	c.evict(p)
	return p
}

// latestAnnouncements returns the announcement with the highest sequence number
// for each backend server, without those whose latest condition is healthy.
func latestAnnouncements(all []flow.Announcement) map[config.Number]flow.Announcement {
	m := make(map[config.Number]flow.Announcement, len(all))
	for _, a := range all {
		if old, ok := m[a.Server]; !ok || a.Sequence > old.Sequence {
			m[a.Server] = a
		}
	}
	for n, a := range m {
		if a.Condition == flow.Healthy {
			delete(m, n)
		}
	}
	return m
}

func (c *compiler) service(now int64, cfg *config.Config, index int,
	conditions map[config.Number]flow.Announcement, prior *plan) *service {
	d := &cfg.Services[index]
	s := &service{
		index: index, name: d.Name, address: d.Address, protocol: d.Protocol,
		idle: d.IdleLimit, ramp: d.Ramp, declared: d,
	}
	s.servers = c.servers(now, d, conditions)
	s.baseTable, s.base = c.cache.Get(d.Settled), s.positions(d.Settled)
	s.targetTable, s.target = c.cache.Get(d.Current), s.positions(d.Current)
	s.unsettled = c.unsettled(s, conditions)
	s.compareTables()
	s.inherit(now, cfg.Version, prior)
	return s
}

func (c *compiler) servers(now int64, d *config.Service, conditions map[config.Number]flow.Announcement) []server {
	out := make([]server, 0, len(d.Servers))
	for _, b := range d.Servers {
		a, times := conditions[b.Number], c.timesOf(b.Number)
		times.observe(now, b.State)
		_, inBase := findMember(d.Settled, b.Number)
		s := server{
			number: b.Number, address: b.Packets, state: b.State, weight: b.Weight, joined: b.Joined,
			condition: a.Condition, announcedAt: a.Since, times: times,
			warm: inBase && !times.returned.Load(),
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b server) int { return int(a.number) - int(b.number) })
	return out
}

func (c *compiler) timesOf(n config.Number) *serverTimes {
	t, ok := c.times[n]
	if !ok {
		t = &serverTimes{}
		c.times[n] = t
	}
	return t
}

// evict drops the tables and times that only earlier plans used.
func (c *compiler) evict(p *plan) {
	c.cache.EndRound()
	for n := range c.times {
		if p.serviceOf[n] == nil {
			delete(c.times, n)
		}
	}
}

func findMember(set config.Set, n config.Number) (int, bool) {
	return slices.BinarySearchFunc(set, n, func(m config.Member, n config.Number) int {
		return int(m.Number) - int(n)
	})
}

func (s *service) positions(set config.Set) []uint16 {
	out := make([]uint16, len(set))
	for i, m := range set {
		j, ok := slices.BinarySearchFunc(s.servers, m.Number, func(a server, n config.Number) int {
			return int(a.number) - int(n)
		})
		if !ok {
			panic(invariant.New("service %s: set names backend server %d, which is not listed", s.name, m.Number))
		}
		out[i] = uint16(j)
	}
	return out
}

// unsettled returns the unsettled buckets of a service, or nil if all are
// settled.
func (c *compiler) unsettled(s *service, conditions map[config.Number]flow.Announcement) *table.Bitmap {
	d := s.declared
	announced := func(n config.Number) bool {
		_, ok := conditions[n]
		return ok
	}
	assignments := []table.Assignment{{Set: d.Settled, Table: s.baseTable}, {Set: d.Current, Table: s.targetTable}}
	for _, past := range d.Past {
		assignments = append(assignments, table.Assignment{Set: past, Table: c.cache.Get(past)})
	}
	if c.nothingDiffers(s, assignments, announced) {
		return nil
	}
	m := table.Unsettled(assignments, announced)
	if m.Count() == 0 {
		return nil
	}
	return m
}

// nothingDiffers reports whether all assignments share one table and no announcement
// names a backend server of the service, so that no bucket needs to be checked.
func (c *compiler) nothingDiffers(s *service, assignments []table.Assignment, announced func(config.Number) bool) bool {
	for _, a := range assignments {
		if a.Table != assignments[0].Table {
			return false
		}
	}
	return !slices.ContainsFunc(s.servers, func(b server) bool { return announced(b.number) })
}

func (s *service) compareTables() {
	s.basesGone = true
	if s.baseTable == s.targetTable {
		return
	}
	for b := range table.Buckets {
		base, target := s.baseOf(b), s.targetOf(b)
		if base == target {
			continue
		}
		s.tablesDiffer = true
		if base != nil && base.state != config.Gone {
			s.basesGone = false
		}
	}
}

// inherit takes over the version and times of a prior plan that sent the same
// flows to the same backend servers.
func (s *service) inherit(now int64, version config.Version, prior *plan) {
	s.since, s.changedAt, s.serviceTimes = version, now, &serviceTimes{}
	if prior == nil {
		return
	}
	old := prior.byName[s.name]
	if old == nil || !sameSets(s.declared, old.declared) {
		return
	}
	s.since, s.serviceTimes = old.since, old.serviceTimes
	if sameConditions(s.servers, old.servers) {
		s.changedAt = old.changedAt
	}
}

func sameSets(a, b *config.Service) bool {
	return slices.Equal(a.Settled, b.Settled) &&
		slices.Equal(a.Current, b.Current) &&
		slices.EqualFunc(a.Past, b.Past, func(x, y config.Set) bool { return slices.Equal(x, y) }) &&
		slices.EqualFunc(a.Servers, b.Servers, sameServer)
}

func sameServer(a, b config.Server) bool {
	return a.Number == b.Number && a.State == b.State && a.Joined == b.Joined && a.Packets == b.Packets
}

func sameConditions(a, b []server) bool {
	return slices.EqualFunc(a, b, func(x, y server) bool {
		return x.condition == y.condition && x.announcedAt == y.announcedAt
	})
}
