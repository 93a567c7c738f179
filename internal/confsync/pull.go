package confsync

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

const (
	// pullTimeout bounds one pull.
	pullTimeout = time.Second
	// pullRetryDelay bounds the delay before the next round if there is still a
	// version to pull.
	pullRetryDelay = 250 * time.Millisecond
	// maxPeersPerRound bounds the number of peers tried in one round.
	maxPeersPerRound = 3
	// notifyTimeout bounds the notification of one peer, and
	// maxConcurrentNotifications the notifications in progress.
	notifyTimeout              = time.Second
	maxConcurrentNotifications = 16
)

// pullLoop pulls whenever a peer reports a newer version, and as long as no
// version is in force here.
func (s *Syncer) pullLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		more := s.pullRound(ctx)
		if more {
			sleep(ctx, s.jitter(pullRetryDelay), s.pullNeeded)
			continue
		}
		select {
		case <-s.pullNeeded:
		case <-ctx.Done():
		}
	}
	return nil
}

// pullRound pulls from at most maxPeersPerRound peers in turn, until one yields
// a newer version, and reports whether there is still a version to pull.
func (s *Syncer) pullRound(ctx context.Context) bool {
	view, _ := s.viewAndRole()
	unconfigured := s.holder.version() == 0
	s.mu.Lock()
	candidates := s.peerReports.pullCandidates(view, s.holder.wants, unconfigured, time.Now(), s.random)
	s.mu.Unlock()
	for i, id := range candidates {
		if i == maxPeersPerRound {
			break
		}
		if s.pullFrom(ctx, id) {
			return s.behind()
		}
	}
	return s.behind()
}

// behind reports whether a peer has reported a version that is wanted here, or
// no version is in force yet.
func (s *Syncer) behind() bool {
	if s.holder.version() == 0 {
		return true
	}
	s.peerReports.mu.Lock()
	defer s.peerReports.mu.Unlock()
	for _, p := range s.peerReports.peers {
		if s.holder.wants(p.version) {
			return true
		}
	}
	return false
}

// pullFrom pulls from one peer and reports whether a newer version came into
// force.
func (s *Syncer) pullFrom(ctx context.Context, id fleet.ID) bool {
	s.holder.metrics.pulls.Inc(1)
	base := s.State()
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result getResult
	if err := s.peers.Call(callCtx, id, MethodGet, base.VersionID(), &result); err != nil {
		s.holder.metrics.pullFailures.Inc(1)
		s.peerReports.recordFailure(id, time.Now())
		return false
	}
	s.peerReports.record(id, result.Version, time.Now())
	if result.Delta == nil {
		s.peerReports.recordFailure(id, time.Now())
		return false
	}
	next, err := result.Delta.Apply(base)
	if err != nil {
		s.holder.refuse(result.Version, fromPeer, err)
		s.peerReports.recordFailure(id, time.Now())
		return false
	}
	if !s.activate(ctx, next, fromPeer) {
		s.peerReports.recordFailure(id, time.Now())
		return false
	}
	s.cancelUnneededWatch()
	return true
}

// activate adopts a version, notifies peers if this instance is a watcher, and
// reports whether it was adopted.
func (s *Syncer) activate(ctx context.Context, next *config.State, from source) bool {
	if !s.holder.adopt(next, from) {
		return false
	}
	_, r := s.viewAndRole()
	if len(r.notifyPeers) > 0 {
		go s.notifyPeers(ctx, r.notifyPeers, next.Version)
	}
	return true
}

// notifyPeers notifies peers of a version. A peer that misses it learns of the
// version from the next message.
func (s *Syncer) notifyPeers(ctx context.Context, ids []fleet.ID, v config.Version) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentNotifications)
	for _, id := range ids {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			_ = s.peers.Notify(ctx, id, MethodVersion, versionParams{Version: v})
			return nil
		})
	}
	_ = group.Wait()
}
