package watch

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
)

const (
	// awaitTimeout is how long the store is asked to wait for a change. A connection that
	// has gone silent is not used for longer.
	awaitTimeout = 10 * time.Second
	// awaitSpacing is the minimum time between two waits: servers that start together
	// register within a short time.
	awaitSpacing = 20 * time.Millisecond
	// readerInterval, standbyInterval and awaitBurst limit the waits that end with a change
	// which is not urgent, in a series of changes: the mean time between them at the regular
	// reader and at a standby, and how many may follow one another at once.
	readerInterval  = 200 * time.Millisecond
	standbyInterval = time.Second
	awaitBurst      = 5
	// standbyDelay is how long a standby leaves a change to the regular reader, which
	// usually reads and announces it sooner.
	standbyDelay = 20 * time.Millisecond
)

// Await waits for backend servers that start again, and reads the store at each, until the
// context ends. Such a server is cold, and gets its usual flows until that is known. The
// regular reader does this, and a few standbys: one of them that is lost or paused delays
// nothing. Errors of the store are counted by the Source, and repeated with a backoff.
func (w *Watcher) Await(ctx context.Context) {
	backoff := minBackoff
	var seen catalogue.Position
	for ctx.Err() == nil {
		position := w.Mirror.Snapshot().Position
		if position.Revision == 0 || !w.Plan.Awaits(w.Clock()) {
			w.awaitFailed.Store(false)
			select {
			case <-ctx.Done():
			case <-w.Plan.started:
			}
			continue
		}
		if seen.Epoch == position.Epoch {
			position.Revision = max(position.Revision, seen.Revision)
		}
		w.metrics.awaits.Inc(1)
		delta, err := w.Source.AwaitServers(ctx, position.Revision, awaitTimeout)
		w.awaitFailed.Store(err != nil && !catalogue.HistoryGone.Has(err))
		switch {
		case catalogue.HistoryGone.Has(err):
			w.readChange(ctx, catalogue.Position{Epoch: position.Epoch, Revision: position.Revision + 1})
			sleep(ctx, minBackoff)
		case err != nil:
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		case len(delta.Records) > 0:
			last := delta.Records[len(delta.Records)-1]
			seen = catalogue.Position{Epoch: delta.Epoch, Revision: last.Revision}
			if w.isUrgent(delta) {
				w.readChange(ctx, seen)
				sleep(ctx, awaitSpacing)
			} else {
				sleep(ctx, max(awaitSpacing, w.delayAfterChange()))
			}
		}
		backoff = minBackoff
	}
}

// delayAfterChange returns how long the next wait is put off after a change that is not
// urgent.
func (w *Watcher) delayAfterChange() time.Duration {
	interval := standbyInterval
	if w.Plan.Regular() {
		interval = readerInterval
	}
	w.awaitBudget.SetLimit(rate.Every(interval))
	return w.awaitBudget.Reserve().Delay()
}

// isUrgent reports whether changes show that a server in use is cold, which the catalogue
// does not know: it has started again, or got no flows for a while. Other changes have
// bounds of seconds, and are left to the next regular read.
func (w *Watcher) isUrgent(d catalogue.Delta) bool {
	snap, now := w.Mirror.Snapshot(), w.Clock()
	if d.Epoch != snap.Epoch {
		return true
	}
	for _, r := range d.Records {
		if r.Server == nil {
			continue
		}
		b := snap.ByCookie(cookie.Of(r.Name))
		if b != nil && b.Name == r.Name && (b.Started != r.Server.Started || r.Server.Warmup > 0 && !b.Cold(now)) {
			return true
		}
	}
	return false
}

// readChange reads the store until the mirror has a change, unless the regular reader
// has announced it meanwhile.
func (w *Watcher) readChange(ctx context.Context, changed catalogue.Position) {
	regular := w.Plan.Regular()
	if !regular {
		sleep(ctx, standbyDelay)
	}
	// A read in progress may have begun before the change.
	for range 2 {
		if w.Mirror.Snapshot().Position.Compare(changed) >= 0 {
			return
		}
		w.readOnce(ctx, regular)
	}
}

// Awaiting reports whether this instance waits for changes, and the store lets it.
func (w *Watcher) Awaiting() bool { return w.Plan.Awaits(w.Clock()) && !w.awaitFailed.Load() }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
