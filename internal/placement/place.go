package placement

import (
	"math"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// place returns where a new flow goes: a function of the flow hash and of what is
// announced, so that two instances that place the same flow agree. Without act it
// is the base wherever that can be.
func (d *decision) place(act bool) *server {
	base, target := d.service.baseOf(d.bucket), d.service.targetOf(d.bucket)
	if !act && base != nil && !d.gone(base) {
		return base
	}
	if target != nil && d.admits(target) {
		return target
	}
	if base != nil && d.takesAll(base) {
		return base
	}
	if s := d.elsewhere(); s != nil {
		return s
	}
	if target != nil {
		return target
	}
	return base
}

// admits reports whether a backend server may take this new flow. On a ramp it
// takes the flows whose hash falls into its share.
func (d *decision) admits(s *server) bool {
	if !d.takesFlows(s) {
		return false
	}
	share := d.share(s)
	return share >= 1 || unit(table.Mix(d.packet.Flow^uint64(s.number))) < share
}

// takesAll reports whether a backend server may take any new flow.
func (d *decision) takesAll(s *server) bool {
	return d.takesFlows(s) && d.share(s) >= 1
}

func (d *decision) takesFlows(s *server) bool {
	if s.state != config.Active {
		return false
	}
	return s.condition != flow.Down || !d.inForce(s)
}

// inForce reports whether the announcement about a backend server is known to
// every instance.
func (d *decision) inForce(s *server) bool {
	return d.now-s.announced >= int64(actDelay)
}

// share returns the part of a warm backend server's new flows that s may take,
// between 0 and 1.
func (d *decision) share(s *server) float64 {
	ramp := d.service.ramp
	if s.condition == flow.Cold {
		if !d.inForce(s) {
			return 1
		}
		return ramped(ramp, d.now-s.announced-int64(actDelay))
	}
	if s.warm {
		return 1
	}
	start := s.times.ramp.Load()
	if start == 0 {
		return ramped(ramp, 0)
	}
	return ramped(ramp, d.now-start)
}

// ramped returns the share after a time on the ramp.
func ramped(r config.Ramp, elapsed int64) float64 {
	if elapsed >= int64(r.Duration) {
		return 1
	}
	done := time.Duration(max(elapsed, 0)).Seconds() / r.Duration.Seconds()
	return r.Start + (1-r.Start)*done
}

// elsewhere picks a backend server that may take any new flow by weighted
// rendezvous hashing over the flow hash (Schindelhauer and Schomaker, 2005), or
// nil if there is none.
func (d *decision) elsewhere() *server {
	var best *server
	bestScore := math.Inf(1)
	for _, i := range d.service.target {
		s := &d.service.servers[i]
		if s.weight == 0 || !d.takesAll(s) {
			continue
		}
		score := -math.Log(unit(table.Mix(d.packet.Flow^table.Mix(uint64(s.number))))) / float64(s.weight)
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// unit maps a hash to a number above 0 and at most 1.
func unit(hash uint64) float64 {
	return (float64(hash>>11) + 1) / (1 << 53)
}
