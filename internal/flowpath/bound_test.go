package flowpath

import (
	"testing"

	"github.com/matryer/is"
)

// maxSlowdown bounds how much slower a decision on a packet of an open flow may be
// with 3,300 backend servers, the number planned for later, than with 33: its cost
// must not depend on the number of servers.
const maxSlowdown = 3

func benchmarkOpenFlow(servers int) func(b *testing.B) {
	return func(b *testing.B) {
		w := newWorld(servers, nil)
		c := w.open(1, 0).Backend.Cookie
		p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100}
		k := CatalogueState{Snapshot: w.mirror.Snapshot(), Known: w.known, Since: w.since}
		for b.Loop() {
			w.Decide(&p, k, w.now)
		}
	}
}

func TestBoundOpenFlowIsIndependentOfServers(t *testing.T) {
	is := is.New(t)
	few, many := testing.Benchmark(benchmarkOpenFlow(33)), testing.Benchmark(benchmarkOpenFlow(3300))
	t.Logf("%d ns with 33 servers, %d ns with 3,300", few.NsPerOp(), many.NsPerOp())
	is.True(many.NsPerOp() <= maxSlowdown*max(few.NsPerOp(), 1))
}
