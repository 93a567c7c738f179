package keyowner_test

import (
	"fmt"
	"time"

	"balsamfork/internal/keyowner"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// callerRequest is one request as its caller sees it.
type callerRequest struct {
	id         string
	atMostOnce bool
	deadline   int64
	sentAt     int64
	result     request.Result
	hasResult  bool
	resultAt   int64
	copies     int
}

// call sends a request, and sends copies through random instances every resendAfter
// until the caller has a result or the timeout has passed.
func (m *model) call(timeout time.Duration, atMostOnce bool, resendAfter time.Duration) {
	o := &callerRequest{id: fmt.Sprint("k", len(m.requests)), atMostOnce: atMostOnce, sentAt: m.now, deadline: m.now + int64(timeout)}
	m.requests = append(m.requests, o)
	first := m.nodes[m.rng.IntN(len(m.nodes))]
	if m.rng.Float64() < m.firstShare {
		first = m.nodes[0]
	}
	if m.altSend != nil {
		o.copies++
		m.altSend(o, first)
		return
	}
	key := request.Key{ID: o.id, Created: (m.now + m.rng.Int64N(20*ms) - 10*ms) / ms, Home: first.dc}
	m.sendCopy(o, key, first, resendAfter)
}

func (m *model) sendCopy(o *callerRequest, key request.Key, via *node, resendAfter time.Duration) {
	if o.hasResult || m.now >= o.deadline {
		return
	}
	o.copies++
	via.runOn(via.incarnation, func() { via.forward(o, key, 0) })
	m.after(resendAfter, func() { m.sendCopy(o, key, m.nodes[m.rng.IntN(len(m.nodes))], resendAfter) })
}

// forward sends a copy to the owner of its key in the view of the instance. If the
// owner is stopping, it sends the copy to the next one instead, twice at most.
func (n *node) forward(o *callerRequest, key request.Key, skip int) {
	to, found := n.members.First(pair.KeyOf(key.ID), key.Home, "", skip)
	if !found {
		return
	}
	incarnation := n.incarnation
	r := &request.Request{Key: key, Service: "orders", Method: "add", Repeatable: !o.atMostOnce, Deadline: o.deadline + n.clockOffset}
	n.send(to, func(w *node) {
		w.seq++
		w.results[w.seq] = func(res request.Result) {
			n.reply(w, incarnation, func() {
				if res.Reason == request.Stopping && skip < 2 {
					n.forward(o, key, skip+1)
					return
				}
				o.receiveResult(n.m, res)
			})
		}
		w.owner.Run(w.now(), w.seq, r)
	})
}

// receiveResult records the first result that arrives before the deadline.
func (o *callerRequest) receiveResult(m *model, r request.Result) {
	if o.hasResult || m.now > o.deadline {
		return
	}
	if r.Status == request.Refused && !o.atMostOnce && o.copies > 1 {
		// The refusal of a repeatable request covers one copy only: another may have
		// run.
		r = request.UnknownResult(r.Reason)
	}
	o.hasResult, o.result, o.resultAt = true, r, m.now
}

// violations counts the violations of each guarantee, by name.
func (m *model) violations() map[string]int {
	bad := make(map[string]int)
	runs := make(map[string]int)
	for _, b := range m.servers {
		bad["slots exceeded"] += b.slotsExceeded
		for k, n := range b.runsByKey {
			runs[k] += n
		}
	}
	for _, o := range m.requests {
		if o.atMostOnce && runs[o.id] > 1 {
			bad["run twice"]++
		}
		if o.hasResult && o.result.Status == request.Refused && runs[o.id] > 0 {
			bad["false refusals"]++
		}
		if o.hasResult && o.result.Status == request.Answered && string(o.result.Value) != `"`+o.id+`"` {
			bad["crossed answers"]++
		}
	}
	for k, n := range bad {
		if n == 0 {
			delete(bad, k)
		}
	}
	return bad
}

// countByStatus counts the requests by the status that their callers got; "none" is
// no result.
func (m *model) countByStatus() map[request.Status]int {
	t := make(map[request.Status]int)
	for _, o := range m.requests {
		if o.hasResult {
			t[o.result.Status]++
			continue
		}
		t["none"]++
	}
	return t
}

// ownerCounts sums the counts of all owners.
func (m *model) ownerCounts() keyowner.Counts {
	var sum keyowner.Counts
	for _, n := range m.nodes {
		c := n.owner.Counts()
		sum.Requests += c.Requests
		sum.Attempts += c.Attempts
		sum.Retries += c.Retries
		sum.Joined += c.Joined
		sum.Claims += c.Claims
	}
	return sum
}
