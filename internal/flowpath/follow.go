package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/selection"
)

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
	if now-max(k.Since, d.woke) > int64(settledFor) && d.dead(backend, now) {
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
		e.State, e.Cookie, e.Here = flowtable.Open, b.Cookie, true
		e.Acknowledged = p.Acknowledged
		d.answered(b, now)
	}
	if p.Acknowledged != e.Acknowledged {
		e.Acknowledged, e.Busy = p.Acknowledged, false
		d.served(p, b, now)
	}
	e.Last = now
	switch {
	case p.Kind == Resetting:
		d.flows.Remove(e)
	case p.Finish:
		e.State, e.Busy = flowtable.Closing, false
	case p.Data > 0 && e.Busy && int32(p.Sequence-e.Sequence) <= 0:
		d.repeated(b, now)
	case p.Data > 0:
		d.ask(e, hash, now)
		e.Sequence = p.Sequence
	}
}
