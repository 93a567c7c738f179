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

// ReportKind says what a Report means.
type ReportKind uint8

// The kinds of reports between instances about a backend server.
const (
	// Ask wants to know who has had an answer from it lately.
	Ask ReportKind = iota + 1
	// SaysDown comes from one whose probes fail, TrafficDown from one whose
	// requests do.
	SaysDown
	TrafficDown
	// SaysUp comes from one whose request was answered lately.
	SaysUp
	// SaysCold comes from one that has seen signs of a cold start.
	SaysCold
)

// Report is what one instance tells another about a backend server.
type Report struct {
	Kind   ReportKind    `json:"kind"`
	Server config.Number `json:"server"`
}

// Outgoing is a report with its receiver.
type Outgoing struct {
	To     fleet.ID
	Report Report
}

// Probe asks for one probe of a backend server; Observe takes its result.
type Probe struct {
	Server config.Number
	URL    string
}

// Outcome is what the systems decided in one tick.
type Outcome struct {
	Probes   []Probe
	Reports  []Outgoing
	Announce []flow.Announcement
	// Doubted lists backend servers that seem down and stay in service because
	// half of their service is down already.
	Doubted []config.Number
}

// Table is what one instance knows of the backend servers' health. All times are
// nanoseconds of Unix time on a clock that does not go back. It is not safe for
// concurrent use.
type Table struct {
	params Params
	self   fleet.ID
	// usable lists the usable instances of each data centre.
	usable map[string][]fleet.ID
	rows   []*row
	random *rand.Rand
	out    Outcome
}

// New makes an empty table for an instance.
func New(self fleet.ID, p Params, seed uint64) *Table {
	return &Table{
		params: p,
		self:   self,
		random: rand.New(rand.NewPCG(seed, uint64(len(self)))),
	}
}

// Configure replaces the list of backend servers, which is in order of Number.
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

// SetView gives the table of instances, from which probers are chosen.
func (t *Table) SetView(now int64, v *fleet.View) {
	byDataCentre := usable(v)
	if maps.EqualFunc(byDataCentre, t.usable, slices.Equal) {
		return
	}
	t.usable = byDataCentre
	t.assign(now)
}

// SetConditions gives announcements that are new here.
func (t *Table) SetConditions(list []flow.Announcement) {
	for _, a := range list {
		if r := t.get(a.Server); r != nil && a.Sequence >= r.condition.Sequence {
			r.condition = a
		}
	}
}

// Observe takes the result of a probe.
func (t *Table) Observe(now int64, n config.Number, ok bool) {
	r := t.get(n)
	if r == nil || !r.inFlight {
		return
	}
	r.inFlight = false
	r.probed(ok, t.params)
	r.nextProbe = max(r.nextProbe+int64(t.interval(r)), now)
}

// interval is the time from the start of one probe to the next: short while an
// opinion is about to change.
func (t *Table) interval(r *row) time.Duration {
	falling := r.fails > 0 && r.fails < 2*t.params.Failures
	rising := r.down && r.passes > 0
	if falling || rising {
		return t.params.Fast
	}
	return t.params.Period
}

// Evidence takes what traffic has shown.
func (t *Table) Evidence(list []flow.Evidence) {
	for _, e := range list {
		if r := t.get(e.Server); r != nil {
			r.traffic.add(e)
		}
	}
}

// SawCold takes a sign of a cold start that traffic gave.
func (t *Table) SawCold(now int64, n config.Number) {
	if r := t.get(n); r != nil {
		t.tell(now, r, SaysCold)
	}
}

// Release says that no flow is recorded any more because of the backend server's
// condition, so that its keeper may announce it healthy.
func (t *Table) Release(n config.Number) {
	if r := t.get(n); r != nil {
		r.released = true
	}
}

// Receive takes a report of a peer whose identity is proven.
func (t *Table) Receive(now int64, from fleet.ID, report Report) {
	r := t.get(report.Server)
	if r == nil {
		return
	}
	if report.Kind == Ask {
		t.answer(now, from, r)
		return
	}
	r.hear(statement{from: from, kind: report.Kind, at: now})
}

// Tick runs the systems.
func (t *Table) Tick(now int64) Outcome {
	doubting := t.failingEverywhere(now)
	for _, r := range t.rows {
		t.probe(now, r)
		t.report(now, r, doubting)
		if r.keeping {
			t.keep(now, r)
		}
	}
	out := t.out
	t.out = Outcome{}
	return out
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

// assign chooses the probers of each backend server. One that is new to a server
// starts with an open mind.
func (t *Table) assign(now int64) {
	for _, r := range t.rows {
		r.probers = Probers(t.usable[r.DataCentre], r.Number)
		probing := slices.Contains(r.probers, t.self)
		if probing && !r.probing {
			r.fails, r.passes, r.down, r.inFlight = 0, 0, false, false
			r.nextProbe = now + t.random.Int64N(int64(t.params.Period))
		}
		r.probing = probing
		r.keeping = len(r.probers) > 0 && r.probers[0] == t.self
	}
}

// probe starts a probe that is due. A server without an endpoint is judged by
// traffic alone.
func (t *Table) probe(now int64, r *row) {
	if !r.probing || r.URL == "" || r.inFlight || now < r.nextProbe {
		return
	}
	r.inFlight = true
	r.nextProbe = now
	t.out.Probes = append(t.out.Probes, Probe{Server: r.Number, URL: r.URL})
}
