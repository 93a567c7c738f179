package flowpath

import (
	"math/rand/v2"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
	"balsamfork/internal/suspicion"
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
	// it depends on to answer. It covers the usual cut between data centres.
	unseenFor = 6 * time.Second
	// spillAt is the work for each slot of the own data centre's servers beyond which
	// flows go to others: at 2 a request waits for one other. Flows that cross data
	// centres are lost in a cut, so that a short queue is better.
	spillAt = 2.0
	// defaultNeighbours is how many instances are assumed to share a data centre's
	// work until they are known: the usual number of the smaller deployments of today.
	defaultNeighbours = 4
	// stoodStill is a time without packets after which an instance may have been
	// frozen, and for which it then takes no reports, as old ones may have waited. It
	// is some ten times the usual gap on the smallest deployment.
	stoodStill = 500 * time.Millisecond
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
	// Missed tells of an account against a server, and what follows.
	Missed(b *catalogue.Backend, kind suspicion.Kind, f suspicion.Finding)
	// Refuted tells of a server that has shown life although there were accounts
	// against it, how, and whether that ends a suspicion.
	Refuted(b *catalogue.Backend, by suspicion.Kind, ended bool)
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
	openings  waits
	requests  waits
	suspicion *suspicion.Table
	cold      *coldBudget
	// neighbours is the number of instances in the data centre.
	neighbours int
	work       map[uint32]int
	counted    int64
	// observed is when a packet was last read, drained when none was last waiting,
	// and woke the end of the last time without packets.
	observed, drained, woke int64
	// began is the first look at what can be reached, soon after the start.
	began int64
}

// NewDecider returns a decider for an instance of a data centre. Random must differ
// between instances.
func NewDecider(dataCentre string, limits WarmupLimits, random *rand.Rand, observer Observer) *Decider {
	return &Decider{
		observer:   observer,
		selector:   selection.Selector{DataCentre: dataCentre},
		flows:      flowtable.New(),
		openings:   waits{within: handshakeWithin},
		requests:   waits{within: dataWithin},
		suspicion:  suspicion.New(),
		cold:       newColdBudget(limits, random),
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

// PeerReport takes another instance's report on a server.
func (d *Decider) PeerReport(r suspicion.Report, now int64) suspicion.Finding {
	switch r.Kind {
	case suspicion.Handshake:
		d.suspicion.Answered(r.Server, r.DataCentre, now)
	case suspicion.Data:
		d.suspicion.Alive(r.Server, r.DataCentre, now)
	case suspicion.NoHandshake, suspicion.NoData:
		if now-d.woke >= int64(stoodStill) {
			return d.suspicion.Missed(r, now)
		}
	}
	return suspicion.Finding{}
}

// Observe notes that a packet was read now, and when none was last waiting. After a
// long gap the instance may have stood still: what it waits for, and what its peers
// told meanwhile, is out of date.
func (d *Decider) Observe(now, drained int64) {
	if now-d.observed > int64(stoodStill) {
		d.woke = now
		d.openings.clear()
		d.requests.clear()
	}
	d.observed, d.drained = now, drained
}

// Forget drops what is held of servers that the catalogue no longer has.
func (d *Decider) Forget(snap *catalogue.Snapshot) {
	keep := func(cookie uint32) bool { return snap.ByCookie(cookie) != nil }
	d.suspicion.Forget(keep)
	d.cold.forget(keep)
}

// Contact notes that an instance of a data centre has answered this one.
func (d *Decider) Contact(dataCentre string, now int64) { d.suspicion.Contact(dataCentre, now) }

// Decide decides about one packet.
func (d *Decider) Decide(p *Packet, k Knowledge, now int64) Verdict {
	if now-d.counted > int64(recountEvery) {
		d.recount(now)
	}
	d.checkOpenings(k.Snapshot, now)
	d.checkRequests(k.Snapshot, now)
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

// Suspected implements selection.View.
func (d *Decider) Suspected(b *catalogue.Backend, now int64) bool {
	return d.suspicion.Suspected(b.Cookie, now) || d.suspicion.Unreachable(b.DataCentre, now)
}

// Load implements selection.View.
func (d *Decider) Load(b *catalogue.Backend) float64 {
	return float64(d.work[b.Cookie]) / float64(b.Slots)
}

// young reports whether the instance has just started.
func (d *Decider) young(now int64) bool { return now-d.began < int64(youngFor) }

// AdmitCold implements selection.View.
func (d *Decider) AdmitCold(b *catalogue.Backend, now int64) bool {
	return d.cold.admit(b, d.young(now), now)
}
