package admission

import (
	"slices"
	"strconv"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// expiry is when an ended attempt may be forgotten, in nanoseconds.
type expiry struct {
	at int64
	id AttemptID
}

// System admits requests to the backend servers of one instance. It is not safe for
// concurrent use. Times are in nanoseconds of Unix time.
type System struct {
	self            pair.Holder
	timing          Timing
	members         *pair.Table
	grants          *Grants
	grantCoverage   *grantCoverage
	servers         map[config.Number]*server
	byNumber        []*server
	attempts        map[AttemptID]*attempt
	expiries        []expiry
	queuedByService map[string]int
	totalQueued     int
	leaving         bool
	// byNumberStale is set when byNumber must be rebuilt.
	byNumberStale bool
	// grantRequests collects the grants to request in one tick.
	grantRequests map[grantRequestKey]*GrantRequest
	// earlierRunUntil is the latest time at which another instance may have sent an
	// attempt to an earlier run of this one.
	earlierRunUntil int64
	effects         []Effect
	spareEffects    []Effect
}

// New returns the system of an instance that starts now, without backend servers.
func New(now int64, self pair.Holder, t Timing, members *pair.Table) *System {
	return &System{
		self:            self,
		timing:          t,
		earlierRunUntil: now + int64(t.Margin),
		members:         members,
		grants:          NewGrants(t),
		grantCoverage:   newGrantCoverage(self.ID, t),
		servers:         make(map[config.Number]*server),
		attempts:        make(map[AttemptID]*attempt),
		queuedByService: make(map[string]int),
		grantRequests:   make(map[grantRequestKey]*GrantRequest),
	}
}

// Effects returns the effects since the last call. The slice is valid until the next
// call.
func (s *System) Effects() []Effect {
	effects := s.effects
	s.effects, s.spareEffects = s.spareEffects[:0], effects
	return effects
}

func (s *System) emit(e Effect) { s.effects = append(s.effects, e) }

// shards is the number of shards of the backend servers. The servers of one shard and
// data centre have the same admitting instance and the same pair, so that one message
// can request the grants of all of them.
const shards = 128

// ServerKey returns the key by which instances are ranked for a backend server, to
// choose its pair and its admitting instance.
func ServerKey(n config.Number) uint64 { return shardKey(int(n % shards)) }

func shardKey(shard int) uint64 { return pair.KeyOf("servers " + strconv.Itoa(shard)) }

// SetServers sets the backend servers. Call it also after the table of instances has
// changed.
func (s *System) SetServers(now int64, rows []Server) {
	known := make(map[config.Number]bool, len(rows))
	s.grantCoverage.setRows(rows)
	for _, row := range rows {
		known[row.Number] = true
		s.setServer(now, row)
	}
	for n, sv := range s.servers {
		if !known[n] {
			sv.State = config.Gone
		}
	}
	s.sortServers()
	s.grantCoverage.update(now, s.members)
	s.Tick(now)
}

// sortServers rebuilds byNumber. The fixed order makes runs reproducible.
func (s *System) sortServers() {
	clear(s.byNumber)
	s.byNumber = s.byNumber[:0]
	for _, sv := range s.servers {
		s.byNumber = append(s.byNumber, sv)
	}
	slices.SortFunc(s.byNumber, func(a, b *server) int { return int(a.Number) - int(b.Number) })
}

// setServer updates one backend server, and adds it if this instance ranks first.
func (s *System) setServer(now int64, row Server) {
	sv := s.servers[row.Number]
	key := ServerKey(row.Number)
	id, found := s.members.First(key, row.DataCentre, row.Region, 0)
	ranksFirst := found && id == s.self.ID
	if sv == nil && !ranksFirst {
		return
	}
	if sv == nil {
		sv = &server{key: key, creditAt: now}
		s.servers[row.Number] = sv
	}
	sv.ranksFirst = ranksFirst
	sv.updateCredit(now)
	if row.State == config.Draining && sv.State != config.Draining {
		sv.drainingSince = now
	}
	sv.Server = row
	s.setPair(now, sv)
	sv.limiter.Configure(row.Ramp.Start, row.Ramp.Duration)
	if row.ColdSince > sv.lastColdSince {
		sv.lastColdSince = row.ColdSince
		sv.limiter.HandleColdAnnouncement(now, row.ColdSince)
		sv.credit = 0
	}
}

// setPair updates the pair of a server. If the pair has changed while the lease is
// requested, a new request is due at once. A server that is being handed over to
// another instance keeps the pair that granted its lease.
func (s *System) setPair(now int64, sv *server) {
	if sv.lastRequested != 0 && (!sv.ranksFirst || s.leaving) {
		return
	}
	p := s.members.Pair(sv.key, sv.DataCentre, sv.Region, now)
	if p != sv.pair && sv.lastRequested != 0 {
		sv.lastRequested, sv.pairChanged = 1, now
	}
	sv.pair, sv.pairDigest = p, p.Digest()
}

// SetLeaving makes the instance give up the lease of each backend server when the
// requests there have ended.
func (s *System) SetLeaving(now int64) {
	s.leaving = true
	s.Tick(now)
}

// HandleGrantRequest answers a request for grants by another instance or by this one:
// it returns the servers that are granted. It skips servers for which its own view
// gives another pair than the request.
func (s *System) HandleGrantRequest(now int64, r GrantRequest) []Grant {
	var granted []Grant
	for i, n := range r.Servers {
		p := s.members.Pair(ServerKey(n), r.DataCentre, r.Region, now)
		if i >= len(r.PairDigests) || r.PairDigests[i] != p.Digest() {
			continue
		}
		if r.Holder != s.self {
			s.yieldUnusedGrant(now, n)
		}
		if p.Has(s.self.ID) {
			s.grantCoverage.addForeign(now, n, r.DataCentre, r.Region)
		}
		in, complete := s.grantCoverage.covers(now, n)
		if in && s.grants.HandleGrantRequest(now, r.Holder, n, r.SentAt) {
			granted = append(granted, Grant{Server: n, Complete: complete})
		}
	}
	return granted
}

// yieldUnusedGrant gives up the grant of a backend server that this instance has given to
// itself, unless it holds the lease. The admitting instance that has not learnt of this
// one yet can thus renew its lease until it hands over.
func (s *System) yieldUnusedGrant(now int64, n config.Number) {
	sv := s.servers[n]
	if sv == nil || sv.leaseHeld(now) || len(sv.running) > 0 {
		return
	}
	if g := sv.receivedGrant(s.self.ID); g != nil {
		*g = receivedGrant{}
		s.grants.Release(s.self, n, now)
	}
}

// AwaitingContact reports whether this instance still waits for contact with every
// instance of the data centre that counts as a member. It can't know all earlier grants
// before.
func (s *System) AwaitingContact() bool { return s.grantCoverage.contactSince == 0 }

// Release handles a ReleaseGrant by another instance.
func (s *System) Release(r GrantRequest) {
	for _, n := range r.Servers {
		s.grants.Release(r.Holder, n, r.SentAt)
	}
}

// HandleGrants handles the answer to a RequestGrant: which of its servers were
// granted. An answer to a request from before the lease was last given up is ignored.
func (s *System) HandleGrants(now int64, from fleet.ID, r GrantRequest, granted []Grant) {
	for i, n := range r.Servers {
		sv := s.servers[n]
		at := slices.IndexFunc(granted, func(g Grant) bool { return g.Server == n })
		if sv == nil || sv.lastRequested == 0 || r.SentAt < sv.firstRequested || at < 0 {
			continue
		}
		given := receivedGrant{id: from, until: r.SentAt + int64(s.timing.GrantDuration), pair: r.PairDigests[i]}
		if granted[at].Complete {
			given.complete = given.until
		}
		sv.setReceived(given)
		if !sv.hadLease && sv.leaseHeld(now) {
			sv.hadLease = true
			sv.updateCredit(now)
			sv.limiter.TakeOver(now)
		}
		s.dispatchQueued(now, sv)
	}
}

// Admit handles an attempt: it is dispatched, queued or refused. The Reply effect for
// waiter carries the outcome. An attempt may arrive several times and runs at most
// once.
func (s *System) Admit(now int64, waiter uint64, a Attempt) {
	if old := s.attempts[a.ID]; old != nil {
		s.addWaiter(waiter, old)
		return
	}
	if a.Sent <= s.earlierRunUntil && a.AdmitterIncarnation != s.self.Incarnation {
		// An earlier run of this instance may have dispatched it.
		s.emit(Effect{Kind: Reply, Waiter: waiter, Outcome: Outcome{Result: request.UnknownResult(request.AnswerLost)}})
		return
	}
	at := &attempt{Attempt: a, state: waiting, waiters: []uint64{waiter}}
	s.attempts[a.ID] = at
	sv := s.servers[a.Server]
	if reason := s.refusal(now, sv, at); reason != "" {
		s.finish(now, sv, at, request.RefusedResult(reason))
		return
	}
	sv.queue = append(sv.queue, at)
	s.addQueued(sv, 1)
	s.dispatchQueued(now, sv)
}

// addWaiter handles a copy of a known attempt.
func (s *System) addWaiter(waiter uint64, old *attempt) {
	if !old.replied {
		old.waiters = append(old.waiters, waiter)
		return
	}
	s.emit(Effect{Kind: Reply, Waiter: waiter, Outcome: old.outcome})
}

// refusal returns why an attempt may not be queued, or an empty reason.
func (s *System) refusal(now int64, sv *server, at *attempt) request.Reason {
	if sv == nil || !sv.acceptsRequests(now) {
		return request.NoServer
	}
	left := time.Duration(at.Deadline - now)
	switch {
	case left <= 0:
		return request.DeadlinePassed
	case left > s.timing.MaxRun+s.timing.Margin:
		return request.Invalid
	}
	if len(sv.queue) >= QueuePerSlot*sv.Slots || !s.withinFairShare(sv.Service) {
		return request.Overloaded
	}
	if sv.expectedWait(now)+sv.expectedRunTime() > left && len(sv.running)+len(sv.queue) > 0 {
		return request.Overloaded
	}
	return ""
}

// withinFairShare reports whether one more request of the service may be queued: from
// MaxWaiting/2 on, each service is limited to an equal share.
func (s *System) withinFairShare(service string) bool {
	if s.totalQueued < MaxWaiting/2 {
		return true
	}
	services := len(s.queuedByService)
	if s.queuedByService[service] == 0 {
		services++
	}
	return s.totalQueued < MaxWaiting && s.queuedByService[service] < MaxWaiting/(services+1)
}

// addQueued adds to the counts of queued requests.
func (s *System) addQueued(sv *server, by int) {
	s.totalQueued += by
	s.queuedByService[sv.Service] += by
	if s.queuedByService[sv.Service] == 0 {
		delete(s.queuedByService, sv.Service)
	}
}

// dispatchQueued starts the queued attempts that a backend server has free slots for,
// and refuses those that can no longer meet their deadline.
func (s *System) dispatchQueued(now int64, sv *server) {
	for len(sv.queue) > 0 {
		at := sv.queue[0]
		left := time.Duration(at.Deadline - now)
		late := left <= 0 || left < sv.expectedRunTime() && len(sv.running) > 0
		if !late && !sv.hasFreeSlot(now) {
			return
		}
		sv.queue = removeAttempt(sv.queue, at)
		s.addQueued(sv, -1)
		if late {
			s.finish(now, sv, at, request.RefusedResult(request.DeadlinePassed))
			continue
		}
		s.start(now, sv, at)
	}
}

// start dispatches an attempt to its backend server.
func (s *System) start(now int64, sv *server, at *attempt) {
	sv.updateCredit(now)
	at.state, at.startedAt = running, now
	at.runDeadline = min(at.Deadline, now+int64(s.timing.MaxRun))
	at.Deadline = at.runDeadline
	sv.running = append(sv.running, at)
	s.emit(Effect{Kind: Dispatch, Attempt: at.Attempt})
}

// Done handles the end of a run on a backend server.
func (s *System) Done(now int64, id AttemptID, r Run) {
	at := s.attempts[id]
	if at == nil || at.state != running {
		return
	}
	sv := s.servers[at.Server]
	s.observeRun(now, sv, at, r)
	if r.Ended {
		s.freeSlot(now, sv, at)
	}
	s.finish(now, sv, at, r.Result)
	s.dispatchQueued(now, sv)
}

// freeSlot frees the slot of a run that has ended.
func (s *System) freeSlot(now int64, sv *server, at *attempt) {
	sv.updateCredit(now)
	sv.running = removeAttempt(sv.running, at)
	at.state = ended
}

// observeRun classifies a finished run and reports it as evidence about the server. A
// run already reported as slow is reported again only if its answer turns out not to be
// slow.
func (s *System) observeRun(now int64, sv *server, at *attempt, r Run) {
	took := time.Duration(now - at.startedAt)
	kind := sv.limiter.Classify(took)
	switch {
	case r.Shed:
		kind = flow.Shed
	case r.Result.Status != request.Answered && at.cancelled:
		return
	case r.Result.Status != request.Answered:
		kind = flow.Failed
	default:
		sv.recordRunTime(took)
	}
	if !at.slow || kind == flow.Answered {
		s.reportEvidence(now, sv, kind, took)
	}
}

// reportEvidence emits evidence about a server and feeds it to the cold start limiter.
func (s *System) reportEvidence(now int64, sv *server, kind flow.EvidenceKind, took time.Duration) {
	sv.updateCredit(now)
	s.emit(Effect{Kind: Report, Evidence: flow.Evidence{Server: sv.Number, Kind: kind, At: now}})
	if sv.limiter.Observe(now, kind, took) {
		sv.credit = 0
		s.emit(Effect{Kind: Report, Evidence: flow.Evidence{Server: sv.Number, Kind: flow.TurnedCold, At: now}})
	}
}

// finish answers the waiters of an attempt, once, and keeps the attempt for as long as
// a copy may still arrive.
func (s *System) finish(now int64, sv *server, at *attempt, r request.Result) {
	if at.state == waiting {
		at.state = ended
	}
	if at.replied {
		return
	}
	at.replied = true
	at.outcome.Result = r
	if sv != nil {
		at.outcome.Load = sv.load(now)
	}
	for _, w := range at.waiters {
		s.emit(Effect{Kind: Reply, Waiter: w, Outcome: at.outcome})
	}
	at.waiters = nil
	at.Request = nil
	// The answer itself is not kept: a copy that arrives later only needs to learn that
	// the request may have run, so it gets an unknown result.
	if r.Status == request.Answered {
		at.outcome.Result = request.UnknownResult(request.AnswerLost)
	}
	keep := s.timing.MaxRun + 2*s.timing.Margin
	s.expiries = append(s.expiries, expiry{at: now + int64(keep), id: at.ID})
}

// Cancel ends an attempt that no caller waits for any more. One that is not known yet
// is recorded as refused, so that it does not run if it arrives later.
func (s *System) Cancel(now int64, id AttemptID) {
	at := s.attempts[id]
	if at == nil {
		at = &attempt{Attempt: Attempt{ID: id}, state: waiting}
		s.attempts[id] = at
		s.finish(now, nil, at, request.RefusedResult(request.Cancelled))
		return
	}
	sv := s.servers[at.Server]
	switch {
	case at.state == waiting:
		sv.queue = removeAttempt(sv.queue, at)
		s.addQueued(sv, -1)
		s.finish(now, sv, at, request.RefusedResult(request.Cancelled))
	case at.state == running && !at.cancelled:
		at.cancelled = true
		s.emit(Effect{Kind: CancelRun, Attempt: at.Attempt})
	}
}
