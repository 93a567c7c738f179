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

// TickEvery is how often Tick is to be called.
const TickEvery = 10 * time.Millisecond

// Tick does what is due: it asks for grants, gives them up, ends what has run out
// of time, and starts what may start.
func (s *System) Tick(now int64) {
	for _, sv := range s.order {
		s.overdue(now, sv)
		s.keep(now, sv)
		if !sv.runs(now) && !(sv.takes(now) && sv.pending(now)) {
			s.refuseQueue(now, sv)
		}
		s.pump(now, sv)
	}
	s.ask(now)
	s.forget(now)
	if s.stale {
		s.stale = false
		s.sort()
	}
}

// overdue ends runs whose time is up, and takes those that last unusually long as
// evidence before they end.
func (s *System) overdue(now int64, sv *server) {
	slow, known := sv.guard.SlowAfter()
	for i := 0; i < len(sv.running); {
		at := sv.running[i]
		if known && !at.slow && now-at.started > int64(slow) {
			at.slow = true
			s.report(now, sv, flow.Slow, 0)
		}
		if now >= at.until && !at.replied {
			s.timeout(now, sv, at)
		}
		if now < at.until+int64(s.timing.Margin) {
			i++
			continue
		}
		s.end(now, sv, at)
	}
}

func (s *System) timeout(now int64, sv *server, at *attempt) {
	if !at.cancelled {
		at.cancelled = true
		s.emit(Effect{Kind: CancelRun, Attempt: at.Attempt})
		s.report(now, sv, flow.Failed, 0)
	}
	s.finish(now, sv, at, request.Unsure(request.TooLate))
}

// keep renews or gives up the right to admit to one backend server.
func (s *System) keep(now int64, sv *server) {
	first := sv.chosen && !s.leaving && sv.State != config.Gone
	if sv.first && !first {
		sv.lost = now
	}
	sv.first = first
	if !first && len(sv.running)+len(sv.queue) == 0 && !sv.takes(now) {
		s.giveUp(now, sv)
		return
	}
	s.setPair(now, sv)
	every := s.timing.Renew
	if sv.pending(now) {
		every = AskEvery
	}
	if now-sv.asked < int64(every) && sv.asked != 0 {
		return
	}
	if sv.asked == 0 {
		sv.since = now
	}
	sv.asked = now
	for _, to := range sv.pair.IDs() {
		s.collect(now, to, sv)
	}
}

func (s *System) giveUp(now int64, sv *server) {
	sv.asked = 0
	sv.leased = false
	for i := range sv.promises {
		if p := sv.promises[i]; p.id != "" {
			s.release(now, p.id, sv.Number)
		}
		sv.promises[i] = promise{}
	}
	if !sv.chosen || sv.State == config.Gone {
		delete(s.servers, sv.Number)
		s.stale = true
	}
}

func (s *System) release(now int64, to fleet.ID, n config.Number) {
	if to == s.self.ID {
		s.grants.Release(s.self, n, now)
		return
	}
	s.emit(Effect{Kind: ReleaseGrant, To: to, Grant: GrantRequest{Holder: s.self, Servers: []config.Number{n}, SentAt: now}})
}

func (s *System) refuseQueue(now int64, sv *server) {
	for len(sv.queue) > 0 {
		at := sv.queue[0]
		sv.queue = remove(sv.queue, at)
		s.count(sv, -1)
		s.finish(now, sv, at, request.Refuse(request.NoServer))
	}
}

// askKey is what the grants that one message asks for have in common.
type askKey struct {
	to         fleet.ID
	dataCentre string
}

// collect adds a backend server to the grants to ask of a member.
func (s *System) collect(now int64, to fleet.ID, sv *server) {
	k := askKey{to: to, dataCentre: sv.DataCentre}
	r := s.asks[k]
	if r == nil {
		r = &GrantRequest{Holder: s.self, DataCentre: sv.DataCentre, Region: sv.Region, SentAt: now}
		s.asks[k] = r
	}
	r.Servers = append(r.Servers, sv.Number)
	r.Pairs = append(r.Pairs, sv.digest)
}

// ask sends what was collected.
func (s *System) ask(now int64) {
	if len(s.asks) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(s.asks), func(a, b askKey) int {
		return cmp.Or(cmp.Compare(a.to, b.to), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	for _, k := range keys {
		r := *s.asks[k]
		if k.to == s.self.ID {
			s.Granted(now, s.self.ID, r, s.Ask(now, r))
			continue
		}
		s.emit(Effect{Kind: AskGrant, To: k.to, Grant: r})
	}
	clear(s.asks)
}

func (s *System) forget(now int64) {
	n := 0
	for n < len(s.ended) && s.ended[n].at <= now {
		id := s.ended[n].id
		if at := s.attempts[id]; at != nil && at.state == over {
			delete(s.attempts, id)
		}
		n++
	}
	s.ended = s.ended[n:]
}

// Totals is what an instance admits, over all its backend servers.
type Totals struct {
	Running, Waiting int
	// Slots is how many may run now. Held counts the backend servers that the
	// instance may admit to, Wanted those that it should, Climbing those on a ramp.
	Slots                  float64
	Held, Wanted, Climbing int
}

// Totals counts what runs and waits at a time.
func (s *System) Totals(now int64) Totals {
	t := Totals{Waiting: s.total}
	for _, sv := range s.order {
		t.Running += len(sv.running)
		if !sv.first {
			continue
		}
		t.Wanted++
		if !sv.held(now) {
			continue
		}
		t.Held++
		t.Slots += sv.limit(now)
		if sv.guard.Share(now) < 1 {
			t.Climbing++
		}
	}
	return t
}
