package watch

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Period is how often a regular reader reads: six readings within the
	// platform's shortest bound for a change to be in force (3 s).
	Period = 500 * time.Millisecond
	// shortestWait and longestWait bound the patience of all others: one lost digest
	// wakes none of them, and one takes over in time for that bound.
	shortestWait = 1200 * time.Millisecond
	longestWait  = 2200 * time.Millisecond
	// onDemandEvery is the shortest time between readings that packets ask for: a
	// packet that still can't be decided comes again after 200 ms.
	onDemandEvery = 250 * time.Millisecond
	// firstPause and lastPause bound the wait after a reading that failed: an
	// instance that the store turns away lives on what its peers tell.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
)

// Plan decides when this instance reads the store. Times are nanoseconds of the
// steady clock. Its methods may be called from several goroutines.
type Plan struct {
	mu       sync.Mutex
	patience time.Duration
	lastRead int64
	// regular is the last reading as the regular reader, 0 if this instance is not
	// it. It becomes the regular reader when its patience has ended, not by its
	// start or by what packets ask for.
	regular int64
	failed  int64
	pause   time.Duration
}

// NewPlan returns the plan of an instance that has read nothing yet.
func NewPlan(random *rand.Rand) *Plan {
	return &Plan{patience: shortestWait + time.Duration(random.Int64N(int64(longestWait-shortestWait)))}
}

// Due returns when to read, if the catalogue was last known to be complete at
// known, 0 for never. An instance that is alone reads for itself only and less often.
func (p *Plan) Due(known int64, alone bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known == 0 {
		return p.failed + int64(p.pause)
	}
	if p.regular != 0 && !alone {
		return p.regular + int64(Period)
	}
	return max(known+int64(p.patience), p.failed+int64(p.pause))
}

// Regular reports whether this instance is the regular reader.
func (p *Plan) Regular() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regular != 0
}

// Yield leaves regular reading to another instance.
func (p *Plan) Yield() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regular = 0
}

// MayRead reports whether a packet may ask for a reading at a time.
func (p *Plan) MayRead(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pause > 0 && now < p.failed+int64(p.pause) {
		return false
	}
	return p.lastRead == 0 || now >= p.lastRead+int64(onDemandEvery)
}

// Succeeded notes a reading that began at a time, and whether the plan called for it.
func (p *Plan) Succeeded(began int64, planned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if planned && p.lastRead != 0 {
		p.regular = began
	}
	p.lastRead, p.failed, p.pause = began, 0, 0
}

// Failed notes a reading that failed.
func (p *Plan) Failed(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed, p.regular = now, 0
	p.pause = min(max(2*p.pause, firstPause), lastPause)
}
