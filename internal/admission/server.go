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

// creditCap bounds the slot time that a climbing server saves up while idle.
const creditCap = 20 * time.Millisecond

type state uint8

const (
	waiting state = iota + 1
	running
	over
)

type attempt struct {
	Attempt
	state   state
	waiters []uint64
	outcome Outcome
	replied bool
	started int64
	// until is when the backend server must have ended the run.
	until     int64
	cancelled bool
	slow      bool
}

// promise is what a member of the pair has granted to this instance.
type promise struct {
	id    fleet.ID
	until int64
	// sure is until when it counts as one that knows all earlier promises.
	sure int64
	// pair is the digest of the pair that the member agreed to.
	pair uint64
}

type server struct {
	Server
	name uint64
	pair pair.Pair
	// digest is the pair's.
	digest uint64
	// chosen is set if this instance ranks first, first if it also may admit.
	chosen, first bool
	// lost is when another instance came to rank first.
	lost     int64
	promises [pair.Size]promise
	// since is when the lease was first asked for, asked when last; zero is never.
	since, asked int64
	// changed is when the pair last changed while the lease was asked for.
	changed int64
	// leased is set once the lease was had since it was first asked for.
	leased  bool
	guard   coldstart.Guard
	running []*attempt
	queue   []*attempt
	// mean and dev follow the time of a run and its deviation, in nanoseconds
	// (Jacobson, 1988).
	mean, dev float64
	// credit is the slot time that may be used while the share is below 1.
	credit   float64
	creditAt int64
	cold     int64
	// drained is when the server began to drain.
	drained int64
}

// held reports whether both of the pair have granted the server, and at least one
// of them knows of all earlier promises.
func (s *server) held(now int64) bool {
	ids := s.pair.IDs()
	sure := false
	for _, id := range ids {
		p := s.promise(id)
		if p == nil || p.until <= now || p.pair != s.digest {
			return false
		}
		sure = sure || p.sure > now
	}
	return sure && len(ids) > 0
}

func (s *server) promise(id fleet.ID) *promise {
	for i := range s.promises {
		if s.promises[i].id == id {
			return &s.promises[i]
		}
	}
	return nil
}

func (s *server) setPromise(next promise) {
	p := s.promise(next.id)
	if p == nil {
		p = &s.promises[0]
		if s.promises[1].until < p.until {
			p = &s.promises[1]
		}
	}
	if p.id == next.id && p.pair == next.pair {
		next.until, next.sure = max(next.until, p.until), max(next.sure, p.sure)
	}
	*p = next
}

// takes reports whether new requests may wait for the server.
func (s *server) takes(now int64) bool {
	if s.State != config.Active || s.Condition == flow.Down {
		return false
	}
	if !s.first {
		return now-s.lost < int64(Overlap) && s.held(now)
	}
	return s.held(now) || s.pending(now)
}

// pending reports whether the lease may still be handed over by a predecessor, or
// the new member of the pair has yet to grant it.
func (s *server) pending(now int64) bool {
	if s.leased && s.changed == 0 {
		return false
	}
	return s.first && now-max(s.since, s.changed) < int64(HandOver) && !s.held(now)
}

// runs reports whether requests may be sent to the server. Those that wait for one
// that drains are sent for a short while yet.
func (s *server) runs(now int64) bool {
	if s.State == config.Draining && now-s.drained > int64(DrainQueue) {
		return false
	}
	return s.State != config.Gone && s.Condition != flow.Down && s.held(now)
}

// limit is how many slots may be used on average.
func (s *server) limit(now int64) float64 {
	if !s.runs(now) {
		return 0
	}
	return s.guard.Share(now) * float64(s.Slots)
}

func (s *server) load(now int64) Load {
	l := Load{Used: len(s.running) + len(s.queue)}
	if s.takes(now) {
		l.Limit = s.limit(now)
	}
	return l
}

// settle brings the credit up to now.
func (s *server) settle(now int64) {
	most := float64(creditCap) * float64(s.Slots)
	gained := (s.guard.Share(now)*float64(s.Slots) - float64(len(s.running))) * float64(now-s.creditAt)
	s.credit = min(s.credit+gained, most)
	s.creditAt = now
}

// free reports whether one more request may be sent now.
func (s *server) free(now int64) bool {
	limit := s.limit(now)
	if limit <= 0 || len(s.running) >= s.Slots {
		return false
	}
	if limit >= float64(s.Slots) {
		return true
	}
	s.settle(now)
	return len(s.running) < int(math.Ceil(limit)) && s.credit >= 0
}

// expected is the longest time a run is likely to take.
func (s *server) expected() time.Duration {
	return time.Duration(s.mean + 2*s.dev)
}

// wait estimates how long a request that comes now waits for a slot.
func (s *server) wait(now int64) time.Duration {
	if s.free(now) && len(s.queue) == 0 {
		return 0
	}
	return time.Duration(s.mean * float64(len(s.queue)+1) / max(s.limit(now), 0.01))
}

func (s *server) learn(took time.Duration) {
	if s.mean == 0 {
		s.mean, s.dev = float64(took), float64(took)/4
		return
	}
	off := float64(took) - s.mean
	s.mean += off / 16
	s.dev += (math.Abs(off) - s.dev) / 8
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i, x := range list {
		if x == a {
			copy(list[i:], list[i+1:])
			list[len(list)-1] = nil
			return list[:len(list)-1]
		}
	}
	return list
}
