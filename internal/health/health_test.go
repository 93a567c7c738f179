package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/health"
	"balsamfork/internal/placement"
)

const (
	step     = 10 * time.Millisecond
	tick     = 50 * time.Millisecond
	spread   = 150 * time.Millisecond
	start    = int64(1_773_316_800_000_000_000)
	servers  = 18
	desk     = 14
	inFleet  = 18
	rampTime = 5 * time.Second
)

// server is a backend server of a run: what its endpoint and its requests show.
type server struct {
	dead     bool // its endpoint does not answer
	refusing bool // its requests fail
	requests bool // it has requests at all
}

type node struct {
	id    fleet.ID
	table *health.Table
	down  bool
}

type event struct {
	at int64
	do func()
}

// run is a fleet of health tables over a clock and a network of its own.
type run struct {
	now     int64
	random  *rand.Rand
	nodes   []*node
	servers []server
	list    []health.Server
	events  []event
	// loss is the chance that a probe, or a report, is lost.
	loss      float64
	announced []flow.Announcement
	doubted   int
	probes    int
	reports   int
}

func dataCentre(n int) string { return fmt.Sprintf("dc-%c", 'a'+n%3) }

func newRun(seed uint64) *run {
	r := &run{now: start, random: rand.New(rand.NewPCG(seed, 2)), servers: make([]server, servers)}
	for n := range servers {
		service := "order-desk"
		if n >= desk {
			service = "catalogue"
		}
		r.list = append(r.list, health.Server{Number: config.Number(n + 1), Service: service, DataCentre: dataCentre(n), Ramp: rampTime, URL: "http://server/health"})
	}
	for n := range inFleet {
		id := fleet.ID(fmt.Sprintf("i%02d", n))
		r.nodes = append(r.nodes, &node{id: id, table: health.New(id, health.Default(), seed+uint64(n)*1000)})
	}
	r.view()
	for _, n := range r.nodes {
		n.table.Configure(r.now, r.list)
	}
	return r
}

func (r *run) view() {
	v := &fleet.View{}
	for at, n := range r.nodes {
		i := fleet.Instance{ID: n.id, DataCentre: dataCentre(at), State: fleet.Alive}
		if n.down {
			i.State = fleet.Dead
		}
		v.Instances = append(v.Instances, i)
	}
	for _, n := range r.nodes {
		n.table.SetView(r.now, v)
	}
}

func (r *run) after(d time.Duration, do func()) {
	r.events = append(r.events, event{at: r.now + int64(d), do: do})
}

func (r *run) lost() bool { return r.random.Float64() < r.loss }

func (r *run) run(d time.Duration) {
	for end := r.now + int64(d); r.now < end; {
		r.now += int64(step)
		events := r.events
		r.events = nil
		for _, e := range events {
			if e.at <= r.now {
				e.do()
			} else {
				r.events = append(r.events, e)
			}
		}
		if (r.now-start)%int64(tick) == 0 {
			r.tick()
		}
	}
}

// until runs until a backend server is in a condition, and returns how long that took.
func (r *run) until(limit time.Duration, n config.Number, c flow.Condition) (time.Duration, bool) {
	from := r.now
	for r.now-from < int64(limit) {
		r.run(step)
		if r.condition(n) == c {
			return time.Duration(r.now - from), true
		}
	}
	return limit, false
}

func (r *run) condition(n config.Number) flow.Condition {
	c := flow.Healthy
	for _, a := range r.announced {
		if a.Server == n {
			c = a.Condition
		}
	}
	return c
}

func (r *run) count(c flow.Condition) int {
	out := 0
	for _, a := range r.announced {
		if a.Condition == c {
			out++
		}
	}
	return out
}

func (r *run) tick() {
	for at, n := range r.nodes {
		if n.down {
			continue
		}
		r.traffic(at, n)
		out := n.table.Tick(r.now)
		r.doubted += len(out.Doubted)
		for _, p := range out.Probes {
			r.probe(n, p.Server)
		}
		for _, o := range out.Reports {
			r.report(n, o)
		}
		for _, a := range out.Announce {
			r.announced = append(r.announced, a)
			r.after(spread, func() { r.tell(a) })
		}
	}
}

// traffic gives an instance evidence of the servers that it admits requests for.
func (r *run) traffic(at int, n *node) {
	for s, x := range r.servers {
		if !x.requests || s%inFleet != at {
			continue
		}
		kind := flow.Answered
		if x.refusing {
			kind = flow.Failed
		}
		n.table.Evidence([]flow.Evidence{{Server: config.Number(s + 1), Kind: kind, At: r.now}})
	}
}

func (r *run) probe(n *node, of config.Number) {
	r.probes++
	x := r.servers[of-1]
	if x.dead || r.lost() || r.lost() {
		r.after(health.Default().Timeout, func() { n.table.Observe(r.now, of, false) })
		return
	}
	r.after(2*time.Millisecond, func() { n.table.Observe(r.now, of, true) })
}

func (r *run) report(n *node, o health.Outgoing) {
	r.reports++
	if r.lost() {
		return
	}
	for _, to := range r.nodes {
		if to.id == o.To && !to.down {
			r.after(step, func() { to.table.Receive(r.now, n.id, o.Report) })
		}
	}
}

func (r *run) tell(a flow.Announcement) {
	for _, n := range r.nodes {
		n.table.SetConditions([]flow.Announcement{a})
	}
}

func (r *run) keeper(n config.Number) *node {
	var ids []fleet.ID
	for at, x := range r.nodes {
		if dataCentre(at) == r.list[n-1].DataCentre && !x.down {
			ids = append(ids, x.id)
		}
	}
	first := health.Probers(ids, n)[0]
	for _, x := range r.nodes {
		if x.id == first {
			return x
		}
	}
	return nil
}

func TestBoundDownIsAnnouncedIn2850Milliseconds(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		r := newRun(seed)
		r.run(3*time.Second + time.Duration(seed)*110*time.Millisecond)
		r.servers[4].dead = true
		took, ok := r.until(5*time.Second, 5, flow.Down)
		is.True(ok)
		is.True(took+spread <= 3*time.Second)
		is.Equal(len(r.announced), 1)
	}
}

func TestBoundNoFalseVerdictInAnHourAtOnePercentLoss(t *testing.T) {
	is := is.New(t)
	r := newRun(1)
	r.loss = 0.01
	r.run(time.Hour)
	is.Equal(len(r.announced), 0)
}

func TestBoundFlappingIsSlowedDown(t *testing.T) {
	is := is.New(t)
	r := newRun(2)
	const periods = 180
	for n := range periods {
		r.servers[6].dead = n%2 == 0
		r.run(10 * time.Second)
	}
	is.True(r.count(flow.Down) >= 2)
	is.True(r.count(flow.Down) <= periods/2/4)
}

func TestWhatGoesBeforeWhat(t *testing.T) {
	cases := []struct {
		name string
		set  server
		want flow.Condition
	}{
		{"nothing wrong", server{requests: true}, flow.Healthy},
		{"the endpoint is silent, requests are answered", server{requests: true, dead: true}, flow.Healthy},
		{"the endpoint answers, requests fail", server{requests: true, refusing: true}, flow.Down},
		{"both fail", server{requests: true, refusing: true, dead: true}, flow.Down},
		{"the endpoint is silent, there are no requests", server{dead: true}, flow.Down},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRun(3)
			r.run(2 * time.Second)
			const several = 6
			for n := range several {
				r.servers[n] = c.set
			}
			r.run(5 * time.Second)
			for n := range config.Number(several) {
				is.New(t).Equal(r.condition(n+1), c.want)
			}
		})
	}
}

func TestHalfOfAServiceStays(t *testing.T) {
	is := is.New(t)
	r := newRun(4)
	r.run(2 * time.Second)
	for n := range desk {
		r.servers[n].dead = true
	}
	r.run(20 * time.Second)
	down := 0
	for n := range desk {
		if r.condition(config.Number(n+1)) == flow.Down {
			down++
		}
	}
	is.True(down <= desk/2)
	is.True(r.doubted > 0)
	is.True(r.count(flow.Down) <= desk)
}

func TestOneInstanceThatFailsEverywhereDoubtsItself(t *testing.T) {
	is := is.New(t)
	r := newRun(5)
	r.run(2 * time.Second)
	broken := r.nodes[0].table
	for range 100 {
		for n := range config.Number(6) {
			broken.Evidence([]flow.Evidence{{Server: n + 1, Kind: flow.Failed, At: r.now}})
		}
		r.run(tick)
	}
	is.Equal(len(r.announced), 0)
}

func TestServerWithoutEndpointIsJudgedByTraffic(t *testing.T) {
	is := is.New(t)
	r := newRun(8)
	r.list[3].URL = ""
	for _, n := range r.nodes {
		n.table.Configure(r.now, r.list)
	}
	r.servers[3].dead = true
	r.run(5 * time.Second)
	is.Equal(r.condition(4), flow.Healthy)
	r.servers[3].requests, r.servers[3].refusing = true, true
	_, ok := r.until(3*time.Second, 4, flow.Down)
	is.True(ok)
	r.servers[3].requests = false
	_, ok = r.until(10*time.Second, 4, flow.Cold)
	is.True(ok)
}

// A server that comes back is cold, then recovering, and healthy once released.
func TestReturn(t *testing.T) {
	is := is.New(t)
	r := newRun(6)
	r.run(2 * time.Second)
	r.servers[8].dead = true
	_, ok := r.until(5*time.Second, 9, flow.Down)
	is.True(ok)
	r.servers[8].dead = false
	for _, want := range []flow.Condition{flow.Cold, flow.Recovering} {
		_, ok = r.until(20*time.Second, 9, want)
		is.True(ok)
	}
	r.run(5 * time.Second)
	is.Equal(r.condition(9), flow.Recovering)
	r.keeper(9).table.Release(9)
	_, ok = r.until(time.Second, 9, flow.Healthy)
	is.True(ok)

	r.nodes[0].table.SawCold(r.now, 9)
	_, ok = r.until(time.Second, 9, flow.Cold)
	is.True(ok)
}

func TestKeeperCrashesBeforeItsVerdict(t *testing.T) {
	is := is.New(t)
	r := newRun(7)
	r.run(2 * time.Second)
	r.servers[10].dead = true
	r.run(time.Second)
	r.keeper(11).down = true
	r.run(1500 * time.Millisecond)
	r.view()
	took, ok := r.until(5*time.Second, 11, flow.Down)
	is.True(ok)
	is.True(took <= 3*time.Second)
}

// Any mix of dead servers, crashed instances and loss: no living server is found
// down, and the dead ones of a service are up to its half.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRun(rapid.Uint64Range(0, 1000).Draw(rt, "seed"))
		r.loss = rapid.SampledFrom([]float64{0, 0.01, 0.03}).Draw(rt, "loss")
		dead := rapid.SliceOfNDistinct(rapid.IntRange(0, desk-1), 0, 5, rapid.ID).Draw(rt, "dead")
		crashed := rapid.SliceOfNDistinct(rapid.IntRange(0, inFleet-1), 0, 2, rapid.ID).Draw(rt, "crashed")
		r.run(time.Second)
		for _, n := range dead {
			r.servers[n].dead = true
		}
		for _, n := range crashed {
			r.nodes[n].down = true
		}
		r.run(1500 * time.Millisecond)
		r.view()
		r.run(6 * time.Second)
		for n := range servers {
			if down := r.condition(config.Number(n+1)) == flow.Down; down != r.servers[n].dead {
				rt.Fatalf("server %d: dead %v, found down %v", n+1, r.servers[n].dead, down)
			}
		}
	})
}

func TestCleared(t *testing.T) {
	v := &fleet.View{Instances: []fleet.Instance{{ID: "a", State: fleet.Alive}, {ID: "b", State: fleet.Leaving}, {ID: "c", State: fleet.Dead}}}
	whole := placement.Summary{Complete: true}
	away := placement.Summary{Complete: true, Away: []placement.Away{{Base: 7, Flows: 1}}}
	cases := []struct {
		name string
		told map[fleet.ID]placement.Summary
		want bool
	}{
		{"all reachable ones hold nothing", map[fleet.ID]placement.Summary{"a": whole, "b": whole}, true},
		{"one holds a flow", map[fleet.ID]placement.Summary{"a": whole, "b": away}, false},
		{"one has not told", map[fleet.ID]placement.Summary{"a": whole}, false},
		{"one is not complete", map[fleet.ID]placement.Summary{"a": whole, "b": {}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(health.Cleared(v, c.told, 7), c.want) })
	}
	is.New(t).True(health.Cleared(v, map[fleet.ID]placement.Summary{"a": away, "b": whole}, 8))
}

func TestServersLeavesOutWhatIsNotInService(t *testing.T) {
	is := is.New(t)
	list := health.Servers(&config.Config{
		DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b", Out: true}},
		Services: []config.Service{{Name: "s", Servers: []config.Server{
			{Number: 4, DataCentre: "a", State: config.Active, Health: "http://127.0.0.1/"},
			{Number: 3, DataCentre: "b", State: config.Active},
			{Number: 2, DataCentre: "a", State: config.Draining},
			{Number: 1, DataCentre: "a", State: config.Active},
		}}},
	})
	is.Equal(len(list), 2)
	is.Equal(list[1], health.Server{Number: 4, Service: "s", DataCentre: "a", URL: "http://127.0.0.1/"})
}
