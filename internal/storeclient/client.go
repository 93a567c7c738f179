package storeclient

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"balsamfork/internal/store"
)

const (
	// watchWait is how long one poll of a watch waits at the service, which allows
	// 30 s.
	watchWait = 25 * time.Second
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
	// Service makes the calls.
	Service store.Service
	// Fleet is the number of instances that share the service's rates.
	Fleet int
	// Random draws the jitter.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *slog.Logger
}

// Client is a store.Store on top of single calls.
type Client struct {
	service store.Service
	limits  *limits
	breaker *gobreaker.CircuitBreaker[any]
	log     *slog.Logger
	// heldBack counts the calls that were not made because the circuit is open.
	heldBack tally.Counter

	mu     sync.Mutex
	random *rand.Rand
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
		service:  o.Service,
		limits:   newLimits(o.Fleet),
		random:   o.Random,
		log:      o.Log.With("part", "store"),
		heldBack: o.Scope.Counter("store_calls_held_back"),
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
		value, err := guarded(ctx, c, c.limits.reads, func() (store.Value, error) { return c.service.Get(ctx, key) })
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
	if err := c.spread(ctx); err != nil {
		return 0, store.Unavailable.Wrap(err)
	}
	return guarded(ctx, c, c.limits.writes, func() (store.Revision, error) {
		return c.service.CompareAndSwap(ctx, key, old, data)
	})
}

// Watch implements store.Store by long polls.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Value, error) {
	looked := after
	for {
		value, until, err := c.poll(ctx, key, looked)
		if err != nil || value.Revision > after {
			return value, err
		}
		if value, gone := c.wentBack(ctx, key, after); gone {
			return value, nil
		}
		looked = until
	}
}

// poll makes one long poll. Its outcome counts for the circuit, but a poll does not
// hold it half open.
func (c *Client) poll(ctx context.Context, key string, after store.Revision) (store.Value, store.Revision, error) {
	if c.breaker.State() == gobreaker.StateOpen {
		c.heldBack.Inc(1)
		return store.Value{}, 0, store.Unavailable.New("%s: the circuit is open", key)
	}
	if err := c.limits.reads.Wait(ctx); err != nil {
		return store.Value{}, 0, store.Unavailable.Wrap(err)
	}
	value, until, err := c.service.Poll(ctx, key, after, watchWait)
	if ctx.Err() != nil {
		return store.Value{}, 0, store.Unavailable.Wrap(ctx.Err())
	}
	_, _ = c.breaker.Execute(func() (any, error) { return nil, err })
	return value, until, err
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

// guarded makes one call within a limit and through the circuit.
func guarded[T any](ctx context.Context, c *Client, limit *rate.Limiter, attempt func() (T, error)) (T, error) {
	var result T
	if err := limit.Wait(ctx); err != nil {
		return result, store.Unavailable.Wrap(err)
	}
	_, err := c.breaker.Execute(func() (any, error) {
		var err error
		result, err = attempt()
		return nil, err
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		c.heldBack.Inc(1)
		return result, store.Unavailable.New("the circuit is open")
	}
	return result, err
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
