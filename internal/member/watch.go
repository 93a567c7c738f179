package member

import (
	"slices"

	"balsamfork/internal/fleet"
)

// watch is the state of one watched instance: when it was last heard from, and when
// it was first probed since then, or zero.
type watch struct {
	id        fleet.ID
	lastHeard int64
	probedAt  int64
}

// updateWatches watches the predecessors of this instance on the rings. For a newly
// watched one the silence timeout starts now.
func (t *Table) updateWatches(now int64) {
	next := make([]watch, 0, ringCount)
	for _, id := range t.predecessors {
		w := watch{id: id, lastHeard: now}
		if at := t.watchIndex(id); at >= 0 {
			w = t.watches[at]
		}
		next = append(next, w)
	}
	t.watches = next
}

func (t *Table) watchIndex(id fleet.ID) int {
	return slices.IndexFunc(t.watches, func(w watch) bool { return w.id == id })
}

// recordHeard records that an instance was heard from, directly or through another.
func (t *Table) recordHeard(now int64, id fleet.ID) {
	if at := t.watchIndex(id); at >= 0 {
		t.watches[at].lastHeard = max(now, t.watches[at].lastHeard)
		t.watches[at].probedAt = 0
	}
}

// sendHeartbeats sends a heartbeat to each watcher when one is due.
func (t *Table) sendHeartbeats(now int64) {
	if now < t.nextHeartbeat || t.self.State == fleet.Dead {
		return
	}
	t.nextHeartbeat = max(t.nextHeartbeat+int64(t.params.Heartbeat), now)
	for _, id := range t.watchers {
		t.send(id, Message{Kind: Heartbeat, Digest: t.Digest()})
	}
}

// heartbeatNewWatchers sends an immediate heartbeat to each watcher that is not in
// previous.
func (t *Table) heartbeatNewWatchers(previous []fleet.ID) {
	for _, id := range t.watchers {
		if !slices.Contains(previous, id) {
			t.send(id, Message{Kind: Heartbeat, Digest: t.Digest()})
		}
	}
}

// checkWatched probes watched instances that are silent, and suspects those that do
// not answer the probe. If they stay silent, it probes them again after half of
// SilenceTimeout.
func (t *Table) checkWatched(now int64) {
	if t.self.State == fleet.Dead {
		return
	}
	for n := range t.watches {
		w := &t.watches[n]
		switch {
		case !elapsed(now, w.lastHeard, t.params.SilenceTimeout):
		case w.probedAt == 0:
			w.probedAt = now
			t.probe(w.id)
		case elapsed(now, w.probedAt, t.params.ProbeTimeout):
			t.suspect(now, w.id)
			w.probedAt = 0
			w.lastHeard = now - int64(t.params.SilenceTimeout/2)
		}
	}
}

// probe pings a silent instance directly and through a few others.
func (t *Table) probe(id fleet.ID) {
	t.send(id, Message{Kind: Ping})
	var asked []fleet.ID
	for _, peer := range append(slices.Clone(t.successors), t.predecessors...) {
		if peer == id || len(asked) == t.params.IndirectProbes || slices.Contains(asked, peer) {
			continue
		}
		t.send(peer, Message{Kind: PingRequest, Subject: id})
		asked = append(asked, peer)
	}
}

// suspect adds a suspicion by this instance.
func (t *Table) suspect(now int64, id fleet.ID) {
	x := t.rows.get(id)
	if x == nil || x.State == fleet.Dead {
		return
	}
	t.addSuspicion(now, x, t.self.ID, "")
}

// addSuspicion records a suspicion by an instance that has found x silent or, if by
// is empty, because of a claim that x is dead.
func (t *Table) addSuspicion(now int64, x *row, by, from fleet.ID) {
	if x.suspicion == nil {
		x.suspicion = &suspicion{since: now}
		t.suspicionChanged()
	} else if by == "" || slices.Contains(x.suspicion.by, by) {
		return
	}
	if by != "" {
		x.suspicion.by = append(x.suspicion.by, by)
	}
	t.broadcast(Update{Kind: SuspicionUpdate, Instance: x.Instance, By: by}, from)
}

// expireSuspicions declares instances dead whose suspicion has timed out, with or
// without confirmations.
func (t *Table) expireSuspicions(now int64) {
	if now < t.noDeathBefore {
		return
	}
	for _, x := range t.rows.list {
		s := x.suspicion
		if s == nil {
			continue
		}
		confirmed := len(s.by) >= t.params.Confirmations && elapsed(now, s.since, t.params.ConfirmedSuspicionTimeout)
		if confirmed || elapsed(now, s.since, t.params.SuspicionTimeout) {
			t.markDead(now, x)
		}
	}
}

func (t *Table) markDead(now int64, x *row) {
	x.suspicion = nil
	x.diedAt = now
	t.setState(now, x, fleet.Dead)
}

// clearSuspicion removes a suspicion that was refuted.
func (t *Table) clearSuspicion(x *row) {
	if x.suspicion == nil {
		return
	}
	x.suspicion = nil
	t.suspicionChanged()
}

func (t *Table) suspicionChanged() {
	t.epoch++
	t.viewDirty = true
	t.neighboursStale = true
}
