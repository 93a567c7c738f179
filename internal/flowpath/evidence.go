package flowpath

import (
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/suspicion"
)

// checkHandshakes reports handshakes that are overdue. A server that refuses flows
// answers the caller directly, so the missing handshake is the only sign that the
// instance sees.
func (d *Decider) checkHandshakes(snap *catalogue.Snapshot, now int64) {
	for {
		o, overdue := d.handshakes.overdue(d.lastDrained)
		if !overdue {
			return
		}
		e := d.flows.Find(o.flow, now)
		if e != nil && e.State == flowtable.Opening && e.Sent == o.sent {
			d.recordFailure(serverOf(e, snap), suspicion.NoHandshake, o.sent, now)
		}
	}
}

// checkRequests reports requests whose servers should have sent data by now. A server
// that has sent data to other callers since is only slow.
func (d *Decider) checkRequests(snap *catalogue.Snapshot, now int64) {
	for {
		r, overdue := d.requests.overdue(d.lastDrained)
		if !overdue {
			return
		}
		e := d.flows.Find(r.flow, now)
		if e != nil && e.AwaitingAnswer && e.RequestSent == r.sent && d.suspicion.LastData(e.Cookie) < r.sent {
			d.recordFailure(serverOf(e, snap), suspicion.NoData, r.sent, now)
		}
	}
}

// serverOf returns the server of an entry, or nil if it has left the catalogue or has
// started again since.
func serverOf(e *flowtable.Entry, snap *catalogue.Snapshot) *catalogue.Backend {
	b := snap.ByCookie(e.Cookie)
	if b == nil || heldByEarlierStart(e, b) {
		return nil
	}
	return b
}

// isCurrent reports whether the packet that is being decided shows the present state of
// its flow's server. One that has waited shows a past one.
func (d *Decider) isCurrent() bool { return !d.held && !d.waited }

// readsPromptly reports whether the packet that is being decided has just arrived, so that
// a response to it can be expected in time: it was not held, and packets are read as they
// arrive.
func (d *Decider) readsPromptly(now int64) bool {
	return d.isCurrent() && now-d.emptyUntil <= int64(maxReadDelay)
}

// recordCopy records a copy of an opening packet whose server had the time to answer. It
// shows that the caller got no answer, even if no packet has shown before that the time is
// over.
func (d *Decider) recordCopy(e *flowtable.Entry, hash uint64, snap *catalogue.Snapshot, now int64) {
	if d.isCurrent() && d.handshakes.cancel(hash, e.Sent) {
		d.recordFailure(serverOf(e, snap), suspicion.NoHandshake, e.Sent, now)
	}
}

// recordFailure records that a server has not answered a packet that was sent to it at a
// time, unless the server is nil.
func (d *Decider) recordFailure(b *catalogue.Backend, kind suspicion.Kind, sent, now int64) {
	if b == nil {
		return
	}
	r := reportOn(b, kind)
	r.Age = time.Duration(now - sent)
	f := d.suspicion.RecordFailure(r, now)
	d.returns.changed = d.returns.changed || f.Suspected
	d.observer.RecordFailure(b, r, f)
	if f.Suspected && kind != suspicion.NoData {
		d.reportRetransmissions(b, now)
	}
}

// reportRetransmissions reports the retransmissions from before a server was suspected.
func (d *Decider) reportRetransmissions(b *catalogue.Backend, now int64) {
	for _, at := range d.suspicion.TakeRetransmissions(b.Cookie, now) {
		r := reportOn(b, suspicion.NoAcknowledgement)
		r.Age = time.Duration(now - at)
		d.observer.RecordFailure(b, r, suspicion.Finding{})
	}
}

// reportOn returns a report of this instance on a server.
func reportOn(b *catalogue.Backend, kind suspicion.Kind) suspicion.Report {
	return suspicion.Report{Kind: kind, Server: b.Cookie, DataCentre: b.DataCentre, Started: b.Started}
}

// recordRequest records that a request is in progress. It waits for data in return
// only if the caller's acknowledgements will pass through this instance: while
// instances start, the fabric moves flows between them.
func (d *Decider) recordRequest(e *flowtable.Entry, hash uint64, b *catalogue.Backend, now int64) {
	if e.AwaitingAnswer {
		return
	}
	e.AwaitingAnswer, e.RequestSent = true, now
	d.sampleRequest(e, b, now)
	if e.OpenedHere && !d.starting(now) && d.readsPromptly(now) {
		d.requests.add(hash, now)
	}
}

// recordRetransmission handles data that a caller has sent again. An answer may take
// longer than a retransmission timeout, so this counts only against a server that
// also accepts no flows and sends no data to others. It shows that the server has not
// answered since the flow's previous packet, gap nanoseconds ago.
func (d *Decider) recordRetransmission(b *catalogue.Backend, gap, now int64) {
	if !d.isCurrent() || gap > int64(maxRetransmissionGap) {
		return
	}
	if d.suspicion.Silent(b.Cookie, now) {
		d.recordFailure(b, suspicion.NoAcknowledgement, now-gap, now)
		return
	}
	d.suspicion.RecordRetransmission(b.Cookie, b.DataCentre, now-gap)
}

func (d *Decider) recordHandshake(b *catalogue.Backend, now int64) {
	if !d.isCurrent() {
		return
	}
	last := d.suspicion.LastHandshake(b.Cookie)
	r := d.suspicion.RecordHandshake(b.Cookie, b.DataCentre, now)
	if r.Refutes {
		d.observer.Refuted(b, reportOn(b, suspicion.Handshake), r.Ended)
	}
	if r.Ended || d.returns.absent(b.Cookie) {
		d.returns.record(b.Cookie, last, now)
		d.reportReturn(b, now)
	}
}

// recordAcknowledgement handles an acknowledgement number that differs from that of the
// flow's previous packet. Data packets and the end of a flow are retransmitted, and may carry
// an old acknowledgement that passed through another instance before: the data arrived at
// some time since the previous packet. A packet without data is only sent when data arrives.
func (d *Decider) recordAcknowledgement(p *Packet, e *flowtable.Entry, b *catalogue.Backend, now int64) {
	if !d.isCurrent() {
		return
	}
	since := now
	if p.Data > 0 || p.Finish {
		since = e.Last
	}
	last := d.suspicion.LastData(b.Cookie)
	r := d.suspicion.RecordPossibleData(b.Cookie, b.DataCentre, since, now)
	if r.Refutes {
		report := reportOn(b, suspicion.Data)
		report.Age = time.Duration(now - since)
		d.observer.Refuted(b, report, r.Ended)
	}
	if r.Ended {
		d.returns.record(b.Cookie, last, now)
	}
	d.returns.confirm(b.Cookie, e.Opened, since)
	if r.Ended {
		d.reportReturn(b, now)
	}
}
