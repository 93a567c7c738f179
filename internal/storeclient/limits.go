package storeclient

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The calls that a whole fleet may make, in calls a second: half of the reads and less
// than half of the writes that the platform's smaller stores take (2,000 and 400).
const (
	fleetReads  = 1000
	fleetWrites = 150
)

// maxBurst bounds the calls that an instance of a small fleet makes at once.
const maxBurst = 100

// spreadFactor is by how much the first writes of a large fleet stay under its
// rate, since a random spread is not an even one.
const spreadFactor = 3

// limits bounds the calls of one client.
type limits struct {
	reads  *rate.Limiter
	writes *rate.Limiter
	// spread is the time, in nanoseconds, over which the first writes of all
	// instances are spread when there are more instances than writes a second.
	spread atomic.Int64
}

func newLimits(fleet int) *limits {
	l := &limits{reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
	l.setReaders(fleet)
	l.setWriters(fleet)
	return l
}

func (l *limits) setReaders(n int) {
	share(l.reads, fleetReads, n)
}

func (l *limits) setWriters(n int) {
	share(l.writes, fleetWrites, n)
	spread := time.Duration(0)
	if n > fleetWrites {
		spread = spreadFactor * time.Second * time.Duration(n) / fleetWrites
	}
	l.spread.Store(int64(spread))
}

// share gives one of n instances its share of the calls of the fleet. Half of it
// is the rate and half the burst, so that no second sees more than the share.
func share(l *rate.Limiter, total float64, n int) {
	half := total / float64(max(n, 1)) / 2
	l.SetLimit(rate.Limit(half))
	l.SetBurst(min(max(int(half), 1), maxBurst))
}
