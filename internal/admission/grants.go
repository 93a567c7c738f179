package admission

import (
	"maps"
	"slices"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/quorum"
)

type grant struct {
	holder quorum.Holder
	until  int64
	// asked is when the holder sent its newest ask, by its own clock.
	asked int64
}

// Grants is what an instance has promised as a member of the groups of backend
// servers: for each at most one holder, until a time.
type Grants struct {
	timing Timing
	// fresh is when everything promised before the start of this run has ended,
	// in nanoseconds.
	fresh    int64
	byServer map[config.Number]grant
}

// NewGrants returns an empty table of an instance that starts now. What an
// earlier run of it promised is not known, and so nothing is granted until that
// must have ended.
func NewGrants(now int64, t Timing) *Grants {
	return &Grants{
		timing:   t,
		fresh:    now + int64(t.Settle+t.Hold+t.MaxRun+2*t.Margin),
		byServer: make(map[config.Number]grant),
	}
}

// Ask promises the server to the holder for Hold from now, unless another holder
// may still have requests running there. The holder sent the ask at sentAt.
func (g *Grants) Ask(now int64, h quorum.Holder, server config.Number, sentAt int64) bool {
	if now < g.fresh {
		return false
	}
	old, found := g.byServer[server]
	if found && old.holder != h && now < old.until+int64(g.timing.MaxRun+g.timing.Margin) {
		return false
	}
	if old.holder == h {
		sentAt = max(sentAt, old.asked)
	}
	g.byServer[server] = grant{holder: h, until: now + int64(g.timing.Hold+g.timing.Margin), asked: sentAt}
	return true
}

// Release ends a promise: when the holder sent it, no request of its own was
// running there any more. One that was overtaken by a newer ask is void.
func (g *Grants) Release(h quorum.Holder, server config.Number, sentAt int64) {
	if old := g.byServer[server]; old.holder == h && old.asked <= sentAt {
		delete(g.byServer, server)
	}
}

func sortedIDs(m map[fleet.ID][]config.Number) []fleet.ID {
	return slices.Sorted(maps.Keys(m))
}
