package admission

import (
	"math"
	"time"

	"balsamfork/internal/coldstart"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
)

// maxIdleCredit bounds the slot time per slot that a server on a ramp accumulates while
// idle.
const maxIdleCredit = 20 * time.Millisecond

// state is the state of an attempt.
type state uint8

const (
	waiting state = iota + 1
	running
	ended
)

// attempt is an Attempt as recorded by the admitting instance.
type attempt struct {
	Attempt
	state     state
	waiters   []uint64
	outcome   Outcome
	replied   bool
	startedAt int64
	// runDeadline is when the backend server must have ended the run, in nanoseconds.
	runDeadline int64
	cancelled   bool
	slow        bool
}

// receivedGrant is what a member of the pair has granted to this instance.
type receivedGrant struct {
	id    fleet.ID
	until int64
	// complete is until when the grant counts as given by a member that knows all
	// earlier grants.
	complete int64
	// pair is the digest of the pair that the member agreed to.
	pair uint64
}

// server is the state of a backend server that this instance admits requests to, or did
// until recently.
type server struct {
	Server
	// key is the ServerKey of Number.
	key  uint64
	pair pair.Pair
	// pairDigest is the digest of pair.
	pairDigest uint64
	// ranksFirst is set if this instance ranks first for the server; wanted is set if it
	// should therefore hold the lease: it is not leaving, and the server is not gone.
	ranksFirst, wanted bool
	// unwantedSince is when wanted was last cleared, as a rule because another instance
	// came to rank first.
	unwantedSince int64
	received      [pair.Size]receivedGrant
	// firstRequested and lastRequested are when the lease was first and last requested
	// since it was last given up, in nanoseconds; lastRequested is zero if it has not
	// been requested since.
	firstRequested, lastRequested int64
	// pairChanged is when the pair last changed while the lease was requested.
	pairChanged int64
	// hadLease is set once the lease has been held since it was first requested.
	hadLease bool
	limiter  coldstart.Limiter
	running  []*attempt
	queue    []*attempt
	// meanRunTime and runTimeDev are moving averages of the time of a run and of its
	// deviation, in nanoseconds (Jacobson, 1988).
	meanRunTime, runTimeDev float64
	// credit is the slot time that may be used while the ramp limits the server to a
	// share below 1, in nanoseconds.
	credit   float64
	creditAt int64
	// lastColdSince is the newest ColdSince that has restarted the ramp.
	lastColdSince int64
	// drainingSince is when the server began to drain, in nanoseconds.
	drainingSince int64
}

// leaseHeld reports whether every member of the pair has granted the server, and at
// least one of them knows all earlier grants.
func (s *server) leaseHeld(now int64) bool {
	ids := s.pair.IDs()
	complete := false
	for _, id := range ids {
		g := s.receivedGrant(id)
		if g == nil || g.until <= now || g.pair != s.pairDigest {
			return false
		}
		complete = complete || g.complete > now
	}
	return complete && len(ids) > 0
}

// receivedGrant returns the newest grant by a member, or nil.
func (s *server) receivedGrant(id fleet.ID) *receivedGrant {
	for i := range s.received {
		if s.received[i].id == id {
			return &s.received[i]
		}
	}
	return nil
}

// setReceived records a grant in place of the previous one by the same member, or else
// of the one that expires first.
func (s *server) setReceived(next receivedGrant) {
	g := s.receivedGrant(next.id)
	if g == nil {
		g = &s.received[0]
		if s.received[1].until < g.until {
			g = &s.received[1]
		}
	}
	if g.id == next.id && g.pair == next.pair {
		next.until, next.complete = max(next.until, g.until), max(next.complete, g.complete)
	}
	*g = next
}

// acceptsRequests reports whether new requests may be queued for the server.
func (s *server) acceptsRequests(now int64) bool {
	if s.State != config.Active || s.Condition == flow.Down {
		return false
	}
	if !s.wanted {
		return now-s.unwantedSince < int64(HandoverOverlap) && s.leaseHeld(now)
	}
	return s.leaseHeld(now) || s.leasePending(now)
}

// leasePending reports whether the lease is still expected: a predecessor has yet to
// give it up, or a new member of the pair has yet to grant it.
func (s *server) leasePending(now int64) bool {
	if s.hadLease && s.pairChanged == 0 {
		return false
	}
	return s.wanted && now-max(s.firstRequested, s.pairChanged) < int64(LeaseWait) && !s.leaseHeld(now)
}

// mayDispatch reports whether requests may be sent to the server. Requests queued for a
// draining server are still sent for DrainQueueTime.
func (s *server) mayDispatch(now int64) bool {
	if s.State == config.Draining && now-s.drainingSince > int64(DrainQueueTime) {
		return false
	}
	return s.State != config.Gone && s.Condition != flow.Down && s.leaseHeld(now)
}

// limit returns how many slots may be used on average.
func (s *server) limit(now int64) float64 {
	if !s.mayDispatch(now) {
		return 0
	}
	return s.limiter.Share(now) * float64(s.Slots)
}

// load returns the load to report with an outcome.
func (s *server) load(now int64) Load {
	l := Load{Used: len(s.running) + len(s.queue)}
	if s.acceptsRequests(now) {
		l.Limit = s.limit(now)
	}
	return l
}

// updateCredit adds the credit gained up to now, or subtracts the credit used.
func (s *server) updateCredit(now int64) {
	maxCredit := float64(maxIdleCredit) * float64(s.Slots)
	gained := (s.limiter.Share(now)*float64(s.Slots) - float64(len(s.running))) * float64(now-s.creditAt)
	s.credit = min(s.credit+gained, maxCredit)
	s.creditAt = now
}

// hasFreeSlot reports whether one more request may be sent now.
func (s *server) hasFreeSlot(now int64) bool {
	limit := s.limit(now)
	if limit <= 0 || len(s.running) >= s.Slots {
		return false
	}
	if limit >= float64(s.Slots) {
		return true
	}
	s.updateCredit(now)
	return len(s.running) < int(math.Ceil(limit)) && s.credit >= 0
}

// expectedRunTime returns the time within which a run is likely to end: the mean plus
// twice the deviation.
func (s *server) expectedRunTime() time.Duration {
	return time.Duration(s.meanRunTime + 2*s.runTimeDev)
}

// expectedWait estimates how long a request that arrives now waits for a slot.
func (s *server) expectedWait(now int64) time.Duration {
	if s.hasFreeSlot(now) && len(s.queue) == 0 {
		return 0
	}
	return time.Duration(s.meanRunTime * float64(len(s.queue)+1) / max(s.limit(now), 0.01))
}

// recordRunTime updates mean and deviation with the time of one run.
func (s *server) recordRunTime(took time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime, s.runTimeDev = float64(took), float64(took)/4
		return
	}
	deviation := float64(took) - s.meanRunTime
	s.meanRunTime += deviation / 16
	s.runTimeDev += (math.Abs(deviation) - s.runTimeDev) / 8
}

func removeAttempt(list []*attempt, a *attempt) []*attempt {
	for i, x := range list {
		if x == a {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}
