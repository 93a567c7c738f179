package health

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// row is the state of one backend server in the table.
type row struct {
	Server
	// probers are the instances that probe the server; the first is its primary
	// prober. probing and primary state whether this instance is among them, and
	// whether it is the first.
	probers []fleet.ID
	probing bool
	primary bool

	nextProbe     int64
	inFlight      bool
	probeFailures int
	probePasses   int
	probesDown    bool

	traffic traffic
	// lastReported is when this instance last reported the server down.
	lastReported int64
	// queriedAt is when the primary prober last queried the other instances about
	// the present failure, or zero.
	queriedAt int64
	reports   []receivedReport

	condition flow.Announcement
	// downTimes are the times at which the server was recently announced down,
	// oldest first.
	downTimes []int64
	released  bool
}

// traffic is the evidence that requests have given about a backend server.
type traffic struct {
	lastAnswered int64
	failures     int
	firstFailed  int64
	lastFailed   int64
}

// receivedReport is the newest report of one instance about a backend server.
type receivedReport struct {
	from fleet.ID
	kind ReportKind
	at   int64
}

func (r *row) addReport(s receivedReport) {
	r.reports = slices.DeleteFunc(r.reports, func(x receivedReport) bool { return x.from == s.from })
	r.reports = append(r.reports, s)
}

// reported reports whether an instance has made a report of the kind since a time.
func (r *row) reported(kind ReportKind, since int64) bool {
	return slices.ContainsFunc(r.reports, func(s receivedReport) bool { return s.kind == kind && s.at >= since })
}

// addProbe records the result of one probe.
func (r *row) addProbe(ok bool, p Params) {
	if ok {
		r.probeFailures = 0
		r.probePasses++
	} else {
		r.probePasses = 0
		r.probeFailures++
	}
	switch {
	case r.probeFailures >= p.Failures:
		r.probesDown = true
	case r.probePasses >= p.Passes:
		r.probesDown = false
	}
}

// add records the evidence of one request. An answer that is slow or rejects the
// request to shed load still shows that the server is up.
func (t *traffic) add(e flow.Evidence) {
	if e.Kind != flow.Failed {
		t.lastAnswered = max(t.lastAnswered, e.At)
		t.failures = 0
		return
	}
	if t.failures == 0 {
		t.firstFailed = e.At
	}
	t.failures++
	t.lastFailed = e.At
}

// answeredRecently reports whether a request was answered within
// Params.EvidenceTTL, with fewer than Params.TrafficFailures failed since.
func (t *traffic) answeredRecently(now int64, p Params) bool {
	return t.lastAnswered > 0 && now-t.lastAnswered < int64(p.EvidenceTTL) && t.failures < p.TrafficFailures
}

// failing reports whether consecutive requests are failing at present.
func (t *traffic) failing(now int64, p Params) bool {
	return t.failures >= p.TrafficFailures &&
		t.lastFailed-t.firstFailed >= int64(p.TrafficSpan) &&
		now-t.lastFailed < int64(p.EvidenceTTL)
}
