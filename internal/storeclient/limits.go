package storeclient

import (
	"golang.org/x/time/rate"
)

// The calls that a whole fleet may make, in calls a second: half of what the
// service takes.
const (
	fleetReads  = 1000
	fleetWrites = 150
)

// maxBurst bounds the calls that an instance of a small fleet makes at once.
const maxBurst = 100

// limits bounds the calls of one client.
type limits struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newLimits(fleet int) *limits {
	l := &limits{reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
	l.set(fleet)
	return l
}

// set shares the calls of the fleet out. Half of a share is the rate and half
// the burst, so that no second sees more than the share.
func (l *limits) set(fleet int) {
	apply(l.reads, fleetReads, fleet)
	apply(l.writes, fleetWrites, fleet)
}

func apply(l *rate.Limiter, total float64, fleet int) {
	half := total / float64(max(fleet, 1)) / 2
	l.SetLimit(rate.Limit(half))
	l.SetBurst(min(max(int(half), 1), maxBurst))
}
