package health

import (
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// report tells the keeper, again and again, that a server seems down from here.
func (t *Table) report(now int64, r *row, doubting bool) {
	if r.condition.Condition == flow.Down || now-r.lastSaid < int64(t.params.Repeat) {
		return
	}
	switch {
	case r.traffic.failing(now, t.params) && !doubting:
		t.tell(now, r, TrafficDown)
		r.lastSaid = now
	case r.probing && r.down && !r.traffic.alive(now, t.params):
		t.tell(now, r, SaysDown)
		r.lastSaid = now
	}
}

// tell sends a report to the keeper, which may be this instance.
func (t *Table) tell(now int64, r *row, kind ReportKind) {
	if r.keeping {
		r.hear(statement{from: t.self, kind: kind, at: now})
		return
	}
	if len(r.probers) > 0 {
		t.send(r.probers[0], r, kind)
	}
}

// answer tells a keeper that asks of a request that was answered lately.
func (t *Table) answer(now int64, from fleet.ID, r *row) {
	if r.traffic.alive(now, t.params) {
		t.send(from, r, SaysUp)
	}
}

func (t *Table) send(to fleet.ID, r *row, kind ReportKind) {
	t.out.Reports = append(t.out.Reports, Outgoing{To: to, Report: Report{Kind: kind, Server: r.Number}})
}

// ask asks every usable instance of the data centre about a server.
func (t *Table) ask(now int64, r *row) {
	r.asked = now
	for _, id := range t.usable[r.DataCentre] {
		if id != t.self {
			t.send(id, r, Ask)
		}
	}
}

// failingEverywhere reports whether requests fail at most of the servers that
// this instance sends any to: it then doubts itself.
func (t *Table) failingEverywhere(now int64) bool {
	failing, seen := 0, 0
	for _, r := range t.rows {
		switch {
		case r.traffic.failing(now, t.params):
			failing++
			seen++
		case r.traffic.alive(now, t.params):
			seen++
		}
	}
	return failing > 1 && failing*2 > seen
}
