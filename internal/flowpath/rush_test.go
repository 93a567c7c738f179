package flowpath

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/serverload"
)

// recovery is the time in which the admitted part of a priority rises from its floor to 1: ten
// steps, of which each waits for the next turn of callers at most, and sums of 1 s.
const recovery = 11 * time.Second

// TestRushWithoutSums covers all instances that start within 0.3 s under 1,500 requests a
// second, of which service a can answer 600 in each of two data centres, and get no sums:
// nothing is refused, and service b takes more than its weight.
func TestRushWithoutSums(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.silent = true
	f.startAll(24)
	f.load(splitPort, 1500, 3*time.Second)
	for range 3 {
		f.run(time.Second)
		counts, placed := f.outcomes(t, "without sums")
		is.Equal(counts["443 refused"], 0)
		is.True(placed["b"]*9 > placed["a"])
	}
	for _, h := range f.instances {
		is.True(!h.load.fresh)
	}
}

// TestRushOverflowsFromTheFirstFlows covers callers that all come back to an instance that has
// just started, while the weights give most flows to the smaller service. It guards against a
// small service that sheds while the other one, of which the instance has used little, is
// taken for unknown, or because the instance does not know of the others yet.
func TestRushOverflowsFromTheFirstFlows(t *testing.T) {
	for name, local := range map[string]int{"others known": 45, "others not found yet": defaultLocalInstances} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newSplitHarness(120)
			h.SetInstances(134, local)
			h.startedAt = h.now
			h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1001, Configuration: splitConfiguration(2, 10, 90)})
			h.RefreshLoad(h.mirror.Snapshot(), h.now)
			placed := map[string]int{}
			for port := range uint16(20) {
				h.now += 10 * ms
				h.known = h.now
				v := h.openAt(1+port, splitPort, 0)
				is.Equal(v.Action, Forward)
				placed[v.Service]++
			}
			is.True(placed["b"] <= 14)
		})
	}
}

// TestFloodLeavesUrgentFlowsAlone covers a flood at six times the usual rate beside an
// unchanged urgent kind of request: urgent flows are all admitted, and the flood is refused
// instead of shed by servers.
func TestFloodLeavesUrgentFlowsAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.load(splitPort, 800, 4*time.Second)
	f.load(urgentPort, 100, 14*time.Second+recovery)
	f.run(4 * time.Second)
	counts, _ := f.outcomes(t, "usual")
	is.Equal(counts["443 refused"]+counts["444 refused"], 0)
	f.load(splitPort, 6*800, 8*time.Second)
	f.run(3 * time.Second)
	f.outcomes(t, "begin of the flood")
	f.run(5 * time.Second)
	counts, _ = f.outcomes(t, "flood")
	is.Equal(counts["444 refused"], 0)
	is.True(counts["443 refused"] > 0)
	is.True(counts["443 shed"]*10 < counts["443 refused"])
	f.run(recovery)
	f.outcomes(t, "after")
	f.load(splitPort, 800, 2*time.Second)
	f.run(2 * time.Second)
	counts, _ = f.outcomes(t, "usual again")
	is.Equal(counts["443 refused"], 0)
}

// TestNoHerd covers 24 instances that learn the same sums at once: they do not all send their
// next flows to the same servers.
func TestNoHerd(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	f.startAll(24)
	f.load(splitPort, 900, 10*time.Second)
	f.run(2 * time.Second)
	for _, s := range f.servers {
		s.flows = 0
	}
	f.run(8 * time.Second)
	busiest, total, n := 0, 0, 0
	for _, b := range f.mirror.Snapshot().Backends("a") {
		if s := f.servers[b.Cookie]; b.DataCentre == "a" {
			busiest, total, n = max(busiest, s.flows), total+s.flows, n+1
		}
	}
	t.Log(busiest, total/n)
	is.True(2*busiest*n <= 3*total) // 1.5 times the mean
}

// TestSlowServersGetFewerFlows covers servers that turn four times slower: they are found by
// their response times, and get a share according to their speed.
func TestSlowServersGetFewerFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	f.startAll(24)
	f.load(splitPort, 900, 12*time.Second)
	f.run(4 * time.Second)
	var slow, fast []*simServer
	for _, b := range f.mirror.Snapshot().Backends("a") {
		s := f.servers[b.Cookie]
		switch {
		case b.DataCentre != "a":
			continue
		case len(slow) < 12:
			s.work *= 4
			slow = append(slow, s)
		default:
			fast = append(fast, s)
		}
	}
	f.run(3 * time.Second)
	mean := func(servers []*simServer) (flows float64) {
		for _, s := range servers {
			flows += float64(s.flows) / float64(len(servers))
			s.flows = 0
		}
		return flows
	}
	mean(slow)
	mean(fast)
	f.run(5 * time.Second)
	ofSlow, ofFast := mean(slow), mean(fast)
	t.Log(ofSlow, ofFast)
	f.outcomes(t, "with slow servers")
	is.True(2*ofSlow < ofFast)
	is.True(len(f.instances[0].speeds) > 0)
}

// TestLyingReport covers an instance that reports full servers which are idle, and the
// reverse: refusals are bounded by the floor and end with the report.
func TestLyingReport(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.load(splitPort, 600, 8*time.Second+recovery)
	f.run(2 * time.Second)
	f.lies = func(r *serverload.Report) {
		for i := range r.Samples {
			r.Samples[i].Busy = 1000 * r.Interval
		}
	}
	f.run(5 * time.Second)
	counts, _ := f.outcomes(t, "lie of full servers")
	is.True(counts["443 answered"]*20 > counts["443 refused"])
	f.lies = nil
	f.run(recovery)
	f.outcomes(t, "after the lie")
	f.run(time.Second)
	counts, _ = f.outcomes(t, "later")
	is.Equal(counts["443 refused"], 0)
	f.lies = func(r *serverload.Report) { r.Samples = nil }
	f.load(splitPort, 600, 3*time.Second)
	f.run(3 * time.Second)
	counts, _ = f.outcomes(t, "lie of idle servers")
	is.Equal(counts["443 refused"]+counts["443 shed"], 0)
}

// TestEvacuationAtTheHeightOfABurst covers a data centre that is evacuated while its service
// is full: its flows go to the other data centre, and no urgent one is refused.
func TestEvacuationAtTheHeightOfABurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.after(0, f.shareSums)
	f.load(splitPort, 2400, 9*time.Second)
	f.load(urgentPort, 100, 9*time.Second)
	f.run(4 * time.Second)
	f.outcomes(t, "burst")
	before := f.mirror.Snapshot().Revision
	f.mirror.Apply(catalogue.Delta{Since: before, Revision: before + 1, Records: []catalogue.Record{
		{ID: catalogue.ID{Kind: catalogue.KindEvacuation, Name: "a"}, Revision: before + 1},
	}}, f.now, 0)
	f.run(5 * time.Second)
	counts, placed := f.outcomes(t, "evacuated")
	is.Equal(counts["444 refused"], 0)
	is.Equal(placed["at a"], 0)
	is.True(placed["at b"] > 0)
}

// TestInstancesStartAgain covers a third of the instances that are killed and start again
// under load: nothing is refused, and the sums do not count their earlier reports twice.
func TestInstancesStartAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.load(splitPort, 800, 8*time.Second)
	f.run(3 * time.Second)
	for i := range 8 {
		f.start(i, 100*ms)
	}
	for range 10 {
		f.run(500 * time.Millisecond)
		room := f.instances[20].load.services["a"].room // by the sums alone
		t.Log(room)
		is.True(room.Known)
		is.True(room.Load < 1.2) // 720 a second of 1,200: 0.6
	}
	counts, _ := f.outcomes(t, "with restarts")
	is.Equal(counts["443 refused"], 0)
}
