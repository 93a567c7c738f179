package app

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"balsamfork/internal/admin"
	"balsamfork/internal/config"
	"balsamfork/internal/confsettle"
	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/forward"
	"balsamfork/internal/gossip"
	"balsamfork/internal/handover"
	"balsamfork/internal/instancelist"
	"balsamfork/internal/keys"
	"balsamfork/internal/link"
	"balsamfork/internal/placement"
	"balsamfork/internal/prober"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/telemetry"
)

// wired is every part that learns from another.
type wired struct {
	fx.In

	Gossip   *gossip.Gossip
	Sync     *confsync.Syncer
	Engine   *placement.Engine
	Trust    *trust
	Keepers  *forward.Keepers
	Requests *requestpath.Path
	Settler  *confsettle.Settler
	Prober   *prober.Prober
	Ready    *configured
}

// configured is closed when the first configuration has come into force.
type configured struct {
	once sync.Once
	done chan struct{}
}

func newConfigured() *configured { return &configured{done: make(chan struct{})} }

func (c *configured) note() { c.once.Do(func() { close(c.done) }) }

// connect passes on views, versions, announcements and configurations.
func connect(w wired) {
	w.Gossip.OnView(func(v *fleet.View) {
		w.Trust.setView(v)
		w.Keepers.SetView(v)
		w.Engine.SetView(now(), v)
		w.Requests.SetView(v)
		w.Sync.SetView(v)
		w.Settler.SetView(v)
		w.Prober.SetView(v)
	})
	w.Gossip.OnVersion(w.Sync.PeerVersion)
	w.Gossip.OnAnnouncements(func([]flow.Announcement) {
		all := w.Gossip.Announcements()
		w.Engine.SetAnnouncements(now(), all)
		w.Requests.SetAnnouncements(all)
		w.Prober.SetAnnouncements(all)
	})
	w.Prober.OnAnnounce(w.Gossip.Announce)
	w.Sync.OnChange(func(c *config.Config) {
		w.Engine.SetConfig(now(), c)
		w.Requests.SetConfig(c)
		w.Prober.SetConfig(c)
		w.Gossip.SetApplied(c.Version)
		w.Ready.note()
	})
}

// started is every part that has to be started and stopped.
type started struct {
	fx.In

	Lifecycle fx.Lifecycle
	Log       *slog.Logger
	Admin     *admin.Server
	Metrics   *telemetry.Metrics
	Keys      *keys.Reloader
	Link      *link.Link
	Gossip    *gossip.Gossip
	Sync      *confsync.Syncer
	Forwarder *forward.Forwarder
	Requests  *requestpath.Path
	Serving   *serving
	Exchanger *handover.Exchanger
	Settling  *handover.Coordinator
	Settler   *confsettle.Settler
	Prober    *prober.Prober
	Platform  *instancelist.Reader
	Ready     *configured
}

// run orders the start; the stop goes the other way round, beginning with the
// departure.
func run(s started) {
	s.Lifecycle.Append(fx.StopHook(s.Metrics.Close))
	s.Lifecycle.Append(fx.StartStopHook(s.Admin.Start, s.Admin.Close))
	s.Lifecycle.Append(fx.StartStopHook(s.Link.Start, s.Link.Close))
	s.Lifecycle.Append(fx.StopHook(s.Requests.Close))
	s.Lifecycle.Append(fx.StopHook(s.Forwarder.Close))
	s.Lifecycle.Append(fx.StartStopHook(func() { s.background() }, s.Serving.stop))
	s.Lifecycle.Append(fx.StopHook(s.Serving.depart))
}

func (s started) background() {
	s.Serving.run(s.gossipOnceKnown)
	s.Serving.run(s.syncConfiguration)
	s.Serving.run(s.Exchanger.Run)
	s.Serving.run(s.Settling.Run)
	s.Serving.run(s.settle)
	s.Serving.run(s.Prober.Run)
	s.Serving.run(s.Platform.Run)
	s.Serving.run(s.watchKeys)
	s.Serving.run(func(ctx context.Context) { s.Serving.begin(ctx, s.Ready.done) })
}

// gossipOnceKnown takes part once no message to an earlier run of this instance
// can still be on its way: what arrives before, the request path can't tell apart.
func (s started) gossipOnceKnown(ctx context.Context) {
	timing, _ := requestpath.Defaults()
	timer := time.NewTimer(timing.Margin)
	defer timer.Stop()
	select {
	case <-timer.C:
		s.Gossip.Run(ctx)
	case <-ctx.Done():
	}
}

func (s started) syncConfiguration(ctx context.Context) {
	if err := s.Sync.Run(ctx); err != nil && ctx.Err() == nil {
		s.Log.Error("Configuration is no longer followed", "error", err)
	}
}

func (s started) settle(ctx context.Context) {
	if err := s.Settler.Run(ctx); err != nil && ctx.Err() == nil {
		s.Log.Error("Services are no longer settled", "error", err)
	}
}

func (s started) watchKeys(ctx context.Context) {
	if s.Keys == nil {
		return
	}
	if err := s.Keys.Watch(ctx, s.Log); err != nil && ctx.Err() == nil {
		s.Log.Error("Keys are no longer followed", "error", err)
	}
}

func now() int64 { return time.Now().UnixNano() }
