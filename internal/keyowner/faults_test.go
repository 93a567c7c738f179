package keyowner_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/request"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one thing that goes wrong.
type fault struct {
	kind string
	node int
	at   time.Duration
	last time.Duration
	mask int
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind: rapid.SampledFrom([]string{"crash", "pause", "partition", "leave", "suspect", "loss", "delay", "double", "server", "drain", "replace"}).Draw(t, "kind"),
		node: rapid.IntRange(0, 6).Draw(t, "node"),
		at:   time.Duration(rapid.IntRange(4000, 14000).Draw(t, "at")) * time.Millisecond,
		last: time.Duration(rapid.IntRange(50, 4000).Draw(t, "last")) * time.Millisecond,
		mask: rapid.IntRange(1, 126).Draw(t, "mask"),
	}
}

func (f fault) plan(m *model) {
	n := m.nodes[f.node]
	begin, end := func() {}, func() {}
	switch f.kind {
	case "crash":
		begin = func() { n.up = false; m.news() }
		end = func() {
			if !n.up {
				n.boot()
				n.look()
				m.news()
			}
		}
	case "replace":
		begin = func() { n.up = false; m.news() }
		end = func() {
			if !n.up {
				n.id += "x"
				n.boot()
				n.look()
				m.news()
			}
		}
	case "pause":
		begin = func() { n.paused = m.now + int64(f.last) }
	case "partition":
		begin = func() { m.split(f.mask) }
		end = func() { m.split(0) }
	case "leave":
		begin = func() { n.leave() }
		end = func() {
			if n.leaving && n.up && n.owner.Pending() == 0 && n.adm.Totals(n.now()).Running == 0 {
				n.up = false
				n.boot()
				n.look()
				m.news()
			}
		}
	case "suspect":
		// The view is wrong until the next news.
		begin = func() { cut := n.cut; n.cut = 99; m.news(); m.after(10*time.Millisecond, func() { n.cut = cut }) }
		end = m.news
	case "server":
		b := m.servers[f.node%len(m.servers)]
		begin, end = func() { b.crash(m) }, func() { b.down = false }
	case "drain":
		b := m.servers[f.node%len(m.servers)]
		begin = func() { b.row.State = config.Draining; m.news() }
		end = func() { b.row.State, b.row.ColdSince = config.Active, m.now; m.news() }
	case "loss":
		begin, end = func() { m.loss = 0.2 }, func() { m.loss = 0 }
	case "delay":
		begin, end = func() { m.slow = 0.3 }, func() { m.slow = 0 }
	case "double":
		begin, end = func() { m.double = 0.5 }, func() { m.double = 0 }
	}
	m.after(f.at, begin)
	m.after(f.at+f.last, end)
}

func (m *model) split(mask int) {
	for i, n := range m.nodes {
		n.cut = mask >> i & 1
	}
	m.news()
}

func (n *node) leave() {
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	n.claims.SetLeaving(n.now())
	n.adm.SetLeaving(n.now())
	n.m.news()
	inc := n.inc
	n.m.after(2*time.Second, func() { n.on(inc, n.owner.SetStopping) })
}

var total struct{ requests, answered, refused, unknown, none int }

func TestFaultsBreakNoPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), []int{4, 3}, 3, 3)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(t, "faults") {
			f.plan(m)
		}
		took := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "took")
		for _, b := range m.servers {
			b.took = took
		}
		gap := time.Duration(rapid.IntRange(1, 30).Draw(t, "gap")) * time.Millisecond
		m.after(4*time.Second, func() { m.arrivals(gap, epoch+int64(16*time.Second)) })
		m.runUntil(epoch + int64(22*time.Second))
		if bad := m.check(); len(bad) > 0 {
			t.Fatalf("broken: %v", bad)
		}
		sum := m.tally()
		total.requests += len(m.requests)
		total.answered += sum[request.Answered]
		total.refused += sum[request.Refused]
		total.unknown += sum[request.Unknown]
		total.none += sum["none"]
	})
	is := is.New(t)
	t.Logf("%+v", total)
	is.True(total.requests >= 10_000)
	is.True(total.answered >= 50_000)
	is.True(total.refused >= 50_000)
}

// arrivals sends requests at random gaps until a time.
func (m *model) arrivals(gap time.Duration, until int64) {
	if m.now >= until {
		return
	}
	timeout := time.Duration(100+m.rng.IntN(1400)) * time.Millisecond
	m.call(timeout, m.rng.IntN(2) == 0, time.Duration(20+m.rng.IntN(300))*time.Millisecond)
	m.after(time.Duration(m.rng.Int64N(int64(2*gap))), func() { m.arrivals(gap, until) })
}
