package member

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// Receive processes a message from a peer whose identity has been authenticated.
func (t *Table) Receive(now int64, from fleet.ID, m Message) {
	if from == t.self.ID || t.self.State == fleet.Dead {
		return
	}
	for _, u := range m.Updates {
		t.merge(now, from, u)
	}
	for _, a := range m.Announcements {
		if t.serverConditions.merge(a) {
			t.changedAt = now
			t.relay(pendingUpdate{announcement: &a, from: from})
		}
	}
	t.recordHeard(now, from)
	t.checkSender(now, from, m)
	t.respond(now, from, m)
}

// checkSender compares the sender's row with the incarnation and version in its
// message, and requests an exchange of tables if the row is out of date.
func (t *Table) checkSender(now int64, from fleet.ID, m Message) {
	x := t.rows.get(from)
	if x == nil || m.Incarnation > x.Incarnation {
		t.requestSync(now, from)
		return
	}
	if x.State == fleet.Dead && !t.syncedWithin(now, from, t.params.MinSyncInterval) {
		t.requestSync(now, from)
		return
	}
	if m.Incarnation == x.Incarnation && x.State != fleet.Dead {
		t.recordVersion(now, x, m.Applied, from)
	}
}

func (t *Table) respond(now int64, from fleet.ID, m Message) {
	switch m.Kind {
	case Heartbeat:
		t.compareDigest(now, from, m.Digest)
	case Ping:
		t.send(from, Message{Kind: Ack, Subject: m.Subject})
	case PingRequest:
		t.send(m.Subject, Message{Kind: Ping, Subject: from})
	case Ack:
		if m.Subject != "" {
			t.send(m.Subject, Message{Kind: IndirectAck, Subject: from})
		}
	case IndirectAck:
		t.recordHeard(now, m.Subject)
	case Sync:
		t.replySync(now, from, m)
	case SyncReply:
		t.synced = true
		t.recordSync(now, from)
	}
}

// merge applies an update to the table and forwards it if it was new.
func (t *Table) merge(now int64, from fleet.ID, u Update) {
	if u.Instance.ID == t.self.ID {
		t.refute(now, u)
		return
	}
	x := t.rows.get(u.Instance.ID)
	if x == nil {
		t.addInstance(now, from, u)
		return
	}
	switch {
	case u.Instance.Incarnation < x.Incarnation:
	case u.Instance.Incarnation > x.Incarnation:
		t.replaceIncarnation(now, from, x, u)
	case u.Kind == SuspicionUpdate:
		if x.State != fleet.Dead {
			t.addSuspicion(now, x, u.By, from)
		}
	default:
		t.mergeSameIncarnation(now, from, x, u)
	}
}

// refute answers a claim that this instance is dead or suspected, or an update with
// a higher incarnation from before a restart, by announcing a higher incarnation.
func (t *Table) refute(now int64, u Update) {
	claimed := u.Instance.Incarnation
	suspectedOrDead := u.Kind == SuspicionUpdate || u.Instance.State == fleet.Dead
	if claimed < t.self.Incarnation || (claimed == t.self.Incarnation && !suspectedOrDead) {
		return
	}
	t.self.Incarnation = claimed + 1
	t.markChanged(now, t.self)
	t.broadcast(Update{Kind: FullUpdate, Instance: t.self.Instance}, "")
}

// addInstance adds an instance that is not in the table. Dead ones are ignored.
func (t *Table) addInstance(now int64, from fleet.ID, u Update) {
	if u.Kind != SuspicionUpdate && u.Instance.State == fleet.Dead {
		return
	}
	if u.Kind != FullUpdate {
		t.requestSync(now, from)
		return
	}
	x := t.rows.insert(u.Instance)
	t.setState(now, x, u.Instance.State)
	t.recordNewer(x)
	t.relay(pendingUpdate{update: u, from: from})
}

// replaceIncarnation applies an update with a later incarnation of an instance.
func (t *Table) replaceIncarnation(now int64, from fleet.ID, x *row, u Update) {
	if u.Kind != FullUpdate {
		t.requestSync(now, from)
		return
	}
	if u.Instance.State == fleet.Dead && !u.Final {
		t.applyDeathClaim(now, from, x, u)
		return
	}
	t.clearSuspicion(x)
	x.Instance = u.Instance
	t.setState(now, x, u.Instance.State)
	t.recordNewer(x)
	t.relay(pendingUpdate{update: u, from: from})
}

// applyDeathClaim applies a claim that a later incarnation is dead: it only starts a
// suspicion.
func (t *Table) applyDeathClaim(now int64, from fleet.ID, x *row, u Update) {
	state := x.State
	x.Instance = u.Instance
	x.State = state
	t.markChanged(now, x)
	if state != fleet.Dead {
		t.addSuspicion(now, x, "", from)
	}
}

// mergeSameIncarnation applies an update with the known incarnation of an instance.
func (t *Table) mergeSameIncarnation(now int64, from fleet.ID, x *row, u Update) {
	if x.State == fleet.Dead {
		return
	}
	t.recordVersion(now, x, u.Instance.Applied, from)
	switch {
	case u.Instance.State <= x.State:
	case u.Instance.State == fleet.Dead && !u.Final:
		t.addSuspicion(now, x, "", from)
	case u.Instance.State == fleet.Dead:
		x.LeavesAt = max(x.LeavesAt, u.Instance.LeavesAt)
		t.markDead(now, x)
		t.relay(pendingUpdate{update: u, from: from})
	case u.Instance.State != fleet.Suspect:
		x.LeavesAt = u.Instance.LeavesAt
		t.setState(now, x, u.Instance.State)
		t.relay(pendingUpdate{update: u, from: from})
	}
}

// recordVersion stores that an instance has applied a newer configuration version.
func (t *Table) recordVersion(now int64, x *row, v config.Version, from fleet.ID) {
	if v <= x.Applied {
		return
	}
	x.Applied = v
	t.markChanged(now, x)
	t.recordNewer(x)
	t.relay(pendingUpdate{update: Update{Kind: StatusUpdate, Instance: x.Instance}, from: from})
}

func (t *Table) recordNewer(x *row) {
	if x.Applied > t.self.Applied {
		t.newer = append(t.newer, InstanceVersion{ID: x.ID, Version: x.Applied})
	}
}
