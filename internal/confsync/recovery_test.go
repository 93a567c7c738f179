package confsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/confstore"
)

// TestRecoveryAfterRestore guards against a confirmed version that is not in force because
// the store was restored from a backup: one that the store has lost comes back to it, and
// one that is accepted after the restore comes into force although its number was given
// out before. The instances never return to an older version.
func TestRecoveryAfterRestore(t *testing.T) {
	for _, accepted := range []int{0, 1, 2, 3} { // versions accepted after the restore, up to one more than were lost
		t.Run(fmt.Sprint(accepted, " accepted"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBed(t, 3, 3)
				defer b.stopAll()
				operator := b.operator()
				b.applySteps(is, operator, 1, 3)
				backup := b.store.Backup()
				b.applySteps(is, operator, 4, 2)
				b.startAll()
				time.Sleep(5 * time.Second)
				lost := b.nodes["dc0-00"].sync.State()
				is.Equal(lost.Version, config.Version(5))

				b.store.SetDown(true)
				b.store.Restore(backup)
				time.Sleep(2 * time.Second)
				b.store.SetDown(false)
				b.applySteps(is, operator, 100, accepted)
				after, err := operator.Read(t.Context(), confstore.Snapshot{})
				is.NoErr(err)
				want := after.State.Document()
				if accepted == 0 {
					want = lost.Document()
				}
				time.Sleep(30 * time.Second)
				stored, err := operator.Read(t.Context(), confstore.Snapshot{})
				is.NoErr(err)
				is.Equal(stored.State.Document(), want)
				for _, n := range b.nodes {
					is.Equal(n.sync.State(), stored.State)
				}

				version, err := b.apply(operator, 200)
				is.NoErr(err)
				time.Sleep(5 * time.Second)
				low, count := b.lowest()
				is.Equal(low, version)
				is.Equal(count, len(b.nodes))
				for _, n := range b.nodes {
					is.NoErr(n.orderError())
				}
				_, err = operator.Audit(b.ctx, 0)
				is.NoErr(err)
			})
		})
	}
}

// applySteps applies changes one after the other.
func (b *testBed) applySteps(is *is.I, operator *confstore.Repository, first, count int) {
	for step := first; step < first+count; step++ {
		_, err := b.apply(operator, step)
		is.NoErr(err)
	}
}
