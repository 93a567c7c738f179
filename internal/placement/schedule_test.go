package placement

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// act is one change of a schedule.
type act int

const (
	drain act = iota
	undrain
	join
	reweigh
	replace
	remove
	takeOut
	giveBack
	suspect
	enter
	leave
	restart
	crash
	acts
)

var actNames = []string{"drain", "undrain", "join", "reweigh", "replace", "remove", "takeOut", "giveBack",
	"suspect", "enter", "leave", "restart", "crash"}

func (a act) String() string { return actNames[a] }

// change is an act at a time after the begin, on the one that pick selects.
type change struct {
	at   time.Duration
	act  act
	pick int
}

// schedules generates changes that begin within a few seconds of each other.
// Restart and crash both lose what an instance knows, so there is one of them at
// most.
var schedules = rapid.Custom(func(t *rapid.T) []change {
	count := rapid.IntRange(1, 5).Draw(t, "count")
	out := make([]change, 0, count)
	lost := false
	for range count {
		c := change{
			at:   time.Duration(table.Mix(rapid.Uint64().Draw(t, "at"))%12000) * time.Millisecond,
			act:  act(rapid.IntRange(0, int(acts)-1).Draw(t, "act")),
			pick: rapid.IntRange(0, 100).Draw(t, "pick"),
		}
		if c.act >= restart && lost {
			c.act = leave
		}
		lost = lost || c.act >= restart
		out = append(out, c)
	}
	return out
})

func (m *model) do(c change) {
	if c.act >= enter {
		m.changeFleet(c)
		return
	}
	next := *m.config
	next.Services = slices.Clone(next.Services)
	s := &next.Services[c.pick%len(next.Services)]
	s.Servers = slices.Clone(s.Servers)
	if m.changeService(&next, s, c) {
		m.accept(next)
	}
}

func (m *model) changeService(next *config.Config, s *config.Service, c change) bool {
	b := &s.Servers[c.pick%len(s.Servers)]
	active := 0
	for _, o := range s.Servers {
		if o.State == config.Active {
			active++
		}
	}
	switch {
	case c.act == drain && b.State == config.Active && active > 2:
		b.State = config.Draining
	case c.act == undrain:
		b = firstIn(s, config.Draining)
		if b == nil {
			return false
		}
		b.State = config.Active
	case c.act == join:
		m.add(s, *b, c.pick)
	case c.act == reweigh:
		b.Weight = 50 + uint32(c.pick)
	case c.act == replace && b.State == config.Active && active > 2:
		b.State = config.Gone
		m.add(s, *b, c.pick)
	case c.act == remove:
		b = firstIn(s, config.Draining)
		if b == nil {
			return false
		}
		b.State = config.Gone
	case c.act == takeOut:
		for i := range s.Servers {
			if s.Servers[i].DataCentre == "b" && s.Servers[i].State == config.Active {
				s.Servers[i].State = config.Gone
			}
		}
	case c.act == giveBack:
		for i := range s.Servers {
			if s.Servers[i].DataCentre == "b" && s.Servers[i].State == config.Gone {
				s.Servers[i].State, s.Servers[i].Joined = config.Active, next.Version+1
			}
		}
	case c.act == suspect:
		m.doubt(b.Number)
		return false
	default:
		return false
	}
	m.retarget(s)
	return true
}

func firstIn(s *config.Service, state config.ServerState) *config.Server {
	for i := range s.Servers {
		if s.Servers[i].State == state {
			return &s.Servers[i]
		}
	}
	return nil
}

// add lists one more backend server, under the same address as an earlier one.
func (m *model) add(s *config.Service, b config.Server, pick int) {
	m.number++
	b.Number, b.State, b.Joined = m.number, config.Active, m.config.Version+1
	s.Servers = append(s.Servers, b)
}

// retarget makes the active backend servers the current set, with the one before
// in the past.
func (m *model) retarget(s *config.Service) {
	old := s.Current
	s.Current = nil
	for _, b := range s.Servers {
		if b.State == config.Active {
			s.Current = append(s.Current, config.Member{Number: b.Number, Weight: b.Weight})
		}
	}
	s.Past = append(slices.Clone(s.Past), old)
}

// doubt announces a backend server as down, then as recovering.
func (m *model) doubt(n config.Number) {
	m.announce(n, flow.Down)
	m.after(8*time.Second, func() { m.announce(n, flow.Recovering) })
}

func (m *model) announce(n config.Number, c flow.Condition) {
	m.told = slices.DeleteFunc(slices.Clone(m.told), func(a flow.Announcement) bool { return a.Server == n })
	if c != flow.Healthy {
		m.told = append(m.told, flow.Announcement{Server: n, Condition: c, Sequence: uint64(m.now), Since: m.now})
	}
	all := m.told
	for _, node := range m.nodes {
		m.after(m.within(900*time.Millisecond), func() {
			if node.up {
				node.decider.SetAnnouncements(m.now, all)
			}
		})
	}
}

func (m *model) changeFleet(c change) {
	var up []*node
	for _, n := range m.nodes {
		if n.up && !n.leaving {
			up = append(up, n)
		}
	}
	n := up[c.pick%len(up)]
	switch {
	case c.act == enter:
		m.enter(len(m.nodes), 1)
	case len(up) < 4:
	case c.act == leave:
		n.leaving = true
		m.tell(m.row(n, fleet.Leaving, n.rows[n.id].Incarnation, 0), 0, 2*time.Second)
	case c.act == crash:
		n.up = false
		m.tell(m.row(n, fleet.Dead, n.rows[n.id].Incarnation, 0), time.Second, 3*time.Second)
	case c.act == restart:
		n.up = false
		i := slices.Index(m.nodes, n)
		m.after(m.within(2*time.Second), func() { m.enter(i, n.rows[n.id].Incarnation+1) })
	}
}

// enter starts an instance that learns the table and the configuration from a
// peer, which may be late itself.
func (m *model) enter(i int, incarnation uint64) {
	n := m.build(i, incarnation)
	seed := m.nodes[m.rng.IntN(len(m.nodes))]
	for !seed.up || !seed.ready {
		seed = m.nodes[m.rng.IntN(len(m.nodes))]
	}
	for id, r := range seed.rows {
		n.rows[id] = r
	}
	n.rows[n.id] = m.row(n, fleet.Joining, incarnation, 0)
	if i < len(m.nodes) {
		m.nodes[i] = n
	} else {
		m.nodes = append(m.nodes, n)
	}
	m.view(n)
	n.decider.SetAnnouncements(m.now, m.told)
	newest := m.config
	m.after(m.within(time.Second), func() {
		m.apply(n, newest)
		m.apply(n, m.config)
		row := n.rows[n.id]
		row.State = fleet.Alive
		m.tell(row, 0, 2*time.Second)
	})
	m.every(n, 200*time.Millisecond)
	for i := range 3 {
		m.after(time.Duration(i+1)*time.Second, func() {
			for _, o := range m.nodes {
				m.sync(n, o)
			}
		})
	}
}

// settle takes the steps that the summaries allow.
func (m *model) settle() {
	m.after(time.Second, func() {
		for i := range m.config.Services {
			m.settleService(i)
		}
		m.settle()
	})
}

func (m *model) settleService(i int) {
	v := &fleet.View{}
	all := map[fleet.ID]Summary{}
	for _, n := range m.nodes {
		if !n.up {
			continue
		}
		v.Instances = append(v.Instances, n.rows[n.id])
		s, _ := n.engine.Summary(m.now, m.config.Services[i].Name)
		all[n.id] = s
	}
	for _, a := range m.told {
		away, known := FlowsAway(v, all, a.Server)
		if a.Condition == flow.Recovering && m.now-a.Since > 2*second && known && away == 0 && m.owns(i, a.Server) {
			m.announce(a.Server, flow.Healthy)
		}
	}
	next := *m.config
	next.Services = slices.Clone(next.Services)
	s := &next.Services[i]
	step, _ := Settle(m.config, s.Name, v, all)
	switch step {
	case Rebase:
		s.Past = append([]config.Set{s.Settled}, s.Past...)
		s.Settled = s.Current
	case Clear:
		s.Past = nil
	default:
		return
	}
	m.accept(next)
}

func (m *model) owns(service int, n config.Number) bool {
	return slices.ContainsFunc(m.config.Services[service].Servers, func(b config.Server) bool { return b.Number == n })
}
