package suspicion

import "time"

// failure is a request or an opening packet that was not answered, and at the time when it
// was forwarded: what it shows about the server is from then.
type failure struct {
	source uint64
	at     int64
	// unreported says that the peers don't know of it.
	unreported bool
}

// failureList holds the newest failures of one kind, the newest first.
type failureList [deadThreshold]failure

// insert adds a failure, unless all that are held are newer. It reports whether it did.
func (l *failureList) insert(f failure) bool {
	for i := range l {
		if f.at >= l[i].at {
			copy(l[i+1:], l[i:])
			l[i] = f
			return true
		}
	}
	return false
}

// count returns the number of failures that are later than after and not older than span.
func (l *failureList) count(after, now int64, span time.Duration) int {
	n := 0
	for _, f := range l {
		if f.at > after && now-f.at <= int64(span) {
			n++
		}
	}
	return n
}

// circuit is a circuit breaker for one kind of failure of a server. It opens on
// several failures without a success between them. When the suspicion ends, it is
// half-open and allows trials.
type circuit struct {
	// failures not later than lastSuccess, the time of the last success, don't count.
	failures    failureList
	lastSuccess int64
	// since and until are the start and the end of the last suspicion, duration is its
	// length. The circuit stays tripped (open, then half-open) until a success.
	since    int64
	until    int64
	duration time.Duration
	tripped  bool
}

// recordFailure records a failure and reports whether it makes the server suspected.
func (c *circuit) recordFailure(f failure, now int64) bool {
	if !c.insert(f) || c.until > now {
		return false
	}
	if !c.tripped && c.failures.count(c.lastSuccess, c.failures[0].at, failureWindow) < suspicionThreshold {
		return false
	}
	c.trip(now)
	return true
}

// insert adds a failure to the newest ones. It returns false if the failure shows nothing
// new: a later packet was answered, or all failures held are newer.
func (c *circuit) insert(f failure) bool {
	return f.at > c.lastSuccess && c.failures.insert(f)
}

// trip starts a suspicion. If there was no success since the last one started, it
// lasts twice as long as that one, up to maxSuspicion.
func (c *circuit) trip(now int64) {
	if c.tripped {
		c.duration = min(2*c.duration, maxSuspicion)
	} else {
		c.duration = minSuspicion
	}
	c.tripped = true
	c.since, c.until = now, now+int64(c.duration)
}

// recordSuccess records a success and closes the circuit.
func (c *circuit) recordSuccess(now int64) Refutation {
	r := Refutation{Refutes: c.tripped || c.failures.count(c.lastSuccess, now, deadWindow) > 0, Ended: c.tripped}
	c.lastSuccess, c.tripped, c.until = now, false, min(c.until, now)
	return r
}

// blocks reports whether the server must not get a new flow now, given the time of
// its last trial.
func (c *circuit) blocks(lastTrial, now int64) bool {
	return c.tripped && (c.until > now || now-lastTrial < int64(trialInterval))
}
