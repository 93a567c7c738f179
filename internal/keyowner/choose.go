package keyowner

import (
	"math/rand/v2"
	"slices"

	"balsamfork/internal/admission"
	"balsamfork/internal/config"
)

// candidate is a backend server with the load reported by its last reply.
type candidate struct {
	Candidate
	load admission.Load
	// loadAt is when load was received, in nanoseconds, or zero if none was.
	loadAt int64
	// ownAttempts counts the attempts in progress there that this owner has sent.
	ownAttempts int
}

// closed reports whether the last reply, if recent, said that the backend server
// accepts no requests.
func (c *candidate) closed(now int64) bool {
	return c.loadAt != 0 && now-c.loadAt < int64(loadMaxAge) && c.load.Limit <= 0
}

// score returns the load of the backend server with one more request, relative to its
// limit. Lower is better.
func (c *candidate) score(now int64) float64 {
	used, limit := 0, float64(c.Slots)
	if c.loadAt != 0 && now-c.loadAt < int64(loadMaxAge) && c.load.Limit > 0 {
		used, limit = c.load.Used, c.load.Limit
	}
	return float64(max(used, c.ownAttempts)+1) / limit
}

// choose returns the less loaded of two random candidates (the power of two choices:
// Mitzenmacher, 2001) that were not tried and are not known to be closed. If all
// untried ones are closed, it returns any of them; nil means that all were tried.
func choose(now int64, r *rand.Rand, all []*candidate, tried []config.Number) *candidate {
	a := sample(now, r, all, tried, nil)
	if a == nil {
		return sampleUntried(r, all, tried)
	}
	b := sample(now, r, all, tried, a)
	if b != nil && b.score(now) < a.score(now) {
		return b
	}
	return a
}

// sample returns a random candidate, other than except, that was not tried and is not
// known to be closed, or nil.
func sample(now int64, r *rand.Rand, all []*candidate, tried []config.Number, except *candidate) *candidate {
	return pick(r, all, func(c *candidate) bool {
		return c != except && !c.closed(now) && !slices.Contains(tried, c.Server)
	})
}

// sampleUntried returns a random candidate that was not tried, closed or not, or nil.
func sampleUntried(r *rand.Rand, all []*candidate, tried []config.Number) *candidate {
	return pick(r, all, func(c *candidate) bool { return !slices.Contains(tried, c.Server) })
}

// pick returns the first eligible candidate at or after a random index, wrapping
// around at the end, or nil.
func pick(r *rand.Rand, all []*candidate, eligible func(*candidate) bool) *candidate {
	if len(all) == 0 {
		return nil
	}
	from := r.IntN(len(all))
	for i := range all {
		if c := all[(from+i)%len(all)]; eligible(c) {
			return c
		}
	}
	return nil
}
