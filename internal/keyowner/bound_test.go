package keyowner_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// singleInstance is a key owner and an admitter in one instance, after their startup
// delays.
type singleInstance struct {
	now      int64
	owner    *keyowner.System
	admitter *admission.System
	claims   *atmostonce.Claims
	table    *atmostonce.Table
	seq      uint64
	keys     []string
	answers  int
}

func newSingleInstance(servers, keys int) *singleInstance {
	members := pair.New(membership)
	members.Update(epoch, &fleet.View{Instances: []fleet.Instance{{ID: "i", DataCentre: "a", Region: "r", State: fleet.Alive}}})
	self := pair.Holder{ID: "i", Incarnation: 1}
	d := &singleInstance{now: epoch + int64(10*time.Second)}
	d.claims = atmostonce.NewClaims(epoch, timing.Settle, 1<<20)
	d.table = atmostonce.NewTable(1<<20, 1<<26)
	d.admitter = admission.New(epoch, self, timing, members)
	d.owner = keyowner.New(keyowner.Options{
		Self: self, Members: members, Claims: d.claims, Table: d.table,
		Rand: rand.New(rand.NewPCG(1, 1)), MaxRun: timing.MaxRun,
	})
	d.admitter.SetServers(epoch, nil)
	var rows []admission.Server
	var all []keyowner.Candidate
	for i := range servers {
		n := config.Number(i + 1)
		rows = append(rows, admission.Server{Number: n, Service: "orders", DataCentre: "a", Region: "r", Slots: 4, State: config.Active})
		all = append(all, keyowner.Candidate{Server: n, Admitter: "i", Slots: 4})
	}
	d.admitter.SetServers(d.now, rows)
	d.owner.SetServices(map[string][]keyowner.Candidate{"orders": all})
	for i := range keys + 5000 {
		d.keys = append(d.keys, fmt.Sprint("key ", i))
	}
	for range keys {
		d.serveRequest()
	}
	return d
}

// serveRequest runs one request from its arrival to its result.
func (d *singleInstance) serveRequest() {
	d.now += ms / 10
	r := &request.Request{
		Key:     request.Key{ID: d.keys[d.seq%uint64(len(d.keys))], Created: d.now / ms, Home: "a"},
		Service: "orders", Method: "add", Deadline: d.now + 500*ms,
	}
	d.seq++
	d.owner.Run(d.now, d.seq, r)
	for {
		ownerEffects, admitter := d.owner.Effects(), d.admitter.Effects()
		if len(ownerEffects)+len(admitter) == 0 {
			break
		}
		for _, e := range ownerEffects {
			if e.Kind == keyowner.Admit {
				d.admitter.Admit(d.now, e.Attempt.ID.Seq, e.Attempt)
			} else if e.Kind == keyowner.Answer && e.Result.Status == request.Answered {
				d.answers++
			}
		}
		for _, e := range admitter {
			if e.Kind == admission.Dispatch {
				d.admitter.Done(d.now, e.Attempt.ID, admission.Run{Result: request.Result{Status: request.Answered, Value: answer}, Ended: true})
			} else if e.Kind == admission.Reply {
				d.owner.HandleOutcome(d.now, admission.AttemptID{Owner: pair.Holder{ID: "i", Incarnation: 1}, Seq: e.Waiter}, e.Outcome)
			}
		}
	}
	if d.seq%100 == 0 {
		d.owner.Tick(d.now)
		d.admitter.Tick(d.now)
	}
}

var answer = []byte(`"done"`)

// maxAllocations bounds the heap allocations per request in owner and admitter,
// including claim and admission.
const maxAllocations = 10

// TestBoundAllocations checks that the allocations per request stay within their bound
// whatever the number of backend servers and of stored keys.
func TestBoundAllocations(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ servers, keys int }{{4, 100}, {64, 100}, {4, 20_000}} {
		d := newSingleInstance(c.servers, c.keys)
		before := d.answers
		got := testing.AllocsPerRun(2000, d.serveRequest)
		t.Logf("%d backend servers, %d keys held: %.1f allocations per request", c.servers, c.keys, got)
		is.True(got <= maxAllocations)
		is.Equal(d.answers-before, 2001)
	}
}

// maxKeyBytes bounds the memory of one stored key: its entry at the owner plus its
// claim at one member of its pair.
const maxKeyBytes = 1024

// TestBoundKeyMemory measures the memory per stored key and checks its bound.
func TestBoundKeyMemory(t *testing.T) {
	const keys = 50_000
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	ids := make([]string, keys)
	for i := range ids {
		ids[i] = fmt.Sprintf("a key of the usual length %08d", i)
	}
	before := heap()
	claims := atmostonce.NewClaims(epoch, 0, keys)
	now := epoch + int64(10*time.Second)
	for i, id := range ids {
		claims.Claim(now, atmostonce.Hash(id), now, atmostonce.Claimant{Holder: pair.Holder{ID: "i", Incarnation: 1}, Seq: uint64(i)})
	}
	middle := heap()
	table := atmostonce.NewTable(keys, 1<<26)
	for _, id := range ids {
		e := table.Add(now, &request.Key{ID: id, Created: now / ms}, 1)
		table.Finish(now, e, request.Result{Status: request.Answered, Value: answer})
	}
	after := heap()
	perClaim, perEntry := (middle-before)/keys, (after-middle)/keys
	t.Logf("%d bytes per claim, %d bytes per entry without its answer", perClaim, perEntry)
	is.New(t).True(perClaim+perEntry <= maxKeyBytes)
	runtime.KeepAlive(claims)
	runtime.KeepAlive(table)
	runtime.KeepAlive(ids)
}

func BenchmarkRequest(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			d := newSingleInstance(16, keys)
			b.ReportAllocs()
			for b.Loop() {
				d.keys[d.seq%uint64(len(d.keys))] = fmt.Sprint("more ", d.seq)
				d.serveRequest()
			}
		})
	}
}
