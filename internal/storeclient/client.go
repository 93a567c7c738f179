package storeclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/store"
)

const (
	// callTimeout bounds one call other than a watch.
	callTimeout = 2 * time.Second
	// watchWait is how long one poll of a watch waits at the service, and
	// watchSlack what it may take beyond that.
	watchWait  = 25 * time.Second
	watchSlack = 5 * time.Second
	// readAttempts bounds how often a read is tried.
	readAttempts = 3
	// firstRetry and lastRetry bound the pause before a read is tried again.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// tripAfter is the number of failures in a row that opens the circuit, and
	// openFor the shortest time that it stays open. Up to as much again is added
	// at random for each client.
	tripAfter = 5
	openFor   = time.Second
)

// Options is what a client is built from.
type Options struct {
	// URL is the base of the service, such as http://127.0.0.1:2379.
	URL string
	// Transport carries the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Fleet is the number of instances that share the service's rates.
	Fleet int
	// Random draws the jitter.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *slog.Logger
}

// Client is a store.Store over the network.
type Client struct {
	base    string
	http    *http.Client
	limits  *limits
	breaker *gobreaker.CircuitBreaker[any]
	log     *slog.Logger
	metrics metrics

	mu     sync.Mutex
	random *rand.Rand
}

type metrics struct {
	calls    tally.Counter
	failures tally.Counter
	refused  tally.Counter
}

var _ store.Store = (*Client)(nil)

// New returns a client. It makes no call yet.
func New(o Options) *Client {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c := &Client{
		base:   strings.TrimSuffix(o.URL, "/"),
		http:   &http.Client{Transport: o.Transport},
		limits: newLimits(o.Fleet),
		random: o.Random,
		log:    o.Log.With("part", "store"),
		metrics: metrics{
			calls:    o.Scope.Counter("store_calls"),
			failures: o.Scope.Counter("store_failures"),
			refused:  o.Scope.Counter("store_calls_held_back"),
		},
	}
	c.breaker = gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:          "store",
		Timeout:       openFor + time.Duration(o.Random.Int64N(int64(openFor))),
		ReadyToTrip:   func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= tripAfter },
		IsSuccessful:  isAnswer,
		OnStateChange: c.circuitChanged,
	})
	return c
}

// SetFleetSize sets the number of instances that share the service's rates.
func (c *Client) SetFleetSize(n int) {
	c.SetReaders(n)
	c.SetWriters(n)
}

// SetReaders sets the number of instances that share the rate of reads, where
// this is not the whole fleet.
func (c *Client) SetReaders(n int) {
	c.limits.setReaders(n)
}

// SetWriters sets the number of instances that share the rate of writes, where
// this is not the whole fleet.
func (c *Client) SetWriters(n int) {
	c.limits.setWriters(n)
}

// Get implements store.Store. It tries again while its context lasts.
func (c *Client) Get(ctx context.Context, key string) (store.Value, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, lastRetry
	value, err := backoff.Retry(ctx, func() (store.Value, error) {
		var value store.Value
		err := c.guarded(ctx, call{method: http.MethodGet, path: "keys/" + key, into: &value})
		if err != nil && !store.Unavailable.Has(err) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(pause), backoff.WithMaxTries(readAttempts))
	if err != nil && ctx.Err() != nil {
		return value, store.Unavailable.Wrap(err)
	}
	return value, err
}

// CompareAndSwap implements store.Store. It makes one attempt: only the caller
// can tell what a repeated write means.
func (c *Client) CompareAndSwap(ctx context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	if len(data) > store.MaxValue {
		return 0, store.TooLarge.New("%s: %d bytes", key, len(data))
	}
	var value store.Value
	query := url.Values{"revision": {fmt.Sprint(uint64(old))}}
	err := c.guarded(ctx, call{method: http.MethodPut, path: "keys/" + key, query: query, body: data, into: &value})
	return value.Revision, err
}

// Watch implements store.Store by long polls.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Value, error) {
	query := url.Values{"after": {fmt.Sprint(uint64(after))}, "wait": {watchWait.String()}}
	for {
		if c.breaker.State() == gobreaker.StateOpen {
			c.metrics.refused.Inc(1)
			return store.Value{}, store.Unavailable.New("%s: the circuit is open", key)
		}
		if err := c.await(ctx, false); err != nil {
			return store.Value{}, err
		}
		var value store.Value
		err := c.do(ctx, watchWait+watchSlack, call{method: http.MethodGet, path: "watch/" + key, query: query, into: &value})
		if ctx.Err() != nil {
			return store.Value{}, store.Unavailable.Wrap(ctx.Err())
		}
		// The outcome counts for the circuit, but a poll does not hold it half open.
		_, _ = c.breaker.Execute(func() (any, error) { return nil, err })
		if err != nil || value.Revision > after {
			return value, err
		}
		if value, gone := c.wentBack(ctx, key, after); gone {
			return value, nil
		}
	}
}

// wentBack returns the value of a key that is at a revision before the one that
// was seen: the store lost data, and a watch would not tell before it is past it.
func (c *Client) wentBack(ctx context.Context, key string, seen store.Revision) (store.Value, bool) {
	if seen == 0 {
		return store.Value{}, false
	}
	value, err := c.Get(ctx, key)
	return value, err == nil && value.Revision < seen
}

// Lease implements store.Store.
func (c *Client) Lease(ctx context.Context, key, holder string, ttl time.Duration) (store.Lease, error) {
	body, err := json.Marshal(map[string]any{"holder": holder, "ttlMillis": ttl.Milliseconds()})
	if err != nil {
		return store.Lease{}, store.Unavailable.Wrap(err)
	}
	var lease store.Lease
	err = c.guarded(ctx, call{method: http.MethodPost, path: "leases/" + key, body: body, into: &lease})
	return lease, err
}

// guarded makes one call within the limits and through the circuit.
func (c *Client) guarded(ctx context.Context, k call) error {
	if err := c.await(ctx, k.isWrite()); err != nil {
		return err
	}
	_, err := c.breaker.Execute(func() (any, error) {
		return nil, c.do(ctx, callTimeout, k)
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		c.metrics.refused.Inc(1)
		return store.Unavailable.New("%s: the circuit is open", k.path)
	}
	return err
}

// await waits until the limits allow a call.
func (c *Client) await(ctx context.Context, isWrite bool) error {
	limiter := c.limits.reads
	if isWrite {
		limiter = c.limits.writes
		if err := c.spread(ctx); err != nil {
			return store.Unavailable.Wrap(err)
		}
	}
	if err := limiter.Wait(ctx); err != nil {
		return store.Unavailable.Wrap(err)
	}
	return nil
}

// spread waits for a random part of the time over which writes are spread.
func (c *Client) spread(ctx context.Context) error {
	over := c.limits.spread.Load()
	if over == 0 {
		return nil
	}
	c.mu.Lock()
	pause := time.Duration(c.random.Int64N(over))
	c.mu.Unlock()
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isAnswer reports whether the service answered as it should.
func isAnswer(err error) bool {
	return err == nil || store.NotFound.Has(err) || store.Conflict.Has(err) || store.TooLarge.Has(err)
}

func (c *Client) circuitChanged(_ string, _, to gobreaker.State) {
	c.log.Warn("Circuit to the store changed.", "state", to.String())
}
