package app

import (
	"balsamfork/internal/config"
	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/forward"
	"balsamfork/internal/gossip"
	"balsamfork/internal/link"
	"balsamfork/internal/placement"
	"balsamfork/internal/status"
)

// statusSource is the status.Source of an instance.
type statusSource struct {
	gossip    *gossip.Gossip
	sync      *confsync.Syncer
	engine    *placement.Engine
	forwarder *forward.Forwarder
	serving   *serving
}

// registerStatus registers the methods by which operators query the status and the
// configuration.
func registerStatus(l *link.Link, g *gossip.Gossip, s *confsync.Syncer, e *placement.Engine, f *forward.Forwarder, sv *serving) {
	status.Register(l, &statusSource{gossip: g, sync: s, engine: e, forwarder: f, serving: sv})
	status.RegisterConfiguration(l, s.State)
}

// View implements status.Source.
func (s *statusSource) View() *fleet.View { return s.gossip.View() }

// Config implements status.Source.
func (s *statusSource) Config() *config.Config { return s.sync.Current() }

// Announcements implements status.Source.
func (s *statusSource) Announcements() []flow.Announcement { return s.gossip.Announcements() }

// Ready implements status.Source.
func (s *statusSource) Ready() (bool, string) { return s.serving.ready() }

// Flows implements status.Source.
func (s *statusSource) Flows() status.Flows {
	totals, counts := s.forwarder.Totals(), s.engine.Counts()
	out := status.Flows{
		Received:  totals.Received,
		Forwarded: totals.Forwarded,
		Relayed:   totals.Relayed,
		Records:   counts.Opening + counts.Placed + counts.Observed,
	}
	for _, n := range totals.Dropped {
		out.Dropped += n
	}
	return out
}
