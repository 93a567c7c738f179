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

func excludeNone(int) bool { return false }

// newDrainModel returns a model in which flows open before and during the drain
// of one of six backend servers.
func newDrainModel(seed uint64, instances, flows int, edit func(*config.Service)) *model {
	s := testService(1, 1, 6)
	s.IdleLimit = 0
	edit(&s)
	m := newModel(seed, instances, testConfig(s), newEngineNode)
	if s.Protocol == config.UDP {
		m.flags = flow.Sessionless
	}
	m.run(2 * time.Second)
	for i := range flows {
		m.schedule(time.Duration(i)*40*time.Second/time.Duration(flows), func() { m.openFlow(0, 100*time.Second) })
	}
	m.schedule(10*time.Second, func() { m.applyChange(change{operation: drain, pick: 2}) })
	return m
}

func unchanged(*config.Service) {}

// inDataCentreA reports whether an instance is in data centre a. The partition
// separates it from the others.
func inDataCentreA(m *model, n *node) bool { return m.row(n, fleet.Alive, 1, 1).DataCentre == "a" }

func TestTwoCrashesBreakOnlyBucketsThatLostBothReplicas(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(4) {
		m := newDrainModel(seed, 6, 600, unchanged)
		m.run(30 * time.Second)
		membership := m.nodes[5].engine.state.Load().membership
		a, b := m.nodes[seed%5], m.nodes[(seed+1)%5]
		if seed == 3 {
			b = m.nodes[0] // in the same data centre, so no bucket loses both replicas
		}
		both := func(bucket int) bool {
			owner, backup := membership.replica(bucket, 0).ID, membership.replica(bucket, 1).ID
			return owner == a.id && backup == b.id || owner == b.id && backup == a.id
		}
		m.crashAll(a, b)
		m.run(90 * time.Second)
		is.Equal(m.broken(both), 0)
		is.True(seed < 3 || m.broken(excludeNone) == 0)
		t.Logf("seed %d: %d of %d flows broke with owner and backup", seed, m.broken(excludeNone), len(m.clients))
	}
}

func (m *model) crashAll(all ...*node) {
	for _, n := range all {
		n.up = false
		m.spreadRow(m.row(n, fleet.Dead, 1, 0), time.Second, 3*time.Second)
	}
}

func TestCrashesOneAfterTheOtherBreakNothing(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		m := newDrainModel(seed, 6, 600, unchanged)
		m.run(25 * time.Second)
		for _, n := range m.nodes[:3] {
			m.crashAll(n)
			m.run(12 * time.Second)
		}
		m.run(60 * time.Second)
		is.Equal([]int{m.broken(excludeNone), m.wrongService, m.dropped}, []int{0, 0, 0})
	}
}

func TestEveryInstanceIsReplacedDuringDrain(t *testing.T) {
	is := is.New(t)
	m := newDrainModel(1, 6, 600, unchanged)
	for i := range 6 {
		m.schedule(time.Duration(16+5*i)*time.Second, func() {
			m.enter(6+i, 1)
			m.nodes[i].leaving = true
			m.spreadRow(m.row(m.nodes[i], fleet.Leaving, 1, 0), 0, 2*time.Second)
		})
	}
	m.run(140 * time.Second)
	is.Equal([]int{m.broken(excludeNone), m.wrongService, m.dropped}, []int{0, 0, 0})
	for _, n := range m.nodes[:6] {
		is.True(!n.up) // it has handed over and stopped
	}
}

func TestPartitionDuringDrain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		m := newDrainModel(seed, 6, 600, unchanged)
		m.run(25 * time.Second)
		membership := m.nodes[0].engine.state.Load().membership
		sides := map[*client]bool{}
		m.partitioned = func(a, b *node) bool { return inDataCentreA(m, a) != inDataCentreA(m, b) }
		m.hidden = func(c *client, n *node) bool {
			if _, known := sides[c]; !known {
				sides[c] = m.rng.IntN(2) == 0
			}
			return sides[c] != inDataCentreA(m, n)
		}
		for _, n := range m.nodes {
			for _, o := range m.nodes {
				if m.partitioned(n, o) {
					row := m.row(o, fleet.Dead, 1, 0)
					m.schedule(time.Second+m.randomDelay(2*time.Second), func() { n.rows[o.id] = row; m.publishView(n) })
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
			owner, backup := membership.replica(bucket, 0), membership.replica(bucket, 1)
			is.True((owner.DataCentre == "a") != sides[c] && (backup.DataCentre == "a") != sides[c])
			lost++
		}
		t.Logf("seed %d: %d of %d flows broke whose records were all on the other side", seed, lost, len(m.clients))
	}
}

func TestSilentFlowsStayThroughDrain(t *testing.T) {
	is := is.New(t)
	m := newDrainModel(1, 5, 300, unchanged)
	m.run(50 * time.Second)
	for hour := range 4 {
		m.queue, m.now = nil, m.now+int64(time.Hour) // no packet is sent for an hour
		for _, n := range m.nodes {
			m.scheduleTicks(n, 200*time.Millisecond)
		}
		m.applyChange(change{operation: reweigh, pick: hour})
		m.run(30 * time.Second)
	}
	for _, c := range m.clients {
		m.send(c, 0)
	}
	m.run(time.Second)
	is.Equal([]int{m.broken(excludeNone), m.dropped}, []int{0, 0})
	is.True(m.server(3).State == config.Draining && m.placed[3] > 0)
}

func TestFlowsWithoutOpeningStay(t *testing.T) {
	is := is.New(t)
	m := newDrainModel(1, 5, 400, func(s *config.Service) { s.Protocol, s.IdleLimit = config.UDP, 10*time.Second })
	m.run(120 * time.Second)
	is.Equal([]int{m.broken(excludeNone), m.wrongService, m.dropped}, []int{0, 0, 0})
	late := 0
	for _, c := range m.clients[len(m.clients)*3/4:] {
		if c.server == 3 {
			late++
		}
	}
	is.Equal(late, 0) // the draining backend server gets no flow once the idle limit has passed
}

// unsettledKey returns a key whose bucket is owned by this instance and has the
// drained backend server as its base, and the number of the key's caller.
func unsettledKey(e *Engine, from int) (flow.Key, int) {
	st := e.state.Load()
	for i := from; ; i++ {
		k := testKey(1, i)
		bucket := table.Bucket(st.plan.hasher.Flow(&k))
		if s := st.plan.services[0]; s.isUnsettled(bucket) && s.baseOf(bucket).state == config.Draining && st.membership.rankOf(bucket) == 0 {
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
	is.Equal(decide(0), config.Number(14)) // an older flow stays on its base
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
	is.Equal(e.Counts().Opening, 0) // openings without a next packet are discarded
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
	m.applyChange(change{operation: join, pick: 0})
	before := map[config.Number]int{}
	for range 8 {
		for i := range rate * width {
			m.schedule(time.Duration(i)*time.Second/rate, func() { m.openFlow(0, time.Second) })
		}
		m.run(width * time.Second)
		warm := 0
		for n := config.Number(1); n <= 6; n++ {
			warm += m.placed[n] - before[n]
			before[n] = m.placed[n]
		}
		fresh := m.placed[101] - before[101]
		before[101] = m.placed[101]
		share := rampShare(s.Ramp, m.now-start)
		t.Logf("%2d s: fresh %d, warm on average %.0f, ramp at the end %.2f", (m.now-start)/second, fresh, float64(warm)/6, share)
		is.True(float64(fresh) <= 1.1*share*float64(warm)/6+5)
	}
	is.True(before[101] > 0)
}
