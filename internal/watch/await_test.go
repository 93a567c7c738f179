package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/catalogue"
)

// awaitedStore is a store with one server, which the test lets start again. Waits end at
// once if there is a change, or at the next one.
type awaitedStore struct {
	// calls counts the calls other than waits.
	calls    atomic.Int64
	waits    atomic.Int64
	revision atomic.Uint64
	changed  chan struct{}
	failing  atomic.Bool
	// gone says that the history is gone.
	gone atomic.Bool
	// drains says that the server reports changes other than restarts.
	drains atomic.Bool
}

func newAwaitedStore() *awaitedStore {
	s := &awaitedStore{changed: make(chan struct{}, 1)}
	s.revision.Store(1)
	return s
}

func (s *awaitedStore) change() {
	s.revision.Add(1)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *awaitedStore) record(revision uint64) catalogue.Record {
	server := &catalogue.Server{Number: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", Slots: 1, Started: int64(revision), Report: 1}
	if s.drains.Load() {
		server.Started, server.Report, server.Draining = 1, revision, true
	}
	return catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: "s"}, Epoch: 1, Revision: revision, Created: 1, Server: server}
}

func (s *awaitedStore) position() catalogue.Position {
	return catalogue.Position{Epoch: 1, Revision: s.revision.Load()}
}

func (s *awaitedStore) Position(context.Context) (catalogue.Position, error) {
	s.calls.Add(1)
	return s.position(), nil
}

func (s *awaitedStore) Changes(_ context.Context, after uint64) (catalogue.Delta, error) {
	s.calls.Add(1)
	return s.since(after), nil
}

func (s *awaitedStore) since(after uint64) catalogue.Delta {
	d := catalogue.Delta{Epoch: 1, Since: after, Revision: s.revision.Load()}
	for r := after + 1; r <= d.Revision; r++ {
		d.Records = append(d.Records, s.record(r))
	}
	return d
}

func (s *awaitedStore) All(context.Context) (catalogue.Delta, error) {
	revision := s.revision.Load()
	return catalogue.Delta{Complete: true, Epoch: 1, Revision: revision, Records: []catalogue.Record{s.record(revision)}}, nil
}

func (s *awaitedStore) AwaitServers(ctx context.Context, after uint64, _ time.Duration) (catalogue.Delta, error) {
	s.waits.Add(1)
	if s.failing.Load() {
		return catalogue.Delta{}, errUnavailable
	}
	if s.gone.Load() {
		return catalogue.Delta{}, catalogue.HistoryGone.New("dropped")
	}
	for s.revision.Load() <= after {
		select {
		case <-ctx.Done():
			return catalogue.Delta{}, ctx.Err()
		case <-s.changed:
		}
	}
	return s.since(after), nil
}

// startAwaiting returns a watcher that has read the store and waits for changes.
func startAwaiting(t *testing.T, s *awaitedStore) *Watcher {
	began := time.Now().Add(-time.Hour)
	w := New(Options{
		Source: s, Mirror: catalogue.NewMirror(), Plan: NewPlan(rand.New(rand.NewPCG(1, 2))), Clock: func() int64 { return int64(time.Since(began)) },
		OnRead: func(catalogue.Position) {}, Peers: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	w.Refresh(t.Context())
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { w.Await(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return w
}

// becomeReader makes a watcher a regular reader that is settled.
func becomeReader(w *Watcher) {
	w.Plan.RecordSuccess(w.Clock()-int64(settlingTime), true)
	w.Plan.RecordSuccess(w.Clock(), true)
}

func (w *Watcher) reaches(p catalogue.Position, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if w.Mirror.Snapshot().Position == p {
			return true
		}
	}
	return false
}

// TestChangeIsReadAtOnce guards against a server that has started again under its id and
// gets its usual flows while cold, until the next regular read. A standby reads the
// change as well as the regular reader does, which may be lost.
func TestChangeIsReadAtOnce(t *testing.T) {
	for name, start := range map[string]func(w *Watcher){
		"regular reader": becomeReader,
		"standby":        func(w *Watcher) { w.Plan.StandBy(w.Clock()) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newAwaitedStore()
			w := startAwaiting(t, s)
			s.change()
			is.True(!w.reaches(s.position(), 50*time.Millisecond)) // neither
			start(w)
			for range 3 {
				is.True(w.reaches(s.position(), regularInterval/5))
				s.change()
			}
		})
	}
}

// TestStandbyLeavesChangesToTheReader guards against a call of the store by each waiting
// instance for a change that the regular reader has announced.
func TestStandbyLeavesChangesToTheReader(t *testing.T) {
	is := is.New(t)
	s := newAwaitedStore()
	w := startAwaiting(t, s)
	w.Plan.StandBy(w.Clock())
	before := s.calls.Load()
	time.Sleep(10 * time.Millisecond)
	s.change()
	is.True(w.ApplyDelta(s.since(1), 0))
	time.Sleep(10 * standbyDelay)
	is.Equal(s.calls.Load(), before)
}

// TestOtherChangesAreLeftToTheNextRead guards against calls of the store for changes that
// are not urgent: those of a server that is drained, or has just been created.
func TestOtherChangesAreLeftToTheNextRead(t *testing.T) {
	is := is.New(t)
	s := newAwaitedStore()
	s.drains.Store(true)
	w := startAwaiting(t, s)
	w.Plan.StandBy(w.Clock())
	for range 3 {
		s.change()
		time.Sleep(3 * awaitSpacing)
	}
	is.Equal(s.calls.Load(), int64(0))
	is.Equal(s.waits.Load(), int64(4)) // the last one still waits
	s.drains.Store(false)
	s.change()
	is.True(w.reaches(s.position(), regularInterval/5)) // a restart
}

// TestAwaitingIsLimited lets a server change all the time without being cold: the waits that
// end with a change are limited, more so at a standby.
func TestAwaitingIsLimited(t *testing.T) {
	for name, c := range map[string]struct {
		start    func(w *Watcher)
		interval time.Duration
	}{
		"regular reader": {becomeReader, readerInterval},
		"standby":        {func(w *Watcher) { w.Plan.StandBy(w.Clock()) }, standbyInterval},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newAwaitedStore()
			s.drains.Store(true)
			w := startAwaiting(t, s)
			c.start(w)
			began := time.Now()
			for time.Since(began) < time.Second {
				s.change()
				time.Sleep(time.Millisecond)
			}
			is.True(s.waits.Load() <= int64(awaitBurst+time.Since(began)/c.interval)+2)
			is.True(s.waits.Load() > awaitBurst)
		})
	}
}

// TestFailedWaitIsReported lets the store turn the instance away: the regular reader learns
// of it and chooses another, and waits are repeated less and less often. Dropped history is
// no failure.
func TestFailedWaitIsReported(t *testing.T) {
	is := is.New(t)
	s := newAwaitedStore()
	s.failing.Store(true)
	w := startAwaiting(t, s)
	is.True(!w.Awaiting())
	w.Plan.StandBy(w.Clock())
	time.Sleep(minBackoff / 2)
	is.True(!w.Awaiting())
	time.Sleep(4 * minBackoff)
	is.True(s.waits.Load() <= 3) // at 0, 1 and 3 times minBackoff
	s.failing.Store(false)
	s.gone.Store(true)
	time.Sleep(4 * minBackoff)
	is.True(w.Awaiting())
}

// TestReaderSettles guards against many instances that wait for changes while a fleet
// starts: each is a regular reader for a moment, until it hears of another.
func TestReaderSettles(t *testing.T) {
	is := is.New(t)
	p := NewPlan(rand.New(rand.NewPCG(1, 1)))
	p.RecordSuccess(1, true)
	p.RecordSuccess(2, true)
	is.True(!p.Awaits(1 + int64(settlingTime)))
	is.True(p.Awaits(2 + int64(settlingTime)))
	is.True(p.Settled(2 + int64(settlingTime)))
	p.Yield()
	is.True(!p.Awaits(2 + int64(settlingTime)))
	p.RecordSuccess(3+int64(settlingTime), true)
	is.True(!p.Settled(3 + int64(settlingTime)))
}

// TestStandbyEnds guards against a growing number of waiting instances.
func TestStandbyEnds(t *testing.T) {
	is := is.New(t)
	p := NewPlan(rand.New(rand.NewPCG(1, 1)))
	p.RecordSuccess(1, true)
	is.True(!p.Awaits(2))
	p.StandBy(2)
	is.True(p.Awaits(2 + int64(maxTakeoverDelay)))
	is.True(!p.Awaits(2 + int64(standbyPeriod)))
}
