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

// reporter is the status.Source of an instance.
type reporter struct {
	gossip    *gossip.Gossip
	sync      *confsync.Syncer
	engine    *placement.Engine
	forwarder *forward.Forwarder
	serving   *serving
}

// report answers operators who ask for the status.
func report(l *link.Link, g *gossip.Gossip, s *confsync.Syncer, e *placement.Engine, f *forward.Forwarder, sv *serving) {
	status.Register(l, &reporter{gossip: g, sync: s, engine: e, forwarder: f, serving: sv})
	status.RegisterConfiguration(l, s.State)
}

// View implements status.Source.
func (r *reporter) View() *fleet.View { return r.gossip.View() }

// Config implements status.Source.
func (r *reporter) Config() *config.Config { return r.sync.Current() }

// Announcements implements status.Source.
func (r *reporter) Announcements() []flow.Announcement { return r.gossip.Announcements() }

// Ready implements status.Source.
func (r *reporter) Ready() (bool, string) { return r.serving.ready() }

// Flows implements status.Source.
func (r *reporter) Flows() status.Flows {
	totals, counts := r.forwarder.Totals(), r.engine.Counts()
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
