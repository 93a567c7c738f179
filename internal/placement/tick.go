package placement

import (
	"slices"
	"strings"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

const (
	// sweepInterval is the time between two sweeps, each over one part in
	// sweepParts of the buckets.
	sweepInterval = time.Second
	sweepParts    = 8
)

// Work is what an instance has to send now.
type Work struct {
	Asks []Ask
}

// Ask is a request to send to a peer, whose reply goes to Import.
type Ask struct {
	Peer    fleet.ID
	Request Request
}

// Tick returns what to send, and forgets records that have ended. It is meant to
// be called several times a second.
func (e *Engine) Tick(now int64) Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	e.refresh(now, st)
	work := Work{Asks: e.asks(now, st.ring)}
	e.release(st)
	if now-e.sweptAt >= int64(sweepInterval) {
		e.sweptAt = now
		e.sweep(now, st)
	}
	return work
}

// asks returns the requests that are due, in order of peer: first to all peers,
// then to those that must let go of something, and to owners that were not ready.
func (e *Engine) asks(now int64, ring *ring) []Ask {
	var out []Ask
	a := ring.agreement
	for id, r := range a.pending {
		if r.due(now) {
			out = append(out, Ask{Peer: id, Request: e.request(ring, r)})
		}
	}
	if len(a.pending) == 0 {
		out = append(out, e.followUps(now, ring)...)
	}
	slices.SortFunc(out, func(x, y Ask) int { return strings.Compare(string(x.Peer), string(y.Peer)) })
	return out
}

func (e *Engine) followUps(now int64, ring *ring) []Ask {
	var out []Ask
	a := ring.agreement
	for id, r := range a.later {
		if r.due(now) {
			out = append(out, Ask{Peer: id, Request: e.request(ring, r)})
		}
	}
	final := len(a.later) == 0
	for id, r := range a.holders {
		if (final || !r.yielded) && r.due(now) {
			out = append(out, Ask{Peer: id, Request: Request{Digest: ring.digest, Done: true, Final: final}})
		}
	}
	return out
}

func (e *Engine) request(ring *ring, r *retry) Request {
	a := ring.agreement
	if r.compare != nil {
		return Request{Digest: ring.digest, Claims: records.AppendBuckets(nil, r.compare), Sums: e.sums(r.compare)}
	}
	return Request{
		Digest:  ring.digest,
		Buckets: records.AppendBuckets(nil, a.wanted),
		Claims:  records.AppendBuckets(nil, a.claims),
		Sums:    e.sums(a.claims),
	}
}

// refresh begins to compare all buckets held with their other holders when a
// service has been watched for long enough to settle: a copy that was lost on the
// way is found by it.
func (e *Engine) refresh(now int64, st *state) {
	a := st.ring.agreement
	if st.plan == nil || !a.reached.Load() || len(a.pending) > 0 {
		return
	}
	for _, s := range st.plan.services {
		if at := s.watchedAt(); at != 0 && now >= at && a.full < at {
			st.ring.compareAll(now)
			return
		}
	}
}

func (r *ring) compareAll(now int64) {
	r.agreement.full = now
	for bucket := range table.Buckets {
		other := r.partner(bucket)
		if other == nil || !r.holds(bucket) {
			continue
		}
		p := r.agreement.pending[other.ID]
		if p == nil {
			p = &retry{compare: &table.Bitmap{}}
			r.agreement.pending[other.ID] = p
		}
		p.compare.Set(bucket)
	}
}

// watchedAt returns when every live flow of the unsettled buckets has been seen,
// or zero if that is not known or never.
func (s *service) watchedAt() int64 {
	start := max(s.confirmed.Load(), s.overflow.Load())
	if s.confirmed.Load() == 0 || s.idle == 0 || !s.moves || s.lost {
		return 0
	}
	return start + int64(s.idle) + refreshSeconds*int64(time.Second)
}

// release forgets the buckets that this instance need not hold, once the two that
// must have their records.
func (e *Engine) release(st *state) {
	r := st.ring
	a := r.agreement
	if a.released || !a.reached.Load() || len(a.pending) > 0 {
		return
	}
	a.released = true
	for bucket := range table.Buckets {
		if !r.holds(bucket) && !e.releaseBucket(r, bucket) {
			a.released = false
		}
	}
}

// releaseBucket reports whether nothing of the bucket is left.
func (e *Engine) releaseBucket(r *ring, bucket int) bool {
	b := e.records.Lock(bucket)
	defer b.Unlock()
	own := &e.buckets[bucket]
	if *own == (duty{}) && b.Len() == 0 {
		return true
	}
	if own.authority || !r.handedOver(bucket) {
		return false
	}
	own.complete = false
	b.Sweep(func(records.Record) bool { return true })
	return true
}

// handedOver reports whether both holders of a bucket have what this instance
// knows of it: they did not ask for it, or are done.
func (r *ring) handedOver(bucket int) bool {
	held := false
	for k := range holders {
		i := r.at(bucket, k)
		if i == nil {
			continue
		}
		wanted := r.agreement.asked[i.ID]
		if wanted == nil || wanted.Has(bucket) && !r.agreement.told[i.ID] {
			return false
		}
		held = true
	}
	return held
}

// HandedOver reports, for a leaving instance, that nothing is left that only this
// instance knows, and that no peer takes it for an owner any more; or that no
// usable instance is left to hand anything to.
func (e *Engine) HandedOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	if e.records.Total() == 0 && len(st.ring.peers) == 0 {
		return true
	}
	if st.ring.leaving && !slices.ContainsFunc(st.ring.rows, fleet.Instance.Usable) {
		return true
	}
	if !st.ring.leaving || !st.ring.agreement.reached.Load() {
		return false
	}
	return e.records.Total() == 0 && e.idle()
}

// sweep forgets the records of some buckets that have ended.
func (e *Engine) sweep(now int64, st *state) {
	if st.plan == nil {
		return
	}
	for range table.Buckets / sweepParts {
		bucket := e.sweepNext
		e.sweepNext = (e.sweepNext + 1) % table.Buckets
		b := e.records.Lock(bucket)
		if b.Len() > 0 {
			b.Sweep(func(r records.Record) bool { return st.ended(now, bucket, r) })
		}
		b.Unlock()
	}
}

// ended reports whether a record is needed no more.
func (st *state) ended(now int64, bucket int, r records.Record) bool {
	s := st.plan.owners[r.Server()]
	if s == nil {
		return true
	}
	b := s.server(r.Server())
	if b.state == config.Gone && st.confirmed >= s.since {
		return true
	}
	silent := now/int64(time.Second) - int64(r.Seen)
	if silent > s.limit(r) {
		return true
	}
	if st.confirmed < s.since || !st.ring.agreement.reached.Load() {
		return false
	}
	if !s.isUnsettled(bucket) {
		return now-s.changed > settledSeconds*int64(time.Second)
	}
	derived := b == s.baseOf(bucket) && b == s.targetOf(bucket)
	return derived && s.protocol != config.UDP
}

// limit returns the seconds of silence after which a record has ended.
func (s *service) limit(r records.Record) int64 {
	const never = 1 << 40
	idle := int64(never)
	if s.idle > 0 {
		idle = int64(s.idle/time.Second) + 2*refreshSeconds
	}
	switch {
	case r.Closed():
		return min(idle, closedSeconds)
	case r.Kind() == records.Opening:
		return min(idle, openingSeconds)
	default:
		return idle
	}
}
