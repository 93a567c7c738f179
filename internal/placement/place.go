package placement

import (
	"math"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// place returns the backend server for a new flow. It is a function of the flow
// hash, the configuration and the announced conditions, so that two instances
// that place the same flow agree. Unless confirmed is set, it is the base
// wherever possible.
func (d *decision) place(confirmed bool) *server {
	base, target := d.service.baseOf(d.bucket), d.service.targetOf(d.bucket)
	if !confirmed && base != nil && !d.gone(base) {
		return base
	}
	if target != nil && d.admits(target) {
		return target
	}
	if base != nil && d.isUnrestricted(base) {
		return base
	}
	if s := d.pickAlternative(); s != nil {
		return s
	}
	if target != nil {
		return target
	}
	return base
}

// admits reports whether a backend server may take this new flow. During its
// ramp it takes the flows whose hash falls into its share.
func (d *decision) admits(s *server) bool {
	if !d.acceptsNewFlows(s) {
		return false
	}
	share := d.share(s)
	return share >= 1 || unitInterval(table.Mix(d.packet.Flow^uint64(s.number))) < share
}

// isUnrestricted reports whether a backend server may take any new flow.
func (d *decision) isUnrestricted(s *server) bool {
	return d.acceptsNewFlows(s) && d.share(s) >= 1
}

func (d *decision) acceptsNewFlows(s *server) bool {
	if s.state != config.Active {
		return false
	}
	return s.condition != flow.Down || !d.inForce(s)
}

// inForce reports whether the announcement about a backend server is taken as
// known to every instance.
func (d *decision) inForce(s *server) bool {
	return d.now-s.announcedAt >= int64(announcementDelay)
}

// share returns the fraction of a warm backend server's new flows that s may
// take, between 0 and 1.
func (d *decision) share(s *server) float64 {
	ramp := d.service.ramp
	if s.condition == flow.Cold {
		if !d.inForce(s) {
			return 1
		}
		return rampShare(ramp, d.now-s.announcedAt-int64(announcementDelay))
	}
	if s.warm {
		return 1
	}
	start := s.times.ramp.Load()
	if start == 0 {
		return rampShare(ramp, 0)
	}
	return rampShare(ramp, d.now-start)
}

// rampShare returns the share at a time after the start of the ramp, in
// nanoseconds.
func rampShare(r config.Ramp, elapsed int64) float64 {
	if elapsed >= int64(r.Duration) {
		return 1
	}
	done := time.Duration(max(elapsed, 0)).Seconds() / r.Duration.Seconds()
	return r.Start + (1-r.Start)*done
}

// pickAlternative selects a backend server that may take any new flow by
// weighted rendezvous hashing over the flow hash (Schindelhauer and Schomaker,
// 2005). It returns nil if there is none.
func (d *decision) pickAlternative() *server {
	var best *server
	bestScore := math.Inf(1)
	for _, i := range d.service.target {
		s := &d.service.servers[i]
		if s.weight == 0 || !d.isUnrestricted(s) {
			continue
		}
		score := -math.Log(unitInterval(table.Mix(d.packet.Flow^table.Mix(uint64(s.number))))) / float64(s.weight)
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// unitInterval maps a hash to a number above 0 and at most 1.
func unitInterval(hash uint64) float64 {
	return (float64(hash>>11) + 1) / (1 << 53)
}
