package confsync

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/config"
	"balsamfork/internal/confstore"
	"balsamfork/internal/store"
)

// recoveryPullLimit is how long a recovery waits for a version that a peer has reported
// and that is newer than the one in force here.
const recoveryPullLimit = 2 * time.Second

// restoredSince reports whether the store was restored from a backup between two reads.
func restoredSince(known, read confstore.Snapshot) bool {
	return known.Position.Epoch != 0 && read.Position.Epoch > known.Position.Epoch
}

// recoverVersion writes a version to a restored store on which the store and the
// instances agree again. Instances that do so at the same time propose the same change.
// It tries again while the store is unavailable; any other error is logged and left to
// the operator.
func (s *Syncer) recoverVersion(ctx context.Context, restored confstore.Snapshot) {
	for end := time.Now().Add(recoveryPullLimit); s.behind() && time.Now().Before(end); {
		sleep(ctx, pullRetryDelay, nil)
	}
	inForce := s.State()
	if inForce == nil {
		return
	}
	change := config.Change{
		ID:   fmt.Sprintf("recovery of version %d (%s) in epoch %d", inForce.Version, inForce.ChangeID(), restored.Position.Epoch),
		Who:  string(s.self),
		When: time.Now(),
		What: fmt.Sprintf("recover version %d after a restore of the store", inForce.Version),
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minReadBackoff, maxReadBackoff
	for ctx.Err() == nil {
		outcome, err := s.store.Propose(ctx, config.Recover(inForce), change)
		if err == nil {
			s.holder.log.Warn("Store was restored from a backup.", "epoch", restored.Position.Epoch, "stored", restored.Version(),
				"in_force", inForce.Version, "agreed", outcome.Version)
			return
		}
		s.holder.metrics.recoveryFailures.Inc(1)
		if !store.Unavailable.Has(err) && !store.OutcomeUnknown.Has(err) {
			s.holder.log.Error("Failed to recover the configuration after a restore of the store.", "err", err)
			return
		}
		sleep(ctx, s.nextBackoff(retry), nil)
	}
}
