package keyowner_test

import (
	"fmt"
	"time"

	"balsamfork/internal/keyowner"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// outcome is what the caller of one request knows.
type outcome struct {
	id       string
	once     bool
	deadline int64
	began    int64
	result   request.Result
	got      bool
	doneAt   int64
	copies   int
}

// call lets a caller send a request, and again through other instances until it
// has a result or its time is up.
func (m *model) call(timeout time.Duration, once bool, patience time.Duration) {
	o := &outcome{id: fmt.Sprint("k", len(m.requests)), once: once, began: m.now, deadline: m.now + int64(timeout)}
	m.requests = append(m.requests, o)
	first := m.nodes[m.rng.IntN(len(m.nodes))]
	if m.rng.Float64() < m.skew {
		first = m.nodes[0]
	}
	if m.via != nil {
		o.copies++
		m.via(o, first)
		return
	}
	key := request.Key{ID: o.id, Created: (m.now + m.rng.Int64N(20*ms) - 10*ms) / ms, Home: first.dc}
	m.copy(o, key, first, patience)
}

func (m *model) copy(o *outcome, key request.Key, via *node, patience time.Duration) {
	if o.got || m.now >= o.deadline {
		return
	}
	o.copies++
	via.on(via.inc, func() { via.enter(o, key, 0) })
	m.after(patience, func() { m.copy(o, key, m.nodes[m.rng.IntN(len(m.nodes))], patience) })
}

// enter passes a copy on to the owner that the instance sees.
func (n *node) enter(o *outcome, key request.Key, skip int) {
	to, found := n.members.First(pair.Name(key.ID), key.Home, "", skip)
	if !found {
		return
	}
	inc := n.inc
	r := &request.Request{Key: key, Service: "orders", Method: "add", Repeatable: !o.once, Deadline: o.deadline + n.offset}
	n.send(to, func(w *node) {
		w.seq++
		w.results[w.seq] = func(res request.Result) {
			n.back(w, inc, func() {
				if res.Reason == request.Stopping && skip < 2 {
					n.enter(o, key, skip+1)
					return
				}
				o.take(n.m, res)
			})
		}
		w.owner.Run(w.now(), w.seq, r)
	})
}

func (o *outcome) take(m *model, r request.Result) {
	if o.got || m.now > o.deadline {
		return
	}
	if r.Status == request.Refused && !o.once && o.copies > 1 {
		// The refusal of a request that may be repeated is about one copy.
		r = request.Unsure(r.Reason)
	}
	o.got, o.result, o.doneAt = true, r, m.now
}

// faults in what was seen, by name.
func (m *model) check() map[string]int {
	bad := make(map[string]int)
	runs := make(map[string]int)
	for _, b := range m.servers {
		bad["slots exceeded"] += b.exceeded
		for k, n := range b.keys {
			runs[k] += n
		}
	}
	for _, o := range m.requests {
		if o.once && runs[o.id] > 1 {
			bad["run twice"]++
		}
		if o.got && o.result.Status == request.Refused && runs[o.id] > 0 {
			bad["false refusals"]++
		}
		if o.got && o.result.Status == request.Answered && string(o.result.Value) != `"`+o.id+`"` {
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

// tally counts the requests by what their callers know.
func (m *model) tally() map[request.Status]int {
	t := make(map[request.Status]int)
	for _, o := range m.requests {
		if o.got {
			t[o.result.Status]++
			continue
		}
		t["none"]++
	}
	return t
}

func (m *model) counts() keyowner.Counts {
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
