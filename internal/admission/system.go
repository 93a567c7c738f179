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

type expiry struct {
	at int64
	id AttemptID
}

// System admits requests to the backend servers of one instance. It must not be
// used by several goroutines at once. Times are in nanoseconds of Unix time.
type System struct {
	self      pair.Holder
	timing    Timing
	members   *pair.Table
	grants    *Grants
	knowledge *knowledge
	servers   map[config.Number]*server
	order     []*server
	attempts  map[AttemptID]*attempt
	ended     []expiry
	queued    map[string]int
	total     int
	leaving   bool
	// stale is set when order must be made anew.
	stale bool
	// asks collects the grants to ask for in one tick.
	asks map[askKey]*GrantRequest
	// started is the latest time by which another instance may have sent something
	// to an earlier run of this one.
	started int64
	out     []Effect
	spare   []Effect
}

// New returns the system of an instance that starts now.
func New(now int64, self pair.Holder, t Timing, members *pair.Table) *System {
	return &System{
		self:      self,
		timing:    t,
		started:   now + int64(t.Margin),
		members:   members,
		grants:    NewGrants(t),
		knowledge: newKnowledge(self.ID, t),
		servers:   make(map[config.Number]*server),
		attempts:  make(map[AttemptID]*attempt),
		queued:    make(map[string]int),
		asks:      make(map[askKey]*GrantRequest),
	}
}

// Effects returns what is to be done since the last call. The slice is valid
// until the next input.
func (s *System) Effects() []Effect {
	out := s.out
	s.out, s.spare = s.spare[:0], out
	return out
}

func (s *System) emit(e Effect) { s.out = append(s.out, e) }

// shards is how many parts the backend servers are divided into. Those of a part
// have the same admitting instance and the same pair in their data centre, so that
// one message asks for all of them.
const shards = 128

// ServerName is the name by which pairs and admitting instances of a backend
// server are ranked.
func ServerName(n config.Number) uint64 { return shardName(int(n % shards)) }

func shardName(shard int) uint64 { return pair.Name("servers " + strconv.Itoa(shard)) }

// SetServers takes in the backend servers. Call it as well after the table of
// instances has changed.
func (s *System) SetServers(now int64, rows []Server) {
	known := make(map[config.Number]bool, len(rows))
	s.knowledge.setRows(rows)
	for _, row := range rows {
		known[row.Number] = true
		s.setServer(now, row)
	}
	for n, sv := range s.servers {
		if !known[n] {
			sv.State = config.Gone
		}
	}
	s.sort()
	s.knowledge.update(now, s.members)
	s.Tick(now)
}

// sort lists the backend servers by number, so that a run can be replayed.
func (s *System) sort() {
	clear(s.order)
	s.order = s.order[:0]
	for _, sv := range s.servers {
		s.order = append(s.order, sv)
	}
	slices.SortFunc(s.order, func(a, b *server) int { return int(a.Number) - int(b.Number) })
}

func (s *System) setServer(now int64, row Server) {
	sv := s.servers[row.Number]
	name := ServerName(row.Number)
	id, found := s.members.First(name, row.DataCentre, row.Region, 0)
	chosen := found && id == s.self.ID
	if sv == nil && !chosen {
		return
	}
	if sv == nil {
		sv = &server{name: name, creditAt: now}
		s.servers[row.Number] = sv
	}
	sv.chosen = chosen
	sv.settle(now)
	if row.State == config.Draining && sv.State != config.Draining {
		sv.drained = now
	}
	sv.Server = row
	s.setPair(now, sv)
	sv.guard.Configure(row.Ramp.Start, row.Ramp.Duration)
	if row.ColdSince > sv.cold {
		sv.cold = row.ColdSince
		sv.guard.Announced(now, row.ColdSince)
		sv.credit = 0
	}
}

// setPair looks up the pair of a server, and asks a new member of it at once. One
// that another instance is to admit to keeps the pair under which it was admitted to.
func (s *System) setPair(now int64, sv *server) {
	if sv.asked != 0 && (!sv.chosen || s.leaving) {
		return
	}
	p := s.members.Pair(sv.name, sv.DataCentre, sv.Region, now)
	if p != sv.pair && sv.asked != 0 {
		sv.asked, sv.changed = 1, now
	}
	sv.pair, sv.digest = p, p.Digest()
}

// SetLeaving makes the instance give up all backend servers as their requests end.
func (s *System) SetLeaving(now int64) {
	s.leaving = true
	s.Tick(now)
}

// Ask answers another instance's AskGrant, or this one's: the servers granted.
func (s *System) Ask(now int64, r GrantRequest) []Grant {
	var granted []Grant
	for i, n := range r.Servers {
		p := s.members.Pair(ServerName(n), r.DataCentre, r.Region, now)
		if i >= len(r.Pairs) || r.Pairs[i] != p.Digest() {
			continue
		}
		in, sure := s.knowledge.of(now, n)
		if in && s.grants.Ask(now, r.Holder, n, r.SentAt) {
			granted = append(granted, Grant{Server: n, Sure: sure})
		}
	}
	return granted
}

// Alone reports whether an instance of the data centre that counts has not been in
// contact with this one since its start.
func (s *System) Alone() bool { return s.knowledge.heard == 0 }

// Release takes in a ReleaseGrant.
func (s *System) Release(r GrantRequest) {
	for _, n := range r.Servers {
		s.grants.Release(r.Holder, n, r.SentAt)
	}
}

// Granted takes in the answer to an AskGrant: which of its servers were granted.
func (s *System) Granted(now int64, from fleet.ID, r GrantRequest, granted []Grant) {
	for i, n := range r.Servers {
		sv := s.servers[n]
		at := slices.IndexFunc(granted, func(g Grant) bool { return g.Server == n })
		if sv == nil || sv.asked == 0 || r.SentAt < sv.since || at < 0 {
			continue
		}
		given := promise{id: from, until: r.SentAt + int64(s.timing.Hold), pair: r.Pairs[i]}
		if granted[at].Sure {
			given.sure = given.until
		}
		sv.setPromise(given)
		if !sv.leased && sv.held(now) {
			sv.leased = true
			sv.settle(now)
			sv.guard.TakeOver(now)
		}
		s.pump(now, sv)
	}
}

// Admit takes in an attempt; Waiter gets its outcome. The same attempt may come
// several times and runs once.
func (s *System) Admit(now int64, waiter uint64, a Attempt) {
	if old := s.attempts[a.ID]; old != nil {
		s.join(waiter, old)
		return
	}
	if a.Sent <= s.started && a.Run != s.self.Incarnation {
		// An earlier run of this instance may have met it.
		s.emit(Effect{Kind: Reply, Waiter: waiter, Outcome: Outcome{Result: request.Unsure(request.Lost)}})
		return
	}
	at := &attempt{Attempt: a, state: waiting, waiters: []uint64{waiter}}
	s.attempts[a.ID] = at
	sv := s.servers[a.Server]
	if reason := s.refusal(now, sv, at); reason != "" {
		s.finish(now, sv, at, request.Refuse(reason))
		return
	}
	sv.queue = append(sv.queue, at)
	s.count(sv, 1)
	s.pump(now, sv)
}

func (s *System) join(waiter uint64, old *attempt) {
	if !old.replied {
		old.waiters = append(old.waiters, waiter)
		return
	}
	s.emit(Effect{Kind: Reply, Waiter: waiter, Outcome: old.outcome})
}

// refusal says why an attempt is not even queued, or is empty.
func (s *System) refusal(now int64, sv *server, at *attempt) request.Reason {
	if sv == nil || !sv.takes(now) {
		return request.NoServer
	}
	left := time.Duration(at.Deadline - now)
	if left <= 0 || time.Duration(at.Deadline-now) > s.timing.MaxRun+s.timing.Margin {
		return request.TooLate
	}
	if len(sv.queue) >= QueuePerSlot*sv.Slots || !s.fair(sv.Service) {
		return request.Overloaded
	}
	if sv.wait(now)+sv.expected() > left && len(sv.running)+len(sv.queue) > 0 {
		return request.Overloaded
	}
	return ""
}

// fair reports whether one more request of the service may wait.
func (s *System) fair(service string) bool {
	if s.total < MaxWaiting/2 {
		return true
	}
	services := len(s.queued)
	if s.queued[service] == 0 {
		services++
	}
	return s.total < MaxWaiting && s.queued[service] < MaxWaiting/(services+1)
}

func (s *System) count(sv *server, by int) {
	s.total += by
	s.queued[sv.Service] += by
	if s.queued[sv.Service] == 0 {
		delete(s.queued, sv.Service)
	}
}

// pump starts what may start on a backend server.
func (s *System) pump(now int64, sv *server) {
	for len(sv.queue) > 0 {
		at := sv.queue[0]
		left := time.Duration(at.Deadline - now)
		late := left <= 0 || left < sv.expected() && len(sv.running) > 0
		if !late && !sv.free(now) {
			return
		}
		sv.queue = remove(sv.queue, at)
		s.count(sv, -1)
		if late {
			s.finish(now, sv, at, request.Refuse(request.TooLate))
			continue
		}
		s.start(now, sv, at)
	}
}

func (s *System) start(now int64, sv *server, at *attempt) {
	sv.settle(now)
	at.state, at.started = running, now
	at.until = min(at.Deadline, now+int64(s.timing.MaxRun))
	at.Deadline = at.until
	sv.running = append(sv.running, at)
	s.emit(Effect{Kind: Dispatch, Attempt: at.Attempt})
}

// Done takes in the end of a run.
func (s *System) Done(now int64, id AttemptID, r Run) {
	at := s.attempts[id]
	if at == nil || at.state != running {
		return
	}
	sv := s.servers[at.Server]
	s.observe(now, sv, at, r)
	if r.Ended {
		s.end(now, sv, at)
	}
	s.finish(now, sv, at, r.Result)
	s.pump(now, sv)
}

// end frees the slot of a run.
func (s *System) end(now int64, sv *server, at *attempt) {
	sv.settle(now)
	sv.running = remove(sv.running, at)
	at.state = over
}

func (s *System) observe(now int64, sv *server, at *attempt, r Run) {
	took := time.Duration(now - at.started)
	kind := sv.guard.Judge(took)
	switch {
	case r.Shed:
		kind = flow.Shed
	case r.Result.Status != request.Answered && at.cancelled:
		return
	case r.Result.Status != request.Answered:
		kind = flow.Failed
	default:
		sv.learn(took)
	}
	if !at.slow || kind == flow.Answered {
		s.report(now, sv, kind, took)
	}
}

func (s *System) report(now int64, sv *server, kind flow.EvidenceKind, took time.Duration) {
	sv.settle(now)
	s.emit(Effect{Kind: Report, Evidence: flow.Evidence{Server: sv.Number, Kind: kind, At: now}})
	if sv.guard.Observe(now, kind, took) {
		sv.credit = 0
		s.emit(Effect{Kind: Report, Evidence: flow.Evidence{Server: sv.Number, Kind: flow.TurnedCold, At: now}})
	}
}

// finish answers the waiters of an attempt, once, and remembers it for as long as
// a copy may still come.
func (s *System) finish(now int64, sv *server, at *attempt, r request.Result) {
	if at.state == waiting {
		at.state = over
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
	// A copy that comes late needs no more than the kind of the outcome.
	if r.Status == request.Answered {
		at.outcome.Result = request.Unsure(request.Lost)
	}
	keep := s.timing.MaxRun + 2*s.timing.Margin
	s.ended = append(s.ended, expiry{at: now + int64(keep), id: at.ID})
}

// Cancel ends an attempt that nobody waits for any more.
func (s *System) Cancel(now int64, id AttemptID) {
	at := s.attempts[id]
	if at == nil {
		at = &attempt{Attempt: Attempt{ID: id}, state: waiting}
		s.attempts[id] = at
		s.finish(now, nil, at, request.Refuse(request.Cancelled))
		return
	}
	sv := s.servers[at.Server]
	switch {
	case at.state == waiting:
		sv.queue = remove(sv.queue, at)
		s.count(sv, -1)
		s.finish(now, sv, at, request.Refuse(request.Cancelled))
	case at.state == running && !at.cancelled:
		at.cancelled = true
		s.emit(Effect{Kind: CancelRun, Attempt: at.Attempt})
	}
}
