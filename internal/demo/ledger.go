package demo

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// ledger holds what became of each request, told by its caller and by the
// backend servers that ran it.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*order
	killed  []time.Time
}

// order is one request. began and finished count its runs.
type order struct {
	repeatable bool
	began      int
	finished   int
	outcome    Outcome
	answer     string
	sent       time.Time
	ended      time.Time
}

// crashWindow is how long after a crash a request may end with Unknown because
// of it.
const crashWindow = 5 * time.Second

func newLedger() *ledger { return &ledger{entries: make(map[string]*order)} }

func (l *ledger) open(r Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[r.ID] = &order{repeatable: r.Repeatable, sent: now}
}

func (l *ledger) close(id string, outcome Outcome, answer string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.entries[id]
	o.outcome, o.answer, o.ended = outcome, answer, now
}

func (l *ledger) began(id string) { l.edit(id, func(o *order) { o.began++ }) }

func (l *ledger) finished(id string) { l.edit(id, func(o *order) { o.finished++ }) }

func (l *ledger) edit(id string, change func(*order)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.entries[id]; o != nil {
		change(o)
	}
}

// crash notes that an instance was killed.
func (l *ledger) crash(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = append(l.killed, now)
}

// sent returns how many requests were sent so far.
func (l *ledger) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// requestCounts is the sum of a ledger.
type requestCounts struct {
	Sent, Answered, Refused   int
	RunTwice, FalseRefusals   int
	Lost, Crossed, Unanswered int
	// UnknownAfterCrash counts requests that were under way when an instance was
	// killed and ended with Unknown: the truth about them is not known there.
	UnknownAfterCrash int
	// Doubtful describes the first requests that were not answered as promised.
	Doubtful []string
}

// maxDoubtful bounds requestCounts.Doubtful.
const maxDoubtful = 20

// sum counts what has become of all requests, sent since began.
func (l *ledger) sum(began time.Time) requestCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c requestCounts
	for id, o := range l.entries {
		c.Sent++
		before := c.violations()
		if !o.repeatable && o.began > 1 {
			c.RunTwice++
		}
		switch {
		case o.outcome == Answered && o.answer == id:
			c.Answered++
		case o.outcome == Answered:
			c.Crossed++
		case o.outcome == Refused:
			c.Refused++
			if o.began > 0 {
				c.FalseRefusals++
			}
		case l.crashed(o):
			c.UnknownAfterCrash++
		default:
			c.Unanswered++
			if o.finished > 0 {
				c.Lost++
			}
		}
		if c.violations() > before && len(c.Doubtful) < maxDoubtful {
			c.Doubtful = append(c.Doubtful, fmt.Sprintf("%s, sent at %.1fs, told %q after %.1fs, begun %d times, finished %d",
				id, o.sent.Sub(began).Seconds(), o.answer, o.ended.Sub(o.sent).Seconds(), o.began, o.finished))
		}
	}
	slices.Sort(c.Doubtful)
	return c
}

func (c requestCounts) violations() int {
	return c.RunTwice + c.FalseRefusals + c.Crossed + c.Unanswered
}

// crashed reports whether a request was under way when an instance was killed.
func (l *ledger) crashed(o *order) bool {
	for _, at := range l.killed {
		if o.sent.Before(at.Add(crashWindow)) && o.ended.After(at) {
			return true
		}
	}
	return false
}
