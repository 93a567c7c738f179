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
	// sweepInterval is the time between two sweeps, each over one in sweepParts of
	// the buckets.
	sweepInterval = time.Second
	sweepParts    = 8
)

// PendingRequests holds the requests that an instance has to send to its peers
// now.
type PendingRequests struct {
	Requests []PeerRequest
}

// PeerRequest is a request to send to a peer. Its reply goes to Import.
type PeerRequest struct {
	Peer    fleet.ID
	Request Request
}

// Tick returns the requests to send, and discards records that have ended. It
// should be called several times a second.
func (e *Engine) Tick(now int64) PendingRequests {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	e.startFullComparison(now, st)
	pending := PendingRequests{Requests: e.dueRequests(now, st.membership)}
	e.release(st)
	if now-e.sweptAt >= int64(sweepInterval) {
		e.sweptAt = now
		e.sweep(now, st)
	}
	return pending
}

// dueRequests returns the requests that are due, ordered by peer. Requests to
// previous holders, and to owners that were not ready, follow once all peers
// have answered.
func (e *Engine) dueRequests(now int64, membership *membership) []PeerRequest {
	var out []PeerRequest
	round := membership.syncRound
	for id, r := range round.pending {
		if r.due(now) {
			out = append(out, PeerRequest{Peer: id, Request: e.request(membership, r)})
		}
	}
	if len(round.pending) == 0 {
		out = append(out, e.followUps(now, membership)...)
	}
	slices.SortFunc(out, func(x, y PeerRequest) int { return strings.Compare(string(x.Peer), string(y.Peer)) })
	return out
}

func (e *Engine) followUps(now int64, membership *membership) []PeerRequest {
	var out []PeerRequest
	round := membership.syncRound
	for id, r := range round.pendingOwners {
		if r.due(now) {
			out = append(out, PeerRequest{Peer: id, Request: e.request(membership, r)})
		}
	}
	final := len(round.pendingOwners) == 0
	for id, r := range round.previousHolders {
		if (final || !r.relinquished) && r.due(now) {
			out = append(out, PeerRequest{Peer: id, Request: Request{Digest: membership.digest, Done: true, Final: final}})
		}
	}
	return out
}

func (e *Engine) request(membership *membership, r *retryState) Request {
	round := membership.syncRound
	if r.compare != nil {
		return Request{Digest: membership.digest, Claims: records.AppendBuckets(nil, r.compare), Checksums: e.checksums(r.compare)}
	}
	return Request{
		Digest:    membership.digest,
		Buckets:   records.AppendBuckets(nil, round.wanted),
		Claims:    records.AppendBuckets(nil, round.claims),
		Checksums: e.checksums(round.claims),
	}
}

// startFullComparison starts to compare all held buckets with their other
// replicas when a service has been watched for long enough to settle. The
// comparison finds records whose copy was lost between instances.
func (e *Engine) startFullComparison(now int64, st *state) {
	round := st.membership.syncRound
	if st.plan == nil || !round.synced.Load() || len(round.pending) > 0 {
		return
	}
	for _, s := range st.plan.services {
		if at := s.watchedAt(); at != 0 && now >= at && round.fullCompareAt < at {
			st.membership.compareAll(now)
			return
		}
	}
}

func (m *membership) compareAll(now int64) {
	m.syncRound.fullCompareAt = now
	for bucket := range table.Buckets {
		other := m.otherReplica(bucket)
		if other == nil || !m.isReplica(bucket) {
			continue
		}
		p := m.syncRound.pending[other.ID]
		if p == nil {
			p = &retryState{compare: &table.Bitmap{}}
			m.syncRound.pending[other.ID] = p
		}
		p.compare.Set(bucket)
	}
}

// watchedAt returns when every live flow of the unsettled buckets has been
// seen, or zero if that is not known or never happens.
func (s *service) watchedAt() int64 {
	start := max(s.confirmed.Load(), s.overflowAt.Load())
	if s.confirmed.Load() == 0 || s.idle == 0 || !s.tablesDiffer || s.basesGone {
		return 0
	}
	return start + int64(s.idle) + refreshSeconds*int64(time.Second)
}

// release discards the buckets that this instance need not hold, once both
// replicas have their records.
func (e *Engine) release(st *state) {
	m := st.membership
	round := m.syncRound
	if round.released || !round.synced.Load() || len(round.pending) > 0 {
		return
	}
	round.released = true
	for bucket := range table.Buckets {
		if !m.isReplica(bucket) && !e.releaseBucket(m, bucket) {
			round.released = false
		}
	}
}

// releaseBucket discards a bucket whose replicas have its records, and reports
// whether nothing of it is left.
func (e *Engine) releaseBucket(m *membership, bucket int) bool {
	b := e.records.Lock(bucket)
	defer b.Unlock()
	own := &e.buckets[bucket]
	if *own == (bucketState{}) && b.Len() == 0 {
		return true
	}
	if own.authoritative || !m.isHandedOver(bucket) {
		return false
	}
	own.complete = false
	b.Sweep(func(records.Record) bool { return true })
	return true
}

// isHandedOver reports whether both replicas of a bucket have what this
// instance knows of it: each has sent a request, and did not request the bucket
// or has finished.
func (m *membership) isHandedOver(bucket int) bool {
	hasReplica := false
	for k := range replicas {
		i := m.replica(bucket, k)
		if i == nil {
			continue
		}
		wanted := m.syncRound.requested[i.ID]
		if wanted == nil || wanted.Has(bucket) && !m.syncRound.finished[i.ID] {
			return false
		}
		hasReplica = true
	}
	return hasReplica
}

// HandedOver reports, for a leaving instance, that it has no records left to
// hand over and that no peer takes it for an owner any more; or that no usable
// instance is left to hand them to.
func (e *Engine) HandedOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	if e.records.Total() == 0 && len(st.membership.peers) == 0 {
		return true
	}
	if st.membership.leaving && !slices.ContainsFunc(st.membership.rows, fleet.Instance.Usable) {
		return true
	}
	if !st.membership.leaving || !st.membership.syncRound.synced.Load() {
		return false
	}
	return e.records.Total() == 0 && e.holdsNoBucket()
}

// sweep discards the ended records of the next buckets in turn.
func (e *Engine) sweep(now int64, st *state) {
	if st.plan == nil {
		return
	}
	for range table.Buckets / sweepParts {
		bucket := e.sweepNext
		e.sweepNext = (e.sweepNext + 1) % table.Buckets
		b := e.records.Lock(bucket)
		if b.Len() > 0 {
			b.Sweep(func(r records.Record) bool { return st.hasEnded(now, bucket, r) })
		}
		b.Unlock()
	}
}

// hasEnded reports whether a record is no longer needed.
func (st *state) hasEnded(now int64, bucket int, r records.Record) bool {
	s := st.plan.serviceOf[r.Server()]
	if s == nil {
		return true
	}
	b := s.server(r.Server())
	if b.state == config.Gone && st.confirmedVersion >= s.since {
		return true
	}
	silent := now/int64(time.Second) - int64(r.Seen)
	if silent > s.idleLimitSeconds(r) {
		return true
	}
	if st.confirmedVersion < s.since || !st.membership.syncRound.synced.Load() {
		return false
	}
	if !s.isUnsettled(bucket) {
		return now-s.changedAt > settledRetentionSeconds*int64(time.Second)
	}
	needsNoRecord := b == s.baseOf(bucket) && b == s.targetOf(bucket)
	return needsNoRecord && s.protocol != config.UDP
}

// idleLimitSeconds returns the seconds without a packet after which a record
// has ended.
func (s *service) idleLimitSeconds(r records.Record) int64 {
	const never = 1 << 40
	idle := int64(never)
	if s.idle > 0 {
		idle = int64(s.idle/time.Second) + 2*refreshSeconds
	}
	switch {
	case r.Closed():
		return min(idle, closedRetentionSeconds)
	case r.Kind() == records.Opening:
		return min(idle, openingTimeoutSeconds)
	default:
		return idle
	}
}
