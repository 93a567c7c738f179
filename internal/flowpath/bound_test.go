package flowpath

import (
	"testing"

	"github.com/matryer/is"
)

// maxSlowdown bounds how much slower a decision on a packet of an open flow may be
// with 3,300 backend servers, the planned number, than with 33: its cost
// must not depend on the number of servers.
const maxSlowdown = 3

func benchmarkOpenFlow(servers int) func(b *testing.B) {
	return func(b *testing.B) {
		h := newHarness(servers, nil)
		c := h.open(1, 0).Backend.Cookie
		p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100}
		state := CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.known, Since: h.since}
		for b.Loop() {
			h.Decide(&p, state, h.now)
		}
	}
}

func TestBoundOpenFlowIsIndependentOfServers(t *testing.T) {
	is := is.New(t)
	few, many := testing.Benchmark(benchmarkOpenFlow(33)), testing.Benchmark(benchmarkOpenFlow(3300))
	t.Logf("%d ns with 33 servers, %d ns with 3,300", few.NsPerOp(), many.NsPerOp())
	is.True(many.NsPerOp() <= maxSlowdown*max(few.NsPerOp(), 1))
}
