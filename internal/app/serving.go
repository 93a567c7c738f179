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

// handoverPoll is how often a leaving instance looks whether all its records are
// held by others.
const handoverPoll = 20 * time.Millisecond

// The fabric goes on handing packets to a leaving instance until it has noticed:
// the packet path stays open until none has come for quietTime, or lingerTime has
// passed.
const (
	quietTime  = 500 * time.Millisecond
	lingerTime = 5 * time.Second
)

// phase is how far an instance has come.
type phase int32

const (
	// learning waits for the table of instances and a configuration.
	learning phase = iota
	serves
	leaving
)

// serving begins to serve once the instance knows enough, and ends it in order.
type serving struct {
	gossip    *gossip.Gossip
	sync      *confsync.Syncer
	engine    *placement.Engine
	forwarder *forward.Forwarder
	requests  *requestpath.Path
	sockets   *Sockets
	log       *slog.Logger

	phase   atomic.Int32
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

func newServing(
	g *gossip.Gossip, s *confsync.Syncer, e *placement.Engine, f *forward.Forwarder, r *requestpath.Path, so *Sockets,
	log *slog.Logger,
) *serving {
	ctx, cancel := context.WithCancel(context.Background())
	return &serving{
		gossip: g, sync: s, engine: e, forwarder: f, requests: r, sockets: so,
		log: telemetry.Part(log, "serving"), ctx: ctx, cancel: cancel,
	}
}

// run keeps f going until the instance stops.
func (s *serving) run(f func(ctx context.Context)) {
	s.running.Go(func() { f(s.ctx) })
}

// stop ends everything that run has begun, and waits for it.
func (s *serving) stop() {
	s.cancel()
	s.running.Wait()
}

// begin waits until the instance knows the fleet and a configuration, then opens
// the packet and the request path.
func (s *serving) begin(ctx context.Context, configured <-chan struct{}) {
	for _, step := range []<-chan struct{}{s.gossip.Ready(), configured} {
		select {
		case <-ctx.Done():
			return
		case <-step:
		}
	}
	if s.gossip.Alone() {
		s.log.Warn("No peer answered, so this instance serves from the configuration alone")
	}
	s.forwarder.Start()
	s.requests.StartOn(s.sockets.Requests)
	s.phase.CompareAndSwap(int32(learning), int32(serves))
	self, _ := s.gossip.View().Get(s.gossip.View().Self)
	s.log.Info("Instance serves", "version", s.engine.Version(),
		"packets", self.Packets, "requests", self.Requests, "control", self.Control)
}

func (s *serving) leave() { s.phase.Store(int32(leaving)) }

func (s *serving) ready() (bool, string) {
	switch phase(s.phase.Load()) {
	case learning:
		return false, s.missing()
	case leaving:
		return false, "leaving"
	}
	return true, ""
}

func (s *serving) missing() string {
	if s.sync.Current() == nil {
		return "no configuration yet"
	}
	return "table of instances not known yet"
}

// depart announces the departure and waits until nothing is left that only this
// instance knows, or ctx ends.
func (s *serving) depart(ctx context.Context) error {
	s.leave()
	if err := s.gossip.Leave(ctx); err != nil {
		return err
	}
	if err := s.requests.Drain(ctx); err != nil {
		s.log.Warn("Requests were still in progress at the end", "error", err)
	}
	if err := s.handOver(ctx); err != nil {
		return err
	}
	return s.linger(ctx)
}

// linger waits until the fabric sends no more packets.
func (s *serving) linger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lingerTime)
	defer cancel()
	ticker := time.NewTicker(quietTime)
	defer ticker.Stop()
	for seen := s.forwarder.Totals().Received; ; {
		select {
		case <-ctx.Done():
			s.log.Warn("Packets still came at the end")
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

// last reports whether no other instance may take over.
func (s *serving) last() bool {
	view := s.gossip.View()
	return !slices.ContainsFunc(view.Instances, func(i fleet.Instance) bool {
		return i.ID != view.Self && i.Usable()
	})
}

func (s *serving) handOver(ctx context.Context) error {
	ticker := time.NewTicker(handoverPoll)
	defer ticker.Stop()
	for !s.engine.HandedOver() {
		if s.last() {
			s.log.Warn("No instance is left to hand records over to")
			return nil
		}
		select {
		case <-ctx.Done():
			s.log.Warn("Records were left behind", "counts", s.engine.Counts())
			return ctx.Err()
		case <-ticker.C:
		}
	}
	s.log.Info("Records were handed over")
	return nil
}
