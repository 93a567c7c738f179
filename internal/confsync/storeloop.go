package confsync

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/confstore"
	"balsamfork/internal/store"
)

const (
	// startGrace is how long an instance that has just started waits for a peer
	// to give it a configuration before it reads the store.
	startGrace = 400 * time.Millisecond
	// silentAfter is how long all peers must be silent before an instance that
	// does not watch reads the store.
	silentAfter = 10 * time.Second
	// firstPause and lastPause bound the pause after a failed read of the store,
	// and freshPause that of an instance with nothing in force, which cannot serve.
	firstPause = 200 * time.Millisecond
	lastPause  = 15 * time.Second
	freshPause = 800 * time.Millisecond
)

// storeLoop watches the store while this instance has reason to.
func (s *Syncer) storeLoop(ctx context.Context) error {
	sleep(ctx, s.jitter(startGrace), nil)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, lastPause
	var known confstore.Snapshot
	for ctx.Err() == nil {
		if wait := s.untilStore(); wait > 0 {
			sleep(ctx, wait, s.turn)
			continue
		}
		snapshot, err := s.watchOnce(ctx, known)
		if err != nil && s.untilStore() > 0 {
			continue
		}
		if err != nil {
			s.holder.metrics.storeFail.Inc(1)
			// Unlike a failed call, a stored form that cannot be read will not do
			// better soon; the longest pause still finds out when it does.
			if !store.Unavailable.Has(err) {
				s.holder.log.Error("Stored configuration cannot be read.", "err", err)
			}
			sleep(ctx, s.afterFailure(pause), nil)
			continue
		}
		pause.Reset()
		known = snapshot
		s.bringIntoForce(ctx, snapshot.State, fromStore)
	}
	return nil
}

// afterFailure returns the next pause. The back-off draws around its interval, so
// that it is bounded here.
func (s *Syncer) afterFailure(pause *backoff.ExponentialBackOff) time.Duration {
	next := min(pause.NextBackOff(), s.jitter(lastPause))
	if s.holder.version() == 0 {
		return min(next, s.jitter(freshPause))
	}
	return next
}

// untilStore returns how long there is no reason to read the store, at least
// unless the role changes; zero means that there is one.
func (s *Syncer) untilStore() time.Duration {
	_, r := s.snapshot()
	if r.watches || s.holder.version() == 0 {
		return 0
	}
	return max(0, silentAfter-s.offers.silence(time.Now()))
}

// watchOnce waits for a head that known does not have, and gives up when this
// instance need not watch any more. Records in force need no read.
func (s *Syncer) watchOnce(ctx context.Context, known confstore.Snapshot) (confstore.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelWatch = cancel
	s.mu.Unlock()
	if state := s.State(); state != nil {
		known.State = state
	}
	return s.store.Watch(ctx, known)
}
