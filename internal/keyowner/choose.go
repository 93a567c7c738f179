package keyowner

import (
	"math/rand/v2"
	"slices"

	"balsamfork/internal/admission"
	"balsamfork/internal/config"
)

// candidate is a backend server with what its last reply told of its load.
type candidate struct {
	Candidate
	load admission.Load
	at   int64
	// mine counts the attempts of this owner that are under way there.
	mine int
}

// closed reports whether the backend server took nothing when last heard of.
func (c *candidate) closed(now int64) bool {
	return c.at != 0 && now-c.at < int64(loadMemory) && c.load.Limit <= 0
}

// score is the load relative to what the backend server may get, after one more
// request.
func (c *candidate) score(now int64) float64 {
	used, limit := 0, float64(c.Slots)
	if c.at != 0 && now-c.at < int64(loadMemory) && c.load.Limit > 0 {
		used, limit = c.load.Used, c.load.Limit
	}
	return float64(max(used, c.mine)+1) / limit
}

// choose picks the better of two random candidates (Mitzenmacher, 2001) that were
// not tried yet and are not known to be closed; if all are, any that was not
// tried. It returns nil if there is none.
func choose(now int64, r *rand.Rand, all []*candidate, tried []config.Number) *candidate {
	a := sample(now, r, all, tried, nil)
	if a == nil {
		return sampleClosed(r, all, tried)
	}
	b := sample(now, r, all, tried, a)
	if b != nil && b.score(now) < a.score(now) {
		return b
	}
	return a
}

// sample draws one open candidate: the first from a random place on.
func sample(now int64, r *rand.Rand, all []*candidate, tried []config.Number, not *candidate) *candidate {
	return pick(r, all, func(c *candidate) bool {
		return c != not && !c.closed(now) && !slices.Contains(tried, c.Server)
	})
}

func sampleClosed(r *rand.Rand, all []*candidate, tried []config.Number) *candidate {
	return pick(r, all, func(c *candidate) bool { return !slices.Contains(tried, c.Server) })
}

func pick(r *rand.Rand, all []*candidate, fits func(*candidate) bool) *candidate {
	if len(all) == 0 {
		return nil
	}
	from := r.IntN(len(all))
	for i := range all {
		if c := all[(from+i)%len(all)]; fits(c) {
			return c
		}
	}
	return nil
}
