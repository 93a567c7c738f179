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
	// pullAgain is the pause before pulling again when no peer answered.
	pullAgain = 250 * time.Millisecond
	// pullTries is how many peers are asked in one round.
	pullTries = 3
	// tellTimeout bounds telling one peer, tellAtOnce how many are told at a time.
	tellTimeout = time.Second
	tellAtOnce  = 16
)

// pullLoop pulls whenever a peer has told of a newer version, and while there is
// none in force here.
func (s *Syncer) pullLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		again := s.pull(ctx)
		if again {
			sleep(ctx, s.jitter(pullAgain), s.wake)
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
	return nil
}

// pull makes one round and reports whether there is still something to pull.
func (s *Syncer) pull(ctx context.Context) bool {
	view, _ := s.snapshot()
	fresh := s.holder.version() == 0
	s.mu.Lock()
	candidates := s.offers.pick(view, s.holder.wants, fresh, time.Now(), s.random)
	s.mu.Unlock()
	for i, id := range candidates {
		if i == pullTries {
			break
		}
		if s.pullFrom(ctx, id) {
			return s.behind()
		}
	}
	return s.behind()
}

// behind reports whether a peer has told of a version that is wanted here, or
// nothing is in force yet.
func (s *Syncer) behind() bool {
	if s.holder.version() == 0 {
		return true
	}
	s.offers.mu.Lock()
	defer s.offers.mu.Unlock()
	for _, p := range s.offers.peers {
		if s.holder.wants(p.version) {
			return true
		}
	}
	return false
}

// pullFrom asks one peer and reports whether a newer version came into force.
func (s *Syncer) pullFrom(ctx context.Context, id fleet.ID) bool {
	s.holder.metrics.pulls.Inc(1)
	base := s.State()
	callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var result getResult
	if err := s.peers.Call(callCtx, id, MethodGet, base.Held(), &result); err != nil {
		s.holder.metrics.failures.Inc(1)
		s.offers.fail(id, time.Now())
		return false
	}
	s.offers.note(id, result.Version, time.Now())
	if result.Delta == nil {
		s.offers.fail(id, time.Now())
		return false
	}
	next, err := result.Delta.Apply(base)
	if err != nil {
		s.holder.refuse(result.Version, fromPeer, err)
		s.offers.fail(id, time.Now())
		return false
	}
	if !s.bringIntoForce(ctx, next, fromPeer) {
		s.offers.fail(id, time.Now())
		return false
	}
	s.releaseWatch()
	return true
}

// bringIntoForce adopts a version and passes it on if this instance watches.
func (s *Syncer) bringIntoForce(ctx context.Context, next *config.State, from source) bool {
	if !s.holder.adopt(next, from) {
		return false
	}
	_, r := s.snapshot()
	if len(r.tell) > 0 {
		go s.tell(ctx, r.tell, next.Version)
	}
	return true
}

// tell tells peers of a version. Whoever is missed notices with the next message.
func (s *Syncer) tell(ctx context.Context, ids []fleet.ID, v config.Version) {
	var group errgroup.Group
	group.SetLimit(tellAtOnce)
	for _, id := range ids {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			_ = s.peers.Notify(ctx, id, MethodVersion, versionParams{Version: v})
			return nil
		})
	}
	_ = group.Wait()
}
