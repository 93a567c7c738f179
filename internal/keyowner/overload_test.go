package keyowner_test

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"balsamfork/internal/request"
)

// loadResult holds the measurements of a run with a steady load. Goodput is relative to
// the capacity, attempts and messages are per request, p99 is the latency of answers.
type loadResult struct {
	goodput, attempts float64
	sum               map[request.Status]int
	slotsExceeded     int
	p99               time.Duration
	messages          float64
}

// offerLoad sends requests for ten seconds, at a rate of loadFactor times the capacity
// of the backend servers.
func offerLoad(m *model, loadFactor float64, timeout time.Duration) loadResult {
	const duration = 10 * time.Second
	capacity := 0.0
	for _, b := range m.servers {
		capacity += float64(b.row.Slots) / b.runTime.Seconds()
	}
	start := epoch + int64(5*time.Second)
	m.runUntil(start)
	doneBefore, messages := m.completedRuns(), m.messages
	gap := time.Duration(float64(time.Second) / (capacity * loadFactor))
	var next func()
	next = func() {
		if m.now >= start+int64(duration) {
			return
		}
		m.call(timeout, m.rng.IntN(2) == 0, 10*time.Second)
		m.after(time.Duration(m.rng.ExpFloat64()*float64(gap)), next)
	}
	next()
	m.runUntil(start + int64(duration))
	good := float64(m.completedRuns()-doneBefore) / (capacity * duration.Seconds())
	m.runUntil(start + int64(duration+2*time.Second))
	c := m.ownerCounts()
	l := loadResult{
		goodput: good, attempts: float64(c.Attempts) / float64(max(c.Requests, 1)), sum: m.countByStatus(),
		messages: float64(m.messages-messages) / float64(len(m.requests)),
	}
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, o := range m.requests {
		if o.hasResult && o.result.Status == request.Answered {
			_ = h.RecordValue((o.resultAt - o.sentAt) / 1000)
		}
	}
	l.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	for _, b := range m.servers {
		l.slotsExceeded += b.slotsExceeded
	}
	return l
}

func (m *model) completedRuns() int {
	n := 0
	for _, b := range m.servers {
		n += b.completedRuns
	}
	return n
}

// TestBoundOverload checks goodput, attempts per request and latency below and above
// the capacity.
func TestBoundOverload(t *testing.T) {
	for _, loadFactor := range []float64{0.5, 0.9, 2, 10} {
		is := is.New(t)
		m := newModel(uint64(loadFactor*10), []int{3, 3}, 3, 4)
		const timeout = 500 * time.Millisecond
		l := offerLoad(m, loadFactor, timeout)
		t.Logf("load %.1f: goodput %.3f of capacity, %.3f attempts and %.1f messages per request, p99 %v, %v", loadFactor, l.goodput, l.attempts, l.messages, l.p99, l.sum)
		is.Equal(m.violations(), map[string]int{})
		is.True(l.attempts <= 1.1)
		is.True(l.p99 <= timeout)
		if loadFactor > 1 {
			is.True(l.goodput >= 0.9)
			continue
		}
		is.True(l.goodput >= loadFactor*0.97)
		is.True(l.sum[request.Refused] <= len(m.requests)/100)
	}
}

// TestBoundRamp checks that the slot time used on a cold backend server stays below
// its ramp, and reaches at least a quarter of it.
func TestBoundRamp(t *testing.T) {
	is := is.New(t)
	m := newModel(3, []int{3}, 4, 4)
	start := epoch + int64(5*time.Second)
	m.runUntil(start)
	b := m.servers[0]
	m.after(3*time.Second, func() {
		b.row.ColdSince = m.now
		for _, n := range m.nodes {
			n.updateTables()
		}
	})
	m.after(0, func() { m.arrivals(2*time.Millisecond, start+int64(8*time.Second)) })
	m.runUntil(start + int64(3*time.Second))
	b.accrueUse(m.now)
	used, allowed := b.used, 0.0
	for step := range 40 {
		at := m.now
		m.runUntil(at + 100*ms)
		b.accrueUse(m.now)
		share := 0.1 + 0.9*float64(step+1)/40
		allowed += share * float64(b.row.Slots) * float64(100*ms)
		// One run per slot may start at the end of the step and overrun it.
		is.True(b.used-used <= allowed+float64(b.row.Slots)*float64(30*ms))
	}
	is.True(b.used-used >= allowed/4)
	is.Equal(m.violations(), map[string]int{})
}

// TestBoundTurnsCold makes a backend server answer ten times as slowly for four
// seconds, with no report by its health endpoint. Its load must fall while it is cold
// and climb again afterwards without oscillation.
func TestBoundTurnsCold(t *testing.T) {
	is := is.New(t)
	m := newModel(4, []int{3}, 4, 4)
	start := epoch + int64(5*time.Second)
	m.runUntil(start)
	b := m.servers[0]
	turned := start + int64(4*time.Second)
	warm := turned + int64(4*time.Second)
	b.slowdown = func(now int64) float64 {
		if now >= turned && now < warm {
			return 10
		}
		return 1
	}
	m.after(0, func() { m.arrivals(3*time.Millisecond, start+int64(26*time.Second)) })
	runSecond := func() int {
		from := b.starts
		m.runUntil(m.now + int64(time.Second))
		return b.starts - from
	}
	m.runUntil(turned - int64(time.Second))
	before := runSecond()
	during := []int{runSecond(), runSecond(), runSecond(), runSecond()}
	var after []int
	for range 18 {
		after = append(after, runSecond())
	}
	t.Logf("requests started: %d in the second before it turned cold, then %v, after it turned warm %v", before, during, after)
	for _, n := range during[1:] {
		is.True(n <= before/5)
	}
	drops := 0
	for i := 1; i < len(after); i++ {
		if after[i] < after[i-1]*6/10 {
			drops++
		}
	}
	is.Equal(drops, 0)
	is.True(after[len(after)-1] >= before*7/10)
	is.Equal(m.violations(), map[string]int{})
}
