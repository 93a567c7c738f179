package member

import (
	"slices"
	"time"

	"balsamfork/internal/fleet"
)

// contact is a peer of an exchange of tables, and when that was.
type contact struct {
	id fleet.ID
	at int64
}

// meet notes an exchange with a peer.
func (t *Table) meet(now int64, id fleet.ID) {
	keep := func(c contact) bool { return c.id == id || due(now, c.at, t.params.Bridge) }
	t.contacts = slices.DeleteFunc(t.contacts, keep)
	t.contacts = append(t.contacts, contact{id: id, at: now})
}

// contacted reports whether there was an exchange with the peer within d.
func (t *Table) contacted(now int64, id fleet.ID, d time.Duration) bool {
	return slices.ContainsFunc(t.contacts, func(c contact) bool {
		return c.id == id && !due(now, c.at, d)
	})
}

// wantSync starts an exchange with a peer, unless there was one just now.
func (t *Table) wantSync(now int64, id fleet.ID) {
	if t.contacted(now, id, t.params.Exchange/2) {
		return
	}
	t.meet(now, id)
	t.send(id, Message{Kind: Sync, Updates: t.everything(nil), Announcements: t.Announcements()})
}

// compareDigest starts an exchange if a peer's table differs from one that has
// been quiet for a while.
func (t *Table) compareDigest(now int64, from fleet.ID, digest uint64) {
	if digest == t.Digest() || !due(now, t.changed, t.params.Quiet) || now < t.nextSync {
		return
	}
	spacing := int64(t.params.Exchange)
	t.nextSync = now + spacing + t.random.Int64N(spacing)
	t.wantSync(now, from)
}

// replySync answers an exchange with what differs from the table received.
func (t *Table) replySync(now int64, from fleet.ID, m Message) {
	t.synced = true
	t.meet(now, from)
	known := make(map[fleet.ID]fleet.Instance, len(m.Updates))
	for _, u := range m.Updates {
		known[u.Instance.ID] = u.Instance
	}
	t.send(from, Message{
		Kind:          SyncReply,
		Updates:       t.everything(known),
		Announcements: t.conds.without(m.Announcements),
	})
}

// everything returns the table as updates, less the rows that the peer has.
func (t *Table) everything(known map[fleet.ID]fleet.Instance) []Update {
	out := make([]Update, 0, len(t.rows.list))
	for _, x := range t.rows.list {
		k, ok := known[x.ID]
		if ok && k.Incarnation == x.Incarnation && k.State == x.State && k.Applied == x.Applied {
			continue
		}
		out = append(out, Update{Kind: Whole, Instance: x.Instance})
	}
	return out
}

// seek pings one instance that is dead or only listed by the platform, so that
// those that return and halves of the fleet that were cut off are found. The
// ping carries the own row: the other may not know where to answer.
func (t *Table) seek(now int64) {
	if now < t.nextSeek || t.self.State == fleet.Dead {
		return
	}
	period := t.params.Contact
	if len(t.after) == 0 {
		period = t.params.LoneContact
	}
	t.nextSeek = now + int64(period)
	lost := t.lost()
	if len(lost) == 0 {
		return
	}
	own := []Update{{Kind: Whole, Instance: t.self.Instance}}
	t.send(lost[t.random.IntN(len(lost))], Message{Kind: Ping, Updates: own})
}

func (t *Table) lost() []fleet.ID {
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

// forget drops the instances that have been dead for long, and old conditions.
func (t *Table) forget(now int64) {
	t.conds.prune(now - int64(t.params.Forget))
	for n := len(t.rows.list) - 1; n >= 0; n-- {
		x := t.rows.list[n]
		if x.State != fleet.Dead || x == t.self || !due(now, x.died, t.params.Forget) {
			continue
		}
		t.rows.remove(x.ID)
		t.epoch++
		t.viewDirty = true
	}
}
