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

// memberCosts are what membership costs one instance of a fleet.
type memberCosts struct {
	idle     float64 // bytes a second sent
	messages float64 // a second sent
	core     float64 // share of a core
	memory   float64 // bytes of the table

	version, crash, restart, announcement float64 // bytes sent for each

	versionTime, crashTime, announcementTime time.Duration
	healTime                                 time.Duration
	heal                                     float64
}

type memberRun struct {
	*membertest.Network
	t *testing.T
}

func (r memberRun) sent() float64 {
	total := 0
	for _, n := range r.Nodes {
		total += n.Sent
	}
	return float64(total) / float64(len(r.Nodes))
}

// event does something, waits until it is done, and returns how long that took
// and what each instance sent beyond the idle rate.
func (r memberRun) event(idle float64, limit time.Duration, do func(), done func() bool) (time.Duration, float64) {
	r.t.Helper()
	const after = 2 * time.Second
	r.ResetCounts()
	do()
	took, ok := r.Until(limit, done)
	is.New(r.t).True(ok)
	r.Run(after)
	return took, max(0, r.sent()-idle*(took+after).Seconds())
}

// measureMembers measures one fleet; heal says whether to cut it in two as well.
func measureMembers(t *testing.T, count, dataCentres int, heal bool) memberCosts {
	t.Helper()
	is := is.New(t)
	const period = 10 * time.Second
	before := heap()
	r := memberRun{membertest.New(count, dataCentres, 1), t}
	is.True(r.StartAll())
	r.Run(5 * time.Second)
	var c memberCosts
	c.memory = (heap() - before) / float64(count)

	r.ResetCounts()
	begun := time.Now()
	r.Run(period)
	c.core = time.Since(begun).Seconds() / float64(count) / period.Seconds()
	c.idle = r.sent() / period.Seconds()
	for _, n := range r.Nodes {
		c.messages += float64(n.Messages) / float64(count) / period.Seconds()
	}

	c.versionTime, c.version = r.event(c.idle, 10*time.Second, func() {
		for _, n := range r.Nodes {
			n.Table.SetApplied(r.Now(), 2)
		}
	}, func() bool { return r.Confirmed(2) })
	c.announcementTime, c.announcement = r.event(c.idle, 10*time.Second, func() {
		r.Nodes[1].Table.Announce(r.Now(), flow.Announcement{Server: 9, Condition: flow.Down, Sequence: uint64(r.Now()), Since: r.Now()})
	}, func() bool { return r.Announced(1) })
	victim := r.Nodes[2]
	c.crashTime, c.crash = r.event(c.idle, 10*time.Second, func() { victim.Down = true }, func() bool {
		return r.AllTake(victim.ID, fleet.Dead)
	})
	_, c.restart = r.event(c.idle, 10*time.Second, func() { r.Start(2) }, r.Agreed)
	if heal {
		r.measureHeal(&c, dataCentres)
	}
	return c
}

// measureHeal cuts the fleet in two regions for half a minute.
func (r memberRun) measureHeal(c *memberCosts, dataCentres int) {
	border := fleet.ID("dc-" + string(rune('a'+dataCentres/2)))
	r.Lose = func(a, b fleet.ID) bool { return (a < border) != (b < border) }
	r.Run(30 * time.Second)
	c.healTime, c.heal = r.event(c.idle, time.Minute, func() { r.Lose = nil }, r.Agreed)
}

// heap returns the live bytes of the heap.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
