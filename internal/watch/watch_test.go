package watch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"balsamfork/internal/catalogue"
)

// fakeStore is a store whose watch may miss changes and whose history may have been
// dropped.
type fakeStore struct {
	epoch       uint64
	revision    uint64
	items       map[string]uint64
	events      []catalogue.Record
	missed      map[uint64]bool
	historyGone bool
	unavailable bool
	calls       int
}

var errUnavailable = errors.New("down")

func newFakeStore() *fakeStore {
	return &fakeStore{epoch: 1, items: map[string]uint64{}, missed: map[uint64]bool{}}
}

func (f *fakeStore) record(name string, removed bool) catalogue.Record {
	r := catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: name}, Epoch: f.epoch, Revision: f.items[name], Removed: removed}
	if removed {
		r.Revision = f.revision
		return r
	}
	r.Server = &catalogue.Server{Number: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", Slots: 1}
	return r
}

func (f *fakeStore) write(name string, removed, seen bool) {
	f.revision++
	if removed {
		delete(f.items, name)
	} else {
		f.items[name] = f.revision
	}
	f.events = append(f.events, f.record(name, removed))
	f.missed[f.revision] = !seen
}

// restore replaces the contents by those of an earlier revision and begins a new epoch.
func (f *fakeStore) restore(revision uint64) {
	events := f.events[:revision]
	f.epoch, f.revision, f.events, f.items, f.missed = f.epoch+1, 0, nil, map[string]uint64{}, map[uint64]bool{}
	for _, e := range events {
		f.write(e.Name, e.Removed, true)
	}
}

func (f *fakeStore) Position(context.Context) (catalogue.Position, error) {
	f.calls++
	if f.unavailable {
		return catalogue.Position{}, errUnavailable
	}
	return catalogue.Position{Epoch: f.epoch, Revision: f.revision}, nil
}

func (f *fakeStore) Changes(_ context.Context, after uint64) (catalogue.Delta, error) {
	f.calls++
	if f.historyGone || after > f.revision {
		return catalogue.Delta{}, catalogue.HistoryGone.New("dropped")
	}
	d := catalogue.Delta{Epoch: f.epoch, Since: after, Revision: f.revision}
	for _, e := range f.events {
		if e.Revision > after && !f.missed[e.Revision] {
			d.Records = append(d.Records, e)
		}
	}
	return d, nil
}

func (f *fakeStore) All(context.Context) (catalogue.Delta, error) {
	f.calls++
	if f.unavailable {
		return catalogue.Delta{}, errUnavailable
	}
	d := catalogue.Delta{Complete: true, Epoch: f.epoch, Revision: f.revision}
	for name := range f.items {
		d.Records = append(d.Records, f.record(name, false))
	}
	return d, nil
}

// AwaitServers returns the changes after a revision that the watch does not miss. If there
// are none, it waits until the context ends.
func (f *fakeStore) AwaitServers(ctx context.Context, after uint64, _ time.Duration) (catalogue.Delta, error) {
	d, err := f.Changes(ctx, after)
	if err == nil && len(d.Records) == 0 {
		<-ctx.Done()
		err = ctx.Err()
	}
	return d, err
}

type testWatcher struct {
	*Watcher
	now int64
}

func newTestWatcher(source Source, seed uint64) *testWatcher {
	w := &testWatcher{now: int64(time.Second)}
	w.Watcher = New(Options{
		Source: source,
		Mirror: catalogue.NewMirror(),
		Plan:   NewPlan(rand.New(rand.NewPCG(seed, 0))),
		Clock:  func() int64 { return w.now },
		OnRead: func(catalogue.Position) {},
		Peers:  func() int { return 1 },
		Log:    slog.New(slog.DiscardHandler),
		Scope:  tally.NoopScope,
	})
	return w
}

// TestReadsAreComplete changes a store whose watch misses changes at random and whose
// history is dropped at random. After each read the mirror holds exactly what the
// store does. It guards against a watch that reports nothing while changes are made.
func TestReadsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeStore()
		w := newTestWatcher(f, 1)
		f.write("s0", false, true)
		for range rapid.IntRange(1, 20).Draw(t, "readings") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "name"))
				_, exists := f.items[name]
				f.write(name, exists && rapid.Bool().Draw(t, "removed"), rapid.Bool().Draw(t, "seen"))
			}
			f.historyGone = rapid.Bool().Draw(t, "history gone")
			w.now += int64(time.Second)
			w.Refresh(context.Background())
			snap := w.Mirror.Snapshot()
			if snap.Revision != f.revision {
				t.Fatalf("revision %d, store at %d", snap.Revision, f.revision)
			}
			present := 0
			for _, b := range snap.Backends("desk") {
				if b.Removed != 0 {
					continue
				}
				present++
				if f.items[b.Name] != b.Revision {
					t.Fatalf("%s at %d, store at %d", b.Name, b.Revision, f.items[b.Name])
				}
			}
			if present != len(f.items) {
				t.Fatalf("%d servers, store has %d", present, len(f.items))
			}
			if known, _ := w.Known(); known != w.now {
				t.Fatalf("known at %d, not %d", known, w.now)
			}
		}
	})
}

// TestChangesAfterARestoreAreRead guards against changes that are never read because a
// store that was restored from a backup gives their revisions out a second time.
func TestChangesAfterARestoreAreRead(t *testing.T) {
	for writes := range uint64(4) { // up to one revision more than the instance has
		is := is.New(t)
		f := newFakeStore()
		f.write("s0", false, true)
		f.write("s1", false, true)
		f.write("s2", false, true)
		w := newTestWatcher(f, 1)
		w.Refresh(context.Background())
		f.restore(1)
		for i := range writes {
			f.write(fmt.Sprint("t", i), false, true)
		}
		w.now += int64(time.Second)
		w.Refresh(context.Background())
		f.write("t9", false, true)
		w.now += int64(time.Second)
		w.Refresh(context.Background())
		is.Equal(w.Mirror.Snapshot().Revision, f.revision)
		present := map[string]bool{}
		for _, b := range w.Mirror.Snapshot().Backends("desk") {
			present[b.Name] = b.Removed == 0
		}
		for name := range f.items {
			is.True(present[name]) // every server in the store is known
		}
	}
}

func TestCatalogueAgesWhileStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	f.write("s0", false, true)
	w := newTestWatcher(f, 1)
	w.Refresh(context.Background())
	read := w.now
	f.unavailable = true
	w.now += int64(time.Second)
	w.Refresh(context.Background())
	known, since := w.Known()
	is.Equal(known, read)
	is.Equal(since, read)
	before := f.calls
	w.Refresh(context.Background())
	is.Equal(f.calls, before) // a store that has just failed is not read again

	w.Confirm(w.Mirror.Snapshot().Position, 300*time.Millisecond)
	known, _ = w.Known()
	is.Equal(known, w.now-int64(300*time.Millisecond)) // a confirmation from a peer counts with its age
	w.Confirm(catalogue.Position{Epoch: 1, Revision: 99}, 0)
	known, _ = w.Known()
	is.Equal(known, w.now-int64(300*time.Millisecond)) // a different revision confirms nothing
	w.Confirm(catalogue.Position{Epoch: 2, Revision: w.Mirror.Snapshot().Revision}, 0)
	known, _ = w.Known()
	is.Equal(known, w.now-int64(300*time.Millisecond)) // nor does a different epoch
}

// TestOneReaderIsEnough runs the plans of the instances of a data centre. Each learns
// of the others' reads immediately, and some reads are on demand. Halfway through, the
// regular reader fails.
func TestOneReaderIsEnough(t *testing.T) {
	is := is.New(t)
	const instances = 40
	plans := make([]*Plan, instances)
	for i := range plans {
		plans[i] = NewPlan(rand.New(rand.NewPCG(uint64(i), 7)))
		plans[i].RecordSuccess(1, true)
	}
	known := int64(1)
	planned := map[int]int{}
	lost := -1
	var longest int64
	for now := known; now < int64(60*time.Second); now += int64(10 * time.Millisecond) {
		if lost < 0 && now > int64(30*time.Second) {
			lost = busiest(planned)
			plans[lost].Yield()
			clear(planned)
		}
		onDemand := -1
		if tick := int(now / int64(10*time.Millisecond)); tick%300 == 0 {
			onDemand = tick / 300 % instances
		}
		for i, p := range plans {
			due := now >= p.NextRead(known, 1)
			if i == lost || !due && i != onDemand {
				continue
			}
			longest = max(longest, now-known)
			known = now
			p.RecordSuccess(now, due)
			if due {
				planned[i]++
				yield(plans, i)
			}
		}
	}
	is.Equal(len(planned), 1) // a single instance reads for all
	for _, n := range planned {
		is.True(n <= int(30*time.Second/regularInterval)+1)
	}
	is.True(longest <= int64(maxTakeoverDelay+10*time.Millisecond)) // and another takes over in time
	is.True(plans[0].NextRead(known, 0) >= known+int64(minTakeoverDelay))
}

// yield makes instances yield as they do when they learn of the regular reader i.
func yield(plans []*Plan, i int) {
	for j, p := range plans {
		if j > i {
			p.Yield()
		}
	}
	for j := range i {
		if plans[j].Regular() {
			plans[i].Yield()
		}
	}
}

// TestFirstReadDoesNotMakeRegularReader guards against a whole fleet of regular readers
// after a total outage: all instances start and read at once, and only one may continue.
func TestFirstReadDoesNotMakeRegularReader(t *testing.T) {
	is := is.New(t)
	p := NewPlan(rand.New(rand.NewPCG(1, 1)))
	p.RecordSuccess(int64(time.Second), true)
	is.True(p.NextRead(int64(time.Second), 1) >= int64(time.Second+minTakeoverDelay))
	p.RecordSuccess(int64(3*time.Second), false) // triggered by a packet
	is.True(p.NextRead(int64(3*time.Second), 1) >= int64(3*time.Second+minTakeoverDelay))
	p.RecordSuccess(int64(5*time.Second), true)
	is.Equal(p.NextRead(int64(5*time.Second), 1), int64(5*time.Second+regularInterval))
	is.Equal(p.NextRead(int64(5*time.Second)+1, 1), int64(5*time.Second+regularInterval)) // another read was triggered by a packet
	p.Yield()
	is.True(p.NextRead(int64(5*time.Second), 1) >= int64(5*time.Second+minTakeoverDelay))
}

// TestOnDemandReadsAreRateLimited guards against a read of the store for each of many
// packets whose cookies are not in the catalogue.
func TestOnDemandReadsAreRateLimited(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	f.write("s0", false, true)
	w := newTestWatcher(f, 1)
	w.Refresh(context.Background())
	before := f.calls
	for range 100 {
		w.now += int64(time.Millisecond)
		w.Refresh(context.Background())
	}
	is.Equal(f.calls, before)
	w.now += int64(onDemandInterval)
	w.Refresh(context.Background())
	is.Equal(f.calls, before+1)
}

func busiest(reads map[int]int) int {
	best := -1
	for i, n := range reads {
		if best < 0 || n > reads[best] {
			best = i
		}
	}
	return best
}

// TestRetriesDoNotGrowWithTheDataCentre covers a store that is down for 10 s (the
// scenario platform_down) in data centres of several sizes: after each instance has
// failed once, all together retry at a bounded rate, and the first retry after the
// outage, which serves all, comes soon.
func TestRetriesDoNotGrowWithTheDataCentre(t *testing.T) {
	const step, outage = 10 * time.Millisecond, 10 * time.Second
	for _, instances := range []int{6, 70, 300} {
		for seed := range uint64(20) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, uint64(instances)))
			var plans []*Plan
			known := int64(time.Hour)
			for range instances {
				plans = append(plans, NewPlan(random))
				plans[len(plans)-1].RecordSuccess(known, true)
			}
			retries := 0
			for now := known; now < known+int64(outage); now += int64(step) {
				for _, p := range plans {
					if now >= p.NextRead(known, instances-1) {
						if p.backoff > 0 {
							retries++
						}
						p.RecordFailure(now, instances-1)
					}
				}
			}
			perSecond := retries / int((outage-maxTakeoverDelay)/time.Second)
			is.True(perSecond <= 3*int(time.Second/sharedRetryInterval))
			next := int64(math.MaxInt64)
			for _, p := range plans {
				next = min(next, p.NextRead(known, instances-1))
			}
			is.True(next <= known+int64(outage+time.Second))
		}
	}
}

// TestFailureIsForgotten lets a read fail and peers keep the catalogue up to date
// afterwards: the store is not taken to fail for ever, and a read that succeeds ends the
// failure at once.
func TestFailureIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFakeStore()
	f.write("s0", false, true)
	w := newTestWatcher(f, 1)
	f.unavailable = true
	w.Refresh(context.Background())
	is.True(w.Failing())
	w.now += int64(failingPeriod)
	is.True(!w.Failing())
	w.Refresh(context.Background())
	is.True(w.Failing())
	f.unavailable = false
	w.now += int64(maxBackoff)
	w.Refresh(context.Background())
	is.True(!w.Failing())
}
