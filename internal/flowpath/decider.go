package flowpath

import (
	"slices"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
	"balsamfork/internal/suspicion"
	"balsamfork/internal/table"
)

const (
	// freshEnough is the age of the catalogue up to which the lack of a route or
	// server in it is believed: within it a change is read by a calm instance.
	freshEnough = 1500 * time.Millisecond
	// settledFor is how long an instance must have known the catalogue before a
	// cookie that it lacks counts as that of a removed server. It covers entries that
	// lapsed while the store was away.
	settledFor = 3 * time.Second
	// unseenFor is how long after its start an instance waits for data centres that
	// it depends on to answer. It covers the usual cut of the pages.
	unseenFor = 6 * time.Second
	// spillAt is the work for each slot of the own data centre's servers beyond which
	// flows go to others: at 2 a request waits for one other. Flows that cross data
	// centres are lost in a cut, so that a short queue is better.
	spillAt = 2.0
	// defaultNeighbours is how many instances are assumed to share a data centre's
	// work until they are known: the usual number of the smaller deployments of today.
	defaultNeighbours = 4
	// recountEvery is how often the work of backend servers is counted anew from
	// the flows.
	recountEvery = 250 * time.Millisecond
)

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	Forward Action = iota
	Reset
	Drop
	// Hold asks for the catalogue to be read before the packet is decided.
	Hold
)

// Reason says why.
type Reason uint8

// The reasons of decisions.
const (
	Placed Reason = iota
	Repeated
	Moved
	Known
	Repaired
	NoRoute
	NoServer
	ColdLimit
	ServerGone
	ServerDead
	UnknownCookie
	NoCookie
	Forged
	StaleCatalogue
)

var reasonNames = [...]string{
	"placed", "repeated", "moved", "known", "repaired", "no_route", "no_server", "cold_limit", "server_gone",
	"server_dead",
	"unknown_cookie", "no_cookie", "forged", "stale_catalogue",
}

// String returns the reason's name for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Backend *catalogue.Backend
	Tier    selection.Tier
	// Service is the one that the flow was opened for.
	Service string
	// Unanswered is the server that did not answer the packet before, or nil.
	Unanswered *catalogue.Backend
}

// Observer is told what the traffic shows of servers.
type Observer interface {
	// Unanswered tells of a server whose handshake did not come, and what follows.
	Unanswered(b *catalogue.Backend, f suspicion.Finding)
	// Refuted tells of a server that has answered although there were accounts
	// against it, and whether it was suspected.
	Refuted(b *catalogue.Backend, suspected bool)
}

// Knowledge is the catalogue and how well it is known.
type Knowledge struct {
	Snapshot *catalogue.Snapshot
	// Known is when the snapshot was last certain to be complete, and Since the
	// start of the time for which it has been known.
	Known, Since int64
}

// Decider decides about packets. It belongs to one goroutine.
type Decider struct {
	selector  selection.Selector
	observer  Observer
	flows     *flowtable.Table
	openings  openings
	suspicion *suspicion.Table
	cold      *coldBudget
	// neighbours is the number of instances in the data centre.
	neighbours int
	work       map[uint32]int
	counted    int64
	// drained is when no packet was last waiting to be read.
	drained int64
	// began is the first look at what can be reached.
	began int64
}

// NewDecider returns a decider for an instance of a data centre.
func NewDecider(dataCentre string, limits WarmupLimits, observer Observer) *Decider {
	return &Decider{
		observer:   observer,
		selector:   selection.Selector{DataCentre: dataCentre},
		flows:      flowtable.New(),
		suspicion:  suspicion.New(),
		cold:       newColdBudget(limits),
		neighbours: defaultNeighbours,
		work:       map[uint32]int{},
	}
}

// SetInstances sets the number of instances that share the limits of cold servers,
// and the number of those in the data centre that share its work.
func (d *Decider) SetInstances(all, local int) {
	d.cold.instances = max(1, all)
	d.neighbours = max(1, local)
}

// PeerMissed takes another instance's report on an unanswered opening packet.
func (d *Decider) PeerMissed(r suspicion.Report, now int64) suspicion.Finding {
	return d.suspicion.Missed(r, now)
}

// Drained notes that no packet was waiting to be read at a time.
func (d *Decider) Drained(now int64) { d.drained = now }

// PeerAnswered notes that a server has answered another instance.
func (d *Decider) PeerAnswered(cookie uint32, dataCentre string, now int64) {
	d.suspicion.Answered(cookie, dataCentre, now)
}

// Contact notes that an instance of a data centre has answered this one.
func (d *Decider) Contact(dataCentre string, now int64) { d.suspicion.Contact(dataCentre, now) }

// Reach is what an instance can do for callers.
type Reach struct {
	// Servers says that some service has a server that can be reached, or that none
	// is suspected.
	Servers bool
	// Unseen holds data centres whose servers are needed and of which nothing has
	// been heard since the start.
	Unseen []string
}

// Reach looks which servers can be reached. An instance that depends on other data
// centres does not count on them before they have answered: it may have started
// behind a cut.
func (d *Decider) Reach(snap *catalogue.Snapshot, now int64) Reach {
	if d.began == 0 {
		d.began = now
	}
	var r Reach
	suspected := false
	for _, service := range snap.ServiceNames() {
		switch d.selector.Best(snap, service, d, now) {
		case selection.Local, selection.Cold:
			return Reach{Servers: true}
		case selection.Remote:
			unseen := d.unseen(snap, service, now)
			r.Servers = r.Servers || len(unseen) == 0
			r.Unseen = append(r.Unseen, unseen...)
		case selection.Suspected:
			suspected = true
		}
	}
	if !suspected && len(r.Unseen) == 0 {
		r.Servers = true
	}
	return r
}

// unseen returns the data centres of a service's servers if none of them has been
// heard of since the start.
func (d *Decider) unseen(snap *catalogue.Snapshot, service string, now int64) []string {
	if now-d.began > int64(unseenFor) {
		return nil
	}
	var out []string
	for _, b := range snap.Backends(service) {
		if d.suspicion.Seen(b.DataCentre) {
			return nil
		}
		if b.DataCentre != d.selector.DataCentre && !slices.Contains(out, b.DataCentre) {
			out = append(out, b.DataCentre)
		}
	}
	return out
}

// Decide decides about one packet.
func (d *Decider) Decide(p *Packet, k Knowledge, now int64) Verdict {
	if now-d.counted > int64(recountEvery) {
		d.recount(now)
	}
	d.checkOpenings(k.Snapshot, now)
	switch p.Kind {
	case Opening:
		return d.open(p, k, now)
	case Accepting:
		return Verdict{Action: Drop, Reason: Forged}
	}
	return d.follow(p, k, now)
}

func (d *Decider) recount(now int64) {
	clear(d.work)
	d.flows.Work(now, func(c uint32) { d.work[c]++ })
	d.counted = now
}

// checkOpenings looks for handshakes that should have come. A server that refuses
// flows answers the caller directly, so the lack of a handshake is all that shows.
func (d *Decider) checkOpenings(snap *catalogue.Snapshot, now int64) {
	for {
		o, overdue := d.openings.overdue(d.drained)
		if !overdue {
			return
		}
		e := d.flows.Find(o.flow)
		if e != nil && e.State == flowtable.Opening && e.Sent == o.sent {
			d.unanswered(snap.ByCookie(e.Cookie), now)
		}
	}
}

func (d *Decider) unanswered(b *catalogue.Backend, now int64) {
	if b == nil {
		return
	}
	f := d.suspicion.Missed(suspicion.Report{Server: b.Cookie, DataCentre: b.DataCentre}, now)
	d.observer.Unanswered(b, f)
}

// open decides about an opening packet.
func (d *Decider) open(p *Packet, k Knowledge, now int64) Verdict {
	route := k.Snapshot.Route(p.Flow.To())
	if route == nil {
		return d.missing(Verdict{Reason: NoRoute}, k, now)
	}
	hash := p.Flow.Hash()
	v := Verdict{Service: service(route, hash)}
	entry := d.flows.Find(hash)
	if entry != nil && entry.State == flowtable.Opening {
		return d.repeat(v, entry, hash, k, now)
	}
	if entry == nil {
		entry = d.flows.Add(hash, now)
	} else {
		entry = d.restart(entry, hash, now)
	}
	return d.place(v, entry, hash, cookie.None, k, now)
}

// spills reports whether a flow is to go to another data centre because the servers
// of this one have more work than slots. The fabric spreads callers evenly over a
// data centre's instances, so each sees its share of the work and estimates the
// whole. What exceeds the slots is spilled, as a share of the flows.
func (d *Decider) spills(snap *catalogue.Snapshot, service string, hash uint64, now int64) bool {
	load := d.selector.LocalLoad(snap, service, d, now) * float64(d.neighbours)
	if load <= spillAt {
		return false
	}
	share := 1 - spillAt/load
	return float64(table.Mix(hash)>>32) < share*(1<<32)
}

// restart replaces the entry of a flow whose addresses are used again.
func (d *Decider) restart(old *flowtable.Entry, hash uint64, now int64) *flowtable.Entry {
	d.flows.Remove(old)
	return d.flows.Add(hash, now)
}

// place chooses a server for an opening packet.
func (d *Decider) place(v Verdict, e *flowtable.Entry, hash uint64, exclude uint32, k Knowledge, now int64) Verdict {
	r := selection.Request{Service: v.Service, Hash: hash, Exclude: exclude, Spill: d.spills(k.Snapshot, v.Service, hash, now)}
	choice := d.selector.Choose(k.Snapshot, r, d, now)
	v.Tier = choice.Tier
	if choice.Backend == nil {
		d.flows.Remove(e)
		if choice.Tier != selection.Unusable {
			v.Action, v.Reason = Drop, ColdLimit
			return v
		}
		v.Reason = NoServer
		return d.missing(v, k, now)
	}
	v.Backend = choice.Backend
	e.State, e.Cookie, e.Sent, e.Last = flowtable.Opening, v.Backend.Cookie, now, now
	d.work[e.Cookie]++
	d.openings.add(hash, now)
	d.suspicion.Tried(e.Cookie, now)
	return v
}

// repeat decides about a copy of an opening packet. Its server has not answered: if
// it gave a sign of life meanwhile, a packet was lost, otherwise another is tried.
func (d *Decider) repeat(v Verdict, e *flowtable.Entry, hash uint64, k Knowledge, now int64) Verdict {
	backend := k.Snapshot.ByCookie(e.Cookie)
	alive := d.suspicion.Answers(e.Cookie) > e.Sent
	if backend != nil && alive && usable(backend) {
		v.Backend, v.Reason = backend, Repeated
		e.Last = now
		return v
	}
	tried := e.Cookie
	v = d.place(v, e, hash, tried, k, now)
	if v.Backend == nil && backend != nil && usable(backend) {
		// No other server is left.
		e.State, e.Cookie, e.Sent, e.Last = flowtable.Opening, tried, now, now
		return Verdict{Backend: backend, Reason: Repeated, Service: v.Service}
	}
	v.Unanswered = backend
	if v.Backend != nil {
		e.Tried, v.Reason = tried, Moved
	}
	return v
}

func usable(b *catalogue.Backend) bool { return !b.Draining && b.Removed == 0 }

// missing decides about a flow for which the catalogue lacks something: it is
// refused at once if the catalogue is recent, and otherwise waits for a newer one.
func (d *Decider) missing(v Verdict, k Knowledge, now int64) Verdict {
	if k.Known != 0 && now-k.Known < int64(freshEnough) {
		v.Action = Reset
		return v
	}
	v.Action = Hold
	return v
}

// follow decides about a packet of a flow that its caller takes for open.
func (d *Decider) follow(p *Packet, k Knowledge, now int64) Verdict {
	hash := p.Flow.Hash()
	e := d.flows.Find(hash)
	c, reason := p.Cookie, Known
	if e != nil && e.State != flowtable.Opening && e.Cookie != c {
		// A late answer of another server changed the caller's cookie.
		c, reason = e.Cookie, Repaired
	}
	if c == cookie.None {
		return Verdict{Action: Drop, Reason: NoCookie}
	}
	backend := k.Snapshot.ByCookie(c)
	if backend == nil {
		return d.unknown(p, k, now)
	}
	if backend.Removed != 0 && now-backend.Removed > int64(selection.RemovedFor) {
		return Verdict{Action: Reset, Reason: ServerGone, Backend: backend}
	}
	d.note(p, e, hash, backend, now)
	if now-k.Since > int64(settledFor) && d.dead(backend, now) {
		return Verdict{Action: Reset, Reason: ServerDead, Backend: backend}
	}
	return Verdict{Action: Forward, Reason: reason, Backend: backend}
}

// dead reports whether a server is certain to be dead, so that its callers do better
// elsewhere. Only servers of the own data centre are judged: the way to another one
// may be cut while they live.
func (d *Decider) dead(b *catalogue.Backend, now int64) bool {
	return b.DataCentre == d.selector.DataCentre && d.suspicion.Dead(b.Cookie) &&
		!d.suspicion.Unreachable(b.DataCentre, now)
}

// unknown decides about a cookie that the catalogue lacks. The flow may have opened
// through another instance at a server that has just registered, so only what was
// read after the packet's arrival tells that the server is gone.
func (d *Decider) unknown(p *Packet, k Knowledge, now int64) Verdict {
	v := Verdict{Action: Hold, Reason: UnknownCookie}
	if k.Known >= p.Arrived && now-k.Since > int64(settledFor) {
		v.Action = Reset
	}
	return v
}

// note remembers what a packet shows of its flow and of the flow's server.
func (d *Decider) note(p *Packet, e *flowtable.Entry, hash uint64, b *catalogue.Backend, now int64) {
	if e == nil {
		e = d.flows.Add(hash, now)
		e.State, e.Cookie, e.Acknowledged = flowtable.Open, b.Cookie, p.Acknowledged
	}
	if e.State == flowtable.Opening {
		e.State, e.Cookie = flowtable.Open, b.Cookie
		e.Acknowledged = p.Acknowledged
		d.answered(b, now)
	}
	if p.Acknowledged != e.Acknowledged {
		e.Acknowledged, e.Busy = p.Acknowledged, false
		// Data and ends are sent again and may carry an old acknowledgement that
		// passed through another instance before; a bare one is only sent as data
		// arrives.
		if p.Data == 0 && !p.Finish {
			d.answered(b, now)
		}
	}
	e.Last = now
	switch {
	case p.Kind == Resetting:
		d.flows.Remove(e)
	case p.Finish:
		e.State, e.Busy = flowtable.Closing, false
	case p.Data > 0 && e.Busy && p.Sequence == e.Sequence:
		d.repeated(b, now)
	case p.Data > 0:
		e.Busy, e.Sequence = true, p.Sequence
	}
}

// repeated takes data that a caller has sent again. An answer may take longer than
// that, so it counts only against a server that no longer accepts flows either.
func (d *Decider) repeated(b *catalogue.Backend, now int64) {
	if d.suspicion.Suspected(b.Cookie, now) {
		d.unanswered(b, now)
	}
}

func (d *Decider) answered(b *catalogue.Backend, now int64) {
	if r := d.suspicion.Answered(b.Cookie, b.DataCentre, now); r.Refutes {
		d.observer.Refuted(b, r.Ended)
	}
}

// Suspected implements selection.View.
func (d *Decider) Suspected(b *catalogue.Backend, now int64) bool {
	return d.suspicion.Suspected(b.Cookie, now) || d.suspicion.Unreachable(b.DataCentre, now)
}

// Load implements selection.View.
func (d *Decider) Load(b *catalogue.Backend) float64 {
	return float64(d.work[b.Cookie]) / float64(b.Slots)
}

// AdmitCold implements selection.View.
func (d *Decider) AdmitCold(b *catalogue.Backend, now int64) bool { return d.cold.admit(b, now) }

// service returns the service that a route gives to a flow.
func service(r *catalogue.Route, hash uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
