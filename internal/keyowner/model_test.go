package keyowner_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// The model runs the systems of several instances, and backend servers that count
// what they get, in fake time. Every message may be delayed, lost or doubled.

const ms = int64(time.Millisecond)

var timing = admission.Timing{
	Settle: time.Second, Hold: time.Second, Renew: 300 * time.Millisecond,
	MaxRun: time.Second, Margin: 100 * time.Millisecond,
}

var membership = pair.Timing{Settle: timing.Settle, NotesAfter: timing.Settle + request.MaxAhead + 500*time.Millisecond, SilentMemory: 10 * time.Minute}

const epoch = int64(1_700_000_000) * int64(time.Second)

type event struct {
	at  int64
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), e[i].seq-e[j].seq) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type node struct {
	m       *model
	id      fleet.ID
	dc      string
	inc     uint64
	up      bool
	leaving bool
	paused  int64
	offset  int64
	cut     int
	members *pair.Table
	claims  *atmostonce.Claims
	owner   *keyowner.System
	adm     *admission.System
	seq     uint64
	results map[uint64]func(request.Result)
	ends    map[uint64]func(admission.Outcome)
}

type model struct {
	now      int64
	rng      *rand.Rand
	queue    events
	seq      int
	nodes    []*node
	servers  []*backend
	requests []*outcome
	loss     float64
	double   float64
	slow     float64
	messages int
	// skew is the part of the requests that come through the first instance.
	skew float64
	// via replaces the systems under test, changed is called with news.
	via     func(*outcome, *node)
	changed func()
}

func newModel(seed uint64, dcs []int, perDC, slots int) *model {
	m := &model{now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	for d, n := range dcs {
		dc := fmt.Sprint("dc", d)
		for i := range n {
			m.nodes = append(m.nodes, &node{m: m, id: fleet.ID(fmt.Sprint(dc, "-", i)), dc: dc})
		}
		for range perDC {
			m.servers = append(m.servers, &backend{
				row: admission.Server{
					Number: config.Number(len(m.servers) + 1), Service: "orders", DataCentre: dc, Region: "r", Slots: slots,
					Ramp: config.Ramp{Start: 0.1, Duration: 4 * time.Second}, State: config.Active,
				},
				offset:  m.rng.Int64N(20*ms) - 10*ms,
				took:    20 * time.Millisecond,
				running: make(map[admission.AttemptID]func()),
				keys:    make(map[string]int),
			})
		}
	}
	for _, n := range m.nodes {
		n.boot()
	}
	for _, n := range m.nodes {
		n.look()
	}
	return m
}

func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now + int64(d), seq: m.seq, run: f})
}

func (m *model) runUntil(t int64) {
	for len(m.queue) > 0 && m.queue[0].at <= t {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = t
}

func (m *model) delay() time.Duration {
	if m.rng.Float64() < m.slow {
		return time.Duration(m.rng.Int64N(600 * ms))
	}
	return time.Duration(ms/2 + m.rng.Int64N(ms))
}

// boot starts a new run of an instance, which has forgotten everything.
func (n *node) boot() {
	n.up, n.leaving = true, false
	n.offset = n.m.rng.Int64N(20*ms) - 10*ms
	now := n.now()
	n.inc = uint64(now / ms)
	self := pair.Holder{ID: n.id, Incarnation: n.inc}
	n.members = pair.New(membership)
	n.claims = atmostonce.NewClaims(now, timing.Settle, 4096)
	n.claims.NotBefore(now/ms*ms + int64(membership.NotesAfter))
	n.adm = admission.New(now, self, timing, n.members)
	n.owner = keyowner.New(keyowner.Options{
		Self: self, Members: n.members, Claims: n.claims, Table: atmostonce.NewTable(4096, 1<<20),
		Rand: rand.New(rand.NewPCG(n.m.rng.Uint64(), 2)), MaxRun: timing.MaxRun,
	})
	n.results = make(map[uint64]func(request.Result))
	n.ends = make(map[uint64]func(admission.Outcome))
	n.tick(n.inc)
}

func (n *node) now() int64 { return n.m.now + n.offset }

func (n *node) tick(inc uint64) {
	n.m.after(10*time.Millisecond, func() {
		if !n.up || n.inc != inc {
			return
		}
		if n.m.now >= n.paused {
			n.adm.Tick(n.now())
			n.owner.Tick(n.now())
			n.flush()
		}
		n.tick(inc)
	})
}

// reaches reports whether messages pass between two instances.
func (n *node) reaches(o *node) bool { return o.up && n.up && (n == o || n.cut == o.cut) }

// look gives an instance the view that it can have now.
func (n *node) look() {
	if !n.up {
		return
	}
	v := &fleet.View{Self: n.id}
	for _, o := range n.m.nodes {
		state := fleet.Alive
		switch {
		case !n.reaches(o):
			state = fleet.Dead
		case o.leaving:
			state = fleet.Leaving
		}
		v.Instances = append(v.Instances, fleet.Instance{ID: o.id, DataCentre: o.dc, Region: "r", State: state, Incarnation: o.inc})
	}
	n.members.Update(n.now(), v)
	for _, o := range n.m.nodes {
		// The host of a crashed instance refuses to connect; a partition is silent.
		if !o.up && n.cut == o.cut {
			n.members.Gone(n.now(), o.id, o.inc)
		}
	}
	n.tables()
}

func (n *node) tables() {
	var rows []admission.Server
	var all []keyowner.Candidate
	for _, b := range n.m.servers {
		id, found := n.members.First(admission.ServerName(b.row.Number), b.row.DataCentre, "r", 0)
		if b.row.DataCentre == n.dc || id == n.id {
			rows = append(rows, b.row)
		}
		if found && b.row.State == config.Active && b.row.Condition != flow.Down {
			all = append(all, keyowner.Candidate{Server: b.row.Number, Admitter: id, Slots: b.row.Slots})
		}
	}
	n.adm.SetServers(n.now(), rows)
	n.claims.SetAlone(n.now(), n.adm.Alone())
	n.owner.SetServices(map[string][]keyowner.Candidate{"orders": all})
	n.flush()
}

// news lets every instance learn of a change, each at its own time.
func (m *model) news() {
	if m.changed != nil {
		m.changed()
	}
	for _, n := range m.nodes {
		m.after(time.Duration(m.rng.Int64N(int64(timing.Settle)/2)), func() { n.on(n.inc, n.look) })
	}
}

// on runs something at an instance, later if it is paused, never if that run of it
// has ended.
func (n *node) on(inc uint64, f func()) {
	switch {
	case !n.up || n.inc != inc:
	case n.m.now < n.paused:
		n.m.after(time.Duration(n.paused-n.m.now), func() { n.on(inc, f) })
	default:
		f()
	}
}

// send delivers a message; the receiver may have been started anew meanwhile.
func (n *node) send(to fleet.ID, f func(o *node)) {
	m := n.m
	at := slices.IndexFunc(m.nodes, func(o *node) bool { return o.id == to })
	if at < 0 {
		return // replaced by one with another ID
	}
	o := m.nodes[at]
	if o == n {
		inc := n.inc
		m.after(0, func() { n.on(inc, func() { f(n) }) })
		return
	}
	m.messages++
	copies := 1
	if m.rng.Float64() < m.double {
		copies = 2
	}
	for range copies {
		if m.rng.Float64() < m.loss {
			continue
		}
		m.after(m.delay(), func() {
			if n.cut == o.cut {
				o.on(o.inc, func() { f(o); o.flush() })
			}
		})
	}
}

// back answers a message of a run of n.
func (n *node) back(from *node, inc uint64, f func()) {
	from.send(n.id, func(o *node) {
		if o.inc == inc {
			f()
		}
	})
}

func (n *node) flush() {
	for {
		own, adm := n.owner.Effects(), n.adm.Effects()
		if len(own)+len(adm) == 0 {
			return
		}
		for _, e := range own {
			n.ownerEffect(e)
		}
		for _, e := range adm {
			n.admitterEffect(e)
		}
	}
}

func (n *node) ownerEffect(e keyowner.Effect) {
	inc := n.inc
	switch e.Kind {
	case keyowner.Claim:
		n.send(e.To, func(o *node) {
			v, by := o.owner.Note(o.now(), e.Claim)
			n.back(o, inc, func() { n.owner.Claimed(n.now(), e.Key, e.Claim, e.To, v, by) })
		})
	case keyowner.Admit:
		id := e.Attempt.ID
		n.send(e.To, func(o *node) {
			o.seq++
			o.ends[o.seq] = func(out admission.Outcome) {
				n.back(o, inc, func() { n.owner.Outcome(n.now(), id, out) })
			}
			o.adm.Admit(o.now(), o.seq, e.Attempt)
		})
		n.m.after(time.Duration(e.Attempt.Deadline-n.now())+timing.Margin, func() {
			n.on(inc, func() {
				n.owner.Outcome(n.now(), id, admission.Outcome{Result: request.Unsure(request.Unreachable)})
				n.flush()
			})
		})
	case keyowner.Cancel:
		n.send(e.To, func(o *node) { o.adm.Cancel(o.now(), e.Attempt.ID) })
	case keyowner.Ask:
		n.send(e.To, func(o *node) {
			o.seq++
			o.results[o.seq] = func(r request.Result) {
				n.back(o, inc, func() { n.owner.Told(n.now(), e.Key, e.Claimant, r) })
			}
			o.owner.Join(o.seq, e.Request)
		})
	case keyowner.Answer:
		if f := n.results[e.Waiter]; f != nil {
			delete(n.results, e.Waiter)
			f(e.Result)
		}
	}
}

func (n *node) admitterEffect(e admission.Effect) {
	inc := n.inc
	switch e.Kind {
	case admission.Dispatch:
		n.m.arrive(n, e.Attempt)
	case admission.CancelRun:
		b := n.m.servers[e.Attempt.Server-1]
		n.m.after(n.m.delay(), func() {
			if stop := b.running[e.Attempt.ID]; stop != nil {
				stop()
			}
		})
	case admission.Reply:
		if f := n.ends[e.Waiter]; f != nil {
			delete(n.ends, e.Waiter)
			f(e.Outcome)
		}
	case admission.AskGrant:
		n.send(e.To, func(o *node) {
			granted := o.adm.Ask(o.now(), e.Grant)
			n.back(o, inc, func() { n.adm.Granted(n.now(), e.To, e.Grant, granted) })
		})
	case admission.ReleaseGrant:
		n.send(e.To, func(o *node) { o.adm.Release(e.Grant) })
	}
}
