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

// service holds the backend servers and the retry budget of one service.
type service struct {
	candidates []*candidate
	budget     retry.Budget
}

// Options configure a System.
type Options struct {
	Self    pair.Holder
	Members *pair.Table
	// Claims holds the claims that this instance records as a member of pairs.
	Claims *atmostonce.Claims
	// Table holds the keys that this instance owns, with their results.
	Table *atmostonce.Table
	Rand  *rand.Rand
	// MaxRun is admission.Timing.MaxRun.
	MaxRun time.Duration
}

// System handles the requests whose keys the instance owns. It is not safe for
// concurrent use. Times are in nanoseconds of Unix time.
type System struct {
	Options
	services     map[string]*service
	jobs         map[string]*job
	byWaiter     map[uint64]*job
	attempts     map[uint64]*job
	seq          uint64
	stopping     bool
	counts       Counts
	effects      []Effect
	spareEffects []Effect
	// jobsByAge lists the jobs in the order of their start; Tick drops those that are
	// done.
	jobsByAge []*job
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

// Effects returns the effects since the last call. The slice is valid until the next
// call of Effects.
func (s *System) Effects() []Effect {
	effects := s.effects
	s.effects, s.spareEffects = s.spareEffects[:0], effects
	return effects
}

// Counts returns the totals since the start.
func (s *System) Counts() Counts { return s.counts }

// Pending returns how many requests are in progress.
func (s *System) Pending() int { return len(s.jobs) }

// SetServices sets the backend servers that may run the requests of each service.
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
		sv.candidates = mergeCandidates(sv.candidates, rows)
	}
}

// mergeCandidates returns the candidates for the rows, and keeps the state of those
// whose admitting instance is unchanged.
func mergeCandidates(old []*candidate, rows []Candidate) []*candidate {
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

// SetStopping makes the owner decline new keys and start no more retries.
func (s *System) SetStopping() { s.stopping = true }

// Run handles one copy of a request, whose Deadline must be set. The Answer effect for
// waiter id carries the result.
func (s *System) Run(now int64, id uint64, r *request.Request) {
	digest := atmostonce.Digest(r)
	if e := s.Table.Find(r.Key.ID); e != nil {
		s.handleCopy(id, r, e, digest)
		return
	}
	if res, rejected := s.rejectEarly(now, r); rejected {
		s.answer(id, res)
		return
	}
	e := s.Table.Add(now, &r.Key, digest)
	if e == nil {
		s.answer(id, s.decline(r, request.Overloaded))
		return
	}
	s.counts.Requests++
	j := &job{entry: e, req: r, deadline: r.Deadline, started: now}
	s.jobs[e.ID] = j
	s.jobsByAge = append(s.jobsByAge, j)
	s.addWaiter(j, id, r.Deadline)
	if r.Repeatable {
		s.dispatch(now, j)
		return
	}
	s.claim(now, j)
}

// handleCopy handles a copy of a known request: it returns the stored result or waits
// for the job in progress.
func (s *System) handleCopy(id uint64, r *request.Request, e *atmostonce.Entry, digest uint64) {
	if e.Digest != digest {
		res := request.RefusedResult(request.Invalid)
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
		s.answer(id, request.UnknownResult(request.Overloaded))
	default:
		j.abandonedAt = 0
		s.addWaiter(j, id, r.Deadline)
	}
}

// Join handles a request for the result of a key from another instance, whose claim
// was denied because this one holds the key. The Answer effect for waiter id carries
// the result. Join never starts the request.
func (s *System) Join(id uint64, r *request.Request) {
	e := s.Table.Find(r.Key.ID)
	if e == nil || e.Digest != atmostonce.Digest(r) {
		s.answer(id, request.UnknownResult(request.AnswerLost))
		return
	}
	if j := s.jobs[e.ID]; j != nil && j.stage == awaitingClaimant {
		s.answer(id, request.UnknownResult(request.KeyUndecided))
		return
	}
	s.handleCopy(id, r, e, e.Digest)
}

// rejectEarly returns the result of a request that must not be started, and whether
// that is so.
func (s *System) rejectEarly(now int64, r *request.Request) (request.Result, bool) {
	created := r.Key.CreatedAt()
	switch {
	case created > now+int64(request.MaxClockAhead):
		res := s.decline(r, request.Invalid)
		res.Detail = "key.created: ahead of this instance's clock"
		return res, true
	case !r.Repeatable && atmostonce.Expired(now, created):
		return request.UnknownResult(request.Expired), true
	case s.stopping:
		return s.decline(r, request.Stopping), true
	case len(s.jobs) >= MaxPending:
		return s.decline(r, request.Overloaded), true
	case r.Deadline <= now:
		return s.decline(r, request.DeadlinePassed), true
	}
	return request.Result{}, false
}

// decline returns the result of a request whose key was not claimed. Another copy of
// it may have run elsewhere, so only a repeatable request is refused; the result of
// any other is unknown.
func (s *System) decline(r *request.Request, why request.Reason) request.Result {
	if r.Repeatable {
		return request.RefusedResult(why)
	}
	return request.UnknownResult(why)
}

// addWaiter makes a copy wait for the job, whose deadline becomes the latest of its
// copies.
func (s *System) addWaiter(j *job, id uint64, deadline int64) {
	j.waiters = append(j.waiters, waiter{id: id, deadline: deadline})
	j.deadline = max(j.deadline, deadline)
	s.byWaiter[id] = j
}

func (s *System) answer(id uint64, r request.Result) {
	s.effects = append(s.effects, Effect{Kind: Answer, Waiter: id, Result: r})
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

// Abandon removes a waiter whose caller has disconnected. The job goes on for
// AbandonGrace after the last one.
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
		j.abandonedAt = now
	}
}

// Cancel removes a waiter whose caller has cancelled the request, and cancels the job
// if no other copy waits for it.
func (s *System) Cancel(now int64, id uint64) {
	j := s.byWaiter[id]
	s.Abandon(now, id)
	if j != nil && len(j.waiters) == 0 {
		s.cancelJob(now, j)
	}
}

// cancelJob cancels a job that no copy waits for. If an attempt is in progress, the
// job ends with its outcome.
func (s *System) cancelJob(now int64, j *job) {
	switch j.stage {
	case admitting:
		s.cancelAttempt(j)
	case choosing:
		s.finish(now, j, s.refusedOrUnknown(j, request.Cancelled))
	default:
		s.finish(now, j, request.UnknownResult(request.Cancelled))
	}
}

// cancelAttempt asks the admitting instance to cancel the current attempt, once.
func (s *System) cancelAttempt(j *job) {
	if j.cancelled {
		return
	}
	j.cancelled = true
	s.effects = append(s.effects, Effect{Kind: Cancel, To: j.target.Admitter, Attempt: j.attempt})
}

// refusedOrUnknown returns the result of a job without an attempt in progress: Unknown
// if an earlier attempt may have run, else Refused.
func (s *System) refusedOrUnknown(j *job, why request.Reason) request.Result {
	if j.mayHaveRun {
		return request.UnknownResult(why)
	}
	return request.RefusedResult(why)
}
