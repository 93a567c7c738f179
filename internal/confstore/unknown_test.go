package confstore

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// TestUnknownOutcome loses the answer to the head's swap and takes the store
// down before the outcome can be found out. The same change is then repeated.
func TestUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t)
		doc := document(2, 2)
		_, err := b.repository().Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		b.crash.Store(true)
		_, err = b.repository().Apply(b.ctx, drained(t, doc, 0, 0), change("two", 1))
		is.True(store.Unknown.Has(err) && !store.Unavailable.Has(err))
		time.Sleep(time.Minute)
		again, err := b.repository().Apply(b.ctx, drained(t, doc, 0, 0), change("two", 1))
		is.NoErr(err)
		is.True(again.Already)
		is.Equal(again.Version, config.Version(2))
	})
}
