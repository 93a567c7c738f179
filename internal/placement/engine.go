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

// Options are what an Engine is made with.
type Options struct {
	// Self is the instance that decides.
	Self fleet.ID
	// Records bounds the flow records.
	Records records.Limits
}

// Engine decides about packets. It implements flow.Decider. Decide takes no lock
// but that of the packet's own bucket, and only when the bucket is unsettled; the
// other methods may be called at any time and from any goroutine.
type Engine struct {
	self    fleet.ID
	records *records.Table
	state   atomic.Pointer[state]
	counts  counts
	// buckets is guarded by the locks of the buckets in records.
	buckets [table.Buckets]duty

	mu            sync.Mutex
	compiler      *compiler
	announcements []flow.Announcement
	sweepNext     int
	sweptAt       int64
}

// duty is what this instance may do for a bucket.
type duty struct {
	// complete is set while it knows all records of the bucket.
	complete bool
	// authority is set while it alone decides about flows without a record. It is
	// passed on when a new owner has told this instance that it is done.
	authority bool
}

// state is what one decision is made by. It is immutable but for the clocks and
// the agreement that it points to.
type state struct {
	plan *plan
	ring *ring
	// confirmed is the newest version that every reachable instance serves by.
	confirmed config.Version
	// behind is set while every other instance serves by a newer version: they
	// may act on it, so this one decides nothing.
	behind bool
}

// counts are outcomes since the start.
type counts struct {
	alone   atomic.Int64
	hops    atomic.Int64
	refused atomic.Int64
}

// Counts are outcomes of an Engine since its start.
type Counts struct {
	// Alone is how many packets were decided with no complete instance in reach.
	Alone int64
	// Hops is how many packets reached MaxHops.
	Hops int64
	// Unrecorded is how many flows were left on their base since a bound on
	// records was reached.
	Unrecorded int64
	// Records is how many records are held, by kind.
	Opening, Placed, Observed int
}

// New returns an Engine that drops every packet until it has a configuration.
func New(o Options) *Engine {
	e := &Engine{
		self:     o.Self,
		records:  records.NewTable(o.Records),
		compiler: newCompiler(),
	}
	empty := newRing(&fleet.View{Self: o.Self}, o.Self, nil)
	empty.agreement = newAgreement(nil)
	e.state.Store(&state{ring: empty})
	return e
}

// SetConfig takes an accepted configuration. An older version than the one in
// use is ignored. Tables are built before the new state replaces the old one, so
// decisions go on meanwhile.
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

// SetAnnouncements takes all announced conditions in place of the earlier ones.
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

// SetView takes a newer view of the table of instances.
func (e *Engine) SetView(now int64, v *fleet.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := *e.state.Load()
	old := st.ring
	st.ring = newRing(v, e.self, old)
	if st.ring.digest == old.digest && len(old.rows) > 0 {
		st.ring.agreement = old.agreement.limit(st.ring.peers)
	} else {
		st.ring.agreement = newAgreement(st.ring.peers)
		e.plan(st.ring)
	}
	e.publish(now, st)
	e.conclude()
}

// publish works out what depends on plan and ring together, and makes the state
// the one that decisions are made by.
func (e *Engine) publish(now int64, st state) {
	if st.plan != nil {
		own := st.plan.config.Version
		st.confirmed, st.behind = own, false
		if len(st.ring.peers) > 0 {
			st.confirmed = min(own, st.ring.lowest)
			st.behind = own < st.ring.lowest || st.ring.joining && own < st.ring.highest
		}
		st.plan.startClocks(now, st.confirmed)
	}
	e.state.Store(&st)
}

// startClocks notes the time for each service and ramp whose version has just
// been confirmed by every instance.
func (p *plan) startClocks(now int64, confirmed config.Version) {
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

// plan works out what to ask for under a new ring: the records of the buckets that
// this instance must hold and does not know to be complete, and a comparison of the
// others that it has no authority over.
func (e *Engine) plan(r *ring) {
	a := r.agreement
	a.fresh = true
	for bucket := range table.Buckets {
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		b.Unlock()
		a.fresh = a.fresh && !own.complete
		rank := r.rankOf(bucket)
		switch {
		case rank >= 0 && !own.complete:
			a.wanted.Set(bucket)
		case rank >= 0 && !own.authority:
			a.claims.Set(bucket)
		}
	}
}

// idle reports that no bucket is complete, and none under this instance's
// authority.
func (e *Engine) idle() bool {
	for bucket := range table.Buckets {
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		b.Unlock()
		if own != (duty{}) {
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

// Counts returns the outcomes so far.
func (e *Engine) Counts() Counts {
	return Counts{
		Alone:      e.counts.alone.Load(),
		Hops:       e.counts.hops.Load(),
		Unrecorded: e.counts.refused.Load(),
		Opening:    e.records.Len(records.Opening),
		Placed:     e.records.Len(records.Placed),
		Observed:   e.records.Len(records.Observed),
	}
}
