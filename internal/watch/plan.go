package watch

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Period is how often a regular reader reads: six readings within the shortest
	// bound of the pages for a change to be in force (3 s).
	Period = 500 * time.Millisecond
	// shortestWait and longestWait bound the patience of all others: one lost digest
	// wakes none of them, and one takes over in time for that bound.
	shortestWait = 1200 * time.Millisecond
	longestWait  = 2200 * time.Millisecond
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
	failed   int64
	pause    time.Duration
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
	patience := p.patience
	if known == p.lastRead && !alone {
		// Nobody else has read since: this instance is the regular reader.
		patience = Period
	}
	return max(known+int64(patience), p.failed+int64(p.pause))
}

// Succeeded notes a reading that began at a time.
func (p *Plan) Succeeded(began int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRead, p.failed, p.pause = began, 0, 0
}

// Paused reports whether a reading failed so recently that none is to be made.
func (p *Plan) Paused(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pause > 0 && now < p.failed+int64(p.pause)
}

// Failed notes a reading that failed.
func (p *Plan) Failed(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = now
	p.pause = min(max(2*p.pause, firstPause), lastPause)
}
