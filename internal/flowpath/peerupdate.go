package flowpath

import (
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// instanceCounts holds the number of all instances, and of those in the data centre.
type instanceCounts struct{ all, local int }

// peerUpdate is information from peers: a report on a server, or a contact with a
// data centre. It waits for the next packet, so it carries the time of its arrival.
type peerUpdate struct {
	report  suspicion.Report
	contact string
	arrived int64
}

// SetInstances sets the number of instances and of those in the data centre, which
// determine this instance's share of limits and of load.
func (p *Path) SetInstances(all, local int) {
	p.instances.Store(&instanceCounts{all: all, local: local})
	p.updatesPending.Store(true)
}

// PeerReport queues a peer's report. It does not block; the report is dropped if the
// queue is full.
func (p *Path) PeerReport(r suspicion.Report) { p.enqueue(peerUpdate{report: r}) }

// Contact records that an instance of a data centre has answered. It does not block.
func (p *Path) Contact(dataCentre string) {
	p.enqueue(peerUpdate{contact: dataCentre})
	p.interruptRead()
}

func (p *Path) enqueue(n peerUpdate) {
	n.arrived = p.Clock()
	select {
	case p.peerUpdate <- n:
		p.updatesPending.Store(true)
	default:
		p.metrics.updatesDropped.Inc(1)
	}
}

func (p *Path) applyPeerUpdates() {
	p.updatesPending.Store(false)
	if n := p.instances.Load(); n != nil {
		p.decider.SetInstances(n.all, n.local)
	}
	p.decider.Observe(p.CatalogueState().Snapshot)
	for {
		select {
		case n := <-p.peerUpdate:
			p.applyPeerUpdate(n)
		default:
			p.decider.shareReturns(p.Clock())
			p.applyLoadUpdates()
			return
		}
	}
}

func (p *Path) applyPeerUpdate(n peerUpdate) {
	if n.contact != "" {
		p.decider.Contact(n.contact, n.arrived)
		p.Log.Info("Received an answer from the data centre.", "data_centre", n.contact)
		return
	}
	b := p.CatalogueState().Snapshot.ByCookie(n.report.Server)
	if b != nil {
		p.handleFinding(b, n.report.Kind, p.decider.PeerReport(n.report, n.arrived), "peers")
	}
}

// checkReachability updates whether this instance reaches any server, and requests
// contact with unconfirmed data centres. At intervals it also removes the state of
// servers that have left the catalogue.
func (p *Path) checkReachability(now int64) {
	p.reachabilityCheckedAt = now
	if now-p.prunedAt > int64(pruneInterval) {
		p.decider.Forget(p.CatalogueState().Snapshot)
		p.prunedAt = now
	}
	reach := p.decider.Reachability(p.CatalogueState().Snapshot, now)
	for _, dataCentre := range reach.UnconfirmedDataCentres {
		p.RequestContact(dataCentre)
	}
	if p.reachesServer.Swap(reach.Reachable) != reach.Reachable {
		p.Log.Info("Server reachability has changed.", "reaches_servers", reach.Reachable, "unseen", reach.UnconfirmedDataCentres)
	}
}

// RecordFailure implements Observer.
func (p *Path) RecordFailure(b *catalogue.Backend, r suspicion.Report, f suspicion.Finding) {
	p.metrics.failureCounter(r.Kind).Inc(1)
	p.handleFinding(b, r.Kind, f, "own traffic")
	p.Report(r)
}

// Refuted implements Observer.
func (p *Path) Refuted(b *catalogue.Backend, r suspicion.Report, ended bool) {
	p.metrics.refuted.Inc(1)
	if ended {
		p.Log.Info("Backend server is responding again.", "server", b.Name, "data_centre", b.DataCentre, "sign", r.Kind)
	}
	p.Report(r)
}

// Returned implements Observer. It reads the store, so that the server does not count as cold
// for longer than necessary; a read may not be allowed soon after the one before. If the store
// can't be read, the instances of other data centres have to know of the return.
func (p *Path) Returned(r suspicion.Report) {
	returned := p.Clock()
	ifUnread := func(do func()) func() {
		return func() {
			if p.CatalogueState().Known < returned {
				do()
			}
		}
	}
	time.AfterFunc(returnReadDelay, p.Refresh)
	time.AfterFunc(returnReadDelay+readRetryDelay, ifUnread(p.Refresh))
	if r.DataCentre == p.DataCentre {
		time.AfterFunc(returnReportDelay, ifUnread(func() {
			r.Age = time.Duration(p.Clock() - returned)
			p.Report(r)
		}))
	}
}

// Returns returns reports on the servers of this data centre that may have started again
// without an entry in the store, or are suspected. It is safe for concurrent use.
func (p *Path) Returns() []suspicion.Report { return p.decider.Returns(p.Clock()) }

// handleFinding logs a new suspicion, and requests contact with a data centre that has
// become unreachable.
func (p *Path) handleFinding(b *catalogue.Backend, kind suspicion.Kind, f suspicion.Finding, evidence string) {
	if f.Suspected {
		p.metrics.suspicions.Inc(1)
		p.Log.Warn("Backend server is suspected.", "server", b.Name, "data_centre", b.DataCentre,
			"missing", kind, "evidence", evidence, "accounts", f.Failures, "silent_ms", f.Silent.Milliseconds())
	}
	if f.Unreachable {
		p.Log.Warn("Data centre is unreachable.", "data_centre", b.DataCentre, "evidence", evidence)
		p.RequestContact(b.DataCentre)
	}
}
