package admission

import (
	"balsamfork/internal/config"
	"balsamfork/internal/pair"
)

// grant is the newest grant of one backend server.
type grant struct {
	holder pair.Holder
	until  int64
	// requestedAt is when the holder sent its newest request, by its own clock.
	requestedAt int64
}

// Grants holds what an instance has granted as a member of the pairs of backend
// servers: each server to at most one holder at a time, until an expiry time.
type Grants struct {
	timing   Timing
	byServer map[config.Number]grant
}

// NewGrants returns an empty table.
func NewGrants(t Timing) *Grants {
	return &Grants{timing: t, byServer: make(map[config.Number]grant)}
}

// HandleGrantRequest grants the server to the holder for GrantDuration from now and
// reports whether it did. It refuses while another holder may still have requests
// running there. The holder sent its request at sentAt, by its own clock.
func (g *Grants) HandleGrantRequest(now int64, h pair.Holder, server config.Number, sentAt int64) bool {
	old, found := g.byServer[server]
	if found && old.holder != h && now < old.until+int64(g.timing.MaxRun+g.timing.Margin) {
		return false
	}
	if old.holder == h {
		sentAt = max(sentAt, old.requestedAt)
	}
	g.byServer[server] = grant{holder: h, until: now + int64(g.timing.GrantDuration+g.timing.Margin), requestedAt: sentAt}
	return true
}

// Release ends a grant. The holder sent the release at sentAt, by its own clock, when
// none of its requests was running there any more. A release that was overtaken by a
// newer request for the grant is ignored.
func (g *Grants) Release(h pair.Holder, server config.Number, sentAt int64) {
	if old := g.byServer[server]; old.holder == h && old.requestedAt <= sentAt {
		delete(g.byServer, server)
	}
}
