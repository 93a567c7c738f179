package member

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// Receive takes a message that came from a peer whose identity is proven.
func (t *Table) Receive(now int64, from fleet.ID, m Message) {
	if from == t.self.ID || t.self.State == fleet.Dead {
		return
	}
	for _, u := range m.Updates {
		t.merge(now, from, u)
	}
	for _, a := range m.Announcements {
		if t.conds.merge(a) {
			t.changed = now
			t.relay(pendingUpdate{announcement: &a, from: from})
		}
	}
	t.hear(now, from)
	t.noteSender(now, from, m)
	t.answer(now, from, m)
}

// noteSender compares what is known of the sender with what it says of itself.
func (t *Table) noteSender(now int64, from fleet.ID, m Message) {
	x := t.rows.get(from)
	if x == nil || m.Incarnation > x.Incarnation {
		t.wantSync(now, from)
		return
	}
	if x.State == fleet.Dead && !t.contacted(now, from, t.params.Exchange) {
		t.wantSync(now, from)
		return
	}
	if m.Incarnation == x.Incarnation && x.State != fleet.Dead {
		t.progress(now, x, m.Applied, from)
	}
}

func (t *Table) answer(now int64, from fleet.ID, m Message) {
	switch m.Kind {
	case Heartbeat:
		t.compareDigest(now, from, m.Digest)
	case Ping:
		t.send(from, Message{Kind: Ack, Subject: m.Subject})
	case PingRequest:
		t.send(m.Subject, Message{Kind: Ping, Subject: from})
	case Ack:
		if m.Subject != "" {
			t.send(m.Subject, Message{Kind: Vouch, Subject: from})
		}
	case Vouch:
		t.hear(now, m.Subject)
	case Sync:
		t.replySync(now, from, m)
	case SyncReply:
		t.synced = true
		t.meet(now, from)
	}
}

// merge takes one update into the table and passes it on if it was news.
func (t *Table) merge(now int64, from fleet.ID, u Update) {
	if u.Instance.ID == t.self.ID {
		t.refute(now, u)
		return
	}
	x := t.rows.get(u.Instance.ID)
	if x == nil {
		t.enter(now, from, u)
		return
	}
	switch {
	case u.Instance.Incarnation < x.Incarnation:
	case u.Instance.Incarnation > x.Incarnation:
		t.replace(now, from, x, u)
	case u.Kind == Suspicion:
		if x.State != fleet.Dead {
			t.addSuspicion(now, x, u.By, from)
		}
	default:
		t.advance(now, from, x, u)
	}
}

// refute answers a claim that this instance is dead or suspected, or a memory of
// an earlier life, with a higher incarnation.
func (t *Table) refute(now int64, u Update) {
	claim := u.Instance.Incarnation
	accused := u.Kind == Suspicion || u.Instance.State == fleet.Dead
	if claim < t.self.Incarnation || (claim == t.self.Incarnation && !accused) {
		return
	}
	t.self.Incarnation = claim + 1
	t.touch(now, t.self)
	t.spread(Update{Kind: Whole, Instance: t.self.Instance}, "")
}

// enter takes in an instance that is not in the table. A dead one is left out.
func (t *Table) enter(now int64, from fleet.ID, u Update) {
	if u.Kind != Suspicion && u.Instance.State == fleet.Dead {
		return
	}
	if u.Kind != Whole {
		t.wantSync(now, from)
		return
	}
	x := t.rows.insert(u.Instance)
	t.setState(now, x, u.Instance.State)
	t.noteNewer(x)
	t.relay(pendingUpdate{update: u, from: from})
}

// replace takes in a later incarnation of an instance.
func (t *Table) replace(now int64, from fleet.ID, x *row, u Update) {
	if u.Kind != Whole {
		t.wantSync(now, from)
		return
	}
	if u.Instance.State == fleet.Dead && !u.Final {
		t.doubt(now, from, x, u)
		return
	}
	t.clear(x)
	x.Instance = u.Instance
	t.setState(now, x, u.Instance.State)
	t.noteNewer(x)
	t.relay(pendingUpdate{update: u, from: from})
}

// doubt takes in a claim that a later incarnation has died.
func (t *Table) doubt(now int64, from fleet.ID, x *row, u Update) {
	state := x.State
	x.Instance = u.Instance
	x.State = state
	t.touch(now, x)
	if state != fleet.Dead {
		t.addSuspicion(now, x, "", from)
	}
}

// advance takes in news about the same incarnation.
func (t *Table) advance(now int64, from fleet.ID, x *row, u Update) {
	if x.State == fleet.Dead {
		return
	}
	t.progress(now, x, u.Instance.Applied, from)
	switch {
	case u.Instance.State <= x.State:
	case u.Instance.State == fleet.Dead && !u.Final:
		t.addSuspicion(now, x, "", from)
	case u.Instance.State == fleet.Dead:
		t.bury(now, x)
		t.relay(pendingUpdate{update: u, from: from})
	case u.Instance.State != fleet.Suspect:
		t.setState(now, x, u.Instance.State)
		t.relay(pendingUpdate{update: u, from: from})
	}
}

// progress notes that an instance serves by a newer version than was known.
func (t *Table) progress(now int64, x *row, v config.Version, from fleet.ID) {
	if v <= x.Applied {
		return
	}
	x.Applied = v
	t.touch(now, x)
	t.noteNewer(x)
	t.relay(pendingUpdate{update: Update{Kind: Progress, Instance: x.Instance}, from: from})
}

func (t *Table) noteNewer(x *row) {
	if x.Applied > t.self.Applied {
		t.newer = append(t.newer, VersionOf{ID: x.ID, Version: x.Applied})
	}
}
