package app

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/forward"
	"balsamfork/internal/gossip"
	"balsamfork/internal/placement"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/telemetry"
)

// handoverPollInterval is the time between a leaving instance's checks of whether other
// instances hold all its records.
const handoverPollInterval = 20 * time.Millisecond

// The fabric sends packets to a leaving instance until it has detected the departure.
// The packet path stays open until none has arrived for idleTime, but at most for
// maxIdleWait.
const (
	idleTime    = 500 * time.Millisecond
	maxIdleWait = 5 * time.Second
)

// phase is the lifecycle phase of an instance.
type phase int32

const (
	// phaseStarting lasts until the table of instances and a configuration are known.
	phaseStarting phase = iota
	phaseServing
	phaseLeaving
)

// serving opens the packet and request paths once the instance knows the fleet and a
// configuration, and shuts the instance down gracefully.
type serving struct {
	gossip    *gossip.Gossip
	sync      *confsync.Syncer
	engine    *placement.Engine
	forwarder *forward.Forwarder
	requests  *requestpath.Path
	listeners *Listeners
	log       *slog.Logger

	phase      atomic.Int32
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

func newServing(
	g *gossip.Gossip, s *confsync.Syncer, e *placement.Engine, f *forward.Forwarder, r *requestpath.Path, ls *Listeners,
	log *slog.Logger,
) *serving {
	ctx, cancel := context.WithCancel(context.Background())
	return &serving{
		gossip: g, sync: s, engine: e, forwarder: f, requests: r, listeners: ls,
		log: telemetry.WithPart(log, "serving"), ctx: ctx, cancel: cancel,
	}
}

// run runs f in a goroutine. Its context ends when the instance stops.
func (s *serving) run(f func(ctx context.Context)) {
	s.background.Go(func() { f(s.ctx) })
}

// stop cancels the functions started by run and waits for them.
func (s *serving) stop() {
	s.cancel()
	s.background.Wait()
}

// startServing waits until the instance knows the fleet and a configuration, then opens
// the packet path and the request path.
func (s *serving) startServing(ctx context.Context, configured <-chan struct{}) {
	for _, step := range []<-chan struct{}{s.gossip.Ready(), configured} {
		select {
		case <-ctx.Done():
			return
		case <-step:
		}
	}
	if s.gossip.Alone() {
		s.log.Warn("No peer answered; serving from the configuration alone")
	}
	s.forwarder.Start()
	s.requests.Serve(s.listeners.Requests)
	s.phase.CompareAndSwap(int32(phaseStarting), int32(phaseServing))
	self, _ := s.gossip.View().Get(s.gossip.View().Self)
	s.log.Info("Instance serves", "version", s.engine.Version(),
		"packets", self.Packets, "requests", self.Requests, "control", self.Control)
}

func (s *serving) setLeaving() { s.phase.Store(int32(phaseLeaving)) }

func (s *serving) ready() (bool, string) {
	switch phase(s.phase.Load()) {
	case phaseStarting:
		return false, s.waitReason()
	case phaseLeaving:
		return false, "leaving"
	}
	return true, ""
}

func (s *serving) waitReason() string {
	if s.sync.Current() == nil {
		return "no configuration yet"
	}
	return "table of instances not known yet"
}

// shutDown announces the departure, waits for the requests in progress, hands over the
// flow records, and waits until no more packets arrive. It returns an error if ctx ends
// before the departure is announced or the records are handed over.
func (s *serving) shutDown(ctx context.Context) error {
	s.setLeaving()
	if err := s.gossip.Leave(ctx); err != nil {
		return err
	}
	if err := s.requests.Drain(ctx); err != nil {
		s.log.Warn("Requests were still in progress at the end of the shutdown", "error", err)
	}
	if err := s.handOver(ctx); err != nil {
		return err
	}
	return s.awaitIdle(ctx)
}

// awaitIdle waits until no packets arrive any more, but at most for maxIdleWait.
func (s *serving) awaitIdle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxIdleWait)
	defer cancel()
	ticker := time.NewTicker(idleTime)
	defer ticker.Stop()
	for seen := s.forwarder.Totals().Received; ; {
		select {
		case <-ctx.Done():
			s.log.Warn("Packets still arrived when the packet path was closed")
			return nil
		case <-ticker.C:
		}
		now := s.forwarder.Totals().Received
		if now == seen {
			return nil
		}
		seen = now
	}
}

// isLast reports whether no other instance can take over flows.
func (s *serving) isLast() bool {
	view := s.gossip.View()
	return !slices.ContainsFunc(view.Instances, func(i fleet.Instance) bool {
		return i.ID != view.Self && i.Usable()
	})
}

func (s *serving) handOver(ctx context.Context) error {
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for !s.engine.HandedOver() {
		if s.isLast() {
			s.log.Warn("Flow records were not handed over: no other usable instance")
			return nil
		}
		select {
		case <-ctx.Done():
			s.log.Warn("Shutdown timed out before all flow records were handed over", "counts", s.engine.Counts())
			return ctx.Err()
		case <-ticker.C:
		}
	}
	s.log.Info("Flow records were handed over")
	return nil
}
