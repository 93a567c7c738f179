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

var timing = Timing{Settle: time.Second, Hold: time.Second, Renew: 300 * time.Millisecond, MaxRun: 2 * time.Second, Margin: 100 * time.Millisecond}

const (
	ms    = int64(time.Millisecond)
	start = int64(1000) * int64(time.Second)
	// granting is when an instance that starts at start knows of all promises.
	granting = start + 4200*ms
)

var a, b = pair.Holder{ID: "a", Incarnation: 1}, pair.Holder{ID: "b", Incarnation: 1}

// TestGrants goes through what a member must not promise.
func TestGrants(t *testing.T) {
	is := is.New(t)
	g := NewGrants(timing)
	is.True(g.Ask(granting, a, 1, granting))
	is.True(!g.Ask(granting, b, 1, granting))
	is.True(g.Ask(granting, b, 2, granting))
	last := granting + 100*ms
	is.True(g.Ask(last, a, 1, last))
	end := last + int64(timing.Hold+timing.MaxRun+2*timing.Margin)
	is.True(!g.Ask(end-1, b, 1, end)) // a request of a may still run
	is.True(!g.Ask(end-1, pair.Holder{ID: "a", Incarnation: 2}, 1, end))
	is.True(g.Ask(end, b, 1, end))
	g.Release(b, 1, end-1) // overtaken by the ask
	is.True(!g.Ask(end+1, a, 1, end))
	g.Release(a, 1, end+1) // not the holder
	is.True(!g.Ask(end+1, a, 1, end))
	g.Release(b, 1, end+1)
	is.True(g.Ask(end+2, a, 1, end+2))
}

// TestKnowledge holds an instance for one that knows of all promises only once it has
// been of the pair, with everybody in contact, for as long as promises last; and the
// lease for held only if both have granted it and one of them knows.
func TestKnowledge(t *testing.T) {
	is := is.New(t)
	members := pair.New(pair.Timing{SilentMemory: time.Hour})
	s := New(start, a, timing, members)
	now := start
	look := func(b, c fleet.State) {
		v := &fleet.View{}
		for id, state := range map[fleet.ID]fleet.State{"a": fleet.Alive, "b": b, "c": c} {
			if state != 0 {
				v.Instances = append(v.Instances, fleet.Instance{ID: id, DataCentre: "d", Region: "r", State: state})
			}
		}
		members.Update(now, v)
		s.SetServers(now, []Server{row(1), row(2), row(3), row(4)})
	}
	of := func(n config.Number) (in, sure bool) { return s.knowledge.of(now, n) }
	look(fleet.Alive, 0)
	now = granting - 1
	ask := func(n config.Number) []Grant {
		p := members.Pair(ServerName(n), "d", "r", now)
		return s.Ask(now, GrantRequest{Holder: b, DataCentre: "d", Region: "r", Servers: []config.Number{n}, Pairs: []uint64{p.Digest()}, SentAt: now})
	}
	is.True(ask(1)[0] == Grant{Server: 1}) // an earlier run may have promised
	now = granting
	_, sure := of(1)
	is.True(sure)
	look(fleet.Dead, 0) // one that knows goes on knowing
	_, sure = of(1)
	is.True(sure)
	// A run that starts now, with one silent, does not know before that one is back.
	s = New(now, a, timing, members)
	look(fleet.Dead, 0)
	now += int64(time.Minute)
	_, sure = of(1)
	is.True(!sure && s.Alone())
	look(fleet.Alive, 0)
	now += granting - start - 1
	_, sure = of(1)
	is.True(!sure && !s.Alone())
	now++
	_, sure = of(1)
	is.True(sure)
	// A third one pushes a out of some pairs.
	look(fleet.Alive, fleet.Alive)
	out := 0
	for n := config.Number(1); n <= 4; n++ {
		p := members.Pair(ServerName(n), "d", "r", now)
		in, _ := of(n)
		is.Equal(in, p.Has(a.ID))
		if !in {
			out++
			is.Equal(len(ask(n)), 0)
		}
	}
	is.True(out > 0)
	look(fleet.Alive, fleet.Leaving)
	for n := config.Number(1); n <= 4; n++ {
		in, sure := of(n)
		is.True(in)
		out -= map[bool]int{false: 1}[sure] // those that a is new to
	}
	is.Equal(out, 0)

	sv := &server{pair: members.Pair(1, "d", "r", now), digest: 7}
	sv.setPromise(promise{id: "a", until: now + 1, pair: 7})
	is.True(!sv.held(now))
	sv.setPromise(promise{id: "b", until: now + 1, pair: 7})
	is.True(!sv.held(now)) // nobody knows
	sv.setPromise(promise{id: "b", until: now + 1, sure: now + 1, pair: 6})
	is.True(!sv.held(now)) // of another pair
	sv.setPromise(promise{id: "b", until: now + 1, sure: now + 1, pair: 7})
	is.True(sv.held(now))
	is.True(!sv.held(now + 1))
}

// bench is a system that is alone in its data centre.
type bench struct {
	*System
	now int64
	seq uint64
	got map[uint64]Outcome
	run []AttemptID
}

func newBench(rows ...Server) *bench {
	members := pair.New(pair.Timing{})
	members.Update(start, &fleet.View{Instances: []fleet.Instance{{ID: "a", DataCentre: "d", Region: "r", State: fleet.Alive}}})
	bn := &bench{System: New(start, a, timing, members), now: granting, got: make(map[uint64]Outcome)}
	bn.SetServers(start, nil)
	bn.SetServers(bn.now, rows)
	first := bn.limit(1)
	for range 20 {
		bn.now += 100 * ms
		bn.Tick(bn.now)
	}
	if first >= bn.limit(1) {
		panic("a new admitting instance does not climb")
	}
	return bn
}

func row(n int) Server {
	return Server{
		Number: config.Number(n), Service: fmt.Sprint("s", n), DataCentre: "d", Region: "r", Slots: 3,
		Ramp: config.Ramp{Start: 0.1, Duration: 4 * time.Second}, State: config.Active,
	}
}

func (b *bench) limit(n config.Number) float64 { return b.servers[n].limit(b.now) }

// admit sends an attempt and returns its waiter.
func (b *bench) admit(server int, left time.Duration) uint64 {
	b.seq++
	id := AttemptID{Owner: pair.Holder{ID: "o"}, Seq: b.seq}
	b.Admit(b.now, b.seq, Attempt{ID: id, Server: config.Number(server), Sent: b.now, Deadline: b.now + int64(left), Request: &request.Request{}})
	b.drain()
	return b.seq
}

func (b *bench) drain() {
	for _, e := range b.Effects() {
		switch e.Kind {
		case Dispatch:
			b.run = append(b.run, e.Attempt.ID)
		case Reply:
			b.got[e.Waiter] = e.Outcome
		}
	}
}

func (b *bench) finish(took time.Duration) {
	b.now += int64(took)
	id := b.run[0]
	b.run = b.run[1:]
	b.Done(b.now, id, Run{Result: request.Result{Status: request.Answered, Value: []byte("1")}, Ended: true})
	b.drain()
}

// TestQueues fills the slots and the queue of a server: the rest is refused at
// once, and so is what cannot make its deadline.
func TestQueues(t *testing.T) {
	is := is.New(t)
	b := newBench(row(1))
	for range 3 {
		b.admit(1, time.Second)
	}
	is.Equal(len(b.run), 3)
	for range 3 * QueuePerSlot {
		b.admit(1, time.Second)
	}
	is.Equal(len(b.run), 3)
	is.Equal(b.got[b.admit(1, time.Second)].Result, request.Refuse(request.Overloaded))
	b.finish(100 * time.Millisecond)
	is.Equal(len(b.run), 3)
	is.Equal(b.got[1].Result.Status, request.Answered)
	// Eleven wait and a run takes about 100 ms: 250 ms are not enough.
	is.Equal(b.got[b.admit(1, 250*time.Millisecond)].Result, request.Refuse(request.Overloaded))
	b.now += int64(2 * time.Second)
	b.Tick(b.now)
	b.drain()
	for w := uint64(2); w <= 15; w++ {
		is.True(b.got[w].Result.Status != "") // everything has been answered
	}
	is.Equal(b.total, 0)
	is.Equal(len(b.queued), 0)
	b.now += int64(3 * time.Second)
	b.Tick(b.now)
	is.Equal(len(b.attempts), 0)
}

// TestAttemptOnce sends copies of an attempt: before, while and after it runs, after
// its cancellation, and one that an earlier run of the instance may have met.
func TestAttemptOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(row(1))
	w := b.admit(1, time.Second)
	at := Attempt{ID: AttemptID{Owner: pair.Holder{ID: "o"}, Seq: w}, Server: 1, Sent: b.now, Deadline: b.now + int64(time.Second)}
	b.Admit(b.now, 101, at)
	b.drain()
	is.Equal(len(b.run), 1)
	b.finish(time.Millisecond)
	is.Equal(b.got[101].Result.Status, request.Answered)
	b.Admit(b.now, 102, at)
	b.drain()
	is.Equal(b.got[102].Result.Status, request.Unknown)
	other := at
	other.ID.Seq = 900
	b.Cancel(b.now, other.ID)
	b.Admit(b.now, 103, other)
	b.drain()
	is.Equal(b.got[103].Result, request.Refuse(request.Cancelled))
	other.ID.Seq, other.Sent = 901, start
	b.Admit(b.now, 104, other)
	b.drain()
	is.Equal(b.got[104].Result.Status, request.Unknown)
	other.ID.Seq, other.Run = 902, a.Incarnation // sent to this run, which no earlier one has met
	other.Deadline = start + 1
	b.Admit(b.now, 105, other)
	b.drain()
	is.Equal(b.got[105].Result.Status, request.Refused)
	is.Equal(len(b.run), 0)
}

// TestFairness lets one service fill the room of all queues: another still gets in.
func TestFairness(t *testing.T) {
	is := is.New(t)
	var rows []Server
	for i := range 400 {
		r := row(i + 1)
		r.Service = "greedy"
		rows = append(rows, r)
	}
	rows = append(rows, row(401))
	b := newBench(rows...)
	refused := 0
	for i := range 400 * 3 * (QueuePerSlot + 1) {
		if b.got[b.admit(i%400+1, time.Second)].Result.Status == request.Refused {
			refused++
		}
	}
	is.True(refused > 0)
	for range 3 * (QueuePerSlot + 1) {
		w := b.admit(401, time.Second)
		is.Equal(b.got[w].Result.Status, request.Status(""))
	}
	is.True(b.total <= MaxWaiting)
}

// TestConditions goes through what closes a server for new requests.
func TestConditions(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(r *Server){
		"draining": func(r *Server) { r.State = config.Draining },
		"gone":     func(r *Server) { r.State = config.Gone },
		"down":     func(r *Server) { r.Condition = flow.Down },
	} {
		b := newBench(row(1))
		for range 4 {
			b.admit(1, time.Second)
		}
		r := row(1)
		change(&r)
		b.SetServers(b.now, []Server{r})
		b.drain()
		is.Equal(b.got[b.admit(1, time.Second)].Result, request.Refuse(request.NoServer))
		b.finish(time.Millisecond)
		// What was waiting still runs on a server that drains.
		is.Equal(len(b.run) == 3, name == "draining")
		is.Equal(b.got[4].Result.Status == "", name == "draining")
	}
}

// TestBoundGrantMessages counts what the leases cost an instance at the planned size
// of a data centre, and that it grows with the backend servers no further than by parts.
func TestBoundGrantMessages(t *testing.T) {
	is := is.New(t)
	v := &fleet.View{}
	for i := range 58 {
		v.Instances = append(v.Instances, fleet.Instance{ID: fleet.ID(fmt.Sprint("i", i)), DataCentre: "d", Region: "r", State: fleet.Alive})
	}
	members := pair.New(pair.Timing{})
	members.Update(start, v)
	often := timing
	often.Hold, often.Renew = 2*time.Second, 700*time.Millisecond // as it is by default
	sent := func(servers int) (first, asks, named int) {
		var rows []Server
		for i := range servers {
			rows = append(rows, row(i+1))
		}
		for _, in := range v.Instances {
			s := New(start, pair.Holder{ID: in.ID}, often, members)
			s.SetServers(start, rows)
			for tick := range int64(100) {
				s.Tick(start + tick*10*ms)
			}
			first += len(s.Effects())
			for tick := range int64(2100) {
				s.Tick(start + int64(HandOver) + tick*10*ms)
			}
			for _, e := range s.Effects() {
				if e.Kind == AskGrant {
					asks++
					named += len(e.Grant.Servers)
				}
			}
		}
		return first, asks, named
	}
	first, few, _ := sent(471)
	_, many, named := sent(4 * 471)
	perSecond := float64(few) / 58 / 21
	t.Logf("%.1f messages a second and instance for 471 backend servers, %.1f for 1884, which name %.1f; %.1f in the first second", perSecond, float64(many)/58/21, float64(named)/float64(many), float64(first)/58)
	is.True(perSecond <= 8)
	is.True(many <= few*5/4)
	is.True(first <= 100*58)
}

// TestStaleGrant lets the answer to an old ask come after the lease was given up.
func TestStaleGrant(t *testing.T) {
	is := is.New(t)
	state := func(others fleet.State) *fleet.View {
		v := &fleet.View{}
		for _, id := range []fleet.ID{"a", "b", "c"} {
			v.Instances = append(v.Instances, fleet.Instance{ID: id, DataCentre: "d", Region: "r", State: others})
		}
		v.Instances[0].State = fleet.Alive
		return v
	}
	members := pair.New(pair.Timing{SilentMemory: time.Hour})
	members.Update(start, state(fleet.Alive))
	n := config.Number(1)
	for p := members.Pair(ServerName(n), "d", "r", start); p.IDs()[0] == a.ID || !p.Has("a") || !p.Has("b"); p = members.Pair(ServerName(n), "d", "r", start) {
		n++
	}
	rows := []Server{row(int(n))}
	now := granting
	s := New(start, a, timing, members)
	s.SetServers(start, rows)
	look := func(others fleet.State) {
		members.Update(now, state(others))
		s.SetServers(now, rows)
	}
	look(fleet.Dead)
	asked := s.Effects()[0].Grant
	of := func() (all []Grant) {
		for _, n := range asked.Servers {
			all = append(all, Grant{Server: n})
		}
		return all
	}
	s.Granted(now, "b", asked, of())
	is.True(s.servers[n].held(now))
	look(fleet.Alive)
	now += int64(Overlap)
	s.Tick(now)
	is.Equal(s.servers[n], nil) // given up
	look(fleet.Dead)
	s.Granted(now, "b", asked, of())
	is.True(!s.servers[n].held(now))
	asked.SentAt = now
	s.Granted(now, "b", asked, of())
	is.True(s.servers[n].held(now))
	asked.Pairs = []uint64{1} // another pair
	s.Granted(now, "b", asked, of())
	is.True(!s.servers[n].held(now))
	is.Equal(len(s.Ask(now, asked)), 0)
}
