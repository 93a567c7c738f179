package serverload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

func address(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

// members returns n servers of a service with 2 slots, which started at the given time.
func members(n int, started int64) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Server: uint32(i), Started: started, Service: "a", Slots: 2}
	}
	return out
}

// report returns a report over a second with flows and as many requests of 100 ms at a
// server.
func report(run, sequence uint64, server uint32, flows int) Report {
	busy := time.Duration(flows) * 100 * time.Millisecond
	return Report{Run: run, Sequence: sequence, Interval: time.Second, Samples: []Sample{
		{Server: server, Flows: flows, Requests: flows, Completed: flows, Busy: busy, Response: busy},
	}}
}

// filled returns a table of n servers for which n instances have reported 4 flows each.
func filled(t *testing.T, n int) *Table {
	table := NewTable()
	table.SetInstances(n)
	table.SetMembers(members(n, 0))
	for i := range n {
		is.New(t).NoErr(table.Apply(address(i), report(1, 1, uint32(i), 4), 0))
	}
	table.Advance(0)
	return table
}

// Failure: a sender frozen with its last report standing.
func TestFrozenSenderDisappears(t *testing.T) {
	is := is.New(t)
	table := filled(t, 2)
	is.Equal(table.Server(1, 0).Flows, 4.0)
	for now := 1000 * ms; now <= 5000*ms; now += 1000 * ms {
		is.NoErr(table.Apply(address(0), report(1, uint64(1+now/ms), 0, 4), now))
		table.Advance(now)
		is.Equal(table.Server(1, 0).Flows > 0, now < 3000*ms) // three intervals
		is.Equal(table.Fresh(now), now < 3000*ms)
	}
	is.Equal(table.Senders(), 1)
	is.True(Outdated.Has(table.Apply(address(1), report(1, 1, 1, 4), 5000*ms))) // a late copy does not revive it
}

// Failure: a restarted sender (no double counting).
func TestRestartedSenderCountsOnce(t *testing.T) {
	is := is.New(t)
	table := filled(t, 2)
	is.NoErr(table.Apply(address(1), report(2, 1, 1, 3), 100*ms))
	is.True(Outdated.Has(table.Apply(address(1), report(1, 2, 1, 9), 200*ms))) // a late report of the old run
	table.Advance(250 * ms)
	is.Equal(table.Server(1, 0).Flows, 3.0)
	is.Equal(table.Senders(), 2)
}

// Failure: lost, repeated and reordered reports.
func TestAnyOrderAndRepetitionGivesTheSameSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const senders, sequences, servers = 4, 3, 5
		want, got := NewTable(), NewTable()
		type message struct {
			sender int
			r      Report
		}
		var all []message
		for sender := range senders {
			for sequence := range sequences {
				r := report(1, uint64(sequence), rapid.Uint32Range(0, servers-1).Draw(t, "server"), rapid.IntRange(0, 9).Draw(t, "flows"))
				all = append(all, message{sender, r})
				if sequence == sequences-1 {
					is.NoErr(want.Apply(address(sender), r, 0))
				}
			}
		}
		all = append(all, rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "repeated")...)
		for _, m := range rapid.Permutation(all).Draw(t, "order") {
			if err := got.Apply(address(m.sender), m.r, 0); err != nil {
				is.True(Outdated.Has(err))
			}
		}
		for _, table := range []*Table{want, got} {
			table.SetMembers(members(servers, 0))
			table.SetInstances(5)
			table.Advance(ms)
		}
		for server := range uint32(servers) {
			a, b := want.Server(server, 0), got.Server(server, 0)
			is.Equal([]float64{a.Flows, a.InProgress, a.Rate}, []float64{b.Flows, b.InProgress, b.Rate})
		}
	})
}

// Failure: a table 5 s old counts as unknown, and its servers have no load.
func TestOldTableIsUnknown(t *testing.T) {
	is := is.New(t)
	table := filled(t, 3)
	is.True(table.Fresh(1000 * ms))
	is.True(!table.Fresh(5000 * ms)) // also if Advance has not run
	table.Advance(5000 * ms)
	is.Equal(table.Server(1, 0), Server{})
	is.Equal(table.Load(1, 0), 0.0)
	is.True(!table.Service("a", nil).Known)
	is.Equal(table.Senders(), 0)

	// Reports over 2 s, as of 100 instances, last 5 s; their age is stated.
	for i := range 3 {
		r := report(1, 2, 1, 4)
		r.Interval = 2 * time.Second
		is.NoErr(table.Apply(address(i), r, 5000*ms))
	}
	table.Advance(10_000 * ms)
	is.True(table.Fresh(10_000 * ms))
	is.Equal(table.Server(1, 0).Age, 5*time.Second)
	is.Equal(table.Service("a", nil).Age, 5*time.Second)
	is.True(!table.Fresh(10_001 * ms))
}

// Failures: a slow server that holds as many flows as others looks as free as they, or a
// server whose requests pile up looks free because it holds few flows.
func TestLoadTellsSlowAndStuckServers(t *testing.T) {
	is := is.New(t)
	table := filled(t, 20)
	slow, stuck := report(1, 2, 0, 4), report(1, 2, 1, 4)
	slow.Samples[0].Completed, slow.Samples[0].Response = 40, 40*400*time.Millisecond
	stuck.Samples[0].Completed, stuck.Samples[0].Response, stuck.Samples[0].Busy = 0, 0, 6*time.Second
	is.NoErr(table.Apply(address(0), slow, 0))
	is.NoErr(table.Apply(address(1), stuck, 0))
	table.Advance(0)
	is.True(table.Load(0, 0) > 2.5*table.Load(2, 0))
	is.True(table.FlowLoad(0, 0) > 2.5*table.FlowLoad(2, 0))
	is.True(math.Abs(table.Load(1, 0)-6.0/2/table.Server(1, 0).Speed) < 1e-9)
}

// Failure: 100 servers added at once. The others keep their sums and speeds.
func TestAddedServersStartEmpty(t *testing.T) {
	is := is.New(t)
	table := filled(t, 40)
	before := table.Server(7, 0)
	table.SetMembers(members(140, 0))
	is.Equal(table.Server(7, 0), before)
	table.Advance(ms)
	is.Equal(table.Server(7, 0).Flows, before.Flows)
	is.Equal(table.Server(139, 0).Speed, 1.0)
	is.Equal(table.Load(139, 0), 0.0)
	is.True(table.FlowLoad(139, 0) > 0)
	is.Equal(table.Service("a", nil).Slots, 280)
	is.Equal(table.Service("a", func(m Member) bool { return m.Server >= 40 }).Flows, 0.0)
}

// Failure: a server started again under its id does not inherit the load of its last
// start, and reports about that start no longer count.
func TestServerStartedAgainIsNew(t *testing.T) {
	is := is.New(t)
	table := filled(t, 3)
	next := members(3, 0)
	next[1].Started = 99
	table.SetMembers(next)
	is.NoErr(table.Apply(address(0), report(1, 2, 1, 5), 200*ms)) // about the last start
	table.Advance(250 * ms)
	is.Equal(table.Server(1, 0), Server{})
	is.Equal(table.Server(1, 99).Flows, 0.0)
	r := report(1, 3, 1, 5)
	r.Samples[0].Started = 99
	is.NoErr(table.Apply(address(0), r, 300*ms))
	table.Advance(500 * ms)
	is.Equal(table.Server(1, 99).Flows, 5.0)
}

// Failure: instances that are lost, but known for some time, must not make servers look
// fuller than they are. The sums do not count once less than half of the instances report.
func TestMissingSendersDoNotScaleTheSums(t *testing.T) {
	for instances, want := range map[int]float64{1: 4, 2: 4, 3: 4, 9: 4} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			is := is.New(t)
			table := filled(t, 2)
			table.SetInstances(instances)
			table.Advance(ms)
			got := table.Server(1, 0)
			is.Equal(got.Flows, want)
			is.Equal(got.Rate, want)
			is.True(math.Abs(got.InProgress-want/10) < 1e-9)
			is.Equal(table.Fresh(ms), instances <= 4) // at least half report
		})
	}
}

// Failure: reports of forged senders or servers do not grow the table without bound, and
// do not displace the members.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range MaxSenders + 1 {
		r := report(1, 1, 0, 4)
		for range 100 {
			r.Samples = append(r.Samples, Sample{Server: rng.Uint32(), Flows: 1})
		}
		is.Equal(Full.Has(table.Apply(address(i), r, 0)), i == MaxSenders)
	}
	table.Advance(0)
	is.Equal(len(table.servers), MaxServers)
	last := Member{Server: 1 << 31, Service: "a", Slots: 2}
	table.SetMembers([]Member{last})
	table.Advance(ms)
	is.Equal(table.Server(last.Server, 0).Speed, 1.0)
	is.True(len(table.servers) <= MaxServers)
	is.NoErr(table.Apply(address(MaxSenders), report(1, 1, 0, 4), 7000*ms)) // expired senders make room
}

// Load: the planned 472 servers in a data centre, more than fit into a report. Failure:
// the sums contain only the samples that fit, so that a full service looks empty.
func TestSumsIncludeWhatDoesNotFit(t *testing.T) {
	is := is.New(t)
	m, rate := members(472, 0), 26.0 // requests a second at each server
	f := newFleet(59, 1200*time.Millisecond, 1200*time.Millisecond, m)
	for _, s := range f.samplers {
		for i := range m {
			s.SetFlows(m[i].Server, 0, 1+f.rng.IntN(3))
		}
	}
	f.traffic(m, &rate, func(uint32) float64 { return 1 })
	f.run(4 * time.Second)
	got := f.table.Service("a", nil)
	t.Logf("flows %.0f, rate %.0f, in progress %.0f", got.Flows, got.Rate, got.InProgress)
	near := func(got, want float64) bool { return got > 0.75*want && got < 1.25*want }
	is.True(near(got.Flows, 2*59*472))
	is.True(near(got.Rate, rate*472))
	is.True(near(got.InProgress, rate*472*0.026))
}

// TestLostSenderLeavesSumsUsable guards against sums that count as unknown, since older than
// 5 s, because a single one of 100 instances is lost.
func TestLostSenderLeavesSumsUsable(t *testing.T) {
	is := is.New(t)
	table := filled(t, 100)
	for now := int64(0); now <= 12_000*ms; now += 250 * ms {
		for i := range 100 {
			if now%(2000*ms) == 0 && (i > 0 || now == 0) {
				r := report(2, uint64(1+now), uint32(i), 4)
				r.Interval = 2 * time.Second
				is.NoErr(table.Apply(address(i), r, now))
			}
		}
		table.Advance(now)
		is.True(table.Fresh(now))
		is.True(table.Service("a", nil).Age <= 5*time.Second)
	}
}
