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
	// watchWait is how long one poll of a watch waits at the service, which allows at
	// most 30 s.
	watchWait = 25 * time.Second
	// readAttempts is the maximum number of attempts of a read.
	readAttempts = 3
	// minRetryDelay and maxRetryDelay limit the delay before a read is retried.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// tripFailures is the number of consecutive failures that opens the circuit
	// breaker, and minOpenTime the minimum time that it stays open. Each client adds
	// a random time of up to the same length.
	tripFailures = 5
	minOpenTime  = time.Second
)

// Options are the options of a Client.
type Options struct {
	// Service makes the calls.
	Service store.Service
	// FleetSize is the number of instances that share the service's rate limits.
	FleetSize int
	// Random is the source of the random delays.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *slog.Logger
}

// Client implements store.Store with the single calls of a store.Service.
type Client struct {
	service store.Service
	limits  *limits
	breaker *gobreaker.CircuitBreaker[any]
	log     *slog.Logger
	// rejected counts the calls that were not made because the circuit breaker was open,
	// or half-open with its trial call in progress.
	rejected tally.Counter

	mu     sync.Mutex
	random *rand.Rand
}

var _ store.Store = (*Client)(nil)

// New returns a client. It makes no call.
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
		limits:   newLimits(o.FleetSize),
		random:   o.Random,
		log:      o.Log.With("part", "store"),
		rejected: o.Scope.Counter("store_calls_held_back"),
	}
	c.breaker = gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:          "store",
		Timeout:       minOpenTime + time.Duration(o.Random.Int64N(int64(minOpenTime))),
		ReadyToTrip:   func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= tripFailures },
		IsSuccessful:  isSuccess,
		OnStateChange: c.logStateChange,
	})
	return c
}

// SetReaders sets the number of equal shares of the fleet's read rate, if it differs from
// the fleet size. This client uses one share.
func (c *Client) SetReaders(n int) {
	c.limits.setReaders(n)
}

// SetWriters sets the number of equal shares of the fleet's write rate, if it differs from
// the fleet size. This client uses one share.
func (c *Client) SetWriters(n int) {
	c.limits.setWriters(n)
}

// Get implements store.Store. It makes up to readAttempts attempts while the service is
// unavailable and the context has not ended.
func (c *Client) Get(ctx context.Context, key string) (store.Value, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minRetryDelay, maxRetryDelay
	value, err := backoff.Retry(ctx, func() (store.Value, error) {
		value, err := protectedCall(ctx, c, c.limits.reads, func() (store.Value, error) { return c.service.Get(ctx, key) })
		if err != nil && !store.Unavailable.Has(err) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(retryDelay), backoff.WithMaxTries(readAttempts))
	if err != nil && ctx.Err() != nil {
		return value, store.Unavailable.Wrap(err)
	}
	return value, err
}

// CompareAndSwap implements store.Store. It makes a single attempt: only the caller
// can tell whether a write may be repeated.
func (c *Client) CompareAndSwap(ctx context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	if len(data) > store.MaxValue {
		return 0, store.TooLarge.New("%s: %d bytes", key, len(data))
	}
	if err := c.spread(ctx); err != nil {
		return 0, store.Unavailable.Wrap(err)
	}
	return protectedCall(ctx, c, c.limits.writes, func() (store.Revision, error) {
		return c.service.CompareAndSwap(ctx, key, old, data)
	})
}

// Watch implements store.Store with long polls. It reads the key before each of them, so
// that it notices a restore of the service at once when the service is back.
func (c *Client) Watch(ctx context.Context, key string, after store.Position) (store.Value, error) {
	checked := after
	for {
		if value, replaced := c.replacedValue(ctx, key, after); replaced {
			return value, nil
		}
		value, until, err := c.poll(ctx, key, checked.Revision)
		if err != nil {
			return value, err
		}
		sameEpoch := after.Revision == 0 || until.Epoch == after.Epoch
		if sameEpoch && value.Revision > after.Revision {
			return value, nil
		}
		checked = until
	}
}

// poll makes one long poll. It reports the outcome to the circuit breaker only afterwards,
// so that the breaker does not stay half-open for the duration of the poll.
func (c *Client) poll(ctx context.Context, key string, after store.Revision) (store.Value, store.Position, error) {
	if c.breaker.State() == gobreaker.StateOpen {
		c.rejected.Inc(1)
		return store.Value{}, store.Position{}, store.Unavailable.New("%s: circuit breaker is open", key)
	}
	if err := c.limits.reads.Wait(ctx); err != nil {
		return store.Value{}, store.Position{}, store.Unavailable.Wrap(err)
	}
	value, until, err := c.service.Poll(ctx, key, after, watchWait)
	if ctx.Err() != nil {
		return store.Value{}, store.Position{}, store.Unavailable.Wrap(ctx.Err())
	}
	_, _ = c.breaker.Execute(func() (any, error) { return nil, err })
	return value, until, err
}

// replacedValue returns the value of a key, and true, if it is older than one that was
// seen or of another epoch. In this case the store has lost data, and polling alone would
// return nothing until the revision of the key exceeds the one that was seen.
func (c *Client) replacedValue(ctx context.Context, key string, seen store.Position) (store.Value, bool) {
	if seen.Revision == 0 {
		return store.Value{}, false
	}
	value, err := c.Get(ctx, key)
	return value, err == nil && (value.Epoch != seen.Epoch || value.Revision < seen.Revision)
}

// protectedCall makes one call within a rate limit and through the circuit breaker.
func protectedCall[T any](ctx context.Context, c *Client, limit *rate.Limiter, attempt func() (T, error)) (T, error) {
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
		c.rejected.Inc(1)
		return result, store.Unavailable.New("circuit breaker is open")
	}
	return result, err
}

// spread delays a write by a random part of the period over which writes are spread, so
// that the first writes of the instances of a large fleet do not coincide.
func (c *Client) spread(ctx context.Context) error {
	period := c.limits.spread.Load()
	if period == 0 {
		return nil
	}
	c.mu.Lock()
	delay := time.Duration(c.random.Int64N(period))
	c.mu.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isSuccess reports whether the circuit breaker counts the outcome of a call as a
// success: the service answered, even if it rejected the call itself.
func isSuccess(err error) bool {
	return err == nil || store.NotFound.Has(err) || store.Conflict.Has(err) || store.TooLarge.Has(err)
}

func (c *Client) logStateChange(_ string, _, to gobreaker.State) {
	c.log.Warn("Circuit breaker of the store changed its state.", "state", to.String())
}
