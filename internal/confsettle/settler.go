package confsettle

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/store"
)

// MethodSettle asks the instance that writes to settle a service.
const MethodSettle = "config.settle"

const (
	// gatherFor is how long the first settlement waits for others to join it.
	gatherFor = 250 * time.Millisecond
	// maxBatch bounds the settlements of one version.
	maxBatch = 512
	// forwardTimeout bounds how long another instance may take.
	forwardTimeout = 15 * time.Second
)

// Writer writes settlements to the store as one version.
type Writer interface {
	Settle(ctx context.Context, all []config.Settlement) ([]error, error)
}

// Limiter shares the rate of the store's writes out.
type Limiter interface {
	// SetWriters sets the number of instances that have a part like this one's.
	SetWriters(n int)
}

// Options is what a Settler is built from.
type Options struct {
	Self   fleet.ID
	Writer Writer
	Limits Limiter
	Peers  peer.Caller
	Scope  tally.Scope
	Log    *slog.Logger
}

// Settler settles services on behalf of one instance, and of the others while it
// is the one that writes.
type Settler struct {
	self    fleet.ID
	writer  Writer
	limits  Limiter
	peers   peer.Caller
	log     *slog.Logger
	metrics metrics
	queue   chan request

	mu      sync.Mutex
	chosen  fleet.ID
	largest int
}

type metrics struct {
	forwarded tally.Counter
	alone     tally.Counter
	batches   tally.Counter
	settled   tally.Counter
	failed    tally.Counter
}

// request is one settlement that waits to be written.
type request struct {
	settlement config.Settlement
	answer     chan error
}

// New returns a Settler and registers its method. Run starts it.
func New(o Options, registry peer.Registry) *Settler {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Settler{
		self:   o.Self,
		writer: o.Writer,
		limits: o.Limits,
		peers:  o.Peers,
		log:    o.Log.With("part", "settle"),
		queue:  make(chan request),
		chosen: o.Self,
		metrics: metrics{
			forwarded: o.Scope.Counter("settle_forwarded"),
			alone:     o.Scope.Counter("settle_writer_unreachable"),
			batches:   o.Scope.Counter("settle_batches"),
			settled:   o.Scope.Counter("settle_done"),
			failed:    o.Scope.Counter("settle_failed"),
		},
	}
	registry.Handle(MethodSettle, s.answerSettle)
	return s
}

// SetView takes a new view of the fleet over.
func (s *Settler) SetView(view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, len(view.Instances))
	s.chosen = choose(view)
	s.limits.SetWriters(writers(view, s.chosen, s.largest))
}

// Rebase makes the current target of a service its base. Errors are
// config.Conflict if the service has changed since the version seen, and those
// of the store.
func (s *Settler) Rebase(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, config.Settlement{Service: service, Action: config.RebaseService, Seen: seen})
}

// Clear forgets the past sets of a service, under the same conditions.
func (s *Settler) Clear(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, config.Settlement{Service: service, Action: config.ClearService, Seen: seen})
}

func (s *Settler) settle(ctx context.Context, settlement config.Settlement) error {
	s.mu.Lock()
	to := s.chosen
	s.mu.Unlock()
	if to == s.self {
		return s.enqueue(ctx, settlement)
	}
	err := s.forward(ctx, to, settlement)
	if peer.Unreachable.Has(err) && ctx.Err() == nil {
		s.metrics.alone.Inc(1)
		return s.enqueue(ctx, settlement)
	}
	return err
}

// settleResult carries an outcome over the control link. The class decides what
// the asking instance does next.
type settleResult struct {
	Class   errorClass `json:"class,omitempty"`
	Message string     `json:"message,omitempty"`
}

type errorClass string

const (
	classConflict errorClass = "conflict"
	classUnknown  errorClass = "unknown"
	classOther    errorClass = "other"
)

func resultOf(err error) settleResult {
	switch {
	case err == nil:
		return settleResult{}
	case config.Conflict.Has(err):
		return settleResult{Class: classConflict, Message: err.Error()}
	case store.Unknown.Has(err):
		return settleResult{Class: classUnknown, Message: err.Error()}
	}
	return settleResult{Class: classOther, Message: err.Error()}
}

func (r settleResult) err(from fleet.ID) error {
	switch r.Class {
	case "":
		return nil
	case classConflict:
		return config.Conflict.New("%s: %s", from, r.Message)
	case classUnknown:
		return store.Unknown.New("%s: %s", from, r.Message)
	}
	return store.Unavailable.New("%s: %s", from, r.Message)
}

func (s *Settler) forward(ctx context.Context, to fleet.ID, settlement config.Settlement) error {
	s.metrics.forwarded.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	var result settleResult
	if err := s.peers.Call(ctx, to, MethodSettle, settlement, &result); err != nil {
		return err
	}
	return result.err(to)
}

func (s *Settler) answerSettle(ctx context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var settlement config.Settlement
	if err := json.Unmarshal(params, &settlement); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodSettle, from, err)
	}
	return resultOf(s.enqueue(ctx, settlement)), nil
}

// enqueue hands a settlement to Run and waits for its outcome.
func (s *Settler) enqueue(ctx context.Context, settlement config.Settlement) error {
	r := request{settlement: settlement, answer: make(chan error, 1)}
	select {
	case s.queue <- r:
	case <-ctx.Done():
		return store.Unavailable.Wrap(ctx.Err())
	}
	select {
	case err := <-r.answer:
		return err
	case <-ctx.Done():
		return store.Unknown.Wrap(ctx.Err())
	}
}

// Run writes what is gathered until ctx ends.
func (s *Settler) Run(ctx context.Context) error {
	for {
		select {
		case first := <-s.queue:
			s.write(ctx, s.gather(ctx, first))
		case <-ctx.Done():
			return nil
		}
	}
}

// gather returns the first request and those that follow it soon.
func (s *Settler) gather(ctx context.Context, first request) []request {
	batch := []request{first}
	timer := time.NewTimer(gatherFor)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case r := <-s.queue:
			batch = append(batch, r)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (s *Settler) write(ctx context.Context, batch []request) {
	all := make([]config.Settlement, len(batch))
	for i, r := range batch {
		all[i] = r.settlement
	}
	s.metrics.batches.Inc(1)
	outcomes, err := s.writer.Settle(ctx, all)
	if err != nil {
		s.log.Warn("Services could not be settled.", "services", len(all), "err", err)
	}
	for i, r := range batch {
		outcome := err
		if err == nil {
			outcome = outcomes[i]
		}
		s.count(outcome)
		r.answer <- outcome
	}
}

func (s *Settler) count(outcome error) {
	switch {
	case outcome == nil:
		s.metrics.settled.Inc(1)
	case !errors.Is(outcome, context.Canceled):
		s.metrics.failed.Inc(1)
	}
}
