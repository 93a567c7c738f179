package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
)

// decideEstablished returns the verdict on a packet of a flow that its caller considers
// open.
func (d *Decider) decideEstablished(p *Packet, state CatalogueState, now int64) Verdict {
	hash := p.Flow.Hash()
	e := d.findEntry(p, hash, now)
	c, reason := p.Cookie, Known
	if e != nil && e.State != flowtable.Opening && e.Cookie != c {
		// A late answer of another server replaced the caller's cookie.
		c, reason = e.Cookie, Repaired
	}
	if c == cookie.None {
		return Verdict{Action: Drop, Reason: NoCookie}
	}
	backend := state.Snapshot.ByCookie(c)
	if backend == nil {
		return d.decideUnknownCookie(p, state, now)
	}
	if departed(backend, state) {
		if e != nil {
			d.load.abandon(e, now)
		}
		return Verdict{Action: Reset, Reason: ServerGone, Backend: backend}
	}
	ended := e != nil && heldByEarlierStart(e, backend)
	half := cookie.None
	if e != nil && !ended {
		half = halfOpenCookie(p, e, backend)
		d.recordProgress(p, e, backend, now)
	}
	if now-max(state.Since, d.resumedAt) > int64(catalogueSettlingTime) && d.isDead(backend, now) {
		if e != nil {
			e.AwaitingAnswer = false
			d.load.abandon(e, now)
		}
		return Verdict{Action: Reset, Reason: ServerDead, Backend: backend}
	}
	if !ended {
		d.recordForwarded(p, e, hash, backend, now)
	}
	return Verdict{Action: Forward, Reason: reason, Backend: backend, HalfOpen: d.halfOpenServer(half, state, now)}
}

// halfOpenCookie returns the cookie of another server that may have answered the opening
// packet of a flow of b, or cookie.None: at the flow's first packet the server that the
// packet was also sent to, and later any whose answer has replaced the caller's cookie.
func halfOpenCookie(p *Packet, e *flowtable.Entry, b *catalogue.Backend) uint32 {
	switch {
	case e.State == flowtable.Open && p.Cookie != b.Cookie:
		return p.Cookie
	case e.State != flowtable.Opening:
		return cookie.None
	case e.Cookie != b.Cookie:
		return e.Cookie
	}
	return e.UnansweredCookie
}

// halfOpenServer returns the server of a cookie if it may get a repeated opening packet now, or
// nil. A cold one may not: the packet could open a flow there.
func (d *Decider) halfOpenServer(c uint32, state CatalogueState, now int64) *catalogue.Backend {
	if c == cookie.None {
		return nil
	}
	b := state.Snapshot.ByCookie(c)
	if b == nil || d.Cold(b, now) || !d.selector.Accepts(state.Snapshot, b, now) {
		return nil
	}
	return b
}

// heldByEarlierStart reports whether the flow of an entry ended with an earlier start of a
// server. Its packets are forwarded, since the server resets it, but show nothing about the
// start that is in use now.
func heldByEarlierStart(e *flowtable.Entry, b *catalogue.Backend) bool {
	return e.Cookie == b.Cookie && e.Started != b.Started
}

// findEntry returns the entry of an established packet's flow, or nil. It removes the
// entry of an earlier flow with the same addresses and ports: this one was opened through
// another instance.
func (d *Decider) findEntry(p *Packet, hash uint64, now int64) *flowtable.Entry {
	e := d.flows.Find(hash, now)
	if e == nil || e.Includes(p.Sequence, p.Acknowledged) {
		return e
	}
	d.flows.Remove(e)
	return nil
}

// departed reports whether a server's record is missing in a catalogue read after the
// grace period, in which lost records return. An older catalogue does not show it.
func departed(b *catalogue.Backend, state CatalogueState) bool {
	return b.Removed != 0 && state.Known-b.Removed > int64(selection.RemovedGracePeriod)
}

// isDead reports whether a server is certain to be dead, so that its callers should
// reconnect to another one. Only local servers are judged: a remote one may be alive
// behind a network partition.
func (d *Decider) isDead(b *catalogue.Backend, now int64) bool {
	return b.DataCentre == d.selector.DataCentre && d.suspicion.Dead(b.Cookie, now) &&
		!d.suspicion.Unreachable(b.DataCentre, now)
}

// decideUnknownCookie returns the verdict on a packet whose cookie the catalogue lacks.
// The flow may have been opened through another instance at a server that has just
// registered, so only a catalogue read after the packet's arrival shows that the server
// has been removed.
func (d *Decider) decideUnknownCookie(p *Packet, state CatalogueState, now int64) Verdict {
	v := Verdict{Action: Hold, Reason: UnknownCookie}
	if state.Known >= p.Arrived && now-state.Since > int64(catalogueSettlingTime) {
		v.Action = Reset
	}
	return v
}

// recordProgress records what a packet shows about the answers that its caller has
// received from the flow's server.
func (d *Decider) recordProgress(p *Packet, e *flowtable.Entry, b *catalogue.Backend, now int64) {
	if e.State == flowtable.Opening {
		e.State, e.Cookie, e.Started, e.OpenedHere = flowtable.Open, b.Cookie, b.Started, true
		e.Acknowledged, e.Opened = p.Acknowledged, now
		d.recordHandshake(b, now)
	}
	if p.Acknowledged != e.Acknowledged {
		d.sampleResponse(e, int32(p.Acknowledged-e.Acknowledged) > 0, now)
		e.Acknowledged, e.AwaitingAnswer = p.Acknowledged, false
		d.recordAcknowledgement(p, e, b, now)
	}
}

// recordForwarded records a packet that is forwarded to its flow's server, and the answer
// that it requires. A packet that is reset requires none, and shows nothing about the
// server.
func (d *Decider) recordForwarded(p *Packet, e *flowtable.Entry, hash uint64, b *catalogue.Backend, now int64) {
	if e == nil {
		e = d.flows.Add(hash, now)
		e.State, e.Cookie, e.Started = flowtable.Open, b.Cookie, b.Started
		e.Acknowledged, e.Sequence, e.Opened = p.Acknowledged, p.Sequence, now
	}
	gap := now - e.Last
	e.Last = now
	switch {
	case p.Kind == Resetting:
		d.flows.Remove(e)
	case p.Finish:
		e.State, e.AwaitingAnswer = flowtable.Closing, false
		d.load.abandon(e, now)
	case p.Data > 0 && e.AwaitingAnswer && int32(p.Sequence-e.Sequence) <= 0:
		d.recordRetransmission(b, gap, now)
	case p.Data > 0:
		d.recordRequest(e, hash, b, now)
		e.Sequence = p.Sequence
	}
}
