package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
	"balsamfork/internal/table"
)

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
	if backend := d.lateCopy(p, entry, k, now); backend != nil {
		v.Backend, v.Reason = backend, Repeated
		return v
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

// lateCopy returns the server of a flow that has opened meanwhile, for a copy of its
// opening packet that was under way; nil for any other packet.
func (d *Decider) lateCopy(p *Packet, e *flowtable.Entry, k Knowledge, now int64) *catalogue.Backend {
	if e == nil || p.Copy == 0 || now-e.Sent > int64(flowtable.OpeningFor) {
		return nil
	}
	return k.Snapshot.ByCookie(e.Cookie)
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
	if d.reading(now) {
		d.openings.add(hash, now)
	}
	d.suspicion.Tried(e.Cookie, now)
	return v
}

// repeat decides about a copy of an opening packet. Its server has not answered: if
// it answered others meanwhile, a packet was lost, otherwise another is tried.
// Copies that were read together have waited here, and the server had no time yet.
func (d *Decider) repeat(v Verdict, e *flowtable.Entry, hash uint64, k Knowledge, now int64) Verdict {
	backend := k.Snapshot.ByCookie(e.Cookie)
	alive := d.suspicion.LastHandshake(e.Cookie) > e.Sent
	early := now-e.Sent < int64(handshakeWithin)
	if backend != nil && (alive || early) && usable(backend) {
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
