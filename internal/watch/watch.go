package watch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"balsamfork/internal/catalogue"
)

// Source reads the store. Each of its calls is limited in time.
type Source interface {
	// Position returns the store's position with a linearizable read.
	Position(ctx context.Context) (catalogue.Position, error)
	// Changes returns the changes after a revision, or catalogue.HistoryGone. It may
	// miss some changes.
	Changes(ctx context.Context, after uint64) (catalogue.Delta, error)
	// All returns all records with linearizable reads.
	All(ctx context.Context) (catalogue.Delta, error)
	// AwaitServers waits until a backend server changes after a revision, up to a time,
	// and returns the changes of servers, or none. It may miss some, and returns
	// catalogue.HistoryGone if the store has dropped some.
	AwaitServers(ctx context.Context, after uint64, wait time.Duration) (catalogue.Delta, error)
}

// Options are the dependencies of a Watcher.
type Options struct {
	Source Source
	Mirror *catalogue.Mirror
	Plan   *Plan
	// Peers returns the number of other instances in the data centre that are known.
	Peers func() int
	// Clock returns the time of the monotonic clock in nanoseconds.
	Clock func() int64
	// OnRead is called after each successful read, with the position before it.
	OnRead func(before catalogue.Position)
	Log    *slog.Logger
	Scope  tally.Scope
}

// Watcher reads the store as scheduled by its Plan. Its methods are safe for concurrent
// use.
type Watcher struct {
	Options
	known        atomic.Int64
	since        atomic.Int64
	failingSince int64
	// failedAt is when a read last failed, in nanoseconds, 0 if none has failed since the
	// last that succeeded.
	failedAt atomic.Int64
	reads    singleflight.Group
	// storeEpoch is the epoch that was last read from the store, 0 before the first read.
	storeEpoch uint64
	// kept is the last number of records that the mirror had kept from an earlier epoch.
	kept atomic.Int64
	// awaitBudget limits the waits that end with a change which is not urgent.
	awaitBudget *rate.Limiter
	// awaitFailed says that the last wait for changes failed.
	awaitFailed atomic.Bool
	metrics     metrics
}

type metrics struct {
	changedRecords, refused, awaits tally.Counter
	readDuration, lag               tally.Histogram
	storeEpoch, storeRevision, kept tally.Gauge
}

// New returns a Watcher that has not read the store yet.
func New(o Options) *Watcher {
	scope := o.Scope.SubScope("catalogue")
	return &Watcher{
		Options:     o,
		awaitBudget: rate.NewLimiter(rate.Every(standbyInterval), awaitBurst),
		metrics: metrics{
			changedRecords: scope.Counter("changes"),
			refused:        scope.Counter("reads_refused"),
			awaits:         scope.Counter("awaits"),
			readDuration:   scope.Histogram("reading_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
			lag:            scope.Histogram("change_lag_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)),
			storeEpoch:     scope.Gauge("store_epoch"),
			storeRevision:  scope.Gauge("store_revision"),
			kept:           scope.Gauge("kept"),
		},
	}
}

// Known returns the time at which the catalogue was last known to be complete, and the
// time since which it has been known at all; 0 for never.
func (w *Watcher) Known() (last, since int64) { return w.known.Load(), w.since.Load() }

// ApplyDelta applies a delta of the given age that a peer passed on, and reports
// whether it is contiguous with what is known.
func (w *Watcher) ApplyDelta(d catalogue.Delta, age time.Duration) bool {
	now, before := w.Clock(), w.Mirror.Snapshot().Position
	changed, ok := w.Mirror.Apply(d, now, age)
	if !ok {
		return false
	}
	w.report(changed, "peer", age)
	w.reportKept(d.Epoch, before.Epoch)
	w.advanceKnown(now - int64(age))
	return true
}

// Confirm records that the store was at the given position the given age ago.
func (w *Watcher) Confirm(p catalogue.Position, age time.Duration) {
	if p.Revision != 0 && p == w.Mirror.Snapshot().Position {
		w.advanceKnown(w.Clock() - int64(age))
	}
}

// advanceKnown advances the time at which the catalogue was last known to be complete.
func (w *Watcher) advanceKnown(at int64) {
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

// Run reads the store as scheduled by the plan until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		wait := time.Duration(w.Plan.NextRead(w.known.Load(), w.Peers()) - w.Clock())
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

// Refresh reads the store for a packet that requires newer data, unless a read has just
// succeeded or failed.
func (w *Watcher) Refresh(ctx context.Context) {
	if w.Plan.MayRead(w.Clock()) {
		w.readOnce(ctx, false)
	}
}

// readOnce reads the store. Concurrent calls share one read.
func (w *Watcher) readOnce(ctx context.Context, planned bool) {
	_, _, _ = w.reads.Do("", func() (any, error) {
		w.readNow(ctx, planned)
		return nil, nil
	})
}

func (w *Watcher) readNow(ctx context.Context, planned bool) {
	began, before := w.Clock(), w.Mirror.Snapshot().Position
	if err := w.read(ctx, before); err != nil {
		w.Plan.RecordFailure(w.Clock(), w.Peers())
		w.logFailure(began, err)
		return
	}
	w.Plan.RecordSuccess(began, planned)
	w.logRecovery()
	w.advanceKnown(began)
	w.metrics.readDuration.RecordDuration(time.Duration(w.Clock() - began))
	w.OnRead(before)
}

// read updates the mirror from its position to the store's.
func (w *Watcher) read(ctx context.Context, before catalogue.Position) error {
	if before.Revision == 0 {
		return w.readAll(ctx, before)
	}
	position, err := w.Source.Position(ctx)
	if err != nil {
		return err
	}
	w.observe(position)
	switch {
	case position == before:
		return nil
	case position.Epoch != before.Epoch:
		return w.readAll(ctx, before)
	}
	delta, err := w.Source.Changes(ctx, before.Revision)
	if err != nil || delta.Epoch != before.Epoch {
		return w.readAll(ctx, before)
	}
	delta = contiguous(delta)
	if delta.Revision < position.Revision {
		return w.readAll(ctx, before)
	}
	return w.apply(delta, before)
}

// contiguous truncates the delta before the first missing revision: a watch that has
// missed changes may skip them silently.
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

func (w *Watcher) readAll(ctx context.Context, before catalogue.Position) error {
	delta, err := w.Source.All(ctx)
	if err != nil {
		return err
	}
	return w.apply(delta, before)
}

// apply applies a delta that was read from the store when the mirror was at the given
// position. It returns an error of the class Refused if the mirror does not take the
// delta, unless a peer has advanced the mirror meanwhile.
func (w *Watcher) apply(d catalogue.Delta, before catalogue.Position) error {
	w.observe(d.Position())
	changed, ok := w.Mirror.Apply(d, w.Clock(), 0)
	if ok {
		w.report(changed, "store", 0)
		w.reportKept(d.Epoch, before.Epoch)
		return nil
	}
	current := w.Mirror.Snapshot().Position
	if current.Compare(before) > 0 {
		return nil
	}
	w.metrics.refused.Inc(1)
	return Refused.New("store at epoch %d, revision %d; catalogue at epoch %d, revision %d", d.Epoch, d.Revision, current.Epoch, current.Revision)
}

// reportKept logs how much of the catalogue is kept when a delta leads to a new epoch, and
// keeps the metric up to date until nothing is.
func (w *Watcher) reportKept(epoch, before uint64) {
	restored := before != 0 && epoch != before
	if !restored && w.kept.Load() == 0 {
		return
	}
	kept := w.Mirror.Kept()
	w.kept.Store(int64(kept))
	w.metrics.kept.Update(float64(kept))
	if restored {
		w.Log.Info("Catalogue follows the restored store.", "epoch", epoch, "kept", kept)
	}
}

// observe records the position that was read from the store, and logs a new epoch.
func (w *Watcher) observe(p catalogue.Position) {
	w.metrics.storeEpoch.Update(float64(p.Epoch))
	w.metrics.storeRevision.Update(float64(p.Revision))
	if w.storeEpoch != 0 && p.Epoch != w.storeEpoch {
		w.Log.Warn("Store has been restored from an earlier copy.", "store_epoch", p.Epoch, "store_revision", p.Revision,
			"revision", w.Mirror.Snapshot().Revision)
	}
	w.storeEpoch = p.Epoch
}

// report counts the changed records and logs one line for each, or a single line for
// more than maxLines.
func (w *Watcher) report(changed []catalogue.Record, source string, age time.Duration) {
	w.metrics.changedRecords.Inc(int64(len(changed)))
	if known := w.known.Load(); known != 0 && len(changed) > 0 {
		// The change is more recent than the last read that did not have it.
		w.metrics.lag.RecordDuration(time.Duration(w.Clock() - known))
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

// failingPeriod is how long after a failed read the store is taken to fail, by an instance
// that has not read it since: its peers may read it for all.
const failingPeriod = 5 * time.Second

// Failing reports whether the last read of the store failed a short time ago.
func (w *Watcher) Failing() bool {
	at := w.failedAt.Load()
	return at != 0 && w.Clock()-at < int64(failingPeriod)
}

func (w *Watcher) logFailure(began int64, err error) {
	w.failedAt.Store(w.Clock())
	if w.failingSince == 0 {
		w.failingSince = began
		w.Log.Warn("Reading the store failed.", "error", err, "revision", w.Mirror.Snapshot().Revision)
	}
}

func (w *Watcher) logRecovery() {
	w.failedAt.Store(0)
	if w.failingSince != 0 {
		w.Log.Info("Store is readable again.", "after_ms", time.Duration(w.Clock()-w.failingSince).Milliseconds())
		w.failingSince = 0
	}
}
