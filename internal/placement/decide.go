package placement

import (
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

// Decide implements flow.Decider. It fills p.Flow and p.Service.
func (e *Engine) Decide(now int64, p *flow.Packet) flow.Verdict {
	st := e.state.Load()
	if st.plan == nil {
		return drop(flow.NoService)
	}
	s := st.plan.find(p.Key.Destination, p.Key.Protocol)
	if s == nil {
		return drop(flow.NoService)
	}
	p.Service = s.index
	p.Flow = st.plan.hasher.Flow(&p.Key)
	bucket := table.Bucket(p.Flow)
	if p.Origin != flow.Copied && !st.behind && !s.isUnsettled(bucket) {
		return forward(s.baseOf(bucket))
	}
	return e.decideBucket(now, p, bucket)
}

// decideBucket decides by the records of a bucket. The state is read again under
// the bucket's lock, so that an export of the bucket divides the decisions into
// those it contains and those made by its state or a later one.
func (e *Engine) decideBucket(now int64, p *flow.Packet, bucket int) flow.Verdict {
	b := e.records.Lock(bucket)
	defer b.Unlock()
	st := e.state.Load()
	s := st.plan.find(p.Key.Destination, p.Key.Protocol)
	if s == nil {
		return drop(flow.NoService)
	}
	p.Service = s.index
	d := decision{
		engine: e, state: st, service: s, packet: p, records: b, bucket: bucket, now: now,
		seconds: uint32(now / int64(time.Second)), opening: p.Flags.Has(flow.Syn),
	}
	return d.decide()
}

// decision is the work on one packet, with the lock of its bucket held.
type decision struct {
	engine  *Engine
	state   *state
	service *service
	packet  *flow.Packet
	records *records.Bucket
	bucket  int
	now     int64
	seconds uint32
	opening bool
}

func (d *decision) decide() flow.Verdict {
	p := d.packet
	if p.Origin == flow.Copied {
		return d.copied()
	}
	if r, s := d.recorded(); s != nil {
		return d.follow(r, s)
	}
	if p.Hops >= MaxHops {
		d.engine.counts.hops.Add(1)
		return d.derive()
	}
	authority := d.engine.buckets[d.bucket].authority
	if d.state.behind && !authority && p.Origin != flow.Delegated {
		return d.pass()
	}
	if !d.state.behind && !d.service.isUnsettled(d.bucket) {
		return forward(d.service.baseOf(d.bucket))
	}
	ring := d.state.ring
	steered := p.Origin != flow.Delegated
	if owner := ring.at(d.bucket, 0); steered && p.Hops < maxSteered && owner != nil && owner.ID != d.engine.self {
		return relay(owner, flow.Steered)
	}
	if authority {
		return d.unrecorded(d.state.confirmed >= d.service.since)
	}
	if next := ring.next(d.bucket, steered); next != nil {
		return relay(next, flow.Delegated)
	}
	d.engine.counts.alone.Add(1)
	return d.derive()
}

// derive decides on the spot when no authority was found, without a record: the
// base, which is where every instance looks for a flow that has none. If the flow
// is an older one, it was not noted, and the service settles later.
func (d *decision) derive() flow.Verdict {
	if d.observes() && !d.opening {
		d.service.overflow.Store(d.now)
	}
	return forward(d.oldBase())
}

// recorded returns the flow's record and its backend server, or nil if there is
// none to follow.
func (d *decision) recorded() (records.Record, *server) {
	r, ok := d.records.Get(d.packet.Flow)
	if !ok {
		return r, nil
	}
	s := d.service.server(r.Server())
	if s == nil || d.gone(s) || r.Closed() && d.opening {
		d.records.Delete(d.packet.Flow)
		return r, nil
	}
	return r, s
}

// follow sends the packet where the flow lives. What the second instance must
// know goes through it: an opening, the packet after it, a close, and one packet
// in each refresh time.
func (d *decision) follow(r records.Record, s *server) flow.Verdict {
	closes := d.closes() && !r.Closed()
	confirms := r.Kind() == records.Opening && !d.opening
	stale := d.seconds >= r.Seen+refreshSeconds
	if !d.opening && !closes && !confirms && !stale {
		return forward(s)
	}
	kind := r.Kind()
	if confirms {
		kind = records.Placed
	}
	d.records.Touch(r.Flow, kind, d.seconds, closes)
	return d.through(s)
}

func (d *decision) closes() bool {
	return d.packet.Flags&(flow.Fin|flow.Rst) != 0
}

// copied keeps the record that the packet carries, and forwards the packet.
func (d *decision) copied() flow.Verdict {
	s := d.service.server(d.packet.Server)
	if s == nil {
		return drop(flow.NoServer)
	}
	if d.gone(s) {
		return drop(flow.ServerGone)
	}
	d.keep(s, d.copiedKind(s))
	return forward(s)
}

func (d *decision) copiedKind(s *server) records.Kind {
	if d.opening {
		return records.Opening
	}
	old, known := d.records.Get(d.packet.Flow)
	if known && old.Kind() != records.Opening {
		return old.Kind()
	}
	if !known && s == d.service.baseOf(d.bucket) {
		return records.Observed
	}
	return records.Placed
}

// keep records that the flow lives on a backend server, and reports whether
// there was room.
func (d *decision) keep(s *server, kind records.Kind) bool {
	flowHash := d.packet.Flow
	if !d.records.Put(records.New(flowHash, s.number, kind, d.seconds)) {
		d.engine.counts.refused.Add(1)
		return false
	}
	if d.closes() {
		d.records.Touch(flowHash, kind, d.seconds, true)
	}
	return true
}

// unrecorded decides about a flow that has no record. Only when act is set may
// the flow be placed away from its base.
func (d *decision) unrecorded(act bool) flow.Verdict {
	if d.opens() {
		return d.open(act)
	}
	s := d.oldBase()
	if s == nil {
		return drop(flow.NoServer)
	}
	if d.observes() && !d.keep(s, records.Observed) {
		d.service.overflow.Store(d.now)
	} else if d.observes() {
		return d.through(s)
	}
	return forward(s)
}

// opens reports whether the packet begins a flow. Without an opening packet, a
// flow that was not seen within the idle limit after a change is a new one.
func (d *decision) opens() bool {
	if !d.packet.Flags.Has(flow.Sessionless) {
		return d.opening
	}
	idle := d.service.idle
	return idle > 0 && d.now-d.service.changed > int64(idle)
}

// oldBase returns where a flow without a record lives: its base, or the target
// when the base is gone, so that the caller learns at once that the flow is lost.
func (d *decision) oldBase() *server {
	base := d.service.baseOf(d.bucket)
	if base == nil || d.gone(base) {
		return d.service.targetOf(d.bucket)
	}
	return base
}

// observes reports whether older flows of the bucket need a record: to settle the
// bucket later, or to tell them from new ones.
func (d *decision) observes() bool {
	if d.packet.Flags.Has(flow.Sessionless) {
		return true
	}
	return d.service.idle > 0 && d.service.baseOf(d.bucket) != d.service.targetOf(d.bucket)
}

func (d *decision) open(act bool) flow.Verdict {
	s := d.place(act)
	if s == nil {
		return drop(flow.NoServer)
	}
	if act && d.derived(s) {
		return forward(s)
	}
	kind := records.Opening
	if d.packet.Flags.Has(flow.Sessionless) {
		kind = records.Placed
	}
	if !d.keep(s, kind) {
		return forward(d.oldBase())
	}
	return d.through(s)
}

// derived reports that every instance finds the flow on s without a record.
func (d *decision) derived(s *server) bool {
	return s == d.service.baseOf(d.bucket) && s == d.service.targetOf(d.bucket) &&
		!d.packet.Flags.Has(flow.Sessionless)
}

// through sends the packet to a backend server by way of the instance that holds
// the same records, which learns the record from the packet.
func (d *decision) through(s *server) flow.Verdict {
	partner := d.state.ring.partner(d.bucket)
	if partner == nil {
		return forward(s)
	}
	v := relay(partner, flow.Copied)
	v.Server = s.number
	return v
}

// pass hands a packet on to an instance that serves by a newer version.
func (d *decision) pass() flow.Verdict {
	ring := d.state.ring
	for k := range holders {
		if i := ring.at(d.bucket, k); i != nil && i.ID != d.engine.self {
			return relay(i, flow.Steered)
		}
	}
	return d.derive()
}

// gone reports whether a backend server must get no more packets.
func (d *decision) gone(s *server) bool {
	if s.state != config.Gone {
		return false
	}
	return d.state.confirmed >= d.service.since || d.now-s.times.gone.Load() > int64(goneDelay)
}

func drop(reason flow.Reason) flow.Verdict {
	return flow.Verdict{Action: flow.Drop, Reason: reason}
}

func forward(s *server) flow.Verdict {
	if s == nil {
		return drop(flow.NoServer)
	}
	return flow.Verdict{Action: flow.Forward, Server: s.number, Address: s.address}
}

func relay(to *fleet.Instance, as flow.Origin) flow.Verdict {
	return flow.Verdict{Action: flow.Relay, Peer: to.ID, Address: to.Packets, As: as}
}
