package member

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// pendingUpdate is an update or an announcement that is sent in the next tick. It is
// not sent back to the peer it came from.
type pendingUpdate struct {
	update       Update
	announcement *flow.Announcement
	from         fleet.ID
}

// broadcast queues an update, also while this instance is joining. from is the peer
// that it came from, or empty if it originates at this instance.
func (t *Table) broadcast(u Update, from fleet.ID) {
	t.pending = append(t.pending, pendingUpdate{update: u, from: from})
}

// relay queues an update that came from a peer. A joining instance does not relay:
// most of what it receives is already known to the others.
func (t *Table) relay(p pendingUpdate) {
	if t.self.State != fleet.Joining {
		t.pending = append(t.pending, p)
	}
}

// flushPending sends the pending updates once to every gossip target.
func (t *Table) flushPending(now int64) {
	if len(t.pending) == 0 {
		return
	}
	pending := t.pending
	t.pending = nil
	for _, to := range t.gossipTargets(now) {
		t.sendPending(to, pending)
	}
}

// gossipTargets returns the instances that updates are sent to: the neighbours on all
// rings and the peers of recent exchanges, through which the two sides of a healed
// partition learn of each other.
func (t *Table) gossipTargets(now int64) []fleet.ID {
	out := slices.Clone(t.successors)
	for _, id := range t.predecessors {
		out = appendNew(out, id)
	}
	for _, s := range t.syncs {
		if !elapsed(now, s.at, t.params.PostSyncGossip) {
			out = appendNew(out, s.id)
		}
	}
	return out
}

// sendPending piggybacks the updates on a heartbeat that goes to the peer in this
// tick, or sends them in a Gossip message.
func (t *Table) sendPending(to fleet.ID, pending []pendingUpdate) {
	var m Message
	for _, p := range pending {
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
	for n := range t.outbox {
		q := &t.outbox[n]
		if q.To == to && q.Message.Kind == Heartbeat {
			q.Message.Updates = m.Updates
			q.Message.Announcements = m.Announcements
			return
		}
	}
	m.Kind = Gossip
	t.send(to, m)
}
