package flowpath

import (
	"maps"
	"math/rand/v2"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
	"balsamfork/internal/suspicion"
)

const (
	// maxCatalogueAge is the catalogue age up to which a missing route or server is
	// taken as absent: without disturbances an instance reads a change within this
	// time.
	maxCatalogueAge = 1500 * time.Millisecond
	// pausedCatalogueAge is the catalogue age that only an instance which was paused
	// reaches while the store can be read: a running one reads the store sooner.
	pausedCatalogueAge = 2500 * time.Millisecond
	// catalogueSettlingTime is how long an instance must have known the catalogue
	// before a cookie that is missing from it counts as that of a removed server. It
	// covers entries that expired while the store was unavailable.
	catalogueSettlingTime = 3 * time.Second
	// remoteContactTimeout is how long after its start an instance waits for an
	// answer from the data centres that it depends on. It covers the usual network
	// partition between data centres.
	remoteContactTimeout = 6 * time.Second
	// spillThreshold is the number of outstanding flows and requests per slot of the
	// local servers above which flows go to other data centres: at 2 a request waits
	// for one other. A partition breaks flows that cross data centres, so a short
	// local queue is preferred.
	spillThreshold = 2.0
	// defaultLocalInstances is the number of instances assumed to share a data
	// centre's load until they are known: the usual number in the smaller
	// deployments.
	defaultLocalInstances = 4
	// reportResumeDelay is how long after a pause an instance ignores reports of peers,
	// since outdated ones may have been queued.
	reportResumeDelay = 500 * time.Millisecond
	// loadRefreshInterval is how often the load of backend servers is recomputed from
	// the flow table.
	loadRefreshInterval = 250 * time.Millisecond
	// snapshotRefreshInterval is how often at most that happens because the catalogue has
	// changed: with the rooms from before an evacuation, flows would go to services that have
	// no server left.
	snapshotRefreshInterval = 25 * time.Millisecond
)

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	Forward Action = iota
	Reset
	Drop
	// Hold defers the packet until the catalogue has been read again.
	Hold
)

// Reason is the cause of a decision.
type Reason uint8

// The reasons of decisions.
const (
	// Placed is the selection of a server for a new flow.
	Placed Reason = iota
	// Repeated is a copy of an opening packet that goes to the same server.
	Repeated
	// Moved is a copy of an opening packet that goes to another server.
	Moved
	// Known is a packet of an open flow.
	Known
	// Repaired is a packet of an open flow whose cookie was replaced by that of the
	// server which holds the flow.
	Repaired
	NoRoute
	NoServer
	ColdLimit
	ServerGone
	ServerDead
	UnknownCookie
	NoCookie
	Forged
	// StaleCatalogue is a new flow that waits for a read of the store, as the instance
	// was paused.
	StaleCatalogue
	// Delayed is an opening packet that may have waited while the instance was paused, or
	// was held until its caller had given up.
	Delayed
	// Overloaded is a new flow that is refused since its service has no room for flows of
	// its priority.
	Overloaded
)

var reasonNames = [...]string{
	"placed", "repeated", "moved", "known", "repaired", "no_route", "no_server", "cold_limit", "server_gone",
	"server_dead",
	"unknown_cookie", "no_cookie", "forged", "stale_catalogue", "delayed", "overloaded",
}

// String returns the reason's name for logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision on one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Backend *catalogue.Backend
	Tier    selection.Tier
	// Service is the service that the flow was opened for.
	Service string
	// Unanswered is the server that did not answer the previous opening packet, or
	// nil.
	Unanswered *catalogue.Backend
	// HalfOpen is another server that may hold the flow half open and repeats its answer, or
	// nil. The caller's opening packet is to be sent to it again with the cookie of Backend,
	// which its answers carry from then on.
	HalfOpen *catalogue.Backend
	// Load holds what the decision on a new flow owes to the load of services.
	Load LoadInputs
}

// LoadInputs are inputs of the decision on a new flow that rest on the load of services.
type LoadInputs struct {
	// Known says that the sums of the data centre's instances were fresh, and Age is the
	// age of those of the service.
	Known bool
	Age   time.Duration
	// OverflowFrom is the service that the weights of the route give, if the flow goes to
	// another one for lack of room.
	OverflowFrom string
	// Limited says that the service does not admit all flows, and AdmittedPart is the part
	// of the lowest priority that it does, from 0 to 1.
	Limited      bool
	AdmittedPart float64
	// Rank is the priority of the flow's route, 0 the highest.
	Rank int
	// Spilled says that servers in other data centres were preferred.
	Spilled bool
}

// Observer is notified of what the traffic reveals about servers.
type Observer interface {
	// RecordFailure is called when a response of a server is missing, with the report on
	// it and the resulting finding.
	RecordFailure(b *catalogue.Backend, r suspicion.Report, f suspicion.Finding)
	// Refuted is called when a server with missing responses on record has
	// shown that it is alive, with the report on it; ended says whether it ends a
	// suspicion.
	Refuted(b *catalogue.Backend, r suspicion.Report, ended bool)
	// Returned is called when a suspicion of a server that may have started again has
	// ended, with the report on it.
	Returned(r suspicion.Report)
	LoadObserver
}

// CatalogueState is a catalogue snapshot and how recent it is.
type CatalogueState struct {
	Snapshot *catalogue.Snapshot
	// Known is when the snapshot was last confirmed to be complete, and Since is the
	// time since which the catalogue has been known without interruption, both in
	// nanoseconds.
	Known, Since int64
	// Failing is set if the last read of the store failed.
	Failing bool
}

// Decider decides what happens to packets. It is not safe for concurrent use.
type Decider struct {
	selector   selection.Selector
	observer   Observer
	flows      *flowtable.Table
	handshakes responseQueue
	requests   responseQueue
	suspicion  *suspicion.Table
	warmup     *warmupBudget
	returns    returns
	// localInstances is the number of instances in the data centre.
	localInstances int
	outstanding    map[uint32]int
	loadCountedAt  int64
	load           *loadSharing
	// observed is the last snapshot, and starts holds the start of each server by its cookie
	// as of the last one in which a server had started.
	observed *catalogue.Snapshot
	starts   map[uint32]int64
	// lastDrained is when the socket was last found empty, emptyUntil until when it was so,
	// and resumedAt the end of the last pause.
	lastDrained, emptyUntil, resumedAt int64
	// held says that the packet that is being decided was held before, and waited that it
	// may have waited through a pause: its caller may have given up meanwhile.
	held, waited   bool
	waitedOpenings waitedOpenings
	// now is the time of the packet that is being decided.
	now int64
	// startedAt is the time of the first reachability check, soon after the start.
	startedAt int64
}

// FlowLimits are the bounds that a deployment sets for flows: MaxAge is the longest time
// that a flow may last, and StabilityWindow the time after a disturbance from which the
// flows that it affected must hold again.
type FlowLimits struct {
	MaxAge, StabilityWindow time.Duration
}

// NewDecider returns a decider for an instance of a data centre. The random source must
// differ between instances.
func NewDecider(dataCentre string, flows FlowLimits, warmup WarmupLimits, random *rand.Rand, observer Observer) *Decider {
	d := &Decider{
		observer:       observer,
		selector:       selection.Selector{DataCentre: dataCentre},
		flows:          flowtable.New(flows.MaxAge),
		handshakes:     responseQueue{timeout: handshakeTimeout},
		requests:       responseQueue{timeout: dataTimeout},
		suspicion:      suspicion.New(flows.StabilityWindow),
		warmup:         newWarmupBudget(warmup, random),
		localInstances: defaultLocalInstances,
		outstanding:    map[uint32]int{},
		starts:         map[uint32]int64{},
		waitedOpenings: waitedOpenings{},
		load:           newLoadSharing(random),
	}
	d.returns.servers = map[uint32]*serverReturn{}
	d.flows.OnRemove = func(e *flowtable.Entry) { d.load.abandon(e, d.now) }
	return d
}

// SetInstances sets the number of instances that share the limits of cold servers,
// and the number of those in the data centre that share its load.
func (d *Decider) SetInstances(all, local int) {
	d.warmup.instances = max(1, all)
	d.localInstances = max(1, local)
	if d.load.on {
		d.load.table.SetInstances(d.localInstances)
	}
}

// Observe discards what is known of servers that have started again: failures, load and
// shares of limits are those of their earlier starts.
func (d *Decider) Observe(snap *catalogue.Snapshot) {
	if snap == d.observed {
		return
	}
	if d.load.configure(snap.Configuration, d.localInstances) {
		d.flows.Scan(d.now, func(e *flowtable.Entry, _ bool) { e.Sampled = false })
	}
	unchanged := d.observed != nil && snap.Starts == d.observed.Starts
	d.observed = snap
	if unchanged {
		return
	}
	for b := range snap.Servers() {
		started, known := d.starts[b.Cookie]
		if known && started == b.Started {
			continue
		}
		d.starts[b.Cookie] = b.Started
		if known {
			d.suspicion.Remove(b.Cookie)
			d.warmup.remove(b.Cookie)
			d.returns.remove(b.Cookie)
			d.returns.changed = true
			delete(d.outstanding, b.Cookie)
			d.load.remove(b.Cookie)
		}
	}
}

// inStart reports whether a server is known, and still in the given start.
func inStart(b *catalogue.Backend, started int64) bool { return b != nil && b.Started == started }

// PeerReport processes another instance's report on a server. A report on another start of
// the server than the observed one is ignored.
func (d *Decider) PeerReport(r suspicion.Report, now int64) suspicion.Finding {
	if r.Started != 0 && (d.observed == nil || !inStart(d.observed.ByCookie(r.Server), r.Started)) {
		return suspicion.Finding{}
	}
	switch r.Kind {
	case suspicion.Handshake:
		last := d.suspicion.LastHandshake(r.Server)
		if d.suspicion.RecordHandshake(r.Server, r.DataCentre, now).Ended || d.returns.absent(r.Server) {
			d.returns.record(r.Server, last, now)
		}
	case suspicion.Data:
		last := d.suspicion.LastData(r.Server)
		if d.suspicion.RecordPossibleData(r.Server, r.DataCentre, now-int64(max(0, r.Age)), now).Ended {
			d.returns.record(r.Server, last, now)
		}
	case suspicion.Returned:
		d.returns.learn(r.Server, now-int64(max(0, r.Age)))
	case suspicion.Absent:
		since, answered := now-int64(max(0, r.Age)), d.suspicion.LastHandshake(r.Server)
		switch {
		case d.suspicion.Tripped(r.Server):
		case answered > since:
			d.returns.learn(r.Server, answered)
		default:
			d.returns.learnAbsence(r.Server, since, now)
		}
	case suspicion.NoHandshake, suspicion.NoAcknowledgement, suspicion.NoData:
		r.Age = max(0, r.Age)
		if now-d.resumedAt >= int64(reportResumeDelay) {
			return d.recordPeerFailure(r, now)
		}
	}
	return suspicion.Finding{}
}

func (d *Decider) recordPeerFailure(r suspicion.Report, now int64) suspicion.Finding {
	f := d.suspicion.RecordFailure(r, now)
	d.returns.changed = d.returns.changed || f.Suspected
	if f.Suspected && r.Kind != suspicion.NoData && d.observed != nil {
		if b := d.observed.ByCookie(r.Server); b != nil {
			d.reportRetransmissions(b, now)
		}
	}
	return f
}

// RecordRead records that a packet was read, when the socket was last found empty before,
// and until when it was empty: if the read had to wait for the packet, until now.
func (d *Decider) RecordRead(lastDrained, emptyUntil int64) {
	d.lastDrained, d.emptyUntil = lastDrained, emptyUntil
}

// RecordResume records when the last pause of the instance ended, 0 if there was none. The
// responses that it waited for at that time and the reports that peers sent meanwhile are
// out of date.
func (d *Decider) RecordResume(at int64) {
	if at > d.resumedAt {
		d.handshakes.clear()
		d.requests.clear()
		d.load.resume(at)
	}
	d.resumedAt = at
}

// Forget removes the state of servers that are no longer in the catalogue.
func (d *Decider) Forget(snap *catalogue.Snapshot) {
	keep := func(cookie uint32) bool { return snap.ByCookie(cookie) != nil }
	d.suspicion.Retain(keep)
	d.warmup.prune(keep)
	d.returns.prune(keep)
	d.returns.changed = true
	maps.DeleteFunc(d.starts, func(cookie uint32, _ int64) bool {
		if keep(cookie) {
			return false
		}
		d.load.remove(cookie)
		return true
	})
}

// Contact records that an instance of a data centre has answered this one.
func (d *Decider) Contact(dataCentre string, now int64) { d.suspicion.RecordContact(dataCentre, now) }

// Decide returns the verdict on one packet.
func (d *Decider) Decide(p *Packet, state CatalogueState, now int64) Verdict {
	d.now = now
	d.Observe(state.Snapshot)
	d.returns.observe(state.Known)
	d.held = p.Arrived != now
	d.waited = d.hasWaited(p)
	if !d.waited {
		clear(d.waitedOpenings)
	}
	d.refreshDueLoad(now)
	d.checkHandshakes(state.Snapshot, now)
	d.checkRequests(state.Snapshot, now)
	defer d.shareReturns(now)
	switch p.Kind {
	case Opening:
		return d.decideOpening(p, state, now)
	case Accepting:
		return Verdict{Action: Drop, Reason: Forged}
	}
	return d.decideEstablished(p, state, now)
}

// Suspected implements selection.View.
func (d *Decider) Suspected(b *catalogue.Backend, now int64) bool {
	return d.suspicion.Suspected(b.Cookie, now) || d.suspicion.Unreachable(b.DataCentre, now)
}

// starting reports whether the instance has just started.
func (d *Decider) starting(now int64) bool { return now-d.startedAt < int64(startupPeriod) }

// Cold implements selection.View.
func (d *Decider) Cold(b *catalogue.Backend, now int64) bool { return d.warmAt(b) > now }

// warmAt returns when the warm-up of a server ends, 0 if it has none: by its entry in the
// store, or because it may have started again without one.
func (d *Decider) warmAt(b *catalogue.Backend) int64 {
	return max(b.WarmAt, d.mayBeColdUntil(b))
}

// AdmitCold implements selection.View.
func (d *Decider) AdmitCold(b *catalogue.Backend, now int64) bool {
	return d.warmup.admit(b, d.warmAt(b), d.starting(now), now)
}
