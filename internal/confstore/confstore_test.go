package confstore

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bytes"
	"io"

	"balsamfork/internal/config"
	"balsamfork/internal/configtest"
	"balsamfork/internal/store"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func document(services, servers int) config.Document {
	return configtest.Document(services, servers, "a", "b")
}

// testBed holds a fake store and creates clients of it.
type testBed struct {
	server *platformtest.Store
	ctx    context.Context
	// crashAfterSwap makes the store lose its answer to the next swap of the
	// head and then stay down for 10 s.
	crashAfterSwap atomic.Bool
}

// RoundTrip passes a call to the fake store, and applies crashAfterSwap.
func (b *testBed) RoundTrip(request *http.Request) (*http.Response, error) {
	request, swaps := detectHeadSwap(request)
	if !swaps || !b.crashAfterSwap.CompareAndSwap(true, false) {
		return b.server.RoundTrip(request)
	}
	b.server.LoseResponses(1)
	answer, err := b.server.RoundTrip(request)
	b.server.SetDown(true)
	time.AfterFunc(10*time.Second, func() { b.server.SetDown(false) })
	return answer, err
}

// detectHeadSwap reports whether a request swaps the head. It reads the body,
// and returns a copy of the request that can still be sent.
func detectHeadSwap(request *http.Request) (*http.Request, bool) {
	if request.Body == nil {
		return request, false
	}
	data, err := io.ReadAll(request.Body)
	if err != nil {
		panic(err)
	}
	request = request.Clone(request.Context())
	request.Body = io.NopCloser(bytes.NewReader(data))
	return request, bytes.Contains(data, []byte(headKey))
}

func newTestBed(t *testing.T) *testBed {
	return &testBed{server: platformtest.NewStore(), ctx: t.Context()}
}

func (b *testBed) client() *storeclient.Client {
	return storeclient.New(storeclient.Options{
		Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: b}), FleetSize: 1, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

func (b *testBed) repository() *Repository { return New(b.client()) }

func change(id string, seen config.Version) config.Change {
	return config.Change{ID: id, BaseVersion: seen, Who: "operator " + id, When: time.Now(), HashKey: [16]byte{1}}
}

func withDrainedServer(t interface{ Fatal(...any) }, doc config.Document, service, server int) config.Document {
	next, err := doc.WithServerState(fmt.Sprintf("service-%d", service), fmt.Sprintf("server-%d", server), config.Draining)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestApplySettleAudit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		r := b.repository()
		doc := document(3, 4)
		one, err := r.Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		is.Equal(one.Version, config.Version(1))
		two, err := r.Apply(b.ctx, withDrainedServer(t, doc, 1, 0), change("two", 1))
		is.NoErr(err)
		repeated, err := r.Apply(b.ctx, withDrainedServer(t, doc, 1, 0), change("two", 1))
		is.NoErr(err)
		is.True(repeated.AlreadyApplied && repeated.Version == two.Version)

		writer := NewSettlementWriter(r, "instance", time.Now)
		is.NoErr(writer.Rebase(b.ctx, "service-1", 2))
		is.NoErr(writer.Rebase(b.ctx, "service-1", 2)) // a repetition has no effect
		is.True(config.Conflict.Has(writer.Clear(b.ctx, "service-1", 2)))
		is.NoErr(writer.Clear(b.ctx, "service-1", 3))
		current, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.Equal(current.Version(), config.Version(4))
		is.Equal(len(current.State.Services[1].Past), 0)
		entries, err := r.Audit(b.ctx, 0)
		is.NoErr(err)
		is.Equal(len(entries), 4)
		is.Equal(entries[1].What, "drain service-1/server-0")
	})
}

// TestConflict applies the changes of two operators concurrently against the
// same version. One is accepted; the other is told what was accepted and what
// it would undo.
func TestConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		doc := document(3, 4)
		_, err := b.repository().Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		errs := make([]error, 2)
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() {
				_, errs[i] = b.repository().Apply(b.ctx, withDrainedServer(t, doc, i, i), change(fmt.Sprint("racer-", i), 1))
			})
		}
		group.Wait()
		is.True((errs[0] == nil) != (errs[1] == nil)) // exactly one is accepted
		rejected := errors.Join(errs...)
		var conflict *ConflictError
		is.True(errors.As(rejected, &conflict) && config.Conflict.Has(rejected))
		is.True(strings.Contains(rejected.Error(), "version 2 by operator racer-"))
		loser, winner := 0, 1
		if errs[0] == nil {
			loser, winner = 1, 0
		}
		is.True(strings.Contains(rejected.Error(), fmt.Sprintf(" drain service-%d/", loser)))    // the change of the rejected operator
		is.True(strings.Contains(rejected.Error(), fmt.Sprintf(" undrain service-%d/", winner))) // the change that it would undo
	})
}

// TestMark sets and removes marks in the store, with the same rules for
// repetition and conflicts as for a declaration.
func TestMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		r := b.repository()
		doc := document(2, 3)
		drain, takeOut := config.Mark{Service: "service-0", Server: "server-0"}, config.Mark{DataCentre: "a"}
		_, err := r.Mark(b.ctx, drain, true, change("too early", 0))
		is.True(config.Invalid.Has(err))
		_, err = r.Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		b.server.LoseResponses(1)
		two, err := r.Mark(b.ctx, drain, true, change("two", 1))
		is.NoErr(err)
		repeated, err := r.Mark(b.ctx, drain, true, change("two", 1))
		is.NoErr(err)
		is.True(repeated.AlreadyApplied && repeated.Version == two.Version)
		_, err = r.Mark(b.ctx, takeOut, true, change("blind", 1))
		is.True(config.Conflict.Has(err))
		is.True(strings.Contains(err.Error(), "would: set mark: take out data centre a; marks in effect: take out data centre a, drain service-0/server-0"))
		_, err = r.Apply(b.ctx, doc, change("same", 2))
		is.NoErr(err)
		_, err = r.Apply(b.ctx, withDrainedServer(t, doc, 1, 1), change("three", 2))
		is.NoErr(err)
		current, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.Equal(current.State.Marks(), []config.Mark{drain})
		_, err = r.Mark(b.ctx, drain, false, change("four", 3))
		is.NoErr(err)
		entries, err := r.Audit(b.ctx, 0)
		is.NoErr(err)
		is.Equal(len(entries), 4)
		is.Equal(entries[1].What, "set mark: drain service-0/server-0; marks in effect: drain service-0/server-0")
		is.Equal(entries[2].What, "drain service-1/server-1; marks in effect: drain service-0/server-0")
		is.Equal(entries[3].What, "remove mark: drain service-0/server-0")
	})
}

// TestPausedWriter pauses a writer before each of its writes up to the head's,
// until other writers have reallocated its values. The paused writer must
// change nothing.
func TestPausedWriter(t *testing.T) {
	for pauseAt := 1; pauseAt <= 3; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newTestBed(t)
			r := b.repository()
			doc := document(2, 4)
			_, err := r.Apply(b.ctx, doc, change("one", 0))
			is.NoErr(err)
			paused := &pausingStore{Store: b.client(), pauseBefore: pauseAt, resume: make(chan struct{})}
			result := make(chan error, 1)
			go func() {
				_, err := New(paused).Apply(b.ctx, withDrainedServer(t, doc, 0, 0), change("paused", 1))
				result <- err
			}()
			synctest.Wait()
			for i := range 4 * retainedHeads {
				toggled := doc
				if i%2 == 0 {
					toggled = withDrainedServer(t, doc, 1, 1)
				}
				_, err := r.Apply(b.ctx, toggled, change(fmt.Sprint("other-", i), config.Version(i+1)))
				is.NoErr(err)
			}
			close(paused.resume)
			is.True(config.Conflict.Has(<-result))
			current, err := r.Read(b.ctx, Snapshot{})
			is.NoErr(err)
			is.Equal(current.Version(), config.Version(4*retainedHeads+1))
			_, err = r.Audit(b.ctx, 0)
			is.NoErr(err)
		})
	}
}

// pausingStore blocks its write number pauseBefore until resume is closed.
type pausingStore struct {
	store.Store
	pauseBefore int
	writes      int
	resume      chan struct{}
}

func (p *pausingStore) CompareAndSwap(ctx context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	p.writes++
	if p.writes == p.pauseBefore {
		<-p.resume
	}
	return p.Store.CompareAndSwap(ctx, key, old, data)
}

// TestFaults has two operators make random changes concurrently under every
// fault of the store, alone and in pairs, while a reader follows. Reported
// outcomes must be true, no change may be applied twice, and no reader may see
// a version that was not accepted as a whole.
func TestFaults(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBed(t)
			if _, err := b.repository().Apply(b.ctx, document(4, 3), change("first", 0)); err != nil {
				rt.Fatal(err)
			}
			reported := map[string]config.Version{}
			clients := []*Repository{b.repository(), b.repository()}
			var last Snapshot
			for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
				b.injectFaults(rt)
				for _, a := range applyConcurrently(b.ctx, clients, drawAttempts(rt, step)) {
					seen[a.outcomeName()]++
					if version, known := a.reported(); known {
						reported[a.id] = version
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(1, 10).Draw(rt, "pause")) * time.Second)
				if current, err := clients[0].Read(b.ctx, last); err == nil && current.Version() >= last.Version() {
					if err := verifyState(current); err != nil {
						rt.Fatal(err)
					}
					last = current
				}
			}
			b.clearFaults()
			b.checkTrail(rt, reported)
		})
	})
	t.Logf("attempts by outcome: %v", seen)
	for _, outcomeName := range []string{"accepted", "marked", "conflict", "unknown", "unavailable"} {
		if seen[outcomeName] == 0 {
			t.Errorf("no attempt ended %s", outcomeName)
		}
	}
}

// attempt is one change by one operator, and its outcome.
type attempt struct {
	id              string
	service, server int
	weight          uint32
	// mark makes the operator set or remove a mark on the backend server
	// instead of changing its weight.
	mark, set bool
	outcome   Outcome
	err       error
}

func drawAttempts(rt *rapid.T, step int) []attempt {
	var all []attempt
	for operator := range 2 {
		all = append(all, attempt{
			id:      fmt.Sprintf("change-%d-%d", step, operator),
			service: rapid.IntRange(0, 3).Draw(rt, "service"),
			server:  rapid.IntRange(0, 2).Draw(rt, "server"),
			weight:  rapid.Uint32Range(1, 1000).Draw(rt, "weight"),
			mark:    rapid.IntRange(0, 2).Draw(rt, "mark") == 0,
			set:     rapid.Bool().Draw(rt, "set"),
		})
	}
	return all
}

// applyConcurrently makes each operator read and change the configuration, all
// at the same time.
func applyConcurrently(ctx context.Context, clients []*Repository, all []attempt) []attempt {
	var group sync.WaitGroup
	for i := range all {
		group.Go(func() { all[i].run(ctx, clients[i]) })
	}
	group.Wait()
	return all
}

func (a *attempt) run(ctx context.Context, r *Repository) {
	current, err := r.Read(ctx, Snapshot{})
	if err != nil {
		a.err = err
		return
	}
	if a.mark {
		mark := config.Mark{Service: fmt.Sprint("service-", a.service), Server: fmt.Sprint("server-", a.server)}
		a.outcome, a.err = r.Mark(ctx, mark, a.set, change(a.id, current.Version()))
		return
	}
	doc := current.State.Document()
	doc.Services[a.service].BackendServers[a.server].Weight = a.weight
	a.outcome, a.err = r.Apply(ctx, doc, change(a.id, current.Version()))
}

func (a *attempt) outcomeName() string {
	switch {
	case a.err == nil && a.mark && !a.outcome.AlreadyApplied:
		return "marked"
	case a.err == nil:
		return "accepted"
	case store.OutcomeUnknown.Has(a.err):
		return "unknown"
	case config.Conflict.Has(a.err):
		return "conflict"
	case store.Unavailable.Has(a.err):
		return "unavailable"
	}
	return "other"
}

// reported returns the version that the operator was told, zero for none, and
// false if the outcome was unknown or there was nothing to change.
func (a *attempt) reported() (config.Version, bool) {
	if a.outcomeName() == "unknown" || a.err == nil && a.outcome.AlreadyApplied && a.outcome.Diff != nil {
		return 0, false
	}
	return a.outcome.Version, true
}

func (b *testBed) injectFaults(rt *rapid.T) {
	for range rapid.IntRange(0, 2).Draw(rt, "faults") {
		switch rapid.IntRange(0, 5).Draw(rt, "fault") {
		case 0:
			b.server.LoseResponses(rapid.IntRange(1, 3).Draw(rt, "lost"))
		case 1:
			b.server.ServeStaleReads(rapid.IntRange(1, 4).Draw(rt, "old"))
		case 2:
			b.server.SetDelay(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay")) * time.Millisecond)
		case 3:
			b.server.SetDown(rapid.Bool().Draw(rt, "down"))
		case 4:
			b.crashAfterSwap.Store(true)
		case 5: // the store goes down in the middle of a write
			b.server.SetDelay(time.Duration(rapid.IntRange(50, 500).Draw(rt, "delay")) * time.Millisecond)
			b.server.LoseEveryNthResponse(rapid.IntRange(0, 3).Draw(rt, "lost"))
			downAfter := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "in")) * time.Millisecond
			time.AfterFunc(downAfter, func() { b.server.SetDown(true) })
			time.AfterFunc(downAfter+2*time.Second, func() { b.server.SetDown(false) })
		}
	}
}

func (b *testBed) clearFaults() {
	b.crashAfterSwap.Store(false)
	b.server.LoseResponses(0)
	b.server.LoseEveryNthResponse(0)
	b.server.ServeStaleReads(0)
	b.server.SetDelay(0)
	time.Sleep(time.Minute) // outlasts the scheduled outages
	b.server.SetDown(false)
	time.Sleep(time.Minute)
}

// checkTrail compares the reported outcomes with the audit trail.
func (b *testBed) checkTrail(rt *rapid.T, reported map[string]config.Version) {
	r := b.repository()
	entries, err := r.Audit(b.ctx, 0)
	if err != nil {
		rt.Fatal(err)
	}
	accepted := map[string]config.Version{}
	for _, e := range entries {
		if accepted[e.ChangeID] != 0 {
			rt.Fatalf("change %s was applied twice", e.ChangeID)
		}
		accepted[e.ChangeID] = e.Version
	}
	current, err := r.Read(b.ctx, Snapshot{})
	if err != nil || int(current.Version()) != len(entries) {
		rt.Fatalf("version %d with %d entries: %v", current.Version(), len(entries), err)
	}
	for id, version := range reported {
		if accepted[id] != version {
			rt.Fatalf("change %s was reported as version %d and is version %d", id, version, accepted[id])
		}
	}
}

// TestBoundStoreUse counts the keys and the reads that a long run of single
// changes takes, with 290 services and 3,300 backend servers.
func TestBoundStoreUse(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		r := b.repository()
		doc := document(290, 11)
		_, err := r.Apply(b.ctx, doc, change("first", 0))
		is.NoErr(err)
		known, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		const changes = 40
		reads := 0
		for i := range changes {
			doc = withDrainedServer(t, doc, i, i%11)
			_, err := r.Apply(b.ctx, doc, change(fmt.Sprint(i), config.Version(i+1)))
			is.NoErr(err)
			before := b.server.Counts().Reads
			known, err = r.Read(b.ctx, known)
			is.NoErr(err)
			reads += b.server.Counts().Reads - before
		}
		is.True(reads <= 3*changes) // the head and the new value, and occasionally all values
		before := b.server.Counts().Reads
		_, err = r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.True(b.server.Counts().Reads-before <= maxValues+5)
		is.True(b.server.Counts().Keys <= 64) // values are reused
	})
}
