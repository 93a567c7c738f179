package health

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// ReportKind is the kind of a Report.
type ReportKind uint8

// The kinds of reports between instances about a backend server.
const (
	// Query asks whether the receiver has recently had an answer from it.
	Query ReportKind = iota + 1
	// ProbesFail is sent by an instance whose probes fail, RequestsFail by one
	// whose requests fail.
	ProbesFail
	RequestsFail
	// RequestAnswered is sent by an instance that has recently had an answer to a
	// request.
	RequestAnswered
	// ColdStart is sent by an instance that has detected a cold start.
	ColdStart
)

// Report is a message from one instance to another about a backend server.
type Report struct {
	Kind   ReportKind    `json:"kind"`
	Server config.Number `json:"server"`
}

// Outgoing is a report with its receiver.
type Outgoing struct {
	To     fleet.ID
	Report Report
}

// Probe requests one probe of a backend server. The result is passed to
// Table.Observe.
type Probe struct {
	Server config.Number
	URL    string
}

// Outcome holds the decisions of one tick.
type Outcome struct {
	Probes        []Probe
	Reports       []Outgoing
	Announcements []flow.Announcement
	// Withheld lists backend servers that seem down but remain in service because
	// half of their service is down already.
	Withheld []config.Number
}

// Table is one instance's view of the health of the backend servers. All times are
// in nanoseconds of Unix time and must never decrease. It is not safe for
// concurrent use.
type Table struct {
	params Params
	self   fleet.ID
	// usable lists the usable instances of each data centre.
	usable  map[string][]fleet.ID
	rows    []*row
	random  *rand.Rand
	outcome Outcome
}

// New returns an empty table for an instance.
func New(self fleet.ID, p Params, seed uint64) *Table {
	return &Table{
		params: p,
		self:   self,
		random: rand.New(rand.NewPCG(seed, uint64(len(self)))),
	}
}

// Configure replaces the list of backend servers, which must be in order of Number.
func (t *Table) Configure(now int64, servers []Server) {
	next := make([]*row, 0, len(servers))
	for _, s := range servers {
		r := t.get(s.Number)
		if r == nil {
			r = &row{}
		}
		r.Server = s
		next = append(next, r)
	}
	t.rows = next
	t.assign(now)
}

// SetView sets the table of instances, from which probers are chosen.
func (t *Table) SetView(now int64, v *fleet.View) {
	byDataCentre := usable(v)
	if maps.EqualFunc(byDataCentre, t.usable, slices.Equal) {
		return
	}
	t.usable = byDataCentre
	t.assign(now)
}

// SetConditions applies announcements received from the fleet.
func (t *Table) SetConditions(list []flow.Announcement) {
	for _, a := range list {
		if r := t.get(a.Server); r != nil && a.Sequence >= r.condition.Sequence {
			r.condition = a
		}
	}
}

// Observe records the result of a probe.
func (t *Table) Observe(now int64, n config.Number, ok bool) {
	r := t.get(n)
	if r == nil || !r.inFlight {
		return
	}
	r.inFlight = false
	r.addProbe(ok, t.params)
	r.nextProbe = max(r.nextProbe+int64(t.interval(r)), now)
}

// interval returns the time from the start of one probe to the next, which is
// short while the result is about to change.
func (t *Table) interval(r *row) time.Duration {
	falling := r.probeFailures > 0 && r.probeFailures < 2*t.params.Failures
	rising := r.probesDown && r.probePasses > 0
	if falling || rising {
		return t.params.FastPeriod
	}
	return t.params.Period
}

// AddEvidence records evidence from traffic.
func (t *Table) AddEvidence(list []flow.Evidence) {
	for _, e := range list {
		if r := t.get(e.Server); r != nil {
			r.traffic.add(e)
		}
	}
}

// ReportColdStart reports a cold start that was detected from traffic.
func (t *Table) ReportColdStart(now int64, n config.Number) {
	if r := t.get(n); r != nil {
		t.reportToPrimary(now, r, ColdStart)
	}
}

// Release records that no flows remain recorded because of the backend server's
// condition, so that its primary prober may announce it healthy.
func (t *Table) Release(n config.Number) {
	if r := t.get(n); r != nil {
		r.released = true
	}
}

// Receive processes a report from an authenticated peer.
func (t *Table) Receive(now int64, from fleet.ID, report Report) {
	r := t.get(report.Server)
	if r == nil {
		return
	}
	if report.Kind == Query {
		t.answerQuery(now, from, r)
		return
	}
	r.addReport(receivedReport{from: from, kind: report.Kind, at: now})
}

// Tick updates the conditions of the servers whose primary prober is this instance.
// It returns the probes, reports and announcements that are due, for the caller to
// send.
func (t *Table) Tick(now int64) Outcome {
	selfFaulty := t.seemsFaulty(now)
	for _, r := range t.rows {
		t.probe(now, r)
		t.report(now, r, selfFaulty)
		if r.primary {
			t.decide(now, r)
		}
	}
	outcome := t.outcome
	t.outcome = Outcome{}
	return outcome
}

func (t *Table) get(n config.Number) *row {
	at, ok := slices.BinarySearchFunc(t.rows, n, func(r *row, n config.Number) int {
		return cmp.Compare(r.Number, n)
	})
	if !ok {
		return nil
	}
	return t.rows[at]
}

// assign chooses the probers of each backend server. If this instance newly becomes
// one, it starts without earlier probe results.
func (t *Table) assign(now int64) {
	for _, r := range t.rows {
		r.probers = Probers(t.usable[r.DataCentre], r.Number)
		probing := slices.Contains(r.probers, t.self)
		if probing && !r.probing {
			r.probeFailures, r.probePasses, r.probesDown, r.inFlight = 0, 0, false, false
			r.nextProbe = now + t.random.Int64N(int64(t.params.Period))
		}
		r.probing = probing
		r.primary = len(r.probers) > 0 && r.probers[0] == t.self
	}
}

// probe adds a probe to the outcome if one is due. A server without an endpoint is
// judged by traffic alone.
func (t *Table) probe(now int64, r *row) {
	if !r.probing || r.URL == "" || r.inFlight || now < r.nextProbe {
		return
	}
	r.inFlight = true
	r.nextProbe = now
	t.outcome.Probes = append(t.outcome.Probes, Probe{Server: r.Number, URL: r.URL})
}
