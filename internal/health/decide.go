package health

import (
	"slices"
	"time"

	"balsamfork/internal/flow"
)

// decide updates the condition of a server whose primary prober is this instance.
func (t *Table) decide(now int64, r *row) {
	switch r.condition.Condition {
	case flow.Down:
		t.decideDown(now, r)
	case flow.Cold:
		t.decideCold(now, r)
	case flow.Recovering:
		if !t.announceIfDown(now, r) && !t.announceIfCold(now, r) && r.released {
			t.announce(now, r, flow.Healthy)
		}
	default:
		if !t.announceIfDown(now, r) {
			t.announceIfCold(now, r)
		}
	}
}

// announceIfCold announces a server cold if traffic has shown a cold start, and
// reports whether it did.
func (t *Table) announceIfCold(now int64, r *row) bool {
	if !r.reported(ColdStart, now-int64(t.params.EvidenceTTL)) {
		return false
	}
	t.announce(now, r, flow.Cold)
	return true
}

// announceIfDown announces a server down if the evidence agrees, and reports
// whether it did. It first queries the other instances and waits for
// Params.QueryWait.
func (t *Table) announceIfDown(now int64, r *row) bool {
	since := now - int64(t.params.EvidenceTTL)
	byTraffic := r.reported(RequestsFail, since)
	byProbes := r.probesDown && t.confirmed(r, since)
	if !r.probesDown && !byTraffic {
		r.queriedAt = 0
		return false
	}
	if r.queriedAt == 0 {
		t.query(now, r)
	}
	contradicted := r.reported(RequestAnswered, since) || r.traffic.answeredRecently(now, t.params)
	switch {
	case contradicted || !(byProbes || byTraffic):
		t.repeatQuery(now, r)
		return false
	case now-r.queriedAt < int64(t.params.QueryWait):
		return false
	case t.atDownLimit(r):
		t.outcome.Withheld = append(t.outcome.Withheld, r.Number)
		return false
	}
	t.announceDown(now, r)
	return true
}

// confirmed reports whether another prober finds the server down as well or, if
// there is no other prober, whether twice as many probes of this instance have
// failed.
func (t *Table) confirmed(r *row, since int64) bool {
	if len(r.probers) < probers {
		return r.probeFailures >= 2*t.params.Failures
	}
	return slices.ContainsFunc(r.reports, func(s receivedReport) bool {
		return s.from != t.self && s.kind == ProbesFail && s.at >= since
	})
}

func (t *Table) repeatQuery(now int64, r *row) {
	if now-r.queriedAt >= int64(t.params.EvidenceTTL) {
		t.query(now, r)
	}
}

func (t *Table) announceDown(now int64, r *row) {
	r.downTimes = slices.DeleteFunc(r.downTimes, func(at int64) bool { return now-at > int64(t.params.FailureWindow) })
	r.downTimes = append(r.downTimes, now)
	t.announce(now, r, flow.Down)
}

// decideDown ends the condition down if too many servers of the service are down,
// or after the minimum time once the probes pass and no requests fail. A server
// without an endpoint needs no passing probes: it receives requests again, which
// show whether it has recovered.
func (t *Table) decideDown(now int64, r *row) {
	if t.beyondDownLimit(r) {
		t.outcome.Withheld = append(t.outcome.Withheld, r.Number)
		t.announce(now, r, flow.Recovering)
		return
	}
	waited := now-r.condition.Since >= t.minDownTime(r)
	passing := r.URL == "" || r.probePasses >= t.params.Passes
	if waited && passing && !r.traffic.failing(now, t.params) {
		t.announce(now, r, flow.Cold)
	}
}

// minDownTime returns the minimum time down in nanoseconds, which doubles with each
// further recent failure.
func (t *Table) minDownTime(r *row) int64 {
	minDownTime := int64(t.params.MinDownTime)
	for range max(0, len(r.downTimes)-1) {
		minDownTime = min(2*minDownTime, int64(t.params.MaxDownTime))
	}
	return minDownTime
}

func (t *Table) decideCold(now int64, r *row) {
	if !t.announceIfDown(now, r) && now-r.condition.Since >= int64(r.Ramp) {
		t.announce(now, r, flow.Recovering)
	}
}

// announce adds an announcement to the outcome. Its Sequence is the time in
// milliseconds and always increases, so that announcements of a primary prober
// that does not know the earlier ones replace them.
func (t *Table) announce(now int64, r *row, c flow.Condition) {
	r.released = false
	r.queriedAt = 0
	r.reports = nil
	r.condition = flow.Announcement{
		Server:    r.Number,
		Condition: c,
		Sequence:  max(r.condition.Sequence+1, uint64(now/int64(time.Millisecond))),
		Since:     now,
	}
	t.outcome.Announcements = append(t.outcome.Announcements, r.condition)
}

// atDownLimit reports whether half of the service is down already.
func (t *Table) atDownLimit(r *row) bool {
	down, all := t.downServers(r.Service)
	return len(down) >= all/2
}

// beyondDownLimit reports whether more than half of the service is down, because
// several primary probers decided at the same time, and this server is among the
// last to have been announced.
func (t *Table) beyondDownLimit(r *row) bool {
	down, all := t.downServers(r.Service)
	if len(down) <= all/2 {
		return false
	}
	slices.SortFunc(down, func(a, b *row) int {
		if a.condition.Since != b.condition.Since {
			return int(a.condition.Since - b.condition.Since)
		}
		return int(a.Number) - int(b.Number)
	})
	return slices.Index(down, r) >= all/2
}

func (t *Table) downServers(service string) (down []*row, all int) {
	for _, r := range t.rows {
		if r.Service != service {
			continue
		}
		all++
		if r.condition.Condition == flow.Down {
			down = append(down, r)
		}
	}
	return down, all
}
