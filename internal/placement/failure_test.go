package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

func nobody(int) bool { return false }

// draining returns a model in which flows opened before and during the drain of
// one backend server in six.
func draining(seed uint64, instances, flows int, edit func(*config.Service)) *model {
	s := testService(1, 1, 6)
	s.IdleLimit = 0
	edit(&s)
	m := newModel(seed, instances, testConfig(s), newEngineNode)
	if s.Protocol == config.UDP {
		m.flags = flow.Sessionless
	}
	m.run(2 * time.Second)
	for i := range flows {
		m.after(time.Duration(i)*40*time.Second/time.Duration(flows), func() { m.begin(0, 100*time.Second) })
	}
	m.after(10*time.Second, func() { m.do(change{act: drain, pick: 2}) })
	return m
}

func keep(*config.Service) {}

// side says on which side of a cut an instance is: data centre a, or the others.
func side(m *model, n *node) bool { return m.row(n, fleet.Alive, 1, 1).DataCentre == "a" }

func TestTwoCrashesBreakOnlyBucketsThatLostBoth(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		m := draining(seed, 6, 600, keep)
		m.run(30 * time.Second)
		ring := m.nodes[5].engine.state.Load().ring
		a, b := m.nodes[seed%5], m.nodes[(seed+1)%5]
		if seed == 3 {
			b = m.nodes[0] // of the same data centre, so no bucket loses both
		}
		both := func(bucket int) bool {
			first, second := ring.at(bucket, 0).ID, ring.at(bucket, 1).ID
			return first == a.id && second == b.id || first == b.id && second == a.id
		}
		for _, n := range []*node{a, b} {
			n.up = false
			m.tell(m.row(n, fleet.Dead, 1, 0), time.Second, 3*time.Second)
		}
		m.run(90 * time.Second)
		is.Equal(m.broken(both), 0)
		is.True(seed < 3 || m.broken(nobody) == 0)
		t.Logf("seed %d: %d of %d flows broke with owner and second", seed, m.broken(nobody), len(m.clients))
	}
}

func TestEveryInstanceIsReplacedDuringDrain(t *testing.T) {
	is := is.New(t)
	m := draining(1, 6, 600, keep)
	for i := range 6 {
		m.after(time.Duration(16+5*i)*time.Second, func() {
			m.enter(6+i, 1)
			m.nodes[i].leaving = true
			m.tell(m.row(m.nodes[i], fleet.Leaving, 1, 0), 0, 2*time.Second)
		})
	}
	m.run(140 * time.Second)
	is.Equal([]int{m.broken(nobody), m.wrong, m.dropped}, []int{0, 0, 0})
	for _, n := range m.nodes[:6] {
		is.True(!n.up) // it has handed over and ended
	}
}

func TestPartitionDuringDrain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		m := draining(seed, 6, 600, keep)
		m.run(25 * time.Second)
		ring := m.nodes[0].engine.state.Load().ring
		sides := map[*client]bool{}
		m.cut = func(a, b *node) bool { return side(m, a) != side(m, b) }
		m.hidden = func(c *client, n *node) bool {
			if _, known := sides[c]; !known {
				sides[c] = m.rng.IntN(2) == 0
			}
			return sides[c] != side(m, n)
		}
		for _, n := range m.nodes {
			for _, o := range m.nodes {
				if m.cut(n, o) {
					row := m.row(o, fleet.Dead, 1, 0)
					m.after(time.Second+m.within(2*time.Second), func() { n.rows[o.id] = row; m.view(n) })
				}
			}
		}
		m.run(100 * time.Second)
		lost := 0
		for _, c := range m.clients {
			if !c.broken {
				continue
			}
			bucket := table.Bucket(table.NewHasher(hashKey).Flow(&c.key))
			first, second := ring.at(bucket, 0), ring.at(bucket, 1)
			is.True((first.DataCentre == "a") != sides[c] && (second.DataCentre == "a") != sides[c])
			lost++
		}
		t.Logf("seed %d: %d of %d flows broke whose records were all on the other side", seed, lost, len(m.clients))
	}
}

func TestSilentFlowsStayThroughDrain(t *testing.T) {
	is := is.New(t)
	m := draining(1, 5, 300, keep)
	m.run(50 * time.Second)
	for hour := range 4 {
		m.queue, m.now = nil, m.now+int64(time.Hour) // nothing is said for an hour
		for _, n := range m.nodes {
			m.every(n, 200*time.Millisecond)
		}
		m.do(change{act: reweigh, pick: hour})
		m.run(30 * time.Second)
	}
	for _, c := range m.clients {
		m.send(c, 0)
	}
	m.run(time.Second)
	is.Equal([]int{m.broken(nobody), m.dropped}, []int{0, 0})
	is.True(m.server(3).State == config.Draining && m.placed[3] > 0)
}

func TestFlowsWithoutOpeningStay(t *testing.T) {
	is := is.New(t)
	m := draining(1, 5, 400, func(s *config.Service) { s.Protocol, s.IdleLimit = config.UDP, 10*time.Second })
	m.run(120 * time.Second)
	is.Equal([]int{m.broken(nobody), m.wrong, m.dropped}, []int{0, 0, 0})
	late := 0
	for _, c := range m.clients[len(m.clients)*3/4:] {
		if c.server == 3 {
			late++
		}
	}
	is.Equal(late, 0) // the leaving backend server gets no flow once the idle limit has passed
}

// unsettledKey returns a key whose bucket has the drained backend server as base.
func unsettledKey(e *Engine, from int) (flow.Key, int) {
	st := e.state.Load()
	for i := from; ; i++ {
		k := testKey(1, i)
		bucket := table.Bucket(st.plan.hasher.Flow(&k))
		if s := st.plan.services[0]; s.isUnsettled(bucket) && s.baseOf(bucket).state == config.Draining && st.ring.rankOf(bucket) == 0 {
			return k, i
		}
	}
}

func drainedEngine(limits records.Limits, idle time.Duration) *Engine {
	s := testService(1, 1, 14)
	s.IdleLimit = idle
	s.Servers[13].State = config.Draining
	s.Current = s.Settled[:13]
	e := New(Options{Self: "i00", Records: limits})
	e.SetView(0, testView("i00", 1, 1))
	e.SetConfig(0, testConfig(s))
	return e
}

func TestReuseOfClosedFlowIsPlacedAnew(t *testing.T) {
	is := is.New(t)
	e := drainedEngine(records.LimitsFor(1000), time.Minute)
	k, _ := unsettledKey(e, 0)
	decide := func(f flow.Flags) config.Number {
		return e.Decide(second, &flow.Packet{Key: k, Flags: f, Origin: flow.FromFabric}).Server
	}
	is.Equal(decide(0), config.Number(14)) // an older flow lives on its base
	is.Equal(decide(flow.Syn), config.Number(14))
	is.Equal(decide(flow.Fin), config.Number(14))
	is.Equal(decide(0), config.Number(14))
	next := decide(flow.Syn)
	is.True(next != 14 && next != 0)
	is.Equal(decide(0), next)
}

func TestBoundSynFlood(t *testing.T) {
	is := is.New(t)
	e := drainedEngine(records.LimitsFor(4000), 0)
	var keys []flow.Key
	servers := map[flow.Key]config.Number{}
	at := 0
	for range 100 {
		k, i := unsettledKey(e, at)
		at = i + 1
		v := e.Decide(second, &flow.Packet{Key: k, Flags: flow.Syn, Origin: flow.FromFabric})
		e.Decide(second, &flow.Packet{Key: k, Origin: flow.FromFabric})
		keys, servers[k] = append(keys, k), v.Server
		is.True(v.Server != 14)
	}
	for i := range 200000 {
		e.Decide(2*second, &flow.Packet{Key: testKey(1, at+i), Flags: flow.Syn, Origin: flow.FromFabric})
	}
	is.True(e.Counts().Opening <= 500 && e.Counts().Placed == 100)
	for _, k := range keys {
		is.Equal(e.Decide(3*second, &flow.Packet{Key: k, Origin: flow.FromFabric}).Server, servers[k])
	}
	for tick := range int64(200) {
		e.Tick((3 + tick) * second)
	}
	is.Equal(e.Counts().Opening, 0) // what was not followed up is forgotten
	is.Equal(e.Counts().Placed, 100)
}

func TestFreshServerStaysBelowItsRamp(t *testing.T) {
	is := is.New(t)
	const rate, width = 100, 10 // flows a second, seconds a window
	s := testService(1, 1, 6)
	s.IdleLimit, s.Ramp.Duration = 0, 40*time.Second
	m := newModel(1, 4, testConfig(s), newEngineNode)
	m.run(2 * time.Second)
	start := m.now
	m.do(change{act: join, pick: 0})
	before := map[config.Number]int{}
	for range 8 {
		for i := range rate * width {
			m.after(time.Duration(i)*time.Second/rate, func() { m.begin(0, time.Second) })
		}
		m.run(width * time.Second)
		warm := 0
		for n := config.Number(1); n <= 6; n++ {
			warm += m.placed[n] - before[n]
			before[n] = m.placed[n]
		}
		fresh := m.placed[101] - before[101]
		before[101] = m.placed[101]
		share := ramped(s.Ramp, m.now-start)
		t.Logf("%2d s: fresh %d, warm on average %.0f, ramp at the end %.2f", (m.now-start)/second, fresh, float64(warm)/6, share)
		is.True(float64(fresh) <= 1.1*share*float64(warm)/6+5)
	}
	is.True(before[101] > 0)
}
