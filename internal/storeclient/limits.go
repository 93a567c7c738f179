package storeclient

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The rates of a whole fleet, in calls per second: half of the reads and less than half
// of the writes that the platform's smaller stores accept (2,000 and 400).
const (
	fleetReadRate  = 1000
	fleetWriteRate = 150
)

// maxBurst limits the number of calls that an instance of a small fleet makes at once.
const maxBurst = 100

// spreadFactor is the factor by which the first writes of a large fleet stay, on average,
// below fleetWriteRate, since random delays are not evenly distributed.
const spreadFactor = 3

// limits holds the rate limits of one client.
type limits struct {
	reads  *rate.Limiter
	writes *rate.Limiter
	// spread is the period, in nanoseconds, over which the first writes of all
	// instances are spread. It is zero if the share of an instance is at least one
	// write per second.
	spread atomic.Int64
}

func newLimits(fleetSize int) *limits {
	l := &limits{reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
	l.setReaders(fleetSize)
	l.setWriters(fleetSize)
	return l
}

func (l *limits) setReaders(n int) {
	setShare(l.reads, fleetReadRate, n)
}

func (l *limits) setWriters(n int) {
	setShare(l.writes, fleetWriteRate, n)
	spread := time.Duration(0)
	if n > fleetWriteRate {
		spread = spreadFactor * time.Second * time.Duration(n) / fleetWriteRate
	}
	l.spread.Store(int64(spread))
}

// setShare sets a limiter to one of n equal shares of the fleet's rate. Half of the share
// is the limit and half the burst, so that the calls of any second do not exceed the
// share. The burst is at least one call, even if half of the share is less.
func setShare(l *rate.Limiter, total float64, n int) {
	half := total / float64(max(n, 1)) / 2
	l.SetLimit(rate.Limit(half))
	l.SetBurst(min(max(int(half), 1), maxBurst))
}
