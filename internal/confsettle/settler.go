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

// MethodSettle asks the writer to settle a service.
const MethodSettle = "config.settle"

const (
	// batchDelay is how long the first settlement of a batch waits for others.
	batchDelay = 250 * time.Millisecond
	// maxBatchSize bounds the settlements written as one version.
	maxBatchSize = 512
	// forwardTimeout bounds a settlement forwarded to the writer.
	forwardTimeout = 15 * time.Second
)

// Writer writes settlements to the store as one version. It returns the outcome
// of each, or one error for all of them.
type Writer interface {
	Settle(ctx context.Context, all []config.Settlement) ([]error, error)
}

// Limiter divides the write rate of the store among the instances.
type Limiter interface {
	// SetWriters sets the number of equal shares; this instance gets one.
	SetWriters(n int)
}

// Options configures a Settler.
type Options struct {
	Self   fleet.ID
	Writer Writer
	Limits Limiter
	Peers  peer.Caller
	Scope  tally.Scope
	Log    *slog.Logger
}

// Settler settles services for its own instance and for those that forward
// settlements to it because they have chosen it as the writer.
type Settler struct {
	self    fleet.ID
	writer  Writer
	limits  Limiter
	peers   peer.Caller
	log     *slog.Logger
	metrics metrics
	queue   chan request

	mu           sync.Mutex
	writerID     fleet.ID
	largestFleet int
}

type metrics struct {
	forwarded         tally.Counter
	writerUnreachable tally.Counter
	batches           tally.Counter
	settled           tally.Counter
	failed            tally.Counter
}

// request is a settlement that waits to be written.
type request struct {
	settlement config.Settlement
	result     chan error
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
		self:     o.Self,
		writer:   o.Writer,
		limits:   o.Limits,
		peers:    o.Peers,
		log:      o.Log.With("part", "settle"),
		queue:    make(chan request),
		writerID: o.Self,
		metrics: metrics{
			forwarded:         o.Scope.Counter("settle_forwarded"),
			writerUnreachable: o.Scope.Counter("settle_writer_unreachable"),
			batches:           o.Scope.Counter("settle_batches"),
			settled:           o.Scope.Counter("settle_done"),
			failed:            o.Scope.Counter("settle_failed"),
		},
	}
	registry.Handle(MethodSettle, s.handleSettle)
	return s
}

// SetView replaces the view of the fleet.
func (s *Settler) SetView(view *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largestFleet = max(s.largestFleet, len(view.Instances))
	s.writerID = chooseWriter(view)
	s.limits.SetWriters(writeShares(view, s.writerID, s.largestFleet))
}

// Rebase makes the current target of a service its base. Errors are
// config.Conflict if the service has changed since the version seen, and those
// of the store.
func (s *Settler) Rebase(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, config.Settlement{Service: service, Action: config.RebaseService, BaseVersion: seen})
}

// Clear removes the past sets of a service, under the same conditions as
// Rebase.
func (s *Settler) Clear(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, config.Settlement{Service: service, Action: config.ClearService, BaseVersion: seen})
}

func (s *Settler) settle(ctx context.Context, settlement config.Settlement) error {
	s.mu.Lock()
	to := s.writerID
	s.mu.Unlock()
	if to == s.self {
		return s.enqueue(ctx, settlement)
	}
	err := s.forward(ctx, to, settlement)
	if peer.Unreachable.Has(err) && ctx.Err() == nil {
		s.metrics.writerUnreachable.Inc(1)
		return s.enqueue(ctx, settlement)
	}
	return err
}

// settleResult carries an outcome over the control link. The class determines
// the class of the error that the requesting instance returns.
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

func newSettleResult(err error) settleResult {
	switch {
	case err == nil:
		return settleResult{}
	case config.Conflict.Has(err):
		return settleResult{Class: classConflict, Message: err.Error()}
	case store.OutcomeUnknown.Has(err):
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
		return store.OutcomeUnknown.New("%s: %s", from, r.Message)
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

func (s *Settler) handleSettle(ctx context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var settlement config.Settlement
	if err := json.Unmarshal(params, &settlement); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodSettle, from, err)
	}
	return newSettleResult(s.enqueue(ctx, settlement)), nil
}

// enqueue passes a settlement to Run and waits for its outcome.
func (s *Settler) enqueue(ctx context.Context, settlement config.Settlement) error {
	r := request{settlement: settlement, result: make(chan error, 1)}
	select {
	case s.queue <- r:
	case <-ctx.Done():
		return store.Unavailable.Wrap(ctx.Err())
	}
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return store.OutcomeUnknown.Wrap(ctx.Err())
	}
}

// Run writes batches of settlements until ctx ends.
func (s *Settler) Run(ctx context.Context) error {
	for {
		select {
		case first := <-s.queue:
			s.writeBatch(ctx, s.collectBatch(ctx, first))
		case <-ctx.Done():
			return nil
		}
	}
}

// collectBatch returns the first request and those that arrive within
// batchDelay, at most maxBatchSize.
func (s *Settler) collectBatch(ctx context.Context, first request) []request {
	batch := []request{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchSize {
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

func (s *Settler) writeBatch(ctx context.Context, batch []request) {
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
		s.countOutcome(outcome)
		r.result <- outcome
	}
}

func (s *Settler) countOutcome(outcome error) {
	switch {
	case outcome == nil:
		s.metrics.settled.Inc(1)
	case !errors.Is(outcome, context.Canceled):
		s.metrics.failed.Inc(1)
	}
}
