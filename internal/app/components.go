package app

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"balsamfork/internal/admin"
	"balsamfork/internal/config"
	"balsamfork/internal/confsettle"
	"balsamfork/internal/confstore"
	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/forward"
	"balsamfork/internal/gossip"
	"balsamfork/internal/handover"
	"balsamfork/internal/health"
	"balsamfork/internal/instancelist"
	"balsamfork/internal/keys"
	"balsamfork/internal/link"
	"balsamfork/internal/member"
	"balsamfork/internal/placement"
	"balsamfork/internal/prober"
	"balsamfork/internal/records"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/settings"
	"balsamfork/internal/storeclient"
	"balsamfork/internal/telemetry"
	"balsamfork/platform"
)

// Module provides the components of an instance and connects them.
var Module = fx.Module("instance",
	fx.Provide(
		newListeners, newMetrics, newScope, newKeys, newAddressResolver, newLink, newGossip, newStoreClient, newRepository,
		newSync, newEngine, newTrustedAddresses, newFragmentOwners, newForwarder, newRequests, newServing, newAdmin, newFirstConfig, newSettler, newExchanger, newCoordinator, newProber, newInstanceList,
	),
	fx.Invoke(connect, registerStatus, registerHooks),
)

// components are those that a Daemon uses directly.
type components struct {
	Listeners *Listeners
	Forwarder *forward.Forwarder
	Requests  *requestpath.Path
	Link      *link.Link
	Serving   *serving
	Admin     *admin.Server
}

// abort stops the background work and closes all sockets except the admin listener.
func (c *components) abort() {
	c.Serving.stop()
	c.Forwarder.Abort()
	c.Requests.Close()
	_ = c.Link.Close()
}

// maxRecords is the maximum number of flow records that an instance holds.
const maxRecords = 1 << 19

// initialFleetSize is the number of instances among which the store's rate limits are
// divided until the table of instances is known.
const initialFleetSize = 16

func newMetrics(s *settings.Valid) *telemetry.Metrics {
	return telemetry.NewMetrics(string(s.Self.ID))
}

func newScope(m *telemetry.Metrics) tally.Scope { return m.Scope }

// newKeys returns nil if the settings specify plain text.
func newKeys(s *settings.Valid) (*keys.Reloader, error) {
	if s.TLS == nil {
		return nil, nil
	}
	return keys.Load(keys.Files{
		Authorities: s.TLS.Authorities,
		Certificate: s.TLS.Certificate,
		Key:         s.TLS.Key,
	})
}

func newLink(s *settings.Valid, k *keys.Reloader, listeners *Listeners, a *addressResolver, log *slog.Logger, scope tally.Scope) (*link.Link, error) {
	options := link.Options{
		Self:     s.Self.ID,
		Listener: listeners.Control,
		Keys:     k,
		Resolve:  a.resolve,
	}
	return link.New(options, log, scope)
}

func newGossip(
	s *settings.Valid, listeners *Listeners, f *forward.Forwarder, l *link.Link, a *addressResolver, log *slog.Logger, scope tally.Scope,
) *gossip.Gossip {
	self := s.Self
	self.State = fleet.Joining
	self.Packets = s.Packets.AdvertisedAddr(f.Addr())
	self.Requests = s.Requests.AdvertisedAddr(listeners.requestsAddr())
	self.Control = s.Control.AdvertisedAddr(listeners.controlAddr())
	g := gossip.New(gossip.Options{Self: self, Params: member.DefaultParams(), Seed: randomSeed()}, l, l, log, scope)
	g.Seed(s.Peers)
	a.set(g.Resolve)
	return g
}

func newStoreClient(s *settings.Valid, log *slog.Logger, scope tally.Scope) *storeclient.Client {
	return storeclient.New(storeclient.Options{
		Service:   platform.NewStore(platform.StoreOptions{URL: s.StoreURL, Log: log, Scope: scope}),
		FleetSize: initialFleetSize,
		Random:    random(),
		Scope:     scope,
		Log:       log,
	})
}

func newRepository(c *storeclient.Client) *confstore.Repository { return confstore.New(c) }

func newSync(
	s *settings.Valid, r *confstore.Repository, c *storeclient.Client, l *link.Link, log *slog.Logger, scope tally.Scope,
) *confsync.Syncer {
	return confsync.New(confsync.Options{
		Self:   s.Self.ID,
		Store:  r,
		Limits: c,
		Peers:  l,
		Random: random(),
		Scope:  scope,
		Log:    log,
	}, l)
}

func newSettler(
	s *settings.Valid, r *confstore.Repository, c *storeclient.Client, l *link.Link, log *slog.Logger, scope tally.Scope,
) *confsettle.Settler {
	return confsettle.New(confsettle.Options{
		Self:   s.Self.ID,
		Writer: confstore.NewSettlementWriter(r, string(s.Self.ID), time.Now),
		Limits: c,
		Peers:  l,
		Scope:  scope,
		Log:    log,
	}, l)
}

func newProber(s *settings.Valid, e *placement.Engine, l *link.Link, log *slog.Logger, scope tally.Scope) *prober.Prober {
	return prober.New(prober.Options{
		Self:    s.Self.ID,
		Params:  health.Default(),
		Seed:    randomSeed(),
		Records: e,
	}, l, l, log, scope)
}

func newInstanceList(
	s *settings.Valid, c *storeclient.Client, g *gossip.Gossip, log *slog.Logger, scope tally.Scope,
) *instancelist.Reader {
	return instancelist.New(c, func(list []fleet.Instance) { g.Seed(append(list, s.Peers...)) }, randomSeed(), log, scope)
}

func newExchanger(e *placement.Engine, l *link.Link, log *slog.Logger, scope tally.Scope) *handover.Exchanger {
	return handover.NewExchanger(e, l, l, scope, log)
}

// handoverSource gives the coordinator the current configuration and view of this
// instance.
type handoverSource struct {
	gossip *gossip.Gossip
	sync   *confsync.Syncer
}

// Config implements handover.Source.
func (s handoverSource) Config() *config.Config { return s.sync.Current() }

// View implements handover.Source.
func (s handoverSource) View() *fleet.View { return s.gossip.View() }

func newCoordinator(
	s *settings.Valid, e *placement.Engine, l *link.Link, g *gossip.Gossip, cs *confsync.Syncer, settler *confsettle.Settler,
	log *slog.Logger, scope tally.Scope,
) *handover.Coordinator {
	return handover.NewCoordinator(s.Self.ID, e, l, handoverSource{gossip: g, sync: cs}, settler, scope, log)
}

func newEngine(s *settings.Valid) *placement.Engine {
	return placement.New(placement.Options{Self: s.Self.ID, Records: records.LimitsFor(maxRecords)})
}

func newFragmentOwners(s *settings.Valid) *forward.FragmentOwners {
	return forward.NewFragmentOwners(s.Self.ID)
}

func newForwarder(
	s *settings.Valid, e *placement.Engine, t *trustedAddresses, o *forward.FragmentOwners, sockets *openSockets, log *slog.Logger, scope tally.Scope,
) (*forward.Forwarder, error) {
	c := forward.Config{Listen: s.Packets.Listen, Workers: s.Workers, FragmentOwner: o.FragmentOwner}
	f, err := forward.New(c, e, t.contains, log, scope)
	if err != nil {
		return nil, err
	}
	sockets.add(f.Abort)
	return f, nil
}

func newRequests(s *settings.Valid, g *gossip.Gossip, p *prober.Prober, l *link.Link, log *slog.Logger, scope tally.Scope) *requestpath.Path {
	self, _ := g.View().Get(s.Self.ID)
	return requestpath.New(requestpath.Options{
		Self:        self.ID,
		Incarnation: self.Incarnation,
		DataCentre:  self.DataCentre,
		Region:      self.Region,
		Listen:      s.Requests.Listen,
		Evidence:    p.AddEvidence,
	}, l, l, log, scope)
}

func newAdmin(s *settings.Valid, m *telemetry.Metrics, sv *serving, sockets *openSockets, log *slog.Logger) (*admin.Server, error) {
	server, err := admin.Listen(admin.Options{
		Listen:  s.Admin.Listen,
		Metrics: m.Handler,
		Ready:   sv.ready,
		Pprof:   s.Pprof,
	}, telemetry.WithPart(log, "admin"))
	if err != nil {
		return nil, err
	}
	sockets.add(server.Abort)
	return server, nil
}

// random returns a random number generator with a random seed.
func random() *rand.Rand { return rand.New(rand.NewPCG(randomSeed(), randomSeed())) }

func randomSeed() uint64 { return rand.Uint64() }
