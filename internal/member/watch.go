package member

import (
	"slices"

	"balsamfork/internal/fleet"
)

// watch is the state of one watched instance: when it was last heard, and when
// it was first probed since, or zero.
type watch struct {
	id     fleet.ID
	heard  int64
	probed int64
}

// rewatch watches the instances before this one on the rings. One that is new to
// it has its whole time from now.
func (t *Table) rewatch(now int64) {
	next := make([]watch, 0, rings)
	for _, id := range t.before {
		w := watch{id: id, heard: now}
		if at := t.watchOf(id); at >= 0 {
			w = t.watches[at]
		}
		next = append(next, w)
	}
	t.watches = next
}

func (t *Table) watchOf(id fleet.ID) int {
	return slices.IndexFunc(t.watches, func(w watch) bool { return w.id == id })
}

// hear notes a sign of life.
func (t *Table) hear(now int64, id fleet.ID) {
	if at := t.watchOf(id); at >= 0 {
		t.watches[at].heard = max(now, t.watches[at].heard)
		t.watches[at].probed = 0
	}
}

// beat sends a heartbeat to each watcher.
func (t *Table) beat(now int64) {
	if now < t.nextBeat || t.self.State == fleet.Dead {
		return
	}
	t.nextBeat = max(t.nextBeat+int64(t.params.Heartbeat), now)
	for _, id := range t.watchers {
		t.send(id, Message{Kind: Heartbeat, Digest: t.Digest()})
	}
}

// greet sends a heartbeat at once to each watcher that was not one before.
func (t *Table) greet(known []fleet.ID) {
	for _, id := range t.watchers {
		if !slices.Contains(known, id) {
			t.send(id, Message{Kind: Heartbeat, Digest: t.Digest()})
		}
	}
}

// watchSystem probes the watched that are silent, and suspects those that do not
// answer the probe.
func (t *Table) watchSystem(now int64) {
	if t.self.State == fleet.Dead {
		return
	}
	for n := range t.watches {
		w := &t.watches[n]
		switch {
		case !due(now, w.heard, t.params.Silence):
		case w.probed == 0:
			w.probed = now
			t.probe(w.id)
		case due(now, w.probed, t.params.Probe):
			t.suspect(now, w.id)
			w.probed = 0
			w.heard = now - int64(t.params.Silence/2)
		}
	}
}

// probe asks a silent instance directly and through a few others.
func (t *Table) probe(id fleet.ID) {
	t.send(id, Message{Kind: Ping})
	asked := 0
	for _, helper := range append(slices.Clone(t.after), t.before...) {
		if helper == id || asked == t.params.Helpers {
			continue
		}
		t.send(helper, Message{Kind: PingRequest, Subject: id})
		asked++
	}
}

// suspect adds this instance's own suspicion.
func (t *Table) suspect(now int64, id fleet.ID) {
	x := t.rows.get(id)
	if x == nil || x.State == fleet.Dead {
		return
	}
	t.addSuspicion(now, x, t.self.ID, "")
}

// addSuspicion notes that an instance is suspected, by a peer that has found it
// silent or, with an empty name, because its death was claimed.
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
	t.spread(Update{Kind: Suspicion, Instance: x.Instance, By: by}, from)
}

// suspicionSystem finds those dead whose suspicion was confirmed or has lasted.
func (t *Table) suspicionSystem(now int64) {
	if now < t.verdictsFrom {
		return
	}
	for _, x := range t.rows.list {
		s := x.suspicion
		if s == nil {
			continue
		}
		confirmed := len(s.by) >= t.params.Confirmations && due(now, s.since, t.params.Confirm)
		if confirmed || due(now, s.since, t.params.Suspicion) {
			t.bury(now, x)
		}
	}
}

func (t *Table) bury(now int64, x *row) {
	x.suspicion = nil
	x.died = now
	t.setState(now, x, fleet.Dead)
}

// clear ends a suspicion that was refuted.
func (t *Table) clear(x *row) {
	if x.suspicion == nil {
		return
	}
	x.suspicion = nil
	t.suspicionChanged()
}

func (t *Table) suspicionChanged() {
	t.epoch++
	t.viewDirty = true
	t.moved = true
}
