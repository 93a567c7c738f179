package watch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"balsamfork/internal/catalogue"
)

// Source is the store. Each of its calls is bounded in time.
type Source interface {
	// Position returns the store's revision, by a linearizable read.
	Position(ctx context.Context) (uint64, error)
	// Changes returns the changes after a revision, or catalogue.HistoryGone. It
	// may miss some.
	Changes(ctx context.Context, after uint64) (catalogue.Delta, error)
	// All returns everything, by linearizable reads.
	All(ctx context.Context) (catalogue.Delta, error)
}

// Options is what a watcher is built from.
type Options struct {
	Source Source
	Mirror *catalogue.Mirror
	Plan   *Plan
	// Alone reports whether no other instance of the data centre is known.
	Alone func() bool
	// Clock returns the steady time in nanoseconds.
	Clock func() int64
	// Learned is called after each reading.
	Learned func()
	Log     *slog.Logger
	Scope   tally.Scope
}

// Watcher reads the store when the plan says so. Its methods may be called from
// several goroutines.
type Watcher struct {
	Options
	known   atomic.Int64
	since   atomic.Int64
	lostAt  int64
	flight  singleflight.Group
	changed chan struct{}
	entries tally.Counter
	reading tally.Histogram
	lag     tally.Histogram
}

// New returns a watcher that has read nothing.
func New(o Options) *Watcher {
	scope := o.Scope.SubScope("catalogue")
	return &Watcher{
		Options: o,
		changed: make(chan struct{}, 1),
		entries: scope.Counter("changes"),
		reading: scope.Histogram("reading_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
		lag:     scope.Histogram("change_lag_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)),
	}
}

// Known returns when the catalogue was last known to be complete, and since when
// it has been known at all; 0 for never.
func (w *Watcher) Known() (last, since int64) { return w.known.Load(), w.since.Load() }

// Take applies what a peer passed on, of the given age, and reports whether it
// follows on from what is known.
func (w *Watcher) Take(d catalogue.Delta, age time.Duration) bool {
	now := w.Clock()
	changed, ok := w.Mirror.Apply(d, now, age)
	if !ok {
		return false
	}
	w.report(changed, "peer", age)
	w.confirm(now - int64(age))
	return true
}

// Confirm notes that a revision was the store's at a time in the past.
func (w *Watcher) Confirm(revision uint64, age time.Duration) {
	if revision != 0 && revision == w.Mirror.Snapshot().Revision {
		w.confirm(w.Clock() - int64(age))
	}
}

// confirm raises the time at which the catalogue was known to be complete.
func (w *Watcher) confirm(at int64) {
	w.since.CompareAndSwap(0, w.Clock())
	for {
		known := w.known.Load()
		if at <= known {
			return
		}
		if w.known.CompareAndSwap(known, at) {
			break
		}
	}
}

// Run reads the store whenever the plan says so, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		wait := time.Duration(w.Plan.Due(w.known.Load(), w.Alone()) - w.Clock())
		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		w.readOnce(ctx, true)
	}
}

// Refresh reads the store because a packet asks for it, unless that has just been
// done or failed.
func (w *Watcher) Refresh(ctx context.Context) {
	if w.Plan.MayRead(w.Clock()) {
		w.readOnce(ctx, false)
	}
}

// readOnce reads the store. Calls at the same time share one reading.
func (w *Watcher) readOnce(ctx context.Context, planned bool) {
	_, _, _ = w.flight.Do("", func() (any, error) {
		w.readNow(ctx, planned)
		return nil, nil
	})
}

func (w *Watcher) readNow(ctx context.Context, planned bool) {
	began := w.Clock()
	if err := w.read(ctx, w.Mirror.Snapshot().Revision); err != nil {
		w.Plan.Failed(w.Clock())
		w.lost(began, err)
		return
	}
	w.Plan.Succeeded(began, planned)
	w.regained()
	w.confirm(began)
	w.reading.RecordDuration(time.Duration(w.Clock() - began))
	w.Learned()
}

// read brings the mirror to the store's revision.
func (w *Watcher) read(ctx context.Context, before uint64) error {
	if before == 0 {
		return w.readAll(ctx)
	}
	position, err := w.Source.Position(ctx)
	if err != nil || position == before {
		return err
	}
	delta, err := w.Source.Changes(ctx, before)
	if err != nil {
		return w.readAll(ctx)
	}
	delta = contiguous(delta)
	if delta.Revision < position {
		return w.readAll(ctx)
	}
	return w.apply(delta)
}

// contiguous cuts changes off before the first revision that is missing: a watch
// that has missed some may skip them silently.
func contiguous(d catalogue.Delta) catalogue.Delta {
	through := d.Since
	for i, r := range d.Records {
		if r.Revision > through+1 {
			d.Records = d.Records[:i]
			break
		}
		through = max(through, r.Revision)
	}
	d.Revision = through
	return d
}

func (w *Watcher) readAll(ctx context.Context) error {
	delta, err := w.Source.All(ctx)
	if err != nil {
		return err
	}
	return w.apply(delta)
}

func (w *Watcher) apply(d catalogue.Delta) error {
	if changed, ok := w.Mirror.Apply(d, w.Clock(), 0); ok {
		w.report(changed, "store", 0)
	}
	return nil
}

// report logs what has changed, one line a record.
func (w *Watcher) report(changed []catalogue.Record, source string, age time.Duration) {
	w.entries.Inc(int64(len(changed)))
	if known := w.known.Load(); known != 0 && len(changed) > 0 {
		// The change is younger than the last reading that did not have it.
		w.lag.RecordDuration(time.Duration(w.Clock() - known))
	}
	if len(changed) > maxLines {
		w.Log.Info("Catalogue changed.", "records", len(changed), "source", source, "age_ms", age.Milliseconds(),
			"revision", w.Mirror.Snapshot().Revision)
		return
	}
	for i := range changed {
		w.Log.Info("Catalogue changed.", append(describe(&changed[i]), "source", source, "age_ms", age.Milliseconds())...)
	}
}

func (w *Watcher) lost(began int64, err error) {
	if w.lostAt == 0 {
		w.lostAt = began
		w.Log.Warn("Store is lost.", "error", err, "revision", w.Mirror.Snapshot().Revision)
	}
}

func (w *Watcher) regained() {
	if w.lostAt != 0 {
		w.Log.Info("Store is back.", "after_ms", time.Duration(w.Clock()-w.lostAt).Milliseconds())
		w.lostAt = 0
	}
}
