package health

import (
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// report sends the primary prober a report, repeated every Params.ReportPeriod,
// while a server seems down to this instance.
func (t *Table) report(now int64, r *row, selfFaulty bool) {
	if r.condition.Condition == flow.Down || now-r.lastReported < int64(t.params.ReportPeriod) {
		return
	}
	switch {
	case r.traffic.failing(now, t.params) && !selfFaulty:
		t.reportToPrimary(now, r, RequestsFail)
		r.lastReported = now
	case r.probing && r.probesDown && !r.traffic.answeredRecently(now, t.params):
		t.reportToPrimary(now, r, ProbesFail)
		r.lastReported = now
	}
}

// reportToPrimary sends a report to the primary prober, which may be this instance.
func (t *Table) reportToPrimary(now int64, r *row, kind ReportKind) {
	if r.primary {
		r.addReport(receivedReport{from: t.self, kind: kind, at: now})
		return
	}
	if len(r.probers) > 0 {
		t.send(r.probers[0], r, kind)
	}
}

// answerQuery answers a primary prober if a request to the server was answered
// recently.
func (t *Table) answerQuery(now int64, from fleet.ID, r *row) {
	if r.traffic.answeredRecently(now, t.params) {
		t.send(from, r, RequestAnswered)
	}
}

func (t *Table) send(to fleet.ID, r *row, kind ReportKind) {
	t.outcome.Reports = append(t.outcome.Reports, Outgoing{To: to, Report: Report{Kind: kind, Server: r.Number}})
}

// query asks every other usable instance of the data centre whether the server has
// recently answered a request.
func (t *Table) query(now int64, r *row) {
	r.queriedAt = now
	for _, id := range t.usable[r.DataCentre] {
		if id != t.self {
			t.send(id, r, Query)
		}
	}
}

// seemsFaulty reports whether requests fail at more than one server and at the
// majority of those that this instance sends requests to. The fault is then more
// likely at this instance.
func (t *Table) seemsFaulty(now int64) bool {
	failing, seen := 0, 0
	for _, r := range t.rows {
		switch {
		case r.traffic.failing(now, t.params):
			failing++
			seen++
		case r.traffic.answeredRecently(now, t.params):
			seen++
		}
	}
	return failing > 1 && failing*2 > seen
}
