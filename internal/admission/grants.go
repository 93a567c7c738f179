package admission

import (
	"balsamfork/internal/config"
	"balsamfork/internal/pair"
)

type grant struct {
	holder pair.Holder
	until  int64
	// asked is when the holder sent its newest ask, by its own clock.
	asked int64
}

// Grants is what an instance has promised as a member of the pairs of backend
// servers: for each at most one holder, until a time.
type Grants struct {
	timing   Timing
	byServer map[config.Number]grant
}

// NewGrants returns an empty table.
func NewGrants(t Timing) *Grants {
	return &Grants{timing: t, byServer: make(map[config.Number]grant)}
}

// Ask promises the server to the holder for Hold from now, unless another holder
// may still have requests running there. The holder sent the ask at sentAt.
func (g *Grants) Ask(now int64, h pair.Holder, server config.Number, sentAt int64) bool {
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
func (g *Grants) Release(h pair.Holder, server config.Number, sentAt int64) {
	if old := g.byServer[server]; old.holder == h && old.asked <= sentAt {
		delete(g.byServer, server)
	}
}
