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

// fault is one injected fault: when it begins, how long it lasts and which instances
// it affects.
type fault struct {
	kind     string
	node     int
	at       time.Duration
	duration time.Duration
	mask     int
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:     rapid.SampledFrom([]string{"crash", "pause", "partition", "leave", "suspect", "loss", "delay", "double", "server", "drain", "replace"}).Draw(t, "kind"),
		node:     rapid.IntRange(0, 6).Draw(t, "node"),
		at:       time.Duration(rapid.IntRange(4000, 14000).Draw(t, "at")) * time.Millisecond,
		duration: time.Duration(rapid.IntRange(50, 4000).Draw(t, "last")) * time.Millisecond,
		mask:     rapid.IntRange(1, 126).Draw(t, "mask"),
	}
}

// schedule schedules the start and the end of the fault.
func (f fault) schedule(m *model) {
	n := m.nodes[f.node]
	begin, end := func() {}, func() {}
	switch f.kind {
	case "crash":
		begin = func() { n.up = false; m.announce() }
		end = func() {
			if !n.up {
				n.boot()
				n.refreshView()
				m.announce()
			}
		}
	case "replace":
		begin = func() { n.up = false; m.announce() }
		end = func() {
			if !n.up {
				n.id += "x"
				n.boot()
				n.refreshView()
				m.announce()
			}
		}
	case "pause":
		begin = func() { n.pausedUntil = m.now + int64(f.duration) }
	case "partition":
		begin = func() { m.partition(f.mask) }
		end = func() { m.partition(0) }
	case "leave":
		begin = func() { n.leave() }
		end = func() {
			if n.leaving && n.up && n.owner.Pending() == 0 && n.admitter.Totals(n.now()).Running == 0 {
				n.up = false
				n.boot()
				n.refreshView()
				m.announce()
			}
		}
	case "suspect":
		begin = func() { n.suspected = true; m.announce() }
		end = func() { n.suspected = false; m.announce() }
	case "server":
		b := m.servers[f.node%len(m.servers)]
		begin, end = func() { b.crash(m) }, func() { b.down = false }
	case "drain":
		b := m.servers[f.node%len(m.servers)]
		begin = func() { b.row.State = config.Draining; m.announce() }
		end = func() { b.row.State, b.row.ColdSince = config.Active, m.now; m.announce() }
	case "loss":
		begin, end = func() { m.lossRate = 0.2 }, func() { m.lossRate = 0 }
	case "delay":
		begin, end = func() { m.slowRate = 0.3 }, func() { m.slowRate = 0 }
	case "double":
		begin, end = func() { m.duplicateRate = 0.5 }, func() { m.duplicateRate = 0 }
	}
	m.after(f.at, begin)
	m.after(f.at+f.duration, end)
}

// partition splits the instances by the bits of the mask; zero heals the partition.
func (m *model) partition(mask int) {
	for i, n := range m.nodes {
		n.cut = mask >> i & 1
	}
	m.announce()
}

// leaveNotice is the time between the announcement of a departure and the departure.
const leaveNotice = 500 * time.Millisecond

// leave starts the orderly shutdown of an instance.
func (n *node) leave() {
	if !n.up || n.leaving {
		return
	}
	n.leaving = true
	n.leavesAt = uint64((n.now() + int64(leaveNotice)) / ms)
	n.claims.SetLeaving(int64(n.leavesAt) * ms)
	n.admitter.SetLeaving(n.now())
	n.m.announce()
	incarnation := n.incarnation
	n.m.after(2*time.Second, func() { n.runOn(incarnation, n.owner.SetStopping) })
}

var totals struct{ requests, answered, refused, unknown, none int }

// TestFaultsKeepGuarantees injects random faults and checks that no guarantee is
// broken: non-repeatable requests run at most once, refused requests do not run,
// answers go to their own request and slots are not exceeded.
func TestFaultsKeepGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), []int{4, 3}, 3, 3)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 8).Draw(t, "faults") {
			f.schedule(m)
		}
		runTime := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "took")
		for _, b := range m.servers {
			b.runTime = runTime
		}
		gap := time.Duration(rapid.IntRange(1, 30).Draw(t, "gap")) * time.Millisecond
		m.after(4*time.Second, func() { m.arrivals(gap, epoch+int64(16*time.Second)) })
		m.runUntil(epoch + int64(22*time.Second))
		if bad := m.violations(); len(bad) > 0 {
			t.Fatalf("guarantees broken: %v", bad)
		}
		sum := m.countByStatus()
		totals.requests += len(m.requests)
		totals.answered += sum[request.Answered]
		totals.refused += sum[request.Refused]
		totals.unknown += sum[request.Unknown]
		totals.none += sum["none"]
	})
	is := is.New(t)
	t.Logf("%+v", totals)
	is.True(totals.requests >= 10_000)
	is.True(totals.answered >= 50_000)
	is.True(totals.refused >= 50_000)
}

// arrivals sends requests until the given time, at random intervals with a mean of
// gap.
func (m *model) arrivals(gap time.Duration, until int64) {
	if m.now >= until {
		return
	}
	timeout := time.Duration(100+m.rng.IntN(1400)) * time.Millisecond
	m.call(timeout, m.rng.IntN(2) == 0, time.Duration(20+m.rng.IntN(300))*time.Millisecond)
	m.after(time.Duration(m.rng.Int64N(int64(2*gap))), func() { m.arrivals(gap, until) })
}
