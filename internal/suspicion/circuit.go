package suspicion

import "time"

// account is a request or an opening packet that was not answered.
type account struct {
	source uint64
	at     int64
}

// circuit collects the accounts of one kind against a server. It opens on some of
// them without a sign to the contrary, and lets trials through after a term.
type circuit struct {
	// accounts holds the last accounts, the newest first; those not later than
	// cleared, the last sign to the contrary, don't count.
	accounts [deadAccounts]account
	cleared  int64
	// since and until bound the last suspicion; term is its length. The server is
	// doubtful from its beginning until it is cleared.
	since    int64
	until    int64
	term     time.Duration
	doubtful bool
}

// miss takes an account and reports whether it makes the server suspected.
func (c *circuit) miss(source uint64, now int64) bool {
	copy(c.accounts[1:], c.accounts[:])
	c.accounts[0] = account{source: source, at: now}
	if c.until > now || !c.doubtful && c.count(c.cleared, now, evidenceFor) < needed {
		return false
	}
	c.open(now)
	return true
}

// open begins a suspicion, for twice as long if the last one was right.
func (c *circuit) open(now int64) {
	if c.doubtful {
		c.term = min(2*c.term, lastTerm)
	} else {
		c.term = firstTerm
	}
	c.doubtful = true
	c.since, c.until = now, now+int64(c.term)
}

// count returns the number of accounts in a span until now and after a time.
func (c *circuit) count(after, now int64, span time.Duration) int {
	n := 0
	for _, a := range c.accounts {
		if a.at > after && now-a.at <= int64(span) {
			n++
		}
	}
	return n
}

// clear takes a sign to the contrary.
func (c *circuit) clear(now int64) Refutation {
	r := Refutation{Refutes: c.doubtful || c.count(c.cleared, now, deadWithin) > 0, Ended: c.doubtful}
	c.cleared, c.doubtful, c.until = now, false, min(c.until, now)
	return r
}

// refuses reports whether the server is to get no new flow now, when the last was
// tried at a time.
func (c *circuit) refuses(tried, now int64) bool {
	return c.doubtful && (c.until > now || now-tried < int64(trialEvery))
}
