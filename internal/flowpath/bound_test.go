package flowpath

import (
	"testing"

	"github.com/matryer/is"
)

// maxGrowth bounds how much a decision on a settled packet may slow down from 33
// backend servers to the 3,300 of the later size: it must not depend on them.
const maxGrowth = 3

func settled(servers int) func(b *testing.B) {
	return func(b *testing.B) {
		w := newWorld(servers, nil)
		c := w.open(1, 0).Backend.Cookie
		p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100}
		k := Knowledge{Snapshot: w.mirror.Snapshot(), Known: w.known, Since: w.since}
		for b.Loop() {
			w.Decide(&p, k, w.now)
		}
	}
}

func TestBoundSettledIsFlat(t *testing.T) {
	is := is.New(t)
	few, many := testing.Benchmark(settled(33)), testing.Benchmark(settled(3300))
	t.Logf("%d ns with 33 servers, %d ns with 3,300", few.NsPerOp(), many.NsPerOp())
	is.True(many.NsPerOp() <= maxGrowth*max(few.NsPerOp(), 1))
}
