package demo

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// requestLog records the outcome of each request, as seen by its caller, and its
// runs, as seen by the backend servers.
type requestLog struct {
	mu      sync.Mutex
	entries map[string]*requestRecord
	crashes []time.Time
}

// requestRecord is one request. began and finished count the runs that started and
// completed.
type requestRecord struct {
	repeatable bool
	began      int
	finished   int
	outcome    Outcome
	answer     string
	sent       time.Time
	ended      time.Time
}

// crashWindow is how long after a crash a request may be sent for an Unknown outcome
// to be attributed to the crash.
const crashWindow = 5 * time.Second

func newRequestLog() *requestLog { return &requestLog{entries: make(map[string]*requestRecord)} }

func (l *requestLog) recordSent(r Request, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[r.ID] = &requestRecord{repeatable: r.Repeatable, sent: now}
}

func (l *requestLog) recordOutcome(id string, outcome Outcome, answer string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.entries[id]
	rec.outcome, rec.answer, rec.ended = outcome, answer, now
}

func (l *requestLog) began(id string) { l.update(id, func(rec *requestRecord) { rec.began++ }) }

func (l *requestLog) finished(id string) { l.update(id, func(rec *requestRecord) { rec.finished++ }) }

func (l *requestLog) update(id string, apply func(*requestRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec := l.entries[id]; rec != nil {
		apply(rec)
	}
}

// recordCrash records that an instance was killed.
func (l *requestLog) recordCrash(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, now)
}

// sent returns the number of requests sent so far.
func (l *requestLog) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// requestCounts are the totals of a request log.
type requestCounts struct {
	Sent, Answered, Refused   int
	RunTwice, FalseRefusals   int
	Lost, Crossed, Unanswered int
	// UnknownAfterCrash counts requests that ended with Unknown because an instance
	// was killed: their caller cannot find out whether they ran.
	UnknownAfterCrash int
	// SuspectRequests describes up to maxSuspectRequests requests that broke a
	// promise.
	SuspectRequests []string
}

// maxSuspectRequests is the maximum length of requestCounts.SuspectRequests.
const maxSuspectRequests = 20

// sum returns the totals. Times in SuspectRequests are relative to began.
func (l *requestLog) sum(began time.Time) requestCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c requestCounts
	for id, rec := range l.entries {
		c.Sent++
		before := c.violations()
		if !rec.repeatable && rec.began > 1 {
			c.RunTwice++
		}
		switch {
		case rec.outcome == Answered && rec.answer == id:
			c.Answered++
		case rec.outcome == Answered:
			c.Crossed++
		case rec.outcome == Refused:
			c.Refused++
			if rec.began > 0 {
				c.FalseRefusals++
			}
		case l.affectedByCrash(rec):
			c.UnknownAfterCrash++
		default:
			c.Unanswered++
			if rec.finished > 0 {
				c.Lost++
			}
		}
		if c.violations() > before && len(c.SuspectRequests) < maxSuspectRequests {
			c.SuspectRequests = append(c.SuspectRequests, fmt.Sprintf("%s, sent at %.1fs, told %q after %.1fs, begun %d times, finished %d",
				id, rec.sent.Sub(began).Seconds(), rec.answer, rec.ended.Sub(rec.sent).Seconds(), rec.began, rec.finished))
		}
	}
	slices.Sort(c.SuspectRequests)
	return c
}

// violations returns the number of broken promises. Lost is part of Unanswered.
func (c requestCounts) violations() int {
	return c.RunTwice + c.FalseRefusals + c.Crossed + c.Unanswered
}

// affectedByCrash reports whether a request ended after an instance was killed and
// was sent less than crashWindow after that.
func (l *requestLog) affectedByCrash(rec *requestRecord) bool {
	for _, at := range l.crashes {
		if rec.sent.Before(at.Add(crashWindow)) && rec.ended.After(at) {
			return true
		}
	}
	return false
}
