package keyowner

import (
	"slices"
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/request"
	"balsamfork/internal/retry"
)

// dispatch sends a job to a backend server that it has not tried yet.
func (s *System) dispatch(now int64, j *job) {
	j.stage = choosing
	sv := s.services[j.req.Service]
	if sv == nil {
		s.finish(now, j, s.unrun(j, request.NoService))
		return
	}
	c := choose(now, s.Rand, sv.candidates, j.tried)
	if c == nil {
		s.finish(now, j, s.unrun(j, request.NoServer))
		return
	}
	if len(j.tried) == 0 {
		sv.budget.First()
	}
	s.counts.Attempts++
	s.seq++
	j.stage, j.to = admitting, c
	j.tried = append(j.tried, c.Server)
	j.attempt = admission.Attempt{
		ID:       admission.AttemptID{Owner: s.Self, Seq: s.seq},
		Server:   c.Server,
		Run:      s.Members.Incarnation(c.Admitter),
		Sent:     now,
		Deadline: s.attemptDeadline(now, j),
		Request:  j.req,
	}
	c.mine++
	s.attempts[s.seq] = j
	s.out = append(s.out, Effect{Kind: Admit, To: c.Admitter, Attempt: j.attempt})
}

// attemptDeadline leaves time for the way back to the caller.
func (s *System) attemptDeadline(now int64, j *job) int64 {
	left := time.Duration(j.deadline - now)
	left -= min(replyTime, left/10)
	return now + int64(min(left, s.MaxRun))
}

// Outcome takes in how an attempt ended.
func (s *System) Outcome(now int64, id admission.AttemptID, o admission.Outcome) {
	j := s.attempts[id.Seq]
	if j == nil || id.Owner != s.Self {
		s.counts.Late++
		return
	}
	delete(s.attempts, id.Seq)
	if j.attempt.ID != id || j.stage != admitting {
		s.late(now, j, o)
		return
	}
	j.to.mine--
	j.to.load, j.to.at = o.Load, now
	switch o.Result.Status {
	case request.Answered:
		s.finish(now, j, o.Result)
	case request.Refused:
		s.refused(now, j, o.Result)
	default:
		s.unknown(now, j, o.Result)
	}
}

// late takes in the outcome of an attempt that was given up: a whole answer is
// kept for copies that still come.
func (s *System) late(now int64, j *job, o admission.Outcome) {
	s.counts.Late++
	if o.Result.Status != request.Answered || j.entry.Result.Status != request.Unknown || s.Table.Find(j.entry.ID) != j.entry {
		return
	}
	s.Table.Finish(now, j.entry, o.Result)
}

func (s *System) refused(now int64, j *job, r request.Result) {
	if j.cancelled || !s.again(now, j) {
		s.finish(now, j, s.unrun(j, r.Reason))
	}
}

func (s *System) unknown(now int64, j *job, r request.Result) {
	j.maybeRan = true
	if j.cancelled || !j.req.Repeatable || !s.again(now, j) {
		s.finish(now, j, r)
	}
}

// again plans one more attempt, if there is time, budget and another backend
// server.
func (s *System) again(now int64, j *job) bool {
	sv := s.services[j.req.Service]
	if sv == nil || s.stopping || len(j.tried) >= MaxAttempts || !s.open(now, sv, j) {
		return false
	}
	delay, worth := retry.Delay(s.Rand, time.Duration(j.deadline-now))
	if !worth || !sv.budget.Take() {
		return false
	}
	s.counts.Retries++
	j.stage = choosing
	j.wake = now + int64(delay)
	return true
}

func (s *System) open(now int64, sv *service, j *job) bool {
	return slices.ContainsFunc(sv.candidates, func(c *candidate) bool {
		return !c.closed(now) && !slices.Contains(j.tried, c.Server)
	})
}

// TickEvery is how often Tick is to be called.
const TickEvery = 10 * time.Millisecond

// Tick does what is due: retries, claims sent again, waiters whose time is up. It
// goes through the jobs by age and forgets those that are done.
func (s *System) Tick(now int64) {
	list := s.list
	s.list = s.list[:0]
	for _, j := range list {
		if j.stage != done {
			s.due(now, j)
		}
		if j.stage != done {
			s.list = append(s.list, j)
		}
	}
	clear(list[len(s.list):])
}

func (s *System) due(now int64, j *job) {
	if j.abandoned != 0 && now-j.abandoned >= int64(Grace) {
		s.cancel(now, j)
	}
	switch {
	case j.stage == done:
	case now >= j.deadline:
		s.expire(now, j)
	case j.stage == claiming && now-j.began >= min(int64(ClaimFor), (j.deadline-j.began)/2):
		s.withhold(now, j, request.Undecided)
	case j.stage == claiming && now-j.sent >= int64(ClaimEvery):
		s.sendClaims(now, j)
		s.decide(now, j)
	case j.stage == choosing && now >= j.wake:
		s.dispatch(now, j)
	}
	if j.stage != done {
		s.expireWaiters(now, j)
	}
}

// expire ends a job whose time is up.
func (s *System) expire(now int64, j *job) {
	switch j.stage {
	case choosing:
		s.finish(now, j, s.unrun(j, request.TooLate))
	case admitting:
		s.cancelAttempt(j)
		j.to.mine--
		s.finish(now, j, request.Unsure(request.TooLate))
	case claiming:
		s.withhold(now, j, request.TooLate)
	default:
		s.finish(now, j, request.Unsure(request.TooLate))
	}
}

// expireWaiters answers the copies whose own time is up before the job's.
func (s *System) expireWaiters(now int64, j *job) {
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		delete(s.byWaiter, w.id)
		s.answer(w.id, request.Unsure(request.TooLate))
		return true
	})
}
