package health

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// row is one backend server of the table.
type row struct {
	Server
	// probers are who probes it; the first is its keeper.
	probers []fleet.ID
	probing bool
	keeping bool

	nextProbe int64
	inFlight  bool
	fails     int
	passes    int
	down      bool

	traffic traffic
	// lastSaid is when this instance last reported the server down.
	lastSaid int64
	// asked is when the keeper first asked the others about this failure.
	asked int64
	heard []statement

	condition flow.Announcement
	// fallen are the times of recent failures, oldest first.
	fallen   []int64
	released bool
}

// traffic is what requests have shown of a backend server.
type traffic struct {
	answered    int64
	failures    int
	firstFailed int64
	lastFailed  int64
}

// statement is the newest report of one instance about a backend server.
type statement struct {
	from fleet.ID
	kind ReportKind
	at   int64
}

func (r *row) hear(s statement) {
	r.heard = slices.DeleteFunc(r.heard, func(x statement) bool { return x.from == s.from })
	r.heard = append(r.heard, s)
}

// says reports whether another instance has made a report of the kind since a time.
func (r *row) says(kind ReportKind, since int64) bool {
	return slices.ContainsFunc(r.heard, func(s statement) bool { return s.kind == kind && s.at >= since })
}

// probed takes the result of one probe.
func (r *row) probed(ok bool, p Params) {
	if ok {
		r.fails = 0
		r.passes++
	} else {
		r.passes = 0
		r.fails++
	}
	switch {
	case r.fails >= p.Failures:
		r.down = true
	case r.passes >= p.Passes:
		r.down = false
	}
}

// add takes what one request has shown. A server that sheds or is slow lives.
func (t *traffic) add(e flow.Evidence) {
	if e.Kind != flow.Failed {
		t.answered = max(t.answered, e.At)
		t.failures = 0
		return
	}
	if t.failures == 0 {
		t.firstFailed = e.At
	}
	t.failures++
	t.lastFailed = e.At
}

// alive reports whether a request was answered lately.
func (t *traffic) alive(now int64, p Params) bool {
	return t.answered > 0 && now-t.answered < int64(p.Fresh) && t.failures < p.TrafficFailures
}

// failing reports whether requests fail one after the other, now.
func (t *traffic) failing(now int64, p Params) bool {
	return t.failures >= p.TrafficFailures &&
		t.lastFailed-t.firstFailed >= int64(p.TrafficSpan) &&
		now-t.lastFailed < int64(p.Fresh)
}
