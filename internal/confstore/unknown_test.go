package confstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// TestUnknownOutcome loses the answer to the swap of the head and takes the
// store down before the outcome can be determined. Repeating the same change
// must then report that it was accepted.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		doc := document(2, 2)
		_, err := b.repository().Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		b.crashAfterSwap.Store(true)
		_, err = b.repository().Apply(b.ctx, withDrainedServer(t, doc, 0, 0), change("two", 1))
		is.True(store.OutcomeUnknown.Has(err) && !store.Unavailable.Has(err))
		time.Sleep(time.Minute)
		repeated, err := b.repository().Apply(b.ctx, withDrainedServer(t, doc, 0, 0), change("two", 1))
		is.NoErr(err)
		is.True(repeated.AlreadyApplied)
		is.Equal(repeated.Version, config.Version(2))
	})
}
