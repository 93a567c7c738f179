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

// operation is what a change does.
type operation int

const (
	drain operation = iota
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
	operationCount
)

var operationNames = []string{"drain", "undrain", "join", "reweigh", "replace", "remove", "takeOut", "giveBack",
	"suspect", "enter", "leave", "restart", "crash"}

func (o operation) String() string { return operationNames[o] }

// change is one change of a schedule, at a time after its start. pick selects
// what it applies to.
type change struct {
	at        time.Duration
	operation operation
	pick      int
}

// schedules generates changes that start within a few seconds of each other.
// Restart and crash both lose the records of an instance, so there is one of
// them at most.
var schedules = rapid.Custom(func(t *rapid.T) []change {
	count := rapid.IntRange(1, 5).Draw(t, "count")
	out := make([]change, 0, count)
	lost := false
	for range count {
		c := change{
			at:        time.Duration(table.Mix(rapid.Uint64().Draw(t, "at"))%12000) * time.Millisecond,
			operation: operation(rapid.IntRange(0, int(operationCount)-1).Draw(t, "act")),
			pick:      rapid.IntRange(0, 100).Draw(t, "pick"),
		}
		if c.operation >= restart && lost {
			c.operation = leave
		}
		lost = lost || c.operation >= restart
		out = append(out, c)
	}
	return out
})

func (m *model) applyChange(c change) {
	if c.operation >= enter {
		m.changeInstances(c)
		return
	}
	next := *m.config
	next.Services = slices.Clone(next.Services)
	s := &next.Services[c.pick%len(next.Services)]
	s.Servers = slices.Clone(s.Servers)
	if m.changeService(&next, s, c) {
		m.commitConfig(next)
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
	case c.operation == drain && b.State == config.Active && active > 2:
		b.State = config.Draining
	case c.operation == undrain:
		b = firstIn(s, config.Draining)
		if b == nil {
			return false
		}
		b.State = config.Active
	case c.operation == join:
		m.addServer(s, *b, c.pick)
	case c.operation == reweigh:
		b.Weight = 50 + uint32(c.pick)
	case c.operation == replace && b.State == config.Active && active > 2:
		b.State = config.Gone
		m.addServer(s, *b, c.pick)
	case c.operation == remove:
		b = firstIn(s, config.Draining)
		if b == nil {
			return false
		}
		b.State = config.Gone
	case c.operation == takeOut:
		for i := range s.Servers {
			if s.Servers[i].DataCentre == "b" && s.Servers[i].State == config.Active {
				s.Servers[i].State = config.Gone
			}
		}
	case c.operation == giveBack:
		for i := range s.Servers {
			if s.Servers[i].DataCentre == "b" && s.Servers[i].State == config.Gone {
				s.Servers[i].State, s.Servers[i].Joined = config.Active, next.Version+1
			}
		}
	case c.operation == suspect:
		m.suspectServer(b.Number)
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

// addServer lists one more backend server, under the address of an earlier one.
func (m *model) addServer(s *config.Service, b config.Server, pick int) {
	m.lastNumber++
	b.Number, b.State, b.Joined = m.lastNumber, config.Active, m.config.Version+1
	s.Servers = append(s.Servers, b)
}

// retarget makes the active backend servers the current set, and adds the
// previous one to the past.
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

// suspectServer announces a backend server as down, then as recovering.
func (m *model) suspectServer(n config.Number) {
	m.announce(n, flow.Down)
	m.schedule(8*time.Second, func() { m.announce(n, flow.Recovering) })
}

func (m *model) announce(n config.Number, c flow.Condition) {
	m.announcements = slices.DeleteFunc(slices.Clone(m.announcements), func(a flow.Announcement) bool { return a.Server == n })
	if c != flow.Healthy {
		m.announcements = append(m.announcements, flow.Announcement{Server: n, Condition: c, Sequence: uint64(m.now), Since: m.now})
	}
	all := m.announcements
	for _, node := range m.nodes {
		m.schedule(m.randomDelay(900*time.Millisecond), func() {
			if node.up {
				node.decider.SetAnnouncements(m.now, all)
			}
		})
	}
}

func (m *model) changeInstances(c change) {
	var up []*node
	for _, n := range m.nodes {
		if n.up && !n.leaving {
			up = append(up, n)
		}
	}
	n := up[c.pick%len(up)]
	switch {
	case c.operation == enter:
		m.enter(len(m.nodes), 1)
	case len(up) < 4:
	case c.operation == leave:
		n.leaving = true
		m.spreadRow(m.row(n, fleet.Leaving, n.rows[n.id].Incarnation, 0), 0, 2*time.Second)
	case c.operation == crash:
		n.up = false
		m.spreadRow(m.row(n, fleet.Dead, n.rows[n.id].Incarnation, 0), time.Second, 3*time.Second)
	case c.operation == restart:
		n.up = false
		i := slices.Index(m.nodes, n)
		m.schedule(m.randomDelay(2*time.Second), func() { m.enter(i, n.rows[n.id].Incarnation+1) })
	}
}

// enter starts an instance that learns the table and the configuration from a
// peer, which may itself be outdated.
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
	m.publishView(n)
	n.decider.SetAnnouncements(m.now, m.announcements)
	newest := m.config
	m.schedule(m.randomDelay(time.Second), func() {
		m.applyConfig(n, newest)
		m.applyConfig(n, m.config)
		row := n.rows[n.id]
		row.State = fleet.Alive
		m.spreadRow(row, 0, 2*time.Second)
	})
	m.scheduleTicks(n, 200*time.Millisecond)
	for i := range 3 {
		m.schedule(time.Duration(i+1)*time.Second, func() {
			for _, o := range m.nodes {
				m.syncRows(n, o)
			}
		})
	}
}

// scheduleSettling takes the settling steps that the summaries allow, once a
// second.
func (m *model) scheduleSettling() {
	m.schedule(time.Second, func() {
		for i := range m.config.Services {
			m.settleService(i)
		}
		m.scheduleSettling()
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
	for _, a := range m.announcements {
		displaced, known := DisplacedFlowCount(v, all, a.Server)
		if a.Condition == flow.Recovering && m.now-a.Since > 2*second && known && displaced == 0 && m.hasServer(i, a.Server) {
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
	m.commitConfig(next)
}

func (m *model) hasServer(service int, n config.Number) bool {
	return slices.ContainsFunc(m.config.Services[service].Servers, func(b config.Server) bool { return b.Number == n })
}
