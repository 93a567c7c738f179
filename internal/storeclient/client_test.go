package storeclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/store"
	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

// callTimeout is the timeout of a single call in package platform.
const callTimeout = time.Second

func newClient(transport http.RoundTripper, url string, fleetSize int) *Client {
	return New(Options{Service: platform.NewStore(platform.StoreOptions{URL: url, Transport: transport}), FleetSize: fleetSize, Random: rand.New(rand.NewPCG(1, 2))})
}

// TestErrorClasses simulates each failure of the service, in fake time, and checks the
// result or the class of the error that the client returns.
func TestErrorClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := platformtest.NewStore()
		c := newClient(server, "http://store", 1)
		ctx := t.Context()
		_, err := c.Get(ctx, "k")
		is.True(store.NotFound.Has(err))
		revision, err := c.CompareAndSwap(ctx, "k", 0, []byte("a"))
		is.NoErr(err)
		_, err = c.CompareAndSwap(ctx, "k", 0, []byte("b"))
		is.True(store.Conflict.Has(err))
		_, err = c.CompareAndSwap(ctx, "k", revision, make([]byte, store.MaxValue+1))
		is.True(store.TooLarge.Has(err))

		server.LoseResponses(1)
		_, err = c.CompareAndSwap(ctx, "k", revision, []byte("b"))
		is.True(store.OutcomeUnknown.Has(err) && !store.Unavailable.Has(err))
		value, err := c.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(value.Data), "b") // the write took effect although its response was lost

		server.ServeStaleReads(1)
		value, err = c.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(value.Data), "a")

		server.SetDelay(time.Minute)
		start := time.Now()
		_, err = c.CompareAndSwap(ctx, "k", value.Revision, nil)
		is.True(store.OutcomeUnknown.Has(err))
		_, err = c.Get(ctx, "k")
		is.True(store.Unavailable.Has(err))
		is.True(time.Since(start) < 4*callTimeout+2*maxRetryDelay)
		server.SetDelay(0)

		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = c.Get(ended, "k")
		is.True(store.Unavailable.Has(err))
	})
}

// TestCircuitBreaker checks that few calls reach a service that is down, and that calls
// succeed again when it is up.
func TestCircuitBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := platformtest.NewStore()
		server.SetDown(true)
		c := newClient(server, "http://store", 1)
		for range 600 {
			_, err := c.CompareAndSwap(t.Context(), "k", 0, nil)
			is.True(store.Unavailable.Has(err)) // rejected before it took effect
			_, err = c.Watch(t.Context(), "k", store.Position{})
			is.True(store.Unavailable.Has(err))
			time.Sleep(100 * time.Millisecond)
		}
		calls := server.Counts().Writes + server.Counts().Reads
		is.True(calls <= tripFailures+2*60) // of 1,200 in a minute: at most two for each time the breaker is half-open
		server.SetDown(false)
		time.Sleep(2 * minOpenTime)
		_, err := c.CompareAndSwap(t.Context(), "k", 0, nil)
		is.NoErr(err)
	})
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := platformtest.NewStore()
		c := newClient(server, "http://store", 1)
		ctx := t.Context()
		go func() {
			time.Sleep(3 * watchWait)
			_, _ = c.CompareAndSwap(ctx, "k", 0, []byte("a"))
		}()
		value, err := c.Watch(ctx, "k", store.Position{})
		is.NoErr(err)
		is.Equal(string(value.Data), "a")
		is.True(server.Counts().Reads <= 4) // one for each long poll
		go func() {
			time.Sleep(time.Second)
			server.SetDown(true)
		}()
		_, err = c.Watch(ctx, "k", value.Position)
		is.True(store.Unavailable.Has(err))
	})
}

// TestWatchAfterRestore guards against a value that a watch never returns because the
// service was restored from a backup and has given out its revision before.
func TestWatchAfterRestore(t *testing.T) {
	for writes := range 4 { // up to one revision more than the one that was seen
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			server := platformtest.NewStore()
			c := newClient(server, "http://store", 1)
			server.Put("k", "a")
			backup := server.Backup()
			server.Put("other", "b")
			server.Put("k", "c")
			seen, err := c.Get(t.Context(), "k")
			is.NoErr(err)
			server.SetDown(true)
			server.Restore(backup)
			for range writes {
				server.Put("k", "d")
			}
			server.SetDown(false)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			began := time.Now()
			value, err := c.Watch(ctx, "k", seen.Position)
			is.NoErr(err)
			is.Equal(value.Epoch, uint64(2))
			is.True(string(value.Data) != "c")
			is.True(time.Since(began) < time.Second)
		})
	}
}

// TestBoundRates lets the clients of fleets of several sizes call continuously
// for a minute of fake time and counts the calls of each second.
func TestBoundRates(t *testing.T) {
	for _, fleet := range []int{1, 18, 100, 410} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			server := platformtest.NewStore()
			for i := range fleet {
				c := New(Options{Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: server}), FleetSize: fleet, Random: rand.New(rand.NewPCG(1, uint64(i)))})
				go func() {
					for ctx.Err() == nil {
						_, _ = c.Get(ctx, "k")
					}
				}()
				go func() {
					for ctx.Err() == nil {
						_, _ = c.CompareAndSwap(ctx, "k", 1, nil)
					}
				}()
			}
			reads, writes := 0, 0
			for range 60 {
				before := server.Counts()
				time.Sleep(time.Second)
				now := server.Counts()
				reads, writes = max(reads, now.Reads-before.Reads), max(writes, now.Writes-before.Writes)
			}
			synctest.Wait()
			t.Logf("fleet of %d: at most %d reads and %d writes a second", fleet, reads, writes)
			is.True(reads <= fleetReadRate)
			is.True(writes <= fleetWriteRate)
			is.Equal(server.Counts().Refused, 0)
		})
	}
}

// TestSockets calls a service over loopback sockets, and then a closed port.
func TestSockets(t *testing.T) {
	is := is.New(t)
	handler := platformtest.NewStore()
	server := httptest.NewServer(handler)
	c := newClient(nil, server.URL, 1)
	revision, err := c.CompareAndSwap(t.Context(), "a/b c", 0, []byte{0, 1})
	is.NoErr(err)
	value, err := c.Watch(t.Context(), "a/b c", store.Position{Epoch: 1, Revision: revision - 1})
	is.NoErr(err)
	is.Equal(value.Data, []byte{0, 1})
	handler.LoseResponses(1)
	_, err = c.CompareAndSwap(t.Context(), "a/b c", revision, nil)
	is.True(store.OutcomeUnknown.Has(err))
	server.Close()
	_, err = c.CompareAndSwap(t.Context(), "a/b c", revision, nil)
	is.True(store.Unavailable.Has(err))
	var refused *net.OpError
	is.True(errors.As(err, &refused))
}
