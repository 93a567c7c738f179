package flowpath

import (
	"testing"
	"time"

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

// benchmarkSharedOpenFlow measures a request and its response on an open flow while load
// sharing is on. The clock stands still, so that the periodic refresh does not count.
func benchmarkSharedOpenFlow(servers int) func(b *testing.B) {
	return func(b *testing.B) { b.ReportAllocs(); runSharedOpenFlow(newSplitHarness(servers), b.Loop) }
}

// runSharedOpenFlow lets a caller send requests while next returns true.
func runSharedOpenFlow(h *harness, next func() bool) {
	c := h.open(1, 0).Backend.Cookie
	p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100, Arrived: h.now}
	state := CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.known, Since: h.since}
	for next() {
		p.Acknowledged++
		p.Sequence += 100
		h.Decide(&p, state, h.now)
	}
}

// TestBoundOpenFlowWithSharing guards against a cost of sampling that depends on the number
// of servers, and against allocations.
func TestBoundOpenFlowWithSharing(t *testing.T) {
	is := is.New(t)
	few, many := testing.Benchmark(benchmarkSharedOpenFlow(25)), testing.Benchmark(benchmarkSharedOpenFlow(2475))
	t.Logf("%d ns with 58 servers, %d ns with 5,775", few.NsPerOp(), many.NsPerOp())
	is.True(many.NsPerOp() <= maxSlowdown*max(few.NsPerOp(), 1))
	is.Equal(many.AllocsPerOp(), int64(0))
}

// BenchmarkRefreshLoad measures the recomputation of loads and rooms, which takes place four
// times a second, with the servers of one data centre at the planned size and two senders.
func BenchmarkRefreshLoad(b *testing.B) {
	h := newSplitHarness(360)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		h.share(0.5, 500*time.Millisecond)
		h.now += 251 * ms
		h.reports = nil
		b.StartTimer()
		h.RefreshLoad(h.mirror.Snapshot(), h.now)
	}
}

func TestBoundOpenFlowIsIndependentOfServers(t *testing.T) {
	is := is.New(t)
	few, many := testing.Benchmark(benchmarkOpenFlow(33)), testing.Benchmark(benchmarkOpenFlow(3300))
	t.Logf("%d ns with 33 servers, %d ns with 3,300", few.NsPerOp(), many.NsPerOp())
	is.True(many.NsPerOp() <= maxSlowdown*max(few.NsPerOp(), 1))
}
