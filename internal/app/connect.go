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

// connected holds the components that notify others or are notified by them.
type connected struct {
	fx.In

	Gossip         *gossip.Gossip
	Sync           *confsync.Syncer
	Engine         *placement.Engine
	Trusted        *trustedAddresses
	FragmentOwners *forward.FragmentOwners
	Requests       *requestpath.Path
	Settler        *confsettle.Settler
	Prober         *prober.Prober
	Configured     *firstConfig
}

// firstConfig signals that the first configuration has been applied.
type firstConfig struct {
	once sync.Once
	done chan struct{}
}

func newFirstConfig() *firstConfig { return &firstConfig{done: make(chan struct{})} }

func (c *firstConfig) notify() { c.once.Do(func() { close(c.done) }) }

// connect subscribes the components to views of the fleet, configuration versions of
// peers, announcements and configurations.
func connect(c connected) {
	c.Gossip.OnView(func(v *fleet.View) {
		c.Trusted.setView(v)
		c.FragmentOwners.SetView(v)
		c.Engine.SetView(now(), v)
		c.Requests.SetView(v)
		c.Sync.SetView(v)
		c.Settler.SetView(v)
		c.Prober.SetView(v)
	})
	c.Gossip.OnVersion(c.Sync.RecordPeerVersion)
	c.Gossip.OnAnnouncements(func([]flow.Announcement) {
		all := c.Gossip.Announcements()
		c.Engine.SetAnnouncements(now(), all)
		c.Requests.SetAnnouncements(all)
		c.Prober.SetAnnouncements(all)
	})
	c.Prober.OnAnnounce(c.Gossip.Announce)
	c.Sync.OnChange(func(next *config.Config) {
		c.Engine.SetConfig(now(), next)
		c.Requests.SetConfig(next)
		c.Prober.SetConfig(next)
		c.Gossip.SetApplied(next.Version)
		c.Configured.notify()
	})
}

// managed holds the components whose start and stop hooks registerHooks registers.
type managed struct {
	fx.In

	Lifecycle           fx.Lifecycle
	Log                 *slog.Logger
	Admin               *admin.Server
	Metrics             *telemetry.Metrics
	Keys                *keys.Reloader
	Link                *link.Link
	Gossip              *gossip.Gossip
	Sync                *confsync.Syncer
	Forwarder           *forward.Forwarder
	Requests            *requestpath.Path
	Serving             *serving
	Exchanger           *handover.Exchanger
	HandoverCoordinator *handover.Coordinator
	Settler             *confsettle.Settler
	Prober              *prober.Prober
	InstanceList        *instancelist.Reader
	Configured          *firstConfig
}

// registerHooks registers the start and stop hooks of the components. They start in this
// order and stop in the reverse order, beginning with the graceful shutdown.
func registerHooks(m managed) {
	m.Lifecycle.Append(fx.StopHook(m.Metrics.Close))
	m.Lifecycle.Append(fx.StartStopHook(m.Admin.Start, m.Admin.Close))
	m.Lifecycle.Append(fx.StartStopHook(m.Link.Start, m.Link.Close))
	m.Lifecycle.Append(fx.StopHook(m.Requests.Close))
	m.Lifecycle.Append(fx.StopHook(m.Forwarder.Close))
	m.Lifecycle.Append(fx.StartStopHook(func() { m.startBackground() }, m.Serving.stop))
	m.Lifecycle.Append(fx.StopHook(m.Serving.shutDown))
}

func (m managed) startBackground() {
	m.Serving.run(m.gossipAfterMargin)
	m.Serving.run(m.syncConfiguration)
	m.Serving.run(m.Exchanger.Run)
	m.Serving.run(m.HandoverCoordinator.Run)
	m.Serving.run(m.settle)
	m.Serving.run(m.Prober.Run)
	m.Serving.run(m.InstanceList.Run)
	m.Serving.run(m.watchKeys)
	m.Serving.run(func(ctx context.Context) { m.Serving.startServing(ctx, m.Configured.done) })
}

// gossipAfterMargin joins the gossip once no message to an earlier incarnation of this
// instance can still be in flight: the request path could not distinguish such messages
// from those to this incarnation.
func (m managed) gossipAfterMargin(ctx context.Context) {
	timing, _ := requestpath.DefaultTimings()
	timer := time.NewTimer(timing.Margin)
	defer timer.Stop()
	select {
	case <-timer.C:
		m.Gossip.Run(ctx)
	case <-ctx.Done():
	}
}

func (m managed) syncConfiguration(ctx context.Context) {
	if err := m.Sync.Run(ctx); err != nil && ctx.Err() == nil {
		m.Log.Error("Configuration synchronisation failed", "error", err)
	}
}

func (m managed) settle(ctx context.Context) {
	if err := m.Settler.Run(ctx); err != nil && ctx.Err() == nil {
		m.Log.Error("Settling of services failed", "error", err)
	}
}

func (m managed) watchKeys(ctx context.Context) {
	if m.Keys == nil {
		return
	}
	if err := m.Keys.Watch(ctx, m.Log); err != nil && ctx.Err() == nil {
		m.Log.Error("Watching the key files failed", "error", err)
	}
}

func now() int64 { return time.Now().UnixNano() }
