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

// The model runs the owners and admitters of several instances, and backend servers
// that count their requests, in simulated time. Every message may be delayed, lost or
// duplicated.

const ms = int64(time.Millisecond)

var timing = admission.Timing{
	Settle: time.Second, GrantDuration: time.Second, RenewInterval: 300 * time.Millisecond,
	MaxRun: time.Second, Margin: 100 * time.Millisecond,
}

var membership = pair.Timing{Settle: timing.Settle, RecordsAfter: timing.Settle + request.MaxClockAhead + 500*time.Millisecond, UnreachableRetention: 10 * time.Minute}

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

// node is one instance of the model.
type node struct {
	m           *model
	id          fleet.ID
	dc          string
	incarnation uint64
	up          bool
	leaving     bool
	// leavesAt is the announced time of the departure, in milliseconds.
	leavesAt uint64
	// suspected makes the others take the instance for dead, although it is reachable.
	suspected bool
	// pausedUntil is when the pause of the instance ends, in nanoseconds.
	pausedUntil int64
	clockOffset int64
	// cut numbers the side of the network partition that the instance is on.
	cut      int
	members  *pair.Table
	claims   *atmostonce.Claims
	owner    *keyowner.System
	admitter *admission.System
	seq      uint64
	results  map[uint64]func(request.Result)
	outcomes map[uint64]func(admission.Outcome)
}

type model struct {
	now      int64
	rng      *rand.Rand
	queue    events
	seq      int
	nodes    []*node
	servers  []*backend
	requests []*callerRequest
	// The rates are the shares of messages that are lost, duplicated and slow.
	lossRate      float64
	duplicateRate float64
	slowRate      float64
	messages      int
	// firstShare is the share of the requests that are always sent to the first instance.
	firstShare float64
	// altSend replaces the systems under test; onChange is called when a change is
	// announced.
	altSend  func(*callerRequest, *node)
	onChange func()
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
				clockOffset: m.rng.Int64N(20*ms) - 10*ms,
				runTime:     20 * time.Millisecond,
				running:     make(map[admission.AttemptID]func()),
				runsByKey:   make(map[string]int),
			})
		}
	}
	for _, n := range m.nodes {
		n.boot()
	}
	for _, n := range m.nodes {
		n.refreshView()
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
	if m.rng.Float64() < m.slowRate {
		return time.Duration(m.rng.Int64N(600 * ms))
	}
	return time.Duration(ms/2 + m.rng.Int64N(ms))
}

// boot starts a new run of an instance with empty state.
func (n *node) boot() {
	n.up, n.leaving, n.leavesAt = true, false, 0
	n.clockOffset = n.m.rng.Int64N(20*ms) - 10*ms
	now := n.now()
	n.incarnation = uint64(now / ms)
	self := pair.Holder{ID: n.id, Incarnation: n.incarnation}
	n.members = pair.New(membership)
	n.claims = atmostonce.NewClaims(now, timing.Settle, 4096)
	n.claims.SetKnownAfter(now/ms*ms + int64(membership.RecordsAfter))
	n.admitter = admission.New(now, self, timing, n.members)
	n.owner = keyowner.New(keyowner.Options{
		Self: self, Members: n.members, Claims: n.claims, Table: atmostonce.NewTable(4096, 1<<20),
		Rand: rand.New(rand.NewPCG(n.m.rng.Uint64(), 2)), MaxRun: timing.MaxRun,
	})
	n.results = make(map[uint64]func(request.Result))
	n.outcomes = make(map[uint64]func(admission.Outcome))
	n.tick(n.incarnation)
}

func (n *node) now() int64 { return n.m.now + n.clockOffset }

func (n *node) tick(incarnation uint64) {
	n.m.after(10*time.Millisecond, func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		if n.m.now >= n.pausedUntil {
			n.admitter.Tick(n.now())
			n.owner.Tick(n.now())
			n.flush()
		}
		n.tick(incarnation)
	})
}

// reaches reports whether messages can pass between two instances.
func (n *node) reaches(o *node) bool { return o.up && n.up && (n == o || n.cut == o.cut) }

// refreshView updates the instance's table of instances, with those that it cannot
// reach now as dead.
func (n *node) refreshView() {
	if !n.up {
		return
	}
	v := &fleet.View{Self: n.id}
	for _, o := range n.m.nodes {
		state := fleet.Alive
		switch {
		case !n.reaches(o), o.suspected && o != n:
			state = fleet.Dead
		case o.leaving:
			state = fleet.Leaving
		}
		v.Instances = append(v.Instances, fleet.Instance{ID: o.id, DataCentre: o.dc, Region: "r", State: state, Incarnation: o.incarnation, LeavesAt: o.leavesAt})
	}
	n.members.Update(n.now(), v)
	for _, o := range n.m.nodes {
		// The host of a crashed instance refuses connections, which proves the end of the
		// run; a partition drops packets and proves nothing.
		if !o.up && n.cut == o.cut {
			n.members.ConfirmEnded(n.now(), o.id, o.incarnation)
		}
	}
	n.updateTables()
}

// updateTables passes the backend servers and their admitting instances to the systems.
func (n *node) updateTables() {
	var rows []admission.Server
	var all []keyowner.Candidate
	for _, b := range n.m.servers {
		id, found := n.members.First(admission.ServerKey(b.row.Number), b.row.DataCentre, "r", 0)
		if b.row.DataCentre == n.dc || id == n.id {
			rows = append(rows, b.row)
		}
		if found && b.row.State == config.Active && b.row.Condition != flow.Down {
			all = append(all, keyowner.Candidate{Server: b.row.Number, Admitter: id, Slots: b.row.Slots})
		}
	}
	n.admitter.SetServers(n.now(), rows)
	n.claims.SetAwaitingContact(n.now(), n.admitter.AwaitingContact())
	n.owner.SetServices(map[string][]keyowner.Candidate{"orders": all})
	n.flush()
}

// announce lets every instance learn of a change, each after its own random
// delay of at most half of the settling time.
func (m *model) announce() {
	if m.onChange != nil {
		m.onChange()
	}
	for _, n := range m.nodes {
		m.after(time.Duration(m.rng.Int64N(int64(timing.Settle)/2)), func() { n.runOn(n.incarnation, n.refreshView) })
	}
}

// runOn calls f at an instance, after its pause if it is paused, and never if that run
// of the instance has ended.
func (n *node) runOn(incarnation uint64, f func()) {
	switch {
	case !n.up || n.incarnation != incarnation:
	case n.m.now < n.pausedUntil:
		n.m.after(time.Duration(n.pausedUntil-n.m.now), func() { n.runOn(incarnation, f) })
	default:
		f()
	}
}

// send delivers a message; the receiver may have been restarted in the meantime.
func (n *node) send(to fleet.ID, f func(o *node)) {
	m := n.m
	at := slices.IndexFunc(m.nodes, func(o *node) bool { return o.id == to })
	if at < 0 {
		return // replaced by an instance with another ID
	}
	o := m.nodes[at]
	if o == n {
		incarnation := n.incarnation
		m.after(0, func() { n.runOn(incarnation, func() { f(n) }) })
		return
	}
	m.messages++
	copies := 1
	if m.rng.Float64() < m.duplicateRate {
		copies = 2
	}
	for range copies {
		if m.rng.Float64() < m.lossRate {
			continue
		}
		m.after(m.delay(), func() {
			if n.cut == o.cut {
				o.runOn(o.incarnation, func() { f(o); o.flush() })
			}
		})
	}
}

// reply sends an answer to the run of n that asked, and drops it if that run has
// ended.
func (n *node) reply(from *node, incarnation uint64, f func()) {
	from.send(n.id, func(o *node) {
		if o.incarnation == incarnation {
			f()
		}
	})
}

// flush carries out the effects of both systems until there are none left.
func (n *node) flush() {
	for {
		ownerEffects, admitter := n.owner.Effects(), n.admitter.Effects()
		if len(ownerEffects)+len(admitter) == 0 {
			return
		}
		for _, e := range ownerEffects {
			n.ownerEffect(e)
		}
		for _, e := range admitter {
			n.admitterEffect(e)
		}
	}
}

func (n *node) ownerEffect(e keyowner.Effect) {
	incarnation := n.incarnation
	switch e.Kind {
	case keyowner.Claim:
		n.send(e.To, func(o *node) {
			v, holder := o.owner.RecordClaim(o.now(), e.Claim)
			n.reply(o, incarnation, func() { n.owner.HandleClaimReply(n.now(), e.Key, e.Claim, e.To, v, holder) })
		})
	case keyowner.Admit:
		id := e.Attempt.ID
		n.send(e.To, func(o *node) {
			o.seq++
			o.outcomes[o.seq] = func(out admission.Outcome) {
				n.reply(o, incarnation, func() { n.owner.HandleOutcome(n.now(), id, out) })
			}
			o.admitter.Admit(o.now(), o.seq, e.Attempt)
		})
		n.m.after(time.Duration(e.Attempt.Deadline-n.now())+timing.Margin, func() {
			n.runOn(incarnation, func() {
				n.owner.HandleOutcome(n.now(), id, admission.Outcome{Result: request.UnknownResult(request.Unreachable)})
				n.flush()
			})
		})
	case keyowner.Cancel:
		n.send(e.To, func(o *node) { o.admitter.Cancel(o.now(), e.Attempt.ID) })
	case keyowner.Join:
		n.send(e.To, func(o *node) {
			o.seq++
			o.results[o.seq] = func(r request.Result) {
				n.reply(o, incarnation, func() { n.owner.HandleJoinResult(n.now(), e.Key, e.Claimant, r) })
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
	incarnation := n.incarnation
	switch e.Kind {
	case admission.Dispatch:
		n.m.deliver(n, e.Attempt)
	case admission.CancelRun:
		b := n.m.servers[e.Attempt.Server-1]
		n.m.after(n.m.delay(), func() {
			if stop := b.running[e.Attempt.ID]; stop != nil {
				stop()
			}
		})
	case admission.Reply:
		if f := n.outcomes[e.Waiter]; f != nil {
			delete(n.outcomes, e.Waiter)
			f(e.Outcome)
		}
	case admission.RequestGrant:
		n.send(e.To, func(o *node) {
			granted := o.admitter.HandleGrantRequest(o.now(), e.Grant)
			n.reply(o, incarnation, func() { n.admitter.HandleGrants(n.now(), e.To, e.Grant, granted) })
		})
	case admission.ReleaseGrant:
		n.send(e.To, func(o *node) { o.admitter.Release(e.Grant) })
	}
}
