package handover

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/placement"
)

// Invalid is the class of errors for requests that cannot be parsed or answered.
var Invalid = errs.Class("handover: invalid")

// Engine is the placement engine whose messages this package exchanges.
type Engine interface {
	Tick(now int64) placement.PendingRequests
	Export(from fleet.ID, r placement.Request) (placement.Reply, error)
	Import(now int64, from fleet.ID, sent placement.Request, r placement.Reply) error
	Summary(now int64, service string) (placement.Summary, bool)
}

// Exchanger sends the requests of an Engine to peers and answers those of peers.
type Exchanger struct {
	engine  Engine
	caller  peer.Caller
	log     *slog.Logger
	metrics metrics
}

type metrics struct {
	requests  tally.Counter
	failures  tally.Counter
	sent      tally.Counter
	received  tally.Counter
	refusals  tally.Counter
	summaries tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("handover")
	return metrics{
		requests:  s.Counter("requests"),
		failures:  s.Counter("failures"),
		sent:      s.Counter("record_bytes_sent"),
		received:  s.Counter("record_bytes_received"),
		refusals:  s.Counter("refused_replies"),
		summaries: s.Counter("summaries"),
	}
}

// NewExchanger registers the handlers of FetchMethod and SummaryMethod and returns an
// Exchanger. Call Run to send requests.
func NewExchanger(e Engine, c peer.Caller, r peer.Registry, scope tally.Scope, log *slog.Logger) *Exchanger {
	x := &Exchanger{engine: e, caller: c, log: log.With("part", part), metrics: newMetrics(scope)}
	r.Handle(FetchMethod, x.handleFetch)
	r.Handle(SummaryMethod, x.handleSummary)
	return x
}

func (x *Exchanger) handleFetch(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	request, err := parseRequest(params)
	if err != nil {
		return nil, err
	}
	reply, err := x.engine.Export(from, request)
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	x.metrics.sent.Inc(int64(len(reply.Records)))
	return reply, nil
}

func parseRequest(params json.RawMessage) (placement.Request, error) {
	var r placement.Request
	if err := json.Unmarshal(params, &r); err != nil {
		return r, Invalid.New("request for records: %v", err)
	}
	return r, nil
}

// SummaryRequest is the parameter of SummaryMethod.
type SummaryRequest struct {
	Service string `json:"service"`
}

func (x *Exchanger) handleSummary(_ context.Context, _ fleet.ID, params json.RawMessage) (any, error) {
	var r SummaryRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, Invalid.New("request for a summary: %v", err)
	}
	s, ok := x.engine.Summary(time.Now().UnixNano(), r.Service)
	if !ok {
		return nil, Invalid.New("service %q is not known", r.Service)
	}
	x.metrics.summaries.Inc(1)
	return s, nil
}

// Run sends the requests of the Engine until the context ends. While maxCalls calls
// are in progress it waits, so that no request is made twice.
func (x *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	calls := errgroup.Group{}
	calls.SetLimit(maxCalls)
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, request := range x.engine.Tick(time.Now().UnixNano()).Requests {
			calls.Go(func() error {
				x.request(ctx, request)
				return nil
			})
		}
	}
}

// request sends one request and imports the reply. A failed request is returned again
// by a later Tick.
func (x *Exchanger) request(ctx context.Context, r placement.PeerRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x.metrics.requests.Inc(1)
	var reply placement.Reply
	if err := x.caller.Call(ctx, r.Peer, FetchMethod, r.Request, &reply); err != nil {
		x.metrics.failures.Inc(1)
		x.log.Debug("Request for flow records failed.", "peer", r.Peer, "error", err)
		return
	}
	x.metrics.received.Inc(int64(len(reply.Records)))
	if err := x.engine.Import(time.Now().UnixNano(), r.Peer, r.Request, reply); err != nil {
		x.metrics.refusals.Inc(1)
		x.log.Warn("Flow records of a peer were rejected.", "peer", r.Peer, "error", err)
	}
}
