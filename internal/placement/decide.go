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

// decideBucket decides from the records of a bucket. The state is loaded again
// under the bucket's lock, so that every decision is either contained in an
// export of the bucket, or made with the export's state or a later one.
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
		nowSeconds: uint32(now / int64(time.Second)), opening: p.Flags.Has(flow.Syn),
	}
	return d.decide()
}

// decision is the context of the decision on one packet, with the lock of its
// bucket held.
type decision struct {
	engine     *Engine
	state      *state
	service    *service
	packet     *flow.Packet
	records    *records.Bucket
	bucket     int
	now        int64
	nowSeconds uint32
	opening    bool
}

func (d *decision) decide() flow.Verdict {
	p := d.packet
	if p.Origin == flow.Copied {
		return d.decideCopied()
	}
	if r, s := d.lookUpRecord(); s != nil {
		return d.followRecord(r, s)
	}
	if p.Hops >= MaxHops {
		d.engine.counts.hopLimit.Add(1)
		return d.decideLocally()
	}
	authoritative := d.engine.buckets[d.bucket].authoritative
	if d.state.behind && !authoritative && p.Origin != flow.Delegated {
		return d.relayToNewerVersion()
	}
	if !d.state.behind && !d.service.isUnsettled(d.bucket) {
		return forward(d.service.baseOf(d.bucket))
	}
	membership := d.state.membership
	undelegated := p.Origin != flow.Delegated
	if owner := membership.replica(d.bucket, 0); undelegated && p.Hops < maxSteered && owner != nil && owner.ID != d.engine.self {
		return relay(owner, flow.Steered)
	}
	if authoritative {
		return d.decideUnrecorded(d.state.confirmedVersion >= d.service.since)
	}
	if nextCandidate := membership.nextCandidate(d.bucket, undelegated); nextCandidate != nil {
		return relay(nextCandidate, flow.Delegated)
	}
	d.engine.counts.withoutAuthority.Add(1)
	return d.decideLocally()
}

// decideLocally decides without a record when no authority was found. It uses
// the base, which every instance assumes for a flow without a record. An older
// flow stays unrecorded, so the service settles later.
func (d *decision) decideLocally() flow.Verdict {
	if d.mustRecordOlderFlows() && !d.opening {
		d.service.overflowAt.Store(d.now)
	}
	return forward(d.unrecordedServer())
}

// lookUpRecord returns the flow's record and its backend server, which is nil
// if there is no record to follow.
func (d *decision) lookUpRecord() (records.Record, *server) {
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

// followRecord forwards the packet to the recorded backend server. Packets that
// the other replica must see go through it: an opening, the packet after it, a
// closing packet, and one packet in each refresh interval.
func (d *decision) followRecord(r records.Record, s *server) flow.Verdict {
	closes := d.closes() && !r.Closed()
	confirms := r.Kind() == records.Opening && !d.opening
	stale := d.nowSeconds >= r.Seen+refreshSeconds
	if !d.opening && !closes && !confirms && !stale {
		return forward(s)
	}
	kind := r.Kind()
	if confirms {
		kind = records.Placed
	}
	d.records.Touch(r.Flow, kind, d.nowSeconds, closes)
	return d.forwardThroughReplica(s)
}

func (d *decision) closes() bool {
	return d.packet.Flags&(flow.Fin|flow.Rst) != 0
}

// decideCopied stores the record that the packet carries, and forwards the
// packet.
func (d *decision) decideCopied() flow.Verdict {
	s := d.service.server(d.packet.Server)
	if s == nil {
		return drop(flow.NoServer)
	}
	if d.gone(s) {
		return drop(flow.ServerGone)
	}
	d.putRecord(s, d.copiedKind(s))
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

// putRecord records the backend server of the flow, and reports whether there
// was room.
func (d *decision) putRecord(s *server, kind records.Kind) bool {
	flowHash := d.packet.Flow
	if !d.records.Put(records.New(flowHash, s.number, kind, d.nowSeconds)) {
		d.engine.counts.tableFull.Add(1)
		return false
	}
	if d.closes() {
		d.records.Touch(flowHash, kind, d.nowSeconds, true)
	}
	return true
}

// decideUnrecorded decides on a flow that has no record. confirmed says that
// every reachable instance serves by the service's version; only then may the
// flow be placed away from its base.
func (d *decision) decideUnrecorded(confirmed bool) flow.Verdict {
	if d.opensFlow() {
		return d.openFlow(confirmed)
	}
	s := d.unrecordedServer()
	if s == nil {
		return drop(flow.NoServer)
	}
	if d.mustRecordOlderFlows() && !d.putRecord(s, records.Observed) {
		d.service.overflowAt.Store(d.now)
	} else if d.mustRecordOlderFlows() {
		return d.forwardThroughReplica(s)
	}
	return forward(s)
}

// opensFlow reports whether the packet starts a flow. In a protocol without
// opening packets, a flow without a record is new once the idle limit has
// passed since the last change.
func (d *decision) opensFlow() bool {
	if !d.packet.Flags.Has(flow.Sessionless) {
		return d.opening
	}
	idle := d.service.idle
	return idle > 0 && d.now-d.service.changedAt > int64(idle)
}

// unrecordedServer returns the backend server of an older flow without a
// record: its base, or the target when the base is gone, so that the caller
// learns at once that the flow is lost.
func (d *decision) unrecordedServer() *server {
	base := d.service.baseOf(d.bucket)
	if base == nil || d.gone(base) {
		return d.service.targetOf(d.bucket)
	}
	return base
}

// mustRecordOlderFlows reports whether older flows of the bucket need a record,
// either to settle the bucket later or to distinguish them from new ones.
func (d *decision) mustRecordOlderFlows() bool {
	if d.packet.Flags.Has(flow.Sessionless) {
		return true
	}
	return d.service.idle > 0 && d.service.baseOf(d.bucket) != d.service.targetOf(d.bucket)
}

func (d *decision) openFlow(confirmed bool) flow.Verdict {
	s := d.place(confirmed)
	if s == nil {
		return drop(flow.NoServer)
	}
	if confirmed && d.needsNoRecord(s) {
		return forward(s)
	}
	kind := records.Opening
	if d.packet.Flags.Has(flow.Sessionless) {
		kind = records.Placed
	}
	if !d.putRecord(s, kind) {
		return forward(d.unrecordedServer())
	}
	return d.forwardThroughReplica(s)
}

// needsNoRecord reports whether every instance sends the flow to s without a
// record.
func (d *decision) needsNoRecord(s *server) bool {
	return s == d.service.baseOf(d.bucket) && s == d.service.targetOf(d.bucket) &&
		!d.packet.Flags.Has(flow.Sessionless)
}

// forwardThroughReplica sends the packet to a backend server by way of the
// other replica of the bucket, which learns the record from the packet.
func (d *decision) forwardThroughReplica(s *server) flow.Verdict {
	otherReplica := d.state.membership.otherReplica(d.bucket)
	if otherReplica == nil {
		return forward(s)
	}
	v := relay(otherReplica, flow.Copied)
	v.Server = s.number
	return v
}

// relayToNewerVersion relays a packet to another replica of the bucket, since
// this instance is behind.
func (d *decision) relayToNewerVersion() flow.Verdict {
	membership := d.state.membership
	for k := range replicas {
		if i := membership.replica(d.bucket, k); i != nil && i.ID != d.engine.self {
			return relay(i, flow.Steered)
		}
	}
	return d.decideLocally()
}

// gone reports whether a backend server must get no more packets.
func (d *decision) gone(s *server) bool {
	if s.state != config.Gone {
		return false
	}
	return d.state.confirmedVersion >= d.service.since || d.now-s.times.gone.Load() > int64(goneGracePeriod)
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
