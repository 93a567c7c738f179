package placement

import (
	"slices"
	"sync"
	"sync/atomic"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

// Options configure an Engine.
type Options struct {
	// Self is the ID of this instance.
	Self fleet.ID
	// Records limits the table of flow records.
	Records records.Limits
}

// Engine decides on packets. It implements flow.Decider. Decide takes no lock
// but that of the packet's own bucket, and only when the bucket is unsettled;
// the other methods may be called at any time and from any goroutine.
type Engine struct {
	self    fleet.ID
	records *records.Table
	state   atomic.Pointer[state]
	counts  counts
	// buckets is guarded by the locks of the buckets in records.
	buckets [table.Buckets]bucketState

	mu            sync.Mutex
	compiler      *compiler
	announcements []flow.Announcement
	sweepNext     int
	sweptAt       int64
}

// bucketState is this instance's role for one bucket.
type bucketState struct {
	// complete is set while this instance has all records of the bucket.
	complete bool
	// authoritative is set while this instance alone decides on flows without a
	// record. It is cleared when a new owner reports that it is done.
	authoritative bool
}

// state is what decisions are based on. It is immutable except for the times
// and the sync round that it points to.
type state struct {
	plan       *plan
	membership *membership
	// confirmedVersion is the newest version that every reachable instance serves
	// by.
	confirmedVersion config.Version
	// behind is set while every peer serves by a newer version or, until this
	// instance has joined, any peer does. They may already act on it, so without
	// authority over a bucket this instance relays its unrecorded flows to them.
	behind bool
}

// counts are counters of outcomes since the start.
type counts struct {
	withoutAuthority atomic.Int64
	hopLimit         atomic.Int64
	tableFull        atomic.Int64
}

// Counts are counters of an Engine's outcomes since its start, and the numbers
// of its records.
type Counts struct {
	// Alone is how many packets were decided locally because no authority was in
	// reach.
	Alone int64
	// Hops is how many packets reached MaxHops.
	Hops int64
	// Unrecorded is how many flows were left on their base because a limit on
	// records was reached.
	Unrecorded int64
	// Opening, Placed and Observed are the numbers of records held, by kind.
	Opening, Placed, Observed int
}

// New returns an Engine that drops every packet until it has a configuration.
func New(o Options) *Engine {
	e := &Engine{
		self:     o.Self,
		records:  records.NewTable(o.Records),
		compiler: newCompiler(),
	}
	empty := newMembership(&fleet.View{Self: o.Self}, o.Self, nil)
	empty.syncRound = newSyncRound(nil)
	e.state.Store(&state{membership: empty})
	return e
}

// SetConfig applies an accepted configuration. A version that is not newer than
// the one in use is ignored. Tables are built before the new state replaces the
// old one, so that decisions continue meanwhile.
func (e *Engine) SetConfig(now int64, c *config.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := *e.state.Load()
	if st.plan != nil && c.Version <= st.plan.config.Version {
		return
	}
	st.plan = e.compiler.compile(now, c, e.announcements, st.plan)
	e.publish(now, st)
}

// SetAnnouncements replaces all earlier announced conditions.
func (e *Engine) SetAnnouncements(now int64, all []flow.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unchanged := slices.Equal(e.announcements, all)
	e.announcements = slices.Clone(all)
	st := *e.state.Load()
	if unchanged || st.plan == nil {
		return
	}
	st.plan = e.compiler.compile(now, st.plan.config, all, st.plan)
	e.publish(now, st)
}

// SetView applies a newer view of the table of instances.
func (e *Engine) SetView(now int64, v *fleet.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := *e.state.Load()
	old := st.membership
	st.membership = newMembership(v, e.self, old)
	if st.membership.digest == old.digest && len(old.rows) > 0 {
		st.membership.syncRound = old.syncRound.retainPeers(st.membership.peers)
	} else {
		st.membership.syncRound = newSyncRound(st.membership.peers)
		e.planSync(st.membership)
	}
	e.publish(now, st)
	e.finishSync()
}

// publish computes what depends on both the plan and the membership, and makes
// st the state that decisions are based on.
func (e *Engine) publish(now int64, st state) {
	if st.plan != nil {
		own := st.plan.config.Version
		st.confirmedVersion, st.behind = own, false
		if len(st.membership.peers) > 0 {
			st.confirmedVersion = min(own, st.membership.lowest)
			st.behind = own < st.membership.lowest || st.membership.joining && own < st.membership.highest
		}
		st.plan.recordConfirmations(now, st.confirmedVersion)
	}
	e.state.Store(&st)
}

// recordConfirmations stores the time at which every instance had confirmed the
// version of a service, or the version in which a backend server joined, which
// starts its ramp.
func (p *plan) recordConfirmations(now int64, confirmed config.Version) {
	for _, s := range p.services {
		if confirmed >= s.since {
			s.confirmed.CompareAndSwap(0, now)
		}
		for i := range s.servers {
			if b := &s.servers[i]; !b.warm && confirmed >= b.joined {
				b.times.ramp.CompareAndSwap(0, now)
			}
		}
	}
}

// planSync determines what to request under a new membership: the records of
// the buckets that this instance must hold and does not know to be complete,
// and a comparison of the others that it has no authority over.
func (e *Engine) planSync(m *membership) {
	round := m.syncRound
	round.startedEmpty = true
	for bucket := range table.Buckets {
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		b.Unlock()
		round.startedEmpty = round.startedEmpty && !own.complete
		rank := m.rankOf(bucket)
		switch {
		case rank >= 0 && !own.complete:
			round.wanted.Set(bucket)
		case rank >= 0 && !own.authoritative:
			round.claims.Set(bucket)
		}
	}
}

// holdsNoBucket reports whether no bucket is complete, and none under this
// instance's authority.
func (e *Engine) holdsNoBucket() bool {
	for bucket := range table.Buckets {
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		b.Unlock()
		if own != (bucketState{}) {
			return false
		}
	}
	return true
}

// Version returns the version that decisions are made by, zero before the first.
func (e *Engine) Version() config.Version {
	if st := e.state.Load(); st.plan != nil {
		return st.plan.config.Version
	}
	return 0
}

// Counts returns the present values of the counters.
func (e *Engine) Counts() Counts {
	return Counts{
		Alone:      e.counts.withoutAuthority.Load(),
		Hops:       e.counts.hopLimit.Load(),
		Unrecorded: e.counts.tableFull.Load(),
		Opening:    e.records.Len(records.Opening),
		Placed:     e.records.Len(records.Placed),
		Observed:   e.records.Len(records.Observed),
	}
}
