package placement

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

const (
	// initialRetryDelay and maxRetryDelay are the shortest and the longest delay
	// between two requests to a peer.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 4 * time.Second
)

// syncRound is the exchange of records and authority with all peers under one
// membership digest. All fields but synced are guarded by the engine's lock.
type syncRound struct {
	// synced is set once every reachable peer has answered under the same digest.
	synced  atomic.Bool
	wanted  *table.Bitmap
	claims  *table.Bitmap
	pending map[fleet.ID]*retryState
	// previousHolders are the peers to notify with Done. Once all of them have
	// given up their authority, this instance takes the authority over the buckets
	// that it owns and sets authorityTaken.
	previousHolders map[fleet.ID]*retryState
	authorityTaken  bool
	// pendingOwners are the owners that had no authority yet when they answered.
	// This instance compares its records with theirs again.
	pendingOwners map[fleet.ID]*retryState
	// requested holds the buckets that each peer requested from this instance,
	// claimed those that it claims, and finished the peers that need nothing more.
	requested    map[fleet.ID]*table.Bitmap
	claimed      map[fleet.ID]*table.Bitmap
	finished     map[fleet.ID]bool
	watchedSince map[string]int64
	replies      int
	// startedEmpty is set if this instance had no complete bucket when the round
	// began.
	startedEmpty bool
	// released is set once all buckets that this instance need not hold are
	// discarded.
	released bool
	// fullCompareAt is when a comparison of all held buckets began, in nanoseconds
	// of Unix time, or zero.
	fullCompareAt int64
}

// retryState is the time of the next request to a peer, and the delay after it.
type retryState struct {
	at   int64
	wait time.Duration
	// compare holds the buckets to compare with the peer, or is nil to request all
	// that are wanted or claimed.
	compare *table.Bitmap
	// relinquished is set once a previous holder has given up its authority.
	relinquished bool
}

// due reports whether to send a request now, and schedules the next one with
// exponential backoff.
func (r *retryState) due(now int64) bool {
	if now < r.at {
		return false
	}
	if r.wait == 0 {
		r.wait = initialRetryDelay
	}
	r.at = now + int64(r.wait)
	r.wait = min(2*r.wait, maxRetryDelay)
	return true
}

func newSyncRound(peers []fleet.ID) *syncRound {
	round := &syncRound{
		wanted:          &table.Bitmap{},
		claims:          &table.Bitmap{},
		pending:         map[fleet.ID]*retryState{},
		previousHolders: map[fleet.ID]*retryState{},
		pendingOwners:   map[fleet.ID]*retryState{},
		requested:       map[fleet.ID]*table.Bitmap{},
		claimed:         map[fleet.ID]*table.Bitmap{},
		finished:        map[fleet.ID]bool{},
	}
	for _, p := range peers {
		round.pending[p] = &retryState{}
	}
	return round
}

// retainPeers removes peers that are no longer reachable, for a membership with
// the same digest.
func (round *syncRound) retainPeers(peers []fleet.ID) *syncRound {
	for _, m := range []map[fleet.ID]*retryState{round.pending, round.previousHolders, round.pendingOwners} {
		maps.DeleteFunc(m, func(p fleet.ID, _ *retryState) bool { return !slices.Contains(peers, p) })
	}
	return round
}

// addRequest adds the buckets of a request to those that the peer requested and
// claimed before.
func (round *syncRound) addRequest(from fleet.ID, wanted, claims *table.Bitmap) {
	if round.requested[from] == nil {
		round.requested[from], round.claimed[from] = &table.Bitmap{}, &table.Bitmap{}
	}
	round.requested[from].Add(wanted)
	round.claimed[from].Add(claims)
	round.released = false
	delete(round.finished, from)
}

// addPreviousHolder records that a peer must be notified when this instance is
// done.
func (round *syncRound) addPreviousHolder(peer fleet.ID, watched []Watched) {
	if round.previousHolders[peer] == nil {
		round.previousHolders[peer] = &retryState{}
	}
	round.mergeWatched(watched)
}

// mergeWatched keeps the latest time that any holder reports for each service,
// and none for a service that some holder does not report.
func (round *syncRound) mergeWatched(all []Watched) {
	next := make(map[string]int64, len(all))
	for _, w := range all {
		old, known := round.watchedSince[w.Service]
		if w.Since == 0 || round.replies > 0 && !known {
			continue
		}
		next[w.Service] = max(old, w.Since)
	}
	round.watchedSince = next
	round.replies++
}

// finishSync completes the round when no peer is left to ask: the wanted
// buckets are complete from then on.
func (e *Engine) finishSync() {
	st := e.state.Load()
	round := st.membership.syncRound
	if len(round.pending) > 0 || st.membership.self == noRow {
		return
	}
	for bucket := range table.Buckets {
		if round.wanted.Has(bucket) {
			b := e.records.Lock(bucket)
			e.buckets[bucket].complete = true
			b.Unlock()
		}
	}
	if !round.synced.Swap(true) {
		st.plan.adoptWatched(round.watchedSince, round.startedEmpty)
	}
	e.takeAuthority(st.membership)
}

// takeAuthority gives this instance the authority over the buckets that it
// owns, once all peers that may have had it have given it up.
func (e *Engine) takeAuthority(m *membership) {
	round := m.syncRound
	if round.authorityTaken || !round.synced.Load() || len(round.pending) > 0 {
		return
	}
	for _, h := range round.previousHolders {
		if !h.relinquished {
			return
		}
	}
	round.authorityTaken = true
	for bucket := range table.Buckets {
		if m.rankOf(bucket) == 0 {
			b := e.records.Lock(bucket)
			e.buckets[bucket].authoritative = true
			b.Unlock()
		}
	}
}

// adoptWatched takes over the times since which the previous owners have seen
// every packet. An instance that held buckets itself keeps the later of both
// times.
func (p *plan) adoptWatched(watched map[string]int64, startedEmpty bool) {
	if p == nil {
		return
	}
	for name, since := range watched {
		s := p.byName[name]
		if s == nil {
			continue
		}
		if startedEmpty || since > s.confirmed.Load() {
			s.confirmed.Store(since)
		}
	}
}
