package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
)

// decideOpening returns the verdict on an opening packet.
func (d *Decider) decideOpening(p *Packet, state CatalogueState, now int64) Verdict {
	if d.isOutdated(p, now) {
		// The answer of a second server would replace the caller's cookie.
		return Verdict{Action: Drop, Reason: Delayed}
	}
	if !d.held && d.outdatedByPause(state, now) {
		return Verdict{Action: Hold, Reason: StaleCatalogue}
	}
	route := state.Snapshot.Route(p.Flow.To())
	if route == nil {
		return d.rejectOrHold(Verdict{Reason: NoRoute}, state, now)
	}
	hash := p.Flow.Hash()
	entry := d.flows.Find(hash, now)
	if entry != nil && entry.OpenedBy(p.Sequence) {
		v := d.keepService(route, entry, hash, state.Snapshot)
		if entry.State == flowtable.Opening {
			return d.decideCopy(v, entry, hash, state, now)
		}
		return d.decideLateCopy(v, entry, state, now)
	}
	if entry != nil {
		d.flows.Remove(entry)
	}
	v := d.selectService(route, hash)
	if p.Copy == 0 && d.refuses(v.Service, route, p, now) {
		v.Action, v.Reason, v.Tier = Reset, Overloaded, selection.Unusable
		return v
	}
	entry = d.flows.Add(hash, now)
	entry.Sequence = p.Sequence
	return d.placeFlow(v, entry, hash, cookie.None, state, now)
}

// outdatedByPause reports whether the catalogue is from before a pause of this instance
// and may be read again: servers may have been drained or have started again, and routes
// changed meanwhile. If the store cannot be read, the instance goes on with what it has. A
// packet that waited through a short pause cannot wait longer: its caller would give up.
func (d *Decider) outdatedByPause(state CatalogueState, now int64) bool {
	if state.Failing || state.Known >= d.resumedAt {
		return false
	}
	return !d.waited || now-state.Known >= int64(pausedCatalogueAge)
}

// placeFlow selects a server for an opening packet.
func (d *Decider) placeFlow(v Verdict, e *flowtable.Entry, hash uint64, exclude uint32, state CatalogueState, now int64) Verdict {
	r := selection.Request{Service: v.Service, Hash: hash, Exclude: exclude, Spill: d.shouldSpill(state.Snapshot, v.Service, hash, now)}
	v.Load.Spilled = r.Spill
	choice := d.selector.Choose(state.Snapshot, r, d, now)
	v.Tier = choice.Tier
	if choice.Backend == nil {
		d.flows.Remove(e)
		if choice.Tier != selection.Unusable {
			v.Action, v.Reason = Drop, ColdLimit
			return v
		}
		v.Reason = NoServer
		return d.rejectOrHold(v, state, now)
	}
	v.Backend = choice.Backend
	e.State, e.Cookie, e.Started, e.Sent, e.Last = flowtable.Opening, v.Backend.Cookie, v.Backend.Started, now, now
	d.recordPlacement(v.Backend)
	if d.readsPromptly(now) {
		d.handshakes.add(hash, now)
	}
	d.suspicion.RecordTrial(e.Cookie, now)
	return v
}

// decideCopy returns the verdict on a copy of an opening packet that its server has not
// answered, as far as this instance knows. The answer may have been lost, and the server
// goes on repeating it: if a second server answered as well, the caller's cookie would change
// with each answer. So the first copy goes to the same server, unless that one is suspected,
// and another server is tried only when the first copy was not answered either. If the server
// has answered others since, a packet was lost. Copies that were read together have waited in
// this instance, so the server has had no time to answer yet. If the server has started again
// since, or may have, the start that got the first packet answers none, and the flow is placed
// anew.
func (d *Decider) decideCopy(v Verdict, e *flowtable.Entry, hash uint64, state CatalogueState, now int64) Verdict {
	backend := state.Snapshot.ByCookie(e.Cookie)
	if backend != nil && heldByEarlierStart(e, backend) {
		return d.placeFlow(v, e, hash, cookie.None, state, now)
	}
	if backend != nil && d.mayHaveReturned(e) {
		v = d.placeFlow(v, e, hash, cookie.None, state, now)
		return moved(v, e, backend)
	}
	accepts := backend != nil && d.selector.Accepts(state.Snapshot, backend, now)
	alive := d.suspicion.LastHandshake(e.Cookie) > e.Sent
	early := now-e.Sent < int64(handshakeTimeout)
	if !early && !alive {
		d.recordCopy(e, hash, state.Snapshot, now)
	}
	first := !early && !e.Repeated
	if accepts && (alive || early || first && !(reachabilityView{d}).Suspected(backend, now)) {
		v.Backend, v.Reason = backend, Repeated
		e.Repeated, e.Last = e.Repeated || first, now
		return v
	}
	tried := e.Cookie
	v = d.placeFlow(v, e, hash, tried, state, now)
	if v.Backend == nil && accepts {
		// No other server is left.
		e.State, e.Cookie, e.Sent, e.Last = flowtable.Opening, tried, now, now
		return Verdict{Backend: backend, Reason: Repeated, Service: v.Service}
	}
	return moved(v, e, backend)
}

// moved returns the verdict on a copy that was placed anew, from a server that may hold the
// flow half open, or nil.
func moved(v Verdict, e *flowtable.Entry, from *catalogue.Backend) Verdict {
	switch {
	case v.Backend == nil:
		v.Unanswered = from
	case v.Backend == from:
		v.Reason = Repeated
	default:
		v.Unanswered, v.Reason, e.Repeated = from, Moved, true
		if from != nil {
			e.UnansweredCookie = from.Cookie
		}
	}
	return v
}

// mayHaveReturned reports whether the server of an opening packet may have started again
// after the packet.
func (d *Decider) mayHaveReturned(e *flowtable.Entry) bool {
	s := d.returns.unconfirmed(e.Cookie)
	return s != nil && s.at > e.Sent
}

// decideLateCopy returns the verdict on a copy of the opening packet of a flow that is open
// already. No other server may answer it, since that would replace the caller's cookie.
func (d *Decider) decideLateCopy(v Verdict, e *flowtable.Entry, state CatalogueState, now int64) Verdict {
	v.Action, v.Reason = Drop, Repeated
	if backend := serverOf(e, state.Snapshot); backend != nil && d.selector.Accepts(state.Snapshot, backend, now) {
		v.Action, v.Backend = Forward, backend
	}
	return v
}

// rejectOrHold returns the verdict on a flow for which the catalogue lacks a route or
// server: it is refused at once if the catalogue is recent, and otherwise held until a
// newer one has been read.
func (d *Decider) rejectOrHold(v Verdict, state CatalogueState, now int64) Verdict {
	if state.Known != 0 && now-state.Known < int64(maxCatalogueAge) {
		v.Action = Reset
		return v
	}
	v.Action = Hold
	return v
}
