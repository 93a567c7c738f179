package instancelist_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/instancelist"
	"balsamfork/internal/store"
)

const list = `[{"id":"a","dataCentre":"kuldiga","control":"10.0.0.1:7000","rack":"7"},
{"id":"b","control":"10.0.0.2:7000","leaving":true}]`

// outageStore is a store that is unavailable for ten minutes, then returns the list
// for two minutes, and then returns a malformed value.
type outageStore struct {
	store.Store
	begin time.Time
	calls atomic.Int64
}

func (o *outageStore) Get(context.Context, string) (store.Value, error) {
	o.calls.Add(1)
	switch elapsed := time.Since(o.begin); {
	case elapsed < 10*time.Minute:
		return store.Value{}, store.Unavailable.New("down")
	case elapsed < 12*time.Minute:
		return store.Value{Data: []byte(list)}, nil
	default:
		return store.Value{Data: []byte("torn")}, nil
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	got, err := instancelist.Parse([]byte(list))
	is.NoErr(err)
	is.Equal(len(got), 2)
	is.Equal(got[0].DataCentre, "kuldiga")
	is.Equal(got[1].State, fleet.Leaving)
	for _, bad := range []string{"", "{}", `[{"id":"a"}]`, `[{"control":"10.0.0.1:7000"}]`, `[{"id":"a","control":"there"}]`} {
		_, err := instancelist.Parse([]byte(bad))
		is.True(instancelist.Malformed.Has(err))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(list))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := instancelist.Parse(data)
		if err != nil && got != nil {
			t.Fatal("both a list and an error")
		}
		for _, i := range got {
			if i.ID == "" || !i.Control.IsValid() {
				t.Fatalf("accepted %+v", i)
			}
		}
	})
}

func TestReaderRetriesAndKeepsLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &outageStore{begin: time.Now()}
		var lists atomic.Int64
		r := instancelist.New(s, func([]fleet.Instance) { lists.Add(1) }, 1, slog.New(slog.DiscardHandler), tally.NoopScope)
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		is.Equal(lists.Load(), int64(0))
		is.True(s.calls.Load() >= 10 && s.calls.Load() <= 30)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		is.True(lists.Load() >= 1)
		before := lists.Load()
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		is.Equal(lists.Load(), before)
		stop()
		synctest.Wait()
	})
}
