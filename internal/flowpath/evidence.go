package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/suspicion"
)

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
			d.missed(snap.ByCookie(e.Cookie), suspicion.NoHandshake, now)
		}
	}
}

// checkRequests looks for requests whose servers should have sent data. One that has
// sent data to others meanwhile is only slow.
func (d *Decider) checkRequests(snap *catalogue.Snapshot, now int64) {
	for {
		r, overdue := d.requests.overdue(d.drained)
		if !overdue {
			return
		}
		e := d.flows.Find(r.flow)
		if e != nil && e.Busy && e.Asked == r.sent && d.suspicion.LastData(e.Cookie) < r.sent {
			d.missed(snap.ByCookie(e.Cookie), suspicion.NoData, now)
		}
	}
}

// reading reports whether packets are read as they come, so that what is sent now can
// be expected to be answered in time.
func (d *Decider) reading(now int64) bool { return now-d.drained <= int64(waitedAtMost) }

// missed takes an account of this instance against a server, if that is still there.
func (d *Decider) missed(b *catalogue.Backend, kind suspicion.Kind, now int64) {
	if b == nil {
		return
	}
	f := d.suspicion.Missed(suspicion.Report{Kind: kind, Server: b.Cookie, DataCentre: b.DataCentre}, now)
	d.observer.Missed(b, kind, f)
}

// ask notes that a request is under way, and waits for data in return if the caller's
// acknowledgements will pass here: while instances start, the fabric takes flows from
// one to another.
func (d *Decider) ask(e *flowtable.Entry, hash uint64, now int64) {
	if e.Busy {
		return
	}
	e.Busy, e.Asked = true, now
	if e.Here && !d.young(now) && d.reading(now) {
		d.requests.add(hash, now)
	}
}

// repeated takes data that a caller has sent again. An answer may take longer than
// that, so it counts only against a server that no longer accepts flows either and
// sends nothing to others.
func (d *Decider) repeated(b *catalogue.Backend, now int64) {
	if d.suspicion.Silent(b.Cookie, now) {
		d.missed(b, suspicion.NoHandshake, now)
	}
}

func (d *Decider) answered(b *catalogue.Backend, now int64) {
	if r := d.suspicion.Answered(b.Cookie, b.DataCentre, now); r.Refutes {
		d.observer.Refuted(b, suspicion.Handshake, r.Ended)
	}
}

// served takes an acknowledgement that has moved. Data and ends are sent again and may
// carry an old one that passed through another instance before; a bare one is only
// sent as data arrives.
func (d *Decider) served(p *Packet, b *catalogue.Backend, now int64) {
	var r suspicion.Refutation
	if p.Data == 0 && !p.Finish {
		r = d.suspicion.Alive(b.Cookie, b.DataCentre, now)
	} else {
		r = d.suspicion.Served(b.Cookie, b.DataCentre, now)
	}
	if r.Refutes {
		d.observer.Refuted(b, suspicion.Data, r.Ended)
	}
}
