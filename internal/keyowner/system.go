package keyowner

import (
	"math/rand/v2"
	"time"

	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
	"balsamfork/internal/retry"
)

type service struct {
	candidates []*candidate
	budget     retry.Budget
}

// Options are what a System is made of.
type Options struct {
	Self    pair.Holder
	Members *pair.Table
	// Claims is the table that this instance keeps as a member.
	Claims *atmostonce.Claims
	Table  *atmostonce.Table
	Rand   *rand.Rand
	// MaxRun is admission.Timing.MaxRun.
	MaxRun time.Duration
}

// System decides about the requests whose keys the instance owns. It must not be
// used by several goroutines at once. Times are in nanoseconds of Unix time.
type System struct {
	Options
	services map[string]*service
	jobs     map[string]*job
	byWaiter map[uint64]*job
	attempts map[uint64]*job
	seq      uint64
	stopping bool
	counts   Counts
	out      []Effect
	spare    []Effect
	// list is the jobs by age; Tick drops those that are done.
	list []*job
}

// New returns a system without services.
func New(o Options) *System {
	return &System{
		Options:  o,
		services: make(map[string]*service),
		jobs:     make(map[string]*job),
		byWaiter: make(map[uint64]*job),
		attempts: make(map[uint64]*job),
	}
}

// Effects returns what is to be done since the last call. The slice is valid
// until the call after the next.
func (s *System) Effects() []Effect {
	out := s.out
	s.out, s.spare = s.spare[:0], out
	return out
}

// Counts returns the totals since the start.
func (s *System) Counts() Counts { return s.counts }

// Pending returns how many requests are in progress.
func (s *System) Pending() int { return len(s.jobs) }

// SetServices takes in which backend servers may run the requests of each service.
func (s *System) SetServices(all map[string][]Candidate) {
	for name := range s.services {
		if _, found := all[name]; !found {
			delete(s.services, name)
		}
	}
	for name, rows := range all {
		sv := s.services[name]
		if sv == nil {
			sv = &service{}
			s.services[name] = sv
		}
		sv.candidates = merge(sv.candidates, rows)
	}
}

func merge(old []*candidate, rows []Candidate) []*candidate {
	known := make(map[config.Number]*candidate, len(old))
	for _, c := range old {
		known[c.Server] = c
	}
	out := make([]*candidate, 0, len(rows))
	for _, row := range rows {
		c := known[row.Server]
		if c == nil || c.Admitter != row.Admitter {
			c = &candidate{}
		}
		c.Candidate = row
		out = append(out, c)
	}
	return out
}

// SetStopping makes the owner take no new keys.
func (s *System) SetStopping() { s.stopping = true }

// Run takes in a copy of a request whose Deadline is set; waiter gets its result.
func (s *System) Run(now int64, id uint64, r *request.Request) {
	digest := atmostonce.Digest(r)
	if e := s.Table.Find(r.Key.ID); e != nil {
		s.copyOf(id, r, e, digest)
		return
	}
	if res, bad := s.check(now, r); bad {
		s.answer(id, res)
		return
	}
	e := s.Table.Add(now, &r.Key, digest)
	if e == nil {
		s.answer(id, s.decline(r, request.Overloaded))
		return
	}
	s.counts.Requests++
	j := &job{entry: e, req: r, deadline: r.Deadline, began: now}
	s.jobs[e.ID] = j
	s.list = append(s.list, j)
	s.wait(j, id, r.Deadline)
	if r.Repeatable {
		s.dispatch(now, j)
		return
	}
	s.claim(now, j)
}

// copyOf answers a copy of a request that was met before.
func (s *System) copyOf(id uint64, r *request.Request, e *atmostonce.Entry, digest uint64) {
	if e.Digest != digest {
		res := request.Refuse(request.Invalid)
		res.Detail = "key.id: already used for another request"
		s.answer(id, res)
		return
	}
	s.counts.Joined++
	j := s.jobs[e.ID]
	switch {
	case j == nil:
		s.answer(id, e.Result)
	case len(j.waiters) >= MaxCopies:
		s.answer(id, request.Unsure(request.Overloaded))
	default:
		j.abandoned = 0
		s.wait(j, id, r.Deadline)
	}
}

// Join answers an instance that lost the claim of a key to this one: it never
// starts a request.
func (s *System) Join(id uint64, r *request.Request) {
	e := s.Table.Find(r.Key.ID)
	if e == nil || e.Digest != atmostonce.Digest(r) {
		s.answer(id, request.Unsure(request.Lost))
		return
	}
	if j := s.jobs[e.ID]; j != nil && j.stage == asking {
		s.answer(id, request.Unsure(request.Undecided))
		return
	}
	s.copyOf(id, r, e, e.Digest)
}

// check answers a request that is not to be started.
func (s *System) check(now int64, r *request.Request) (request.Result, bool) {
	created := r.Key.CreatedAt()
	switch {
	case created > now+int64(request.MaxAhead):
		res := s.decline(r, request.Invalid)
		res.Detail = "key.created: ahead of this instance's clock"
		return res, true
	case !r.Repeatable && atmostonce.Expired(now, created):
		return request.Unsure(request.Expired), true
	case s.stopping:
		return s.decline(r, request.Stopping), true
	case len(s.jobs) >= MaxPending:
		return s.decline(r, request.Overloaded), true
	case r.Deadline <= now:
		return s.decline(r, request.TooLate), true
	}
	return request.Result{}, false
}

// decline answers a request without having claimed its key: another copy of it
// may have run elsewhere unless it may be repeated.
func (s *System) decline(r *request.Request, why request.Reason) request.Result {
	if r.Repeatable {
		return request.Refuse(why)
	}
	return request.Unsure(why)
}

func (s *System) wait(j *job, id uint64, deadline int64) {
	j.waiters = append(j.waiters, waiter{id: id, deadline: deadline})
	j.deadline = max(j.deadline, deadline)
	s.byWaiter[id] = j
}

func (s *System) answer(id uint64, r request.Result) {
	s.out = append(s.out, Effect{Kind: Answer, Waiter: id, Result: r})
}

// finish records the result of a job and answers its waiters.
func (s *System) finish(now int64, j *job, r request.Result) {
	if j.stage == done {
		return
	}
	j.stage = done
	s.Table.Finish(now, j.entry, r)
	for _, w := range j.waiters {
		delete(s.byWaiter, w.id)
		s.answer(w.id, r)
	}
	j.waiters = nil
	delete(s.jobs, j.entry.ID)
}

// Abandon takes in that a waiter has vanished.
func (s *System) Abandon(now int64, id uint64) {
	j := s.byWaiter[id]
	if j == nil {
		return
	}
	delete(s.byWaiter, id)
	for i, w := range j.waiters {
		if w.id == id {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if len(j.waiters) == 0 {
		j.abandoned = now
	}
}

// Cancel takes in that a waiter does not want its request any more.
func (s *System) Cancel(now int64, id uint64) {
	j := s.byWaiter[id]
	s.Abandon(now, id)
	if j != nil && len(j.waiters) == 0 {
		s.cancel(now, j)
	}
}

// cancel ends a job that nobody waits for.
func (s *System) cancel(now int64, j *job) {
	switch j.stage {
	case admitting:
		s.cancelAttempt(j)
	case choosing:
		s.finish(now, j, s.unrun(j, request.Cancelled))
	default:
		s.finish(now, j, request.Unsure(request.Cancelled))
	}
}

func (s *System) cancelAttempt(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	s.out = append(s.out, Effect{Kind: Cancel, To: j.to.Admitter, Attempt: j.attempt})
}

// unrun is the result of a job that has no attempt under way.
func (s *System) unrun(j *job, why request.Reason) request.Result {
	if j.maybeRan {
		return request.Unsure(why)
	}
	return request.Refuse(why)
}
