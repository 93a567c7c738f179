package capacity_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/member/membertest"
)

// memberCosts are the costs of membership for one instance of a fleet.
type memberCosts struct {
	idle     float64 // bytes sent per second
	messages float64 // messages sent per second
	core     float64 // share of a core
	memory   float64 // bytes of the membership table

	version, crash, restart, announcement float64 // bytes sent per event

	versionTime, crashTime, announcementTime time.Duration
	healTime                                 time.Duration
	heal                                     float64 // bytes sent during the recovery
}

// memberRun measures a simulated fleet.
type memberRun struct {
	*membertest.Network
	t *testing.T
}

// sent returns the mean number of bytes that an instance has sent.
func (r memberRun) sent() float64 {
	total := 0
	for _, n := range r.Nodes {
		total += n.Sent
	}
	return float64(total) / float64(len(r.Nodes))
}

// measureEvent triggers an event and waits until its effect is complete. It returns the
// time until then, and the mean number of bytes that each instance sent in excess of the
// idle rate.
func (r memberRun) measureEvent(idle float64, limit time.Duration, trigger func(), done func() bool) (time.Duration, float64) {
	r.t.Helper()
	const settleTime = 2 * time.Second
	r.ResetCounts()
	trigger()
	took, ok := r.Until(limit, done)
	is.New(r.t).True(ok)
	r.Run(settleTime)
	return took, max(0, r.sent()-idle*(took+settleTime).Seconds())
}

// measureMembership measures one fleet; heal says whether to measure the recovery from a
// network partition as well.
func measureMembership(t *testing.T, count, dataCentres int, heal bool) memberCosts {
	t.Helper()
	is := is.New(t)
	const period = 10 * time.Second
	before := liveHeap()
	r := memberRun{membertest.New(count, dataCentres, 1), t}
	is.True(r.StartAll())
	r.Run(5 * time.Second)
	var c memberCosts
	c.memory = (liveHeap() - before) / float64(count)

	r.ResetCounts()
	start := time.Now()
	r.Run(period)
	c.core = time.Since(start).Seconds() / float64(count) / period.Seconds()
	c.idle = r.sent() / period.Seconds()
	for _, n := range r.Nodes {
		c.messages += float64(n.Messages) / float64(count) / period.Seconds()
	}

	c.versionTime, c.version = r.measureEvent(c.idle, 10*time.Second, func() {
		for _, n := range r.Nodes {
			n.Table.SetApplied(r.Now(), 2)
		}
	}, func() bool { return r.Confirmed(2) })
	c.announcementTime, c.announcement = r.measureEvent(c.idle, 10*time.Second, func() {
		r.Nodes[1].Table.Announce(r.Now(), flow.Announcement{Server: 9, Condition: flow.Down, Sequence: uint64(r.Now()), Since: r.Now()})
	}, func() bool { return r.AllKnowAnnouncements(1) })
	crashed := r.Nodes[2]
	c.crashTime, c.crash = r.measureEvent(c.idle, 10*time.Second, func() { crashed.Down = true }, func() bool {
		return r.AllSee(crashed.ID, fleet.Dead)
	})
	_, c.restart = r.measureEvent(c.idle, 10*time.Second, func() { r.Start(2) }, r.Agreed)
	if heal {
		r.measureHeal(&c, dataCentres)
	}
	return c
}

// measureHeal partitions the fleet into two halves for 30 s and measures the recovery.
func (r memberRun) measureHeal(c *memberCosts, dataCentres int) {
	border := fleet.ID("dc-" + string(rune('a'+dataCentres/2)))
	r.DropMessage = func(a, b fleet.ID) bool { return (a < border) != (b < border) }
	r.Run(30 * time.Second)
	c.healTime, c.heal = r.measureEvent(c.idle, time.Minute, func() { r.DropMessage = nil }, r.Agreed)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
