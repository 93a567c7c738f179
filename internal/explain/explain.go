package explain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// contextBefore and contextAfter bound the time around the decisions about a
	// flow from which context is shown: the platform's longest flows last 60 s.
	contextBefore = 60 * time.Second
	contextAfter  = 10 * time.Second
	// gapMargin is the greatest distance from the decisions at which omitted log
	// lines are reported as a gap.
	gapMargin = 2 * time.Second
)

// Query selects flows. Flow is the caller's address and port, and To the address and
// port that the flow was sent to. The other fields narrow the search, for example if
// the caller's port was reused, and may be used without Flow. Empty fields match
// everything.
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

// gaps returns the lines that report omitted lines in the time span of the query.
func (q *Query) gaps(lines []Line) []Line {
	if q.From.IsZero() {
		return nil
	}
	var out []Line
	for i := range lines {
		l := &lines[i]
		near := l.Time.After(q.From.Add(-gapMargin)) && l.Time.Before(q.Until.Add(gapMargin))
		if near && l.reportsOmission() && (q.Instance == "" || q.Instance == l.Instance) {
			out = append(out, *l)
		}
	}
	return out
}

// Report is what the logs show about a flow.
type Report struct {
	// Decisions are the lines about the flow, and Context the lines about the state
	// that the deciding instances based them on, both sorted by time.
	Decisions []Line
	Context   []Line
	// Gaps are the lines that report omitted lines near the decisions, and Silent
	// the deciding instances whose log has no line after the last decision.
	Gaps   []Line
	Silent []string
}

// Explain finds the decisions about a flow and the state that they were based on. It
// sorts lines by time in place.
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
	continues := map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !s.instances[l.Instance] {
			continue
		}
		continues[l.Instance] = continues[l.Instance] || l.Time.After(s.last)
		switch {
		case l.reportsOmission() && s.nearDecisions(l):
			r.Gaps = append(r.Gaps, *l)
		case s.isContext(l):
			r.Context = append(r.Context, *l)
		}
	}
	for instance := range s.instances {
		if !continues[instance] {
			r.Silent = append(r.Silent, instance)
		}
	}
	slices.Sort(r.Silent)
	return r
}

// scope is the instances, servers, services and time span of the decisions about a flow.
type scope struct {
	instances   map[string]bool
	servers     map[string]bool
	services    map[string]bool
	first, last time.Time
}

func newScope(decisions []Line) scope {
	s := scope{instances: map[string]bool{}, servers: map[string]bool{}, services: map[string]bool{}}
	s.first, s.last = decisions[0].Time, decisions[len(decisions)-1].Time
	for i := range decisions {
		s.instances[decisions[i].Instance] = true
		s.servers[decisions[i].Server] = true
		s.servers[decisions[i].Unanswered] = true
		s.services[decisions[i].Service] = true
		s.services[decisions[i].OverflowFrom] = true
	}
	delete(s.servers, "")
	return s
}

func (s *scope) nearDecisions(l *Line) bool {
	return l.Time.After(s.first.Add(-gapMargin)) && l.Time.Before(s.last.Add(gapMargin))
}

// isContext reports whether a line is context of the decisions: it is near them in
// time, and concerns an involved server or service or, if it names neither, the
// configuration, an evacuation, the store or the instance itself.
func (s *scope) isContext(l *Line) bool {
	if l.Flow != "" || l.Time.Before(s.first.Add(-contextBefore)) || l.Time.After(s.last.Add(contextAfter)) {
		return false
	}
	if l.Server != "" {
		return s.servers[l.Server]
	}
	if l.Service != "" {
		return s.services[l.Service]
	}
	return l.Part != partExchange
}

// partExchange is the part whose lines without a server concern only other
// instances.
const partExchange = "exchange"
