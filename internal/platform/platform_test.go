package platform_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/platform"
	"balsamfork/internal/store"
)

const list = `[{"id":"a","dataCentre":"kuldiga","control":"10.0.0.1:7000","rack":"7"},
{"id":"b","control":"10.0.0.2:7000","leaving":true}]`

// held is a store with one value, or an error.
type held struct {
	store.Store
	data  string
	err   error
	calls int
}

func (h *held) Get(context.Context, string) (store.Value, error) {
	h.calls++
	return store.Value{Data: []byte(h.data)}, h.err
}

func TestParse(t *testing.T) {
	is := is.New(t)
	got, err := platform.Parse([]byte(list))
	is.NoErr(err)
	is.Equal(len(got), 2)
	is.Equal(got[0].DataCentre, "kuldiga")
	is.Equal(got[1].State, fleet.Leaving)
	for _, bad := range []string{"", "{}", `[{"id":"a"}]`, `[{"control":"10.0.0.1:7000"}]`, `[{"id":"a","control":"there"}]`} {
		_, err := platform.Parse([]byte(bad))
		is.True(platform.Malformed.Has(err))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(list))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := platform.Parse(data)
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

func TestReaderKeepsTheListThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &held{err: store.Unavailable.New("down")}
		lists := 0
		r := platform.New(s, func(got []fleet.Instance) { lists++ }, 1, slog.New(slog.DiscardHandler), tally.NoopScope)
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		is.Equal(lists, 0)
		is.True(s.calls >= 10 && s.calls <= 30)
		s.err, s.data = nil, list
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		is.True(lists >= 1)
		before := lists
		s.data = "torn"
		time.Sleep(5 * time.Minute)
		synctest.Wait()
		is.Equal(lists, before)
		stop()
		synctest.Wait()
	})
}
