package keyowner

import (
	"slices"
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/request"
	"balsamfork/internal/retry"
)

// dispatch sends an attempt to a backend server that the job has not tried yet,
// through its admitting instance. If there is none, the job is finished.
func (s *System) dispatch(now int64, j *job) {
	j.stage = choosing
	sv := s.services[j.req.Service]
	if sv == nil {
		s.finish(now, j, s.refusedOrUnknown(j, request.NoService))
		return
	}
	c := choose(now, s.Rand, sv.candidates, j.tried)
	if c == nil {
		s.finish(now, j, s.refusedOrUnknown(j, request.NoServer))
		return
	}
	if len(j.tried) == 0 {
		sv.budget.RecordFirstAttempt()
	}
	s.counts.Attempts++
	s.seq++
	j.stage, j.target = admitting, c
	j.tried = append(j.tried, c.Server)
	j.attempt = admission.Attempt{
		ID:                  admission.AttemptID{Owner: s.Self, Seq: s.seq},
		Server:              c.Server,
		AdmitterIncarnation: s.Members.Incarnation(c.Admitter),
		Sent:                now,
		Deadline:            s.attemptDeadline(now, j),
		Request:             j.req,
	}
	c.ownAttempts++
	s.attempts[s.seq] = j
	s.effects = append(s.effects, Effect{Kind: Admit, To: c.Admitter, Attempt: j.attempt})
}

// attemptDeadline returns the deadline of an attempt that starts now. It reserves
// time for the result to travel back to the caller and is at most MaxRun away.
func (s *System) attemptDeadline(now int64, j *job) int64 {
	left := time.Duration(j.deadline - now)
	left -= min(maxReplyReserve, left/10)
	return now + int64(min(left, s.MaxRun))
}

// HandleOutcome handles the outcome of an attempt. One that arrives after the
// attempt was given up is counted as late.
func (s *System) HandleOutcome(now int64, id admission.AttemptID, o admission.Outcome) {
	j := s.attempts[id.Seq]
	if j == nil || id.Owner != s.Self {
		s.counts.Late++
		return
	}
	delete(s.attempts, id.Seq)
	if j.attempt.ID != id || j.stage != admitting {
		s.lateOutcome(now, j, o)
		return
	}
	j.target.ownAttempts--
	j.target.load, j.target.loadAt = o.Load, now
	switch o.Result.Status {
	case request.Answered:
		s.finish(now, j, o.Result)
	case request.Refused:
		s.refusedOutcome(now, j, o.Result)
	default:
		s.unknownOutcome(now, j, o.Result)
	}
}

// lateOutcome handles the outcome of an attempt that was given up. If the outcome is
// an answer and the stored result is Unknown, the answer replaces it for copies that
// arrive later.
func (s *System) lateOutcome(now int64, j *job, o admission.Outcome) {
	s.counts.Late++
	if o.Result.Status != request.Answered || j.entry.Result.Status != request.Unknown || s.Table.Find(j.entry.ID) != j.entry {
		return
	}
	s.Table.Finish(now, j.entry, o.Result)
}

// refusedOutcome retries a job whose attempt was refused, or finishes it.
func (s *System) refusedOutcome(now int64, j *job, r request.Result) {
	if j.cancelled || !s.scheduleRetry(now, j) {
		s.finish(now, j, s.refusedOrUnknown(j, r.Reason))
	}
}

// unknownOutcome handles an attempt that may have run: only a repeatable request is
// retried.
func (s *System) unknownOutcome(now int64, j *job, r request.Result) {
	j.mayHaveRun = true
	if j.cancelled || !j.req.Repeatable || !s.scheduleRetry(now, j) {
		s.finish(now, j, r)
	}
}

// scheduleRetry schedules another attempt and reports whether it did: that takes an
// untried backend server, retry budget and enough time until the deadline.
func (s *System) scheduleRetry(now int64, j *job) bool {
	sv := s.services[j.req.Service]
	if sv == nil || s.stopping || len(j.tried) >= MaxAttempts || !s.hasUntried(now, sv, j) {
		return false
	}
	delay, enoughTime := retry.Delay(s.Rand, time.Duration(j.deadline-now))
	if !enoughTime || !sv.budget.Take() {
		return false
	}
	s.counts.Retries++
	j.stage = choosing
	j.retryAt = now + int64(delay)
	return true
}

// hasUntried reports whether the service has a backend server that the job has not
// tried and that is not known to be closed.
func (s *System) hasUntried(now int64, sv *service, j *job) bool {
	return slices.ContainsFunc(sv.candidates, func(c *candidate) bool {
		return !c.closed(now) && !slices.Contains(j.tried, c.Server)
	})
}

// TickInterval is the time between calls of Tick.
const TickInterval = 10 * time.Millisecond

// Tick handles the timers of all jobs, in the order in which the jobs started:
// retries, repetitions of claims, the end of AbandonGrace, and deadlines of jobs and
// waiters. It drops jobs that are done.
func (s *System) Tick(now int64) {
	jobsByAge := s.jobsByAge
	s.jobsByAge = s.jobsByAge[:0]
	for _, j := range jobsByAge {
		if j.stage != done {
			s.processDue(now, j)
		}
		if j.stage != done {
			s.jobsByAge = append(s.jobsByAge, j)
		}
	}
	clear(jobsByAge[len(s.jobsByAge):])
}

// processDue handles the timers of one job.
func (s *System) processDue(now int64, j *job) {
	if j.abandonedAt != 0 && now-j.abandonedAt >= int64(AbandonGrace) {
		s.cancelJob(now, j)
	}
	switch {
	case j.stage == done:
	case now >= j.deadline:
		s.expire(now, j)
	case j.stage == claiming && now-j.started >= min(int64(ClaimTimeout), (j.deadline-j.started)/2):
		s.failClaim(now, j, request.KeyUndecided)
	case j.stage == claiming && now-j.claimsSent >= int64(ClaimInterval):
		s.sendClaims(now, j)
		s.evaluateClaim(now, j)
	case j.stage == choosing && now >= j.retryAt:
		s.dispatch(now, j)
	}
	if j.stage != done {
		s.expireWaiters(now, j)
	}
}

// expire ends a job whose deadline has passed.
func (s *System) expire(now int64, j *job) {
	switch j.stage {
	case choosing:
		s.finish(now, j, s.refusedOrUnknown(j, request.DeadlinePassed))
	case admitting:
		s.cancelAttempt(j)
		j.target.ownAttempts--
		s.finish(now, j, request.UnknownResult(request.DeadlinePassed))
	case claiming:
		s.failClaim(now, j, request.DeadlinePassed)
	default:
		s.finish(now, j, request.UnknownResult(request.DeadlinePassed))
	}
}

// expireWaiters answers the copies whose own deadline has passed. It may be earlier
// than the deadline of the job.
func (s *System) expireWaiters(now int64, j *job) {
	j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		delete(s.byWaiter, w.id)
		s.answer(w.id, request.UnknownResult(request.DeadlinePassed))
		return true
	})
}
