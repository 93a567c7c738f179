package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

var timing = Timing{Settle: time.Second, GrantDuration: time.Second, RenewInterval: 300 * time.Millisecond, MaxRun: 2 * time.Second, Margin: 100 * time.Millisecond}

const (
	ms    = int64(time.Millisecond)
	start = int64(1000) * int64(time.Second)
	// completeAt is when an instance that starts at start knows all earlier grants.
	completeAt = start + 4200*ms
)

var a, b = pair.Holder{ID: "a", Incarnation: 1}, pair.Holder{ID: "b", Incarnation: 1}

// TestExclusiveGrants checks that a member never grants a server to a second holder
// while requests of the first may still run there.
func TestExclusiveGrants(t *testing.T) {
	is := is.New(t)
	g := NewGrants(timing)
	is.True(g.HandleGrantRequest(completeAt, a, 1, completeAt))
	is.True(!g.HandleGrantRequest(completeAt, b, 1, completeAt))
	is.True(g.HandleGrantRequest(completeAt, b, 2, completeAt))
	last := completeAt + 100*ms
	is.True(g.HandleGrantRequest(last, a, 1, last))
	end := last + int64(timing.GrantDuration+timing.MaxRun+2*timing.Margin)
	is.True(!g.HandleGrantRequest(end-1, b, 1, end)) // a request admitted by a may still run
	is.True(!g.HandleGrantRequest(end-1, pair.Holder{ID: "a", Incarnation: 2}, 1, end))
	is.True(g.HandleGrantRequest(end, b, 1, end))
	g.Release(b, 1, end-1) // overtaken by the newer request
	is.True(!g.HandleGrantRequest(end+1, a, 1, end))
	g.Release(a, 1, end+1) // not the holder
	is.True(!g.HandleGrantRequest(end+1, a, 1, end))
	g.Release(b, 1, end+1)
	is.True(g.HandleGrantRequest(end+2, a, 1, end+2))
}

// TestGrantCoverage checks that an instance claims to know all earlier grants only
// after it has been a member of the pair, in contact with every instance, for as long
// as grants last; and that a lease is held only if both members have granted it and
// one of them knows all earlier grants.
func TestGrantCoverage(t *testing.T) {
	is := is.New(t)
	members := pair.New(pair.Timing{UnreachableRetention: time.Hour})
	s := New(start, a, timing, members)
	now := start
	update := func(b, c fleet.State) {
		v := &fleet.View{}
		for id, state := range map[fleet.ID]fleet.State{"a": fleet.Alive, "b": b, "c": c} {
			if state != 0 {
				v.Instances = append(v.Instances, fleet.Instance{ID: id, DataCentre: "d", Region: "r", State: state})
			}
		}
		members.Update(now, v)
		s.SetServers(now, []Server{row(1), row(2), row(3), row(4)})
	}
	covers := func(n config.Number) (in, complete bool) { return s.grantCoverage.covers(now, n) }
	update(fleet.Alive, 0)
	now = completeAt - 1
	requestGrant := func(n config.Number) []Grant {
		p := members.Pair(ServerKey(n), "d", "r", now)
		return s.HandleGrantRequest(now, GrantRequest{Holder: b, DataCentre: "d", Region: "r", Servers: []config.Number{n}, PairDigests: []uint64{p.Digest()}, SentAt: now})
	}
	is.True(requestGrant(1)[0] == Grant{Server: 1}) // an earlier run may have granted it
	now = completeAt
	_, complete := covers(1)
	is.True(complete)
	update(fleet.Dead, 0) // what was complete stays so without contact
	_, complete = covers(1)
	is.True(complete)
	// A run that starts while another instance is silent is not complete until that one
	// is back in contact.
	s = New(now, a, timing, members)
	update(fleet.Dead, 0)
	now += int64(time.Minute)
	_, complete = covers(1)
	is.True(!complete && s.AwaitingContact())
	update(fleet.Alive, 0)
	now += completeAt - start - 1
	_, complete = covers(1)
	is.True(!complete && !s.AwaitingContact())
	now++
	_, complete = covers(1)
	is.True(complete)
	// A third instance replaces a in some pairs.
	update(fleet.Alive, fleet.Alive)
	out := 0
	for n := config.Number(1); n <= 4; n++ {
		p := members.Pair(ServerKey(n), "d", "r", now)
		in, _ := covers(n)
		is.Equal(in, p.Has(a.ID))
		if !in {
			out++
			is.Equal(len(requestGrant(n)), 0)
		}
	}
	is.True(out > 0)
	update(fleet.Alive, fleet.Leaving)
	for n := config.Number(1); n <= 4; n++ {
		in, complete := covers(n)
		is.True(in)
		out -= map[bool]int{false: 1}[complete] // pairs that a has just joined
	}
	is.Equal(out, 0)

	sv := &server{pair: members.Pair(1, "d", "r", now), pairDigest: 7}
	sv.setReceived(receivedGrant{id: "a", until: now + 1, pair: 7})
	is.True(!sv.leaseHeld(now))
	sv.setReceived(receivedGrant{id: "b", until: now + 1, pair: 7})
	is.True(!sv.leaseHeld(now)) // neither knows all earlier grants
	sv.setReceived(receivedGrant{id: "b", until: now + 1, complete: now + 1, pair: 6})
	is.True(!sv.leaseHeld(now)) // granted for another pair
	sv.setReceived(receivedGrant{id: "b", until: now + 1, complete: now + 1, pair: 7})
	is.True(sv.leaseHeld(now))
	is.True(!sv.leaseHeld(now + 1))
}

// testSystem is the system of the only instance of a data centre.
type testSystem struct {
	*System
	now        int64
	seq        uint64
	outcomes   map[uint64]Outcome
	dispatched []AttemptID
}

func newTestSystem(rows ...Server) *testSystem {
	members := pair.New(pair.Timing{})
	members.Update(start, &fleet.View{Instances: []fleet.Instance{{ID: "a", DataCentre: "d", Region: "r", State: fleet.Alive}}})
	ts := &testSystem{System: New(start, a, timing, members), now: completeAt, outcomes: make(map[uint64]Outcome)}
	ts.SetServers(start, nil)
	ts.SetServers(ts.now, rows)
	first := ts.limit(1)
	for range 20 {
		ts.now += 100 * ms
		ts.Tick(ts.now)
	}
	if first >= ts.limit(1) {
		panic("a new admitting instance does not start with a ramp")
	}
	return ts
}

func row(n int) Server {
	return Server{
		Number: config.Number(n), Service: fmt.Sprint("s", n), DataCentre: "d", Region: "r", Slots: 3,
		Ramp: config.Ramp{Start: 0.1, Duration: 4 * time.Second}, State: config.Active,
	}
}

func (ts *testSystem) limit(n config.Number) float64 { return ts.servers[n].limit(ts.now) }

// admit sends an attempt and returns its waiter.
func (ts *testSystem) admit(server int, left time.Duration) uint64 {
	ts.seq++
	id := AttemptID{Owner: pair.Holder{ID: "o"}, Seq: ts.seq}
	ts.Admit(ts.now, ts.seq, Attempt{ID: id, Server: config.Number(server), Sent: ts.now, Deadline: ts.now + int64(left), Request: &request.Request{}})
	ts.collectEffects()
	return ts.seq
}

// collectEffects records dispatched attempts and replies.
func (ts *testSystem) collectEffects() {
	for _, e := range ts.Effects() {
		switch e.Kind {
		case Dispatch:
			ts.dispatched = append(ts.dispatched, e.Attempt.ID)
		case Reply:
			ts.outcomes[e.Waiter] = e.Outcome
		}
	}
}

// finish answers the oldest dispatched attempt after the time that its run took.
func (ts *testSystem) finish(took time.Duration) {
	ts.now += int64(took)
	id := ts.dispatched[0]
	ts.dispatched = ts.dispatched[1:]
	ts.Done(ts.now, id, Run{Result: request.Result{Status: request.Answered, Value: []byte("1")}, Ended: true})
	ts.collectEffects()
}

// TestQueues checks that attempts are refused at once if all slots and the queue of a
// server are full, or if they would wait past their deadline.
func TestQueues(t *testing.T) {
	is := is.New(t)
	ts := newTestSystem(row(1))
	for range 3 {
		ts.admit(1, time.Second)
	}
	is.Equal(len(ts.dispatched), 3)
	for range 3 * QueuePerSlot {
		ts.admit(1, time.Second)
	}
	is.Equal(len(ts.dispatched), 3)
	is.Equal(ts.outcomes[ts.admit(1, time.Second)].Result, request.RefusedResult(request.Overloaded))
	ts.finish(100 * time.Millisecond)
	is.Equal(len(ts.dispatched), 3)
	is.Equal(ts.outcomes[1].Result.Status, request.Answered)
	// With eleven attempts waiting and runs of about 100 ms, 250 ms are not enough.
	is.Equal(ts.outcomes[ts.admit(1, 250*time.Millisecond)].Result, request.RefusedResult(request.Overloaded))
	ts.now += int64(2 * time.Second)
	ts.Tick(ts.now)
	ts.collectEffects()
	for w := uint64(2); w <= 15; w++ {
		is.True(ts.outcomes[w].Result.Status != "") // everything has been answered
	}
	is.Equal(ts.totalQueued, 0)
	is.Equal(len(ts.queuedByService), 0)
	ts.now += int64(3 * time.Second)
	ts.Tick(ts.now)
	is.Equal(len(ts.attempts), 0)
}

// TestAttemptOnce checks that copies of an attempt never run it twice: copies that
// arrive while it runs, after its end, after a cancellation that came first, and after
// a restart of the instance.
func TestAttemptOnce(t *testing.T) {
	is := is.New(t)
	ts := newTestSystem(row(1))
	w := ts.admit(1, time.Second)
	at := Attempt{ID: AttemptID{Owner: pair.Holder{ID: "o"}, Seq: w}, Server: 1, Sent: ts.now, Deadline: ts.now + int64(time.Second)}
	ts.Admit(ts.now, 101, at)
	ts.collectEffects()
	is.Equal(len(ts.dispatched), 1)
	ts.finish(time.Millisecond)
	is.Equal(ts.outcomes[101].Result.Status, request.Answered)
	ts.Admit(ts.now, 102, at)
	ts.collectEffects()
	is.Equal(ts.outcomes[102].Result.Status, request.Unknown)
	other := at
	other.ID.Seq = 900
	ts.Cancel(ts.now, other.ID)
	ts.Admit(ts.now, 103, other)
	ts.collectEffects()
	is.Equal(ts.outcomes[103].Result, request.RefusedResult(request.Cancelled))
	other.ID.Seq, other.Sent = 901, start
	ts.Admit(ts.now, 104, other)
	ts.collectEffects()
	is.Equal(ts.outcomes[104].Result.Status, request.Unknown)
	other.ID.Seq, other.AdmitterIncarnation = 902, a.Incarnation // sent to this run, so that no earlier run can have dispatched it
	other.Deadline = start + 1
	ts.Admit(ts.now, 105, other)
	ts.collectEffects()
	is.Equal(ts.outcomes[105].Result.Status, request.Refused)
	is.Equal(len(ts.dispatched), 0)
}

// TestFairness checks that a service that fills the queues up to its share leaves room
// for another service.
func TestFairness(t *testing.T) {
	is := is.New(t)
	var rows []Server
	for i := range 400 {
		r := row(i + 1)
		r.Service = "greedy"
		rows = append(rows, r)
	}
	rows = append(rows, row(401))
	ts := newTestSystem(rows...)
	refused := 0
	for i := range 400 * 3 * (QueuePerSlot + 1) {
		if ts.outcomes[ts.admit(i%400+1, time.Second)].Result.Status == request.Refused {
			refused++
		}
	}
	is.True(refused > 0)
	for range 3 * (QueuePerSlot + 1) {
		w := ts.admit(401, time.Second)
		is.Equal(ts.outcomes[w].Result.Status, request.Status(""))
	}
	is.True(ts.totalQueued <= MaxWaiting)
}

// TestConditions checks that draining, removed and failed servers get no new requests.
func TestConditions(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(r *Server){
		"draining": func(r *Server) { r.State = config.Draining },
		"gone":     func(r *Server) { r.State = config.Gone },
		"down":     func(r *Server) { r.Condition = flow.Down },
	} {
		ts := newTestSystem(row(1))
		for range 4 {
			ts.admit(1, time.Second)
		}
		r := row(1)
		change(&r)
		ts.SetServers(ts.now, []Server{r})
		ts.collectEffects()
		is.Equal(ts.outcomes[ts.admit(1, time.Second)].Result, request.RefusedResult(request.NoServer))
		ts.finish(time.Millisecond)
		// Requests that were queued before still run on a draining server only.
		is.Equal(len(ts.dispatched) == 3, name == "draining")
		is.Equal(ts.outcomes[4].Result.Status == "", name == "draining")
	}
}

// TestBoundGrantMessages bounds the lease messages per instance at the planned size of
// a data centre, and checks that their number grows with the shards in use and not with
// the number of backend servers.
func TestBoundGrantMessages(t *testing.T) {
	is := is.New(t)
	v := &fleet.View{}
	for i := range 58 {
		v.Instances = append(v.Instances, fleet.Instance{ID: fleet.ID(fmt.Sprint("i", i)), DataCentre: "d", Region: "r", State: fleet.Alive})
	}
	members := pair.New(pair.Timing{})
	members.Update(start, v)
	withDefaults := timing
	withDefaults.GrantDuration, withDefaults.RenewInterval = 2*time.Second, 700*time.Millisecond // the defaults
	sent := func(servers int) (first, requests, named int) {
		var rows []Server
		for i := range servers {
			rows = append(rows, row(i+1))
		}
		for _, in := range v.Instances {
			s := New(start, pair.Holder{ID: in.ID}, withDefaults, members)
			s.SetServers(start, rows)
			for tick := range int64(100) {
				s.Tick(start + tick*10*ms)
			}
			first += len(s.Effects())
			for tick := range int64(2100) {
				s.Tick(start + int64(LeaseWait) + tick*10*ms)
			}
			for _, e := range s.Effects() {
				if e.Kind == RequestGrant {
					requests++
					named += len(e.Grant.Servers)
				}
			}
		}
		return first, requests, named
	}
	first, few, _ := sent(471)
	_, many, named := sent(4 * 471)
	perSecond := float64(few) / 58 / 21
	t.Logf("%.1f messages a second and instance for 471 backend servers, %.1f for 1884, which name %.1f; %.1f in the first second", perSecond, float64(many)/58/21, float64(named)/float64(many), float64(first)/58)
	is.True(perSecond <= 8)
	is.True(many <= few*5/4)
	is.True(first <= 100*58)
}

// TestStaleGrant checks that grants are ignored that answer a request from before the
// lease was given up, or that are for another pair.
func TestStaleGrant(t *testing.T) {
	is := is.New(t)
	view := func(others fleet.State) *fleet.View {
		v := &fleet.View{}
		for _, id := range []fleet.ID{"a", "b", "c"} {
			v.Instances = append(v.Instances, fleet.Instance{ID: id, DataCentre: "d", Region: "r", State: others})
		}
		v.Instances[0].State = fleet.Alive
		return v
	}
	members := pair.New(pair.Timing{UnreachableRetention: time.Hour})
	members.Update(start, view(fleet.Alive))
	n := config.Number(1)
	for p := members.Pair(ServerKey(n), "d", "r", start); p.IDs()[0] == a.ID || !p.Has("a") || !p.Has("b"); p = members.Pair(ServerKey(n), "d", "r", start) {
		n++
	}
	rows := []Server{row(int(n))}
	now := completeAt
	s := New(start, a, timing, members)
	s.SetServers(start, rows)
	update := func(others fleet.State) {
		members.Update(now, view(others))
		s.SetServers(now, rows)
	}
	update(fleet.Dead)
	asked := s.Effects()[0].Grant
	allGranted := func() (all []Grant) {
		for _, n := range asked.Servers {
			all = append(all, Grant{Server: n})
		}
		return all
	}
	s.HandleGrants(now, "b", asked, allGranted())
	is.True(s.servers[n].leaseHeld(now))
	update(fleet.Alive)
	now += int64(HandoverOverlap)
	s.Tick(now)
	is.Equal(s.servers[n], nil) // given up
	update(fleet.Dead)
	s.HandleGrants(now, "b", asked, allGranted())
	is.True(!s.servers[n].leaseHeld(now))
	asked.SentAt = now
	s.HandleGrants(now, "b", asked, allGranted())
	is.True(s.servers[n].leaseHeld(now))
	asked.PairDigests = []uint64{1} // another pair
	s.HandleGrants(now, "b", asked, allGranted())
	is.True(!s.servers[n].leaseHeld(now))
	is.Equal(len(s.HandleGrantRequest(now, asked)), 0)
}

// TestForeignMembershipEnds lets an instance serve a backend server of a data centre
// without instances, then another instance take its place in the pair, and then the
// first return: it knows all earlier grants only once it has been of the pair again for
// as long as grants last.
func TestForeignMembershipEnds(t *testing.T) {
	is := is.New(t)
	members := pair.New(pair.Timing{UnreachableRetention: time.Hour})
	s := New(start, a, timing, members)
	now := start
	update := func(local fleet.State) {
		v := &fleet.View{Self: "a", Instances: []fleet.Instance{{ID: "a", DataCentre: "d", Region: "r", State: fleet.Alive}}}
		if local != 0 {
			v.Instances = append(v.Instances, fleet.Instance{ID: "z", DataCentre: "e", Region: "r", State: local})
		}
		members.Update(now, v)
		s.SetServers(now, nil)
	}
	request := func() []Grant {
		p := members.Pair(ServerKey(1), "e", "r", now)
		return s.HandleGrantRequest(now, GrantRequest{Holder: b, DataCentre: "e", Region: "r", Servers: []config.Number{1}, PairDigests: []uint64{p.Digest()}, SentAt: now})
	}
	update(0)
	is.Equal(request(), []Grant{{Server: 1}})
	now += int64(time.Minute)
	is.Equal(request(), []Grant{{Server: 1, Complete: true}})
	update(fleet.Alive)
	is.Equal(len(request()), 0) // the instance of the server's data centre grants it now
	now += int64(time.Minute)
	update(fleet.Leaving)
	is.Equal(request(), []Grant{{Server: 1}})
	now += int64(time.Minute)
	is.Equal(request(), []Grant{{Server: 1, Complete: true}})
}

// TestDeadlineTooFarAhead sends an attempt whose deadline is further away than a run may
// last, as a clock that is ahead does: the reason is not that the deadline has passed.
func TestDeadlineTooFarAhead(t *testing.T) {
	is := is.New(t)
	ts := newTestSystem(row(1))
	is.Equal(ts.outcomes[ts.admit(1, timing.MaxRun+timing.Margin+time.Second)].Result, request.RefusedResult(request.Invalid))
	is.Equal(ts.outcomes[ts.admit(1, -time.Second)].Result, request.RefusedResult(request.DeadlinePassed))
}
