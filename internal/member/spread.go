package member

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// pendingUpdate is news that waits for the next tick: an update or an
// announcement, and the peer that it need not be sent to.
type pendingUpdate struct {
	update       Update
	announcement *flow.Announcement
	from         fleet.ID
}

// spread passes on news that began here.
func (t *Table) spread(u Update, from fleet.ID) {
	t.fresh = append(t.fresh, pendingUpdate{update: u, from: from})
}

// relay passes on news that came from a peer. A starting instance does not: all
// of the table is news to it alone.
func (t *Table) relay(p pendingUpdate) {
	if t.self.State != fleet.Joining {
		t.fresh = append(t.fresh, p)
	}
}

// flush sends the waiting news to every neighbour, once.
func (t *Table) flush(now int64) {
	if len(t.fresh) == 0 {
		return
	}
	fresh := t.fresh
	t.fresh = nil
	for _, to := range t.audience(now) {
		t.deliver(to, fresh)
	}
}

// audience is who news goes to: the neighbours on all rings, and the peers of
// recent exchanges, through which two halves of the fleet meet again.
func (t *Table) audience(now int64) []fleet.ID {
	out := slices.Clone(t.after)
	for _, id := range t.before {
		out = appendNew(out, id)
	}
	for _, c := range t.contacts {
		if !due(now, c.at, t.params.Bridge) {
			out = appendNew(out, c.id)
		}
	}
	return out
}

// deliver adds the news to a message that goes to the peer in this tick anyway,
// or sends one of its own.
func (t *Table) deliver(to fleet.ID, fresh []pendingUpdate) {
	var m Message
	for _, p := range fresh {
		if p.from == to {
			continue
		}
		if p.announcement != nil {
			m.Announcements = append(m.Announcements, *p.announcement)
			continue
		}
		m.Updates = append(m.Updates, p.update)
	}
	if len(m.Updates)+len(m.Announcements) == 0 {
		return
	}
	for n := range t.queued {
		q := &t.queued[n]
		if q.To == to && q.Message.Kind == Heartbeat {
			q.Message.Updates = m.Updates
			q.Message.Announcements = m.Announcements
			return
		}
	}
	m.Kind = News
	t.send(to, m)
}
