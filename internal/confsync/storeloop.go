package confsync

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/confstore"
	"balsamfork/internal/store"
)

const (
	// initialReadDelay bounds how long a newly started instance waits for a
	// configuration from a peer before it reads the store.
	initialReadDelay = 400 * time.Millisecond
	// peerSilenceTimeout is how long all peers must be silent before an
	// instance that is not a watcher reads the store.
	peerSilenceTimeout = 10 * time.Second
	// minReadBackoff and maxReadBackoff bound the backoff after a failed read
	// of the store, and maxUnconfiguredBackoff bounds it for an instance with
	// no version in force, which cannot serve.
	minReadBackoff         = 200 * time.Millisecond
	maxReadBackoff         = 15 * time.Second
	maxUnconfiguredBackoff = 800 * time.Millisecond
)

// storeLoop watches the store while this instance is a watcher, has no version
// in force, or has heard from no peer for peerSilenceTimeout.
func (s *Syncer) storeLoop(ctx context.Context) error {
	sleep(ctx, s.jitter(initialReadDelay), nil)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minReadBackoff, maxReadBackoff
	var known confstore.Snapshot
	for ctx.Err() == nil {
		if wait := s.untilStoreRead(); wait > 0 {
			sleep(ctx, wait, s.viewChanged)
			continue
		}
		snapshot, err := s.watchOnce(ctx, known)
		if err != nil && s.untilStoreRead() > 0 {
			continue
		}
		if err != nil {
			s.holder.metrics.storeReadFailures.Inc(1)
			// Unlike a failed call, an unreadable configuration rarely recovers
			// by itself, so it is logged. Retries continue, with a backoff that
			// rises to its maximum, until it is readable again.
			if !store.Unavailable.Has(err) {
				s.holder.log.Error("Stored configuration cannot be read.", "err", err)
			}
			sleep(ctx, s.nextBackoff(retry), nil)
			continue
		}
		retry.Reset()
		if restoredSince(known, snapshot) {
			s.recoverVersion(ctx, snapshot)
		}
		known = snapshot
		s.activate(ctx, snapshot.State, fromStore)
	}
	return nil
}

// nextBackoff returns the next backoff. ExponentialBackOff randomises around
// its interval and may exceed it, so the bound is applied here.
func (s *Syncer) nextBackoff(retry *backoff.ExponentialBackOff) time.Duration {
	next := min(retry.NextBackOff(), s.jitter(maxReadBackoff))
	if s.holder.version() == 0 {
		return min(next, s.jitter(maxUnconfiguredBackoff))
	}
	return next
}

// untilStoreRead returns the time until this instance should read the store if
// its role stays the same and no peer reports a version. Zero means now.
func (s *Syncer) untilStoreRead() time.Duration {
	_, r := s.viewAndRole()
	if r.watches || s.holder.version() == 0 {
		return 0
	}
	return max(0, peerSilenceTimeout-s.peerReports.sinceLastReport(time.Now()))
}

// watchOnce waits for a head newer than that of known. It is cancelled when
// this instance no longer needs to watch. Records of the version in force are
// not read again.
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
