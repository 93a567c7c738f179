package explain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// before and after bound what is shown around the decisions about a flow: the
	// longest flow of the platform lasts 60 s.
	before = 60 * time.Second
	after  = 10 * time.Second
	// gapWithin is how near to a decision a note about lines that were left out
	// makes the story incomplete.
	gapWithin = 2 * time.Second
)

// Query says which flow is meant. Flow is the caller's address and port; the other
// fields narrow the search where a port was used again, or replace it.
type Query struct {
	Flow     string
	To       string
	Instance string
	From     time.Time
	Until    time.Time
}

func (q *Query) matches(l *Line) bool {
	return l.Flow != "" &&
		(q.Flow == "" || l.Flow == q.Flow) &&
		(q.To == "" || l.To == q.To) &&
		(q.Instance == "" || l.Instance == q.Instance) &&
		(q.From.IsZero() || !l.Time.Before(q.From)) &&
		(q.Until.IsZero() || !l.Time.After(q.Until))
}

// gaps returns notes about lines that were left out in the time that is asked for.
func (q *Query) gaps(lines []Line) []Line {
	if q.From.IsZero() {
		return nil
	}
	var out []Line
	for i := range lines {
		l := &lines[i]
		near := l.Time.After(q.From.Add(-gapWithin)) && l.Time.Before(q.Until.Add(gapWithin))
		if near && l.gap() && (q.Instance == "" || q.Instance == l.Instance) {
			out = append(out, *l)
		}
	}
	return out
}

// Report is the story of a flow.
type Report struct {
	// Decisions are those about the flow, and Context what the instances that took
	// them believed, both in the order of time.
	Decisions []Line
	Context   []Line
	// Gaps are notes about lines that were left out near the decisions, and Silent
	// the instances of which no line is there after a decision.
	Gaps   []Line
	Silent []string
}

// Explain finds the decisions about a flow and what they were based on.
func Explain(lines []Line, q Query) Report {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	var r Report
	for i := range lines {
		if q.matches(&lines[i]) {
			r.Decisions = append(r.Decisions, lines[i])
		}
	}
	if len(r.Decisions) == 0 {
		r.Gaps = q.gaps(lines)
		return r
	}
	s := newScope(r.Decisions)
	heard := map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !s.instances[l.Instance] {
			continue
		}
		heard[l.Instance] = heard[l.Instance] || l.Time.After(s.last)
		switch {
		case l.gap() && s.near(l):
			r.Gaps = append(r.Gaps, *l)
		case s.concerns(l):
			r.Context = append(r.Context, *l)
		}
	}
	for instance := range s.instances {
		if !heard[instance] {
			r.Silent = append(r.Silent, instance)
		}
	}
	slices.Sort(r.Silent)
	return r
}

// scope is what the decisions about a flow involve.
type scope struct {
	instances   map[string]bool
	servers     map[string]bool
	first, last time.Time
}

func newScope(decisions []Line) scope {
	s := scope{instances: map[string]bool{}, servers: map[string]bool{}}
	s.first, s.last = decisions[0].Time, decisions[len(decisions)-1].Time
	for i := range decisions {
		s.instances[decisions[i].Instance] = true
		s.servers[decisions[i].Server] = true
		s.servers[decisions[i].Unanswered] = true
	}
	delete(s.servers, "")
	return s
}

func (s *scope) near(l *Line) bool {
	return l.Time.After(s.first.Add(-gapWithin)) && l.Time.Before(s.last.Add(gapWithin))
}

// concerns reports whether a line tells what the instance believed: of a server
// involved, or, without naming a server, of the configuration, an evacuation, the
// store or itself.
func (s *scope) concerns(l *Line) bool {
	if l.Flow != "" || l.Time.Before(s.first.Add(-before)) || l.Time.After(s.last.Add(after)) {
		return false
	}
	if l.Server != "" {
		return s.servers[l.Server]
	}
	return l.Part != partExchange
}

// partExchange is the part whose lines tell of other instances only.
const partExchange = "exchange"
