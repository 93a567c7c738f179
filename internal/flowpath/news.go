package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// instances counts the instances, and those of the data centre.
type instances struct{ all, local int }

// news is what peers tell: a report on a server, or a contact with a data centre.
type news struct {
	report  suspicion.Report
	contact string
}

// SetInstances sets the number of instances and of those in the data centre, for
// shares of limits and of work.
func (p *Path) SetInstances(all, local int) {
	p.peers.Store(&instances{all: all, local: local})
	p.pending.Store(true)
}

// PeerReport takes a peer's report. It does not block; news without room is dropped.
func (p *Path) PeerReport(r suspicion.Report) { p.tell(news{report: r}) }

// Contact notes that an instance of a data centre has answered. It does not block.
func (p *Path) Contact(dataCentre string) {
	p.tell(news{contact: dataCentre})
	p.wake()
}

func (p *Path) tell(n news) {
	select {
	case p.news <- n:
		p.pending.Store(true)
	default:
		p.metrics.newsDropped.Inc(1)
	}
}

func (p *Path) takeNews(now int64) {
	p.pending.Store(false)
	if n := p.peers.Load(); n != nil {
		p.decider.SetInstances(n.all, n.local)
	}
	for {
		select {
		case n := <-p.news:
			p.takeOne(n, now)
		default:
			return
		}
	}
}

func (p *Path) takeOne(n news, now int64) {
	if n.contact != "" {
		p.decider.Contact(n.contact, now)
		p.Log.Info("Data centre has answered.", "data_centre", n.contact)
		return
	}
	b := p.Knowledge().Snapshot.ByCookie(n.report.Server)
	if b != nil {
		p.found(b, n.report.Kind, p.decider.PeerReport(n.report, now), "peers")
	}
}

// review looks whether this instance reaches any server.
func (p *Path) review(now int64) {
	p.reviewed = now
	if now-p.forgot > int64(forgetEvery) {
		p.decider.Forget(p.Knowledge().Snapshot)
		p.forgot = now
	}
	reach := p.decider.Reach(p.Knowledge().Snapshot, now)
	for _, dataCentre := range reach.Unseen {
		p.Unreachable(dataCentre)
	}
	if p.reaches.Swap(reach.Servers) != reach.Servers {
		p.Log.Info("Reach has changed.", "reaches_servers", reach.Servers, "unseen", reach.Unseen)
	}
}

// Missed implements Observer.
func (p *Path) Missed(b *catalogue.Backend, kind suspicion.Kind, f suspicion.Finding) {
	p.metrics.missed(kind).Inc(1)
	p.found(b, kind, f, "own traffic")
	p.Report(suspicion.Report{Kind: kind, Server: b.Cookie, DataCentre: b.DataCentre})
}

// Refuted implements Observer.
func (p *Path) Refuted(b *catalogue.Backend, by suspicion.Kind, ended bool) {
	p.metrics.refuted.Inc(1)
	if ended {
		p.Log.Info("Backend server answers again.", "server", b.Name, "data_centre", b.DataCentre, "sign", by)
	}
	p.Report(suspicion.Report{Kind: by, Server: b.Cookie, DataCentre: b.DataCentre})
}

// found logs a finding and follows it up.
func (p *Path) found(b *catalogue.Backend, kind suspicion.Kind, f suspicion.Finding, evidence string) {
	if f.Suspected {
		p.metrics.suspicions.Inc(1)
		p.Log.Warn("Backend server is suspected.", "server", b.Name, "data_centre", b.DataCentre,
			"missing", kind, "evidence", evidence, "accounts", f.Accounts, "silent_ms", f.Silent.Milliseconds())
	}
	if f.Unreachable {
		p.Log.Warn("Data centre is unreachable.", "data_centre", b.DataCentre, "evidence", evidence)
		p.Unreachable(b.DataCentre)
	}
}
