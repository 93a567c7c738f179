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

// altInstance is an instance that runs one of the two alternative designs: fixed slot
// shares per instance, or two random choices without admission.
type altInstance struct {
	m           *model
	n           *node
	freeSlots   []int // unused slots of this instance's share, by backend server
	shareOrLoad []int // by backend server: slots of this share, or load when last reported
	queue       []*altRequest
	seq         uint64
}

type altRequest struct {
	o     *callerRequest
	tries int
}

// altQueueLimit bounds the requests that wait at one instance.
const altQueueLimit = 64

// assignSlots assigns every slot to one of the reachable instances by rendezvous
// hashing and updates this instance's share.
func (p *altInstance) assignSlots() {
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
		p.freeSlots[i] += share - p.shareOrLoad[i]
		p.shareOrLoad[i] = share
	}
}

func (p *altInstance) send(b int, r *altRequest, end func(admission.Run)) {
	p.seq++
	r.tries++
	id := admission.AttemptID{Owner: pair.Holder{ID: p.n.id, Incarnation: p.n.incarnation}, Seq: p.seq}
	p.m.after(p.m.delay(), func() {
		left := time.Duration(r.o.deadline - p.m.now)
		p.m.servers[b].start(p.m, id, r.o.id, max(left, 0), func(run admission.Run) {
			p.m.after(p.m.delay(), func() { end(run) })
		})
	})
}

// sendWithinShare queues a request for the slots that are assigned to this instance.
func (p *altInstance) sendWithinShare(r *altRequest) {
	if len(p.queue) >= altQueueLimit {
		r.o.receiveResult(p.m, request.RefusedResult(request.Overloaded))
		return
	}
	p.queue = append(p.queue, r)
	p.dispatchQueued()
}

func (p *altInstance) dispatchQueued() {
	for len(p.queue) > 0 {
		best := -1
		for b, freeSlots := range p.freeSlots {
			if freeSlots > 0 && (best < 0 || freeSlots > p.freeSlots[best]) {
				best = b
			}
		}
		if best < 0 {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		if p.m.now > r.o.deadline-30*ms {
			r.o.receiveResult(p.m, request.RefusedResult(request.DeadlinePassed))
			continue
		}
		p.freeSlots[best]--
		p.send(best, r, func(run admission.Run) {
			p.freeSlots[best]++
			r.o.receiveResult(p.m, run.Result)
			p.dispatchQueued()
		})
	}
}

// twoChoices sends to the less loaded of two random backend servers, by the load last
// reported, and retries after an exponential back-off if the request is shed.
func (p *altInstance) twoChoices(r *altRequest) {
	a, b := p.m.rng.IntN(len(p.shareOrLoad)), p.m.rng.IntN(len(p.shareOrLoad))
	if p.shareOrLoad[b] < p.shareOrLoad[a] {
		a = b
	}
	p.send(a, r, func(run admission.Run) {
		p.shareOrLoad[a] = len(p.m.servers[a].running)
		backoff := time.Duration(p.m.rng.Int64N(10 * ms << r.tries))
		if !run.Shed || r.tries >= 5 || p.m.now+int64(backoff) > r.o.deadline {
			r.o.receiveResult(p.m, run.Result)
			return
		}
		p.m.after(backoff, func() { p.twoChoices(r) })
	})
}

// runDesign offers a load to one design and returns its result and the number of
// requests. Half of the requests come through one instance.
func runDesign(design string, loadFactor float64, partition bool) (loadResult, int) {
	m := newModel(9, []int{3, 3}, 3, 4)
	m.firstShare = 0.5
	m.runUntil(epoch + int64(4*time.Second))
	tries := 0
	var all []*altInstance
	for _, n := range m.nodes {
		all = append(all, &altInstance{m: m, n: n, freeSlots: make([]int, len(m.servers)), shareOrLoad: make([]int, len(m.servers))})
	}
	reassign := func() {
		for _, p := range all {
			m.after(time.Duration(m.rng.Int64N(500*ms)), p.assignSlots)
		}
	}
	if design == "shares" {
		for _, p := range all {
			p.assignSlots()
		}
		m.onChange = reassign
	}
	if design != "owner" {
		m.altSend = func(o *callerRequest, first *node) {
			p := all[0]
			for _, x := range all {
				if x.n == first {
					p = x
				}
			}
			r := &altRequest{o: o}
			m.after(0, func() {
				if design == "shares" {
					p.sendWithinShare(r)
				} else {
					p.twoChoices(r)
				}
			})
		}
	}
	if partition {
		m.after(4*time.Second, func() { m.partition(0b010101) })
		m.after(8*time.Second, func() { m.partition(0) })
	}
	l := offerLoad(m, loadFactor, 500*time.Millisecond)
	for _, p := range all {
		tries += int(p.seq)
	}
	if design != "owner" {
		l.attempts = float64(tries) / float64(len(m.requests))
	}
	return l, len(m.requests)
}

// TestCompareDesigns prints the table of the design note that compares three designs,
// and checks that the chosen one never exceeds the slots of a backend server.
func TestCompareDesigns(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		loadFactor float64
		partition  bool
	}{{0.7, false}, {0.7, true}, {2, false}, {10, false}} {
		for _, d := range []string{"owner", "shares", "two choices"} {
			l, n := runDesign(d, c.loadFactor, c.partition)
			row := fmt.Sprintf("| %.1fx%s | %s | %d | %.3f | %.2f | %.1f%% | %.1f%% | %v |", c.loadFactor, map[bool]string{true: ", partition"}[c.partition], d,
				l.slotsExceeded, l.goodput, l.attempts, 100*float64(l.sum[request.Refused])/float64(n), 100*float64(l.sum[request.Unknown]+l.sum["none"])/float64(n), l.p99.Round(time.Millisecond))
			t.Log(row)
			if d == "owner" {
				is.Equal(l.slotsExceeded, 0)
			}
		}
	}
}
