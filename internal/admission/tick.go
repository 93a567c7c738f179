package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/request"
)

// TickInterval is the time between calls of Tick.
const TickInterval = 10 * time.Millisecond

// Tick handles timers: it requests and gives up leases, ends attempts whose time is
// over, and dispatches queued ones.
func (s *System) Tick(now int64) {
	for _, sv := range s.byNumber {
		s.endOverdue(now, sv)
		s.maintainLease(now, sv)
		if !sv.mayDispatch(now) && !(sv.acceptsRequests(now) && sv.leasePending(now)) {
			s.refuseQueue(now, sv)
		}
		s.dispatchQueued(now, sv)
	}
	s.sendGrantRequests(now)
	s.forgetEnded(now)
	if s.byNumberStale {
		s.byNumberStale = false
		s.sortServers()
	}
}

// endOverdue ends runs whose deadline has passed, and reports unusually long ones as
// slow before they end.
func (s *System) endOverdue(now int64, sv *server) {
	slow, known := sv.limiter.SlowAfter()
	for i := 0; i < len(sv.running); {
		at := sv.running[i]
		if known && !at.slow && now-at.startedAt > int64(slow) {
			at.slow = true
			s.reportEvidence(now, sv, flow.Slow, 0)
		}
		if now >= at.runDeadline && !at.replied {
			s.timeout(now, sv, at)
		}
		if now < at.runDeadline+int64(s.timing.Margin) {
			i++
			continue
		}
		s.freeSlot(now, sv, at)
	}
}

// timeout cancels a run at its deadline and answers its waiters with an unknown result.
func (s *System) timeout(now int64, sv *server, at *attempt) {
	if !at.cancelled {
		at.cancelled = true
		s.emit(Effect{Kind: CancelRun, Attempt: at.Attempt})
		s.reportEvidence(now, sv, flow.Failed, 0)
	}
	s.finish(now, sv, at, request.UnknownResult(request.DeadlinePassed))
}

// maintainLease requests, renews or gives up the lease of one backend server.
func (s *System) maintainLease(now int64, sv *server) {
	wanted := sv.ranksFirst && !s.leaving && sv.State != config.Gone
	if sv.wanted && !wanted {
		sv.unwantedSince = now
	}
	sv.wanted = wanted
	if !wanted && len(sv.running)+len(sv.queue) == 0 && !sv.acceptsRequests(now) {
		s.giveUpLease(now, sv)
		return
	}
	s.setPair(now, sv)
	interval := s.timing.RenewInterval
	if sv.leasePending(now) {
		interval = LeaseRequestInterval
	}
	if now-sv.lastRequested < int64(interval) && sv.lastRequested != 0 {
		return
	}
	if sv.lastRequested == 0 {
		sv.firstRequested = now
	}
	sv.lastRequested = now
	for _, to := range sv.pair.IDs() {
		s.collectGrantRequest(now, to, sv)
	}
}

// giveUpLease releases the grants of one backend server, and drops a server that this
// instance no longer ranks first for or that is gone.
func (s *System) giveUpLease(now int64, sv *server) {
	sv.lastRequested = 0
	sv.hadLease = false
	for i := range sv.received {
		if g := sv.received[i]; g.id != "" {
			s.releaseGrant(now, g.id, sv.Number)
		}
		sv.received[i] = receivedGrant{}
	}
	if !sv.ranksFirst || sv.State == config.Gone {
		delete(s.servers, sv.Number)
		s.byNumberStale = true
	}
}

// releaseGrant tells a member of the pair that its grant is not needed any more.
func (s *System) releaseGrant(now int64, to fleet.ID, n config.Number) {
	if to == s.self.ID {
		s.grants.Release(s.self, n, now)
		return
	}
	s.emit(Effect{Kind: ReleaseGrant, To: to, Grant: GrantRequest{Holder: s.self, Servers: []config.Number{n}, SentAt: now}})
}

// refuseQueue refuses all requests queued for one backend server.
func (s *System) refuseQueue(now int64, sv *server) {
	for len(sv.queue) > 0 {
		at := sv.queue[0]
		sv.queue = removeAttempt(sv.queue, at)
		s.addQueued(sv, -1)
		s.finish(now, sv, at, request.RefusedResult(request.NoServer))
	}
}

// grantRequestKey identifies one GrantRequest of a tick: all its grants have the same
// member and the same data centre.
type grantRequestKey struct {
	to         fleet.ID
	dataCentre string
}

// collectGrantRequest adds a backend server to the grants to request from a member.
func (s *System) collectGrantRequest(now int64, to fleet.ID, sv *server) {
	k := grantRequestKey{to: to, dataCentre: sv.DataCentre}
	r := s.grantRequests[k]
	if r == nil {
		r = &GrantRequest{Holder: s.self, DataCentre: sv.DataCentre, Region: sv.Region, SentAt: now}
		s.grantRequests[k] = r
	}
	r.Servers = append(r.Servers, sv.Number)
	r.PairDigests = append(r.PairDigests, sv.pairDigest)
}

// sendGrantRequests sends the collected requests, in a fixed order.
func (s *System) sendGrantRequests(now int64) {
	if len(s.grantRequests) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(s.grantRequests), func(a, b grantRequestKey) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	for _, k := range keys {
		r := *s.grantRequests[k]
		if k.to == s.self.ID {
			s.HandleGrants(now, s.self.ID, r, s.HandleGrantRequest(now, r))
			continue
		}
		s.emit(Effect{Kind: RequestGrant, To: k.to, Grant: r})
	}
	clear(s.grantRequests)
}

// forgetEnded drops ended attempts of which no copy can arrive any more.
func (s *System) forgetEnded(now int64) {
	n := 0
	for n < len(s.expiries) && s.expiries[n].at <= now {
		id := s.expiries[n].id
		if at := s.attempts[id]; at != nil && at.state == ended {
			delete(s.attempts, id)
		}
		n++
	}
	s.expiries = s.expiries[n:]
}

// Totals sums up what an instance admits to all its backend servers.
type Totals struct {
	Running, Waiting int
	// Slots is the number of slots that may be used now. Held counts the backend servers
	// whose lease the instance holds, Wanted those whose lease it should hold, Ramping
	// the held ones on a ramp.
	Slots                 float64
	Held, Wanted, Ramping int
}

// Totals returns the totals at a time.
func (s *System) Totals(now int64) Totals {
	t := Totals{Waiting: s.totalQueued}
	for _, sv := range s.byNumber {
		t.Running += len(sv.running)
		if !sv.wanted {
			continue
		}
		t.Wanted++
		if !sv.leaseHeld(now) {
			continue
		}
		t.Held++
		t.Slots += sv.limit(now)
		if sv.limiter.Share(now) < 1 {
			t.Ramping++
		}
	}
	return t
}
