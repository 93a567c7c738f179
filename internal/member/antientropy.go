package member

import (
	"slices"
	"time"

	"balsamfork/internal/fleet"
)

// syncRecord is the peer and time of an exchange of tables.
type syncRecord struct {
	id fleet.ID
	at int64
}

// recordSync records an exchange with a peer in place of earlier ones with it, and
// drops expired records.
func (t *Table) recordSync(now int64, id fleet.ID) {
	obsolete := func(s syncRecord) bool { return s.id == id || elapsed(now, s.at, t.params.PostSyncGossip) }
	t.syncs = slices.DeleteFunc(t.syncs, obsolete)
	t.syncs = append(t.syncs, syncRecord{id: id, at: now})
}

// syncedWithin reports whether there was an exchange with the peer within d.
func (t *Table) syncedWithin(now int64, id fleet.ID, d time.Duration) bool {
	return slices.ContainsFunc(t.syncs, func(s syncRecord) bool {
		return s.id == id && !elapsed(now, s.at, d)
	})
}

// requestSync starts an exchange with a peer unless there was one recently.
func (t *Table) requestSync(now int64, id fleet.ID) {
	if t.syncedWithin(now, id, t.params.MinSyncInterval/2) {
		return
	}
	t.recordSync(now, id)
	t.send(id, Message{Kind: Sync, Updates: t.fullUpdates(nil), Announcements: t.Announcements()})
}

// compareDigest starts an exchange if a peer's digest differs and this table has not
// changed for SyncQuietPeriod. The interval between such exchanges is randomised.
func (t *Table) compareDigest(now int64, from fleet.ID, digest uint64) {
	if digest == t.Digest() || !elapsed(now, t.changedAt, t.params.SyncQuietPeriod) || now < t.nextSync {
		return
	}
	spacing := int64(t.params.MinSyncInterval)
	t.nextSync = now + spacing + t.random.Int64N(spacing)
	t.requestSync(now, from)
}

// replySync answers a Sync with the entries that differ from the received table.
func (t *Table) replySync(now int64, from fleet.ID, m Message) {
	t.synced = true
	t.recordSync(now, from)
	known := make(map[fleet.ID]fleet.Instance, len(m.Updates))
	for _, u := range m.Updates {
		known[u.Instance.ID] = u.Instance
	}
	t.send(from, Message{
		Kind:          SyncReply,
		Updates:       t.fullUpdates(known),
		Announcements: t.serverConditions.missingFrom(m.Announcements),
	})
}

// fullUpdates returns the table as updates, without the rows that equal the known
// ones.
func (t *Table) fullUpdates(known map[fleet.ID]fleet.Instance) []Update {
	out := make([]Update, 0, len(t.rows.list))
	for _, x := range t.rows.list {
		k, ok := known[x.ID]
		if ok && k.Incarnation == x.Incarnation && k.State == x.State && k.Applied == x.Applied {
			continue
		}
		out = append(out, Update{Kind: FullUpdate, Instance: x.Instance})
	}
	return out
}

// reconnect pings one instance that is dead or only listed by the platform, in order
// to find restarted instances and the other side of a healed partition. The ping
// carries this instance's row, since the receiver may not know its address.
func (t *Table) reconnect(now int64) {
	if now < t.nextReconnect || t.self.State == fleet.Dead {
		return
	}
	period := t.params.ReconnectInterval
	if len(t.successors) == 0 {
		period = t.params.IsolatedReconnectInterval
	}
	t.nextReconnect = now + int64(period)
	reconnectTargets := t.reconnectTargets()
	if len(reconnectTargets) == 0 {
		return
	}
	own := []Update{{Kind: FullUpdate, Instance: t.self.Instance}}
	t.send(reconnectTargets[t.random.IntN(len(reconnectTargets))], Message{Kind: Ping, Updates: own})
}

// reconnectTargets returns the other instances that are dead or only listed by the
// platform.
func (t *Table) reconnectTargets() []fleet.ID {
	var out []fleet.ID
	for _, x := range t.rows.list {
		if x.State == fleet.Dead && x.ID != t.self.ID {
			out = append(out, x.ID)
		}
	}
	for _, s := range t.seeds {
		if t.rows.get(s.ID) == nil {
			out = append(out, s.ID)
		}
	}
	return out
}

// dropExpired removes instances that have been dead for DeadRetention, and healthy
// conditions announced longer ago than that.
func (t *Table) dropExpired(now int64) {
	t.serverConditions.prune(now - int64(t.params.DeadRetention))
	for n := len(t.rows.list) - 1; n >= 0; n-- {
		x := t.rows.list[n]
		if x.State != fleet.Dead || x == t.self || !elapsed(now, x.diedAt, t.params.DeadRetention) {
			continue
		}
		t.rows.remove(x.ID)
		t.epoch++
		t.viewDirty = true
	}
}
