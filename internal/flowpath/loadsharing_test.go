package flowpath

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/serverload"
)

// TestRushWithoutSums covers all instances that start within 0.3 s under 1,500 requests a
// second, of which service a can answer 1,200: before any instance has sums, nothing is
// refused, and service b takes more than its weight.
func TestRushWithoutSums(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.load(splitPort, 1500, 3*time.Second)
	f.run(700 * time.Millisecond)
	counts, placed := f.outcomes(t, "0.7 s")
	for _, h := range f.instances {
		is.True(!h.load.fresh)
	}
	is.Equal(counts["443 refused"], 0)
	is.True(placed["b"] > 0)
	f.run(3 * time.Second)
	f.outcomes(t, "after")
}

// TestFloodLeavesUrgentFlowsAlone covers a flood at six times the usual rate beside an
// unchanged urgent kind of request: urgent flows are all admitted, and the flood is refused
// before servers get it.
func TestFloodLeavesUrgentFlowsAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(24)
	f.startAll(24)
	f.load(splitPort, 600, 4*time.Second)
	f.load(urgentPort, 200, 16*time.Second)
	f.run(4 * time.Second)
	counts, _ := f.outcomes(t, "usual")
	is.Equal(counts["443 refused"]+counts["444 refused"], 0)
	f.load(splitPort, 12000, 8*time.Second)
	for range 8 {
		f.run(time.Second)
		counts, _ = f.outcomes(t, "flood")
		is.Equal(counts["444 refused"], 0)
	}
	f.run(4 * time.Second)
	f.outcomes(t, "after")
}

// TestNoHerd covers 24 instances that learn the same sums at once: they do not all send their
// next flows to the same server.
func TestNoHerd(t *testing.T) {
	is := is.New(t)
	f := newFleet(40)
	f.startAll(24)
	f.load(splitPort, 900, 10*time.Second)
	f.run(2 * time.Second)
	f.outcomes(t, "start")
	for _, s := range f.servers {
		s.flows = 0
	}
	f.run(8 * time.Second)
	f.outcomes(t, "shared")
	busiest, total, n := 0, 0, 0
	for _, b := range f.mirror.Snapshot().Backends("a") {
		if s := f.servers[b.Cookie]; b.DataCentre == "a" {
			busiest, total, n = max(busiest, s.flows), total+s.flows, n+1
		}
	}
	t.Log(busiest, total/n)
	is.True(2*busiest*n <= 3*total) // 1.5 times the mean
}

var _ = netip.Addr{}
var _ catalogue.Record
var _ serverload.Report
