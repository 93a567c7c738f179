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
	// retryFirst and retryMax bound the time between two requests to a peer.
	retryFirst = 200 * time.Millisecond
	retryMax   = 4 * time.Second
)

// agreement is the work of reaching agreement with all peers on one digest. All
// but reached is guarded by the engine's lock.
type agreement struct {
	// reached is set once every reachable peer saw the same usable instances.
	reached atomic.Bool
	wanted  *table.Bitmap
	claims  *table.Bitmap
	pending map[fleet.ID]*retry
	// holders are the peers to tell when done. Once all of them have let go, this
	// instance takes the authority over the buckets that it owns: taken.
	holders map[fleet.ID]*retry
	taken   bool
	// later are the owners to compare with again when they have the authority.
	later map[fleet.ID]*retry
	// asked are the buckets that peers asked this instance for, claimed those that
	// they claim, and told are the peers that are done.
	asked   map[fleet.ID]*table.Bitmap
	claimed map[fleet.ID]*table.Bitmap
	told    map[fleet.ID]bool
	watched map[string]int64
	replies int
	// fresh is set if this instance held no complete bucket at the beginning.
	fresh bool
	// released is set once every bucket that need not be held is forgotten.
	released bool
	// full is when the agreement began, if it fetches all buckets held anew.
	full int64
}

// retry is when to ask a peer next, and the time to wait after that.
type retry struct {
	at   int64
	wait time.Duration
	// compare holds the buckets to compare with the peer, or is nil to ask for all
	// that are wanted or claimed.
	compare *table.Bitmap
	// yielded is set once a holder has let go of its authority.
	yielded bool
}

// due reports whether to ask now, and moves to the next time.
func (r *retry) due(now int64) bool {
	if now < r.at {
		return false
	}
	if r.wait == 0 {
		r.wait = retryFirst
	}
	r.at = now + int64(r.wait)
	r.wait = min(2*r.wait, retryMax)
	return true
}

func newAgreement(peers []fleet.ID) *agreement {
	a := &agreement{
		wanted:  &table.Bitmap{},
		claims:  &table.Bitmap{},
		pending: map[fleet.ID]*retry{},
		holders: map[fleet.ID]*retry{},
		later:   map[fleet.ID]*retry{},
		asked:   map[fleet.ID]*table.Bitmap{},
		claimed: map[fleet.ID]*table.Bitmap{},
		told:    map[fleet.ID]bool{},
	}
	for _, p := range peers {
		a.pending[p] = &retry{}
	}
	return a
}

// limit forgets peers that are no longer reachable, under the same digest.
func (a *agreement) limit(peers []fleet.ID) *agreement {
	for _, m := range []map[fleet.ID]*retry{a.pending, a.holders, a.later} {
		maps.DeleteFunc(m, func(p fleet.ID, _ *retry) bool { return !slices.Contains(peers, p) })
	}
	return a
}

// ask notes what a peer asks for beside what it has asked for before.
func (a *agreement) ask(from fleet.ID, wanted, claims *table.Bitmap) {
	if a.asked[from] == nil {
		a.asked[from], a.claimed[from] = &table.Bitmap{}, &table.Bitmap{}
	}
	a.asked[from].Add(wanted)
	a.claimed[from].Add(claims)
	a.released = false
	delete(a.told, from)
}

// mergeWatched keeps the latest time that any holder gives for each service, and
// zero for one that some holder does not give.
func (a *agreement) mergeWatched(all []Watched) {
	next := make(map[string]int64, len(all))
	for _, w := range all {
		old, known := a.watched[w.Service]
		if w.Since == 0 || a.replies > 0 && !known {
			continue
		}
		next[w.Service] = max(old, w.Since)
	}
	a.watched = next
	a.replies++
}

// conclude ends the agreement when no peer is left to ask: the buckets asked for
// are complete from then on.
func (e *Engine) conclude() {
	st := e.state.Load()
	a := st.ring.agreement
	if len(a.pending) > 0 || st.ring.self == noRow {
		return
	}
	for bucket := range table.Buckets {
		if a.wanted.Has(bucket) {
			b := e.records.Lock(bucket)
			e.buckets[bucket].complete = true
			b.Unlock()
		}
	}
	if !a.reached.Swap(true) {
		st.plan.adopt(a.watched, a.fresh)
	}
	e.take(st.ring)
}

// take gives this instance the authority over the buckets that it owns, once all
// peers that may have had it have let go.
func (e *Engine) take(r *ring) {
	a := r.agreement
	if a.taken || !a.reached.Load() || len(a.pending) > 0 {
		return
	}
	for _, h := range a.holders {
		if !h.yielded {
			return
		}
	}
	a.taken = true
	for bucket := range table.Buckets {
		if r.rankOf(bucket) == 0 {
			b := e.records.Lock(bucket)
			e.buckets[bucket].authority = true
			b.Unlock()
		}
	}
}

// adopt takes over since when the owners before have seen every packet. An
// instance that held buckets itself goes by the later of both times.
func (p *plan) adopt(watched map[string]int64, fresh bool) {
	if p == nil {
		return
	}
	for name, since := range watched {
		s := p.byName[name]
		if s == nil {
			continue
		}
		if fresh || since > s.confirmed.Load() {
			s.confirmed.Store(since)
		}
	}
}
