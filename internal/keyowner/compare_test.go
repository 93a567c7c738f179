package keyowner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// plain is an instance of the two designs that the chosen one is compared with.
type plain struct {
	m    *model
	n    *node
	free []int // free slots by backend server, of this instance's share
	used []int // what replies told of each backend server
	wait []*plainRequest
	seq  uint64
}

type plainRequest struct {
	o     *outcome
	tries int
}

const plainQueue = 64

// deal gives every slot to one of the instances that this one sees.
func (p *plain) deal() {
	var seen []fleet.ID
	for _, o := range p.m.nodes {
		if p.n.reaches(o) {
			seen = append(seen, o.id)
		}
	}
	for i, b := range p.m.servers {
		share := 0
		for s := range b.row.Slots {
			best := seen[0]
			for _, id := range seen {
				if pair.Rank(id, uint64(i*64+s)) > pair.Rank(best, uint64(i*64+s)) {
					best = id
				}
			}
			if best == p.n.id {
				share++
			}
		}
		p.free[i] += share - p.used[i]
		p.used[i] = share
	}
}

func (p *plain) send(b int, r *plainRequest, end func(admission.Run)) {
	p.seq++
	r.tries++
	id := admission.AttemptID{Owner: pair.Holder{ID: p.n.id, Incarnation: p.n.inc}, Seq: p.seq}
	p.m.after(p.m.delay(), func() {
		left := time.Duration(r.o.deadline - p.m.now)
		p.m.servers[b].start(p.m, id, r.o.id, max(left, 0), func(run admission.Run) {
			p.m.after(p.m.delay(), func() { end(run) })
		})
	})
}

// shares uses only the slots that were dealt to this instance.
func (p *plain) shares(r *plainRequest) {
	if len(p.wait) >= plainQueue {
		r.o.take(p.m, request.Refuse(request.Overloaded))
		return
	}
	p.wait = append(p.wait, r)
	p.pump()
}

func (p *plain) pump() {
	for len(p.wait) > 0 {
		best := -1
		for b, free := range p.free {
			if free > 0 && (best < 0 || free > p.free[best]) {
				best = b
			}
		}
		if best < 0 {
			return
		}
		r := p.wait[0]
		p.wait = p.wait[1:]
		if p.m.now > r.o.deadline-30*ms {
			r.o.take(p.m, request.Refuse(request.TooLate))
			continue
		}
		p.free[best]--
		p.send(best, r, func(run admission.Run) {
			p.free[best]++
			r.o.take(p.m, run.Result)
			p.pump()
		})
	}
}

// twoChoices sends to the better of two by the load last heard of, and again after
// an exponential back-off when that sheds.
func (p *plain) twoChoices(r *plainRequest) {
	a, b := p.m.rng.IntN(len(p.used)), p.m.rng.IntN(len(p.used))
	if p.used[b] < p.used[a] {
		a = b
	}
	p.send(a, r, func(run admission.Run) {
		p.used[a] = len(p.m.servers[a].running)
		backoff := time.Duration(p.m.rng.Int64N(10 * ms << r.tries))
		if !run.Shed || r.tries >= 5 || p.m.now+int64(backoff) > r.o.deadline {
			r.o.take(p.m, run.Result)
			return
		}
		p.m.after(backoff, func() { p.twoChoices(r) })
	})
}

// compare offers a load to one design. Half of it comes through one instance.
func compare(design string, times float64, split bool) (load, int) {
	m := newModel(9, []int{3, 3}, 3, 4)
	m.skew = 0.5
	m.runUntil(epoch + int64(4*time.Second))
	tries := 0
	var all []*plain
	for _, n := range m.nodes {
		all = append(all, &plain{m: m, n: n, free: make([]int, len(m.servers)), used: make([]int, len(m.servers))})
	}
	redeal := func() {
		for _, p := range all {
			m.after(time.Duration(m.rng.Int64N(500*ms)), p.deal)
		}
	}
	if design == "shares" {
		for _, p := range all {
			p.deal()
		}
		m.changed = redeal
	}
	if design != "owner" {
		m.via = func(o *outcome, first *node) {
			p := all[0]
			for _, x := range all {
				if x.n == first {
					p = x
				}
			}
			r := &plainRequest{o: o}
			m.after(0, func() {
				if design == "shares" {
					p.shares(r)
				} else {
					p.twoChoices(r)
				}
			})
		}
	}
	if split {
		m.after(4*time.Second, func() { m.split(0b010101) })
		m.after(8*time.Second, func() { m.split(0) })
	}
	l := offer(m, times, 500*time.Millisecond)
	for _, p := range all {
		tries += int(p.seq)
	}
	if design != "owner" {
		l.attempts = float64(tries) / float64(len(m.requests))
	}
	return l, len(m.requests)
}

// TestCompareDesigns prints the table of the design note and holds what decided it.
func TestCompareDesigns(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		times float64
		split bool
	}{{0.7, false}, {0.7, true}, {2, false}, {10, false}} {
		for _, d := range []string{"owner", "shares", "two choices"} {
			l, n := compare(d, c.times, c.split)
			row := fmt.Sprintf("| %.1fx%s | %s | %d | %.3f | %.2f | %.1f%% | %.1f%% | %v |", c.times, map[bool]string{true: ", partition"}[c.split], d,
				l.exceeded, l.goodput, l.attempts, 100*float64(l.sum[request.Refused])/float64(n), 100*float64(l.sum[request.Unknown]+l.sum["none"])/float64(n), l.p99.Round(time.Millisecond))
			t.Log(row)
			if d == "owner" {
				is.Equal(l.exceeded, 0)
			}
		}
	}
}
