package flowd

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/clock"
	"balsamfork/internal/exchange"
	"balsamfork/internal/flowpath"
	"balsamfork/internal/pause"
	"balsamfork/internal/suspicion"
	"balsamfork/internal/telemetry"
	"balsamfork/internal/watch"
	"balsamfork/platform"
)

// Module provides and connects the components of an instance.
var Module = fx.Module("flowd",
	fx.Provide(
		newMetrics,
		newRandom,
		newReadiness,
		catalogue.NewMirror,
		newHooks,
		watch.NewPlan,
		newWatcher,
		newPauseDetector,
		newExchange,
		newPath,
		newReloader,
	),
	fx.Invoke(connect, serveHTTP),
)

// metricsPort is the TCP port for metrics on the instance's own address.
const metricsPort = 9464

// processClock is the monotonic clock of the process; its zero is the start of the
// process.
var processClock = clock.New()

func newMetrics(lc fx.Lifecycle, s platform.Settings) (*telemetry.Metrics, tally.Scope) {
	m := telemetry.NewMetrics(s.Instance)
	lc.Append(fx.StopHook(m.Close))
	return m, m.Scope
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readiness decides whether the instance reports to the fabric that it is ready.
type readiness struct {
	leaving atomic.Bool
	mirror  *catalogue.Mirror
	hooks   *hooks
}

func newReadiness(m *catalogue.Mirror, h *hooks) *readiness { return &readiness{mirror: m, hooks: h} }

func (r *readiness) setLeaving() { r.leaving.Store(true) }

// ready reports whether the instance can serve callers: it is not shutting down, knows a
// configuration and backend servers, and reaches at least one of them. If no instance of
// a data centre is ready, the fabric sends its callers to another data centre.
func (r *readiness) ready() bool {
	snap := r.mirror.Snapshot()
	return !r.leaving.Load() && snap.Configuration != nil && snap.Size() > 0 && r.hooks.reachesAnyServer()
}

// hooks holds functions through which components call each other where their
// dependencies form a cycle. connect sets them when all components have been built.
type hooks struct {
	catalogueRead      func(before catalogue.Position)
	localPeers         func() int
	probeDataCentre    func(dataCentre string)
	reportServer       func(suspicion.Report)
	returns            func() []suspicion.Report
	peerReported       func(suspicion.Report)
	dataCentreAnswered func(dataCentre string)
	instancesChanged   func(all, local int)
	reachesAnyServer   func() bool
	shareLoad          func(report []byte)
	// loadReported, serviceSums and remoteSums serve load sharing, which is off while they
	// are nil.
	loadReported func(sender netip.Addr, report []byte)
	serviceSums  func() []exchange.ServiceSum
	remoteSums   func(dataCentre string, sums []exchange.ServiceSum)
}

func newHooks() *hooks { return &hooks{} }

func newWatcher(s platform.Settings, m *catalogue.Mirror, plan *watch.Plan, h *hooks, log *slog.Logger, scope tally.Scope) *watch.Watcher {
	return watch.New(watch.Options{
		Source: platform.NewStore(platform.StoreOptions{URL: "http://" + s.Store.String(), Log: telemetry.WithPart(log, "store"), Scope: scope}),
		Mirror: m,
		Plan:   plan,
		Clock:  processClock.Now,
		OnRead: func(before catalogue.Position) { h.catalogueRead(before) },
		Peers:  func() int { return h.localPeers() },
		Log:    telemetry.WithPart(log, "catalogue"),
		Scope:  scope,
	})
}

func newPauseDetector() *pause.Detector { return pause.New(processClock.Now) }

func newExchange(s platform.Settings, m *catalogue.Mirror, w *watch.Watcher, plan *watch.Plan, h *hooks, pauses *pause.Detector, sockets *openSockets, log *slog.Logger, scope tally.Scope) (*exchange.Exchange, error) {
	e, err := exchange.Open(exchange.Options{
		Listen:     netip.AddrPortFrom(s.Address, s.FirstPort),
		DataCentre: s.DataCentre,
		Mirror:     m,
		Catalogue:  w,
		Reader:     reader{plan, w},
		OnReport:   func(r suspicion.Report) { h.peerReported(r) },
		OnContact:  func(dataCentre string) { h.dataCentreAnswered(dataCentre) },
		OnResize:   func(all, local int) { h.instancesChanged(all, local) },
		OnLoad: func(sender netip.Addr, report []byte) {
			if h.loadReported != nil {
				h.loadReported(sender, report)
			}
		},
		ServiceSums: func() []exchange.ServiceSum {
			if h.serviceSums == nil {
				return nil
			}
			return h.serviceSums()
		},
		Returns: func() []suspicion.Report { return h.returns() },
		OnServiceSums: func(dataCentre string, sums []exchange.ServiceSum) {
			if h.remoteSums != nil {
				h.remoteSums(dataCentre, sums)
			}
		},
		Random:     newRandom(),
		LastResume: pauses.LastResume,
		Clock:      processClock.Now,
		Log:        telemetry.WithPart(log, "exchange"),
		Scope:      scope,
	})
	if err != nil {
		return nil, err
	}
	sockets.add(e)
	e.SetSeeds(s.Seeds)
	return e, nil
}

// reader implements exchange.Reader.
type reader struct {
	*watch.Plan
	watcher *watch.Watcher
}

func (r reader) Settled() bool { return r.Plan.Settled(processClock.Now()) }

func (r reader) StandBy() { r.Plan.StandBy(processClock.Now()) }

func (r reader) Awaiting() bool { return r.watcher.Awaiting() }

func newPath(s platform.Settings, m *catalogue.Mirror, w *watch.Watcher, h *hooks, pauses *pause.Detector, sockets *openSockets, log *slog.Logger, scope tally.Scope) (*flowpath.Path, error) {
	p, err := flowpath.Open(flowpath.Options{
		Codec:      platform.Codec{},
		Listen:     s.Packets,
		DataCentre: s.DataCentre,
		Flows:      flowpath.FlowLimits{MaxAge: s.MaxFlowAge, StabilityWindow: s.StabilityWindow},
		Warmup:     flowpath.WarmupLimits{Factor: s.WarmupFactor, Slack: s.WarmupSlack},
		CatalogueState: func() flowpath.CatalogueState {
			known, since := w.Known()
			return flowpath.CatalogueState{Snapshot: m.Snapshot(), Known: known, Since: since, Failing: w.Failing()}
		},
		Refresh:        func() { w.Refresh(context.Background()) },
		Report:         func(r suspicion.Report) { h.reportServer(r) },
		ShareLoad:      func(report []byte) { h.shareLoad(report) },
		RequestContact: func(dataCentre string) { h.probeDataCentre(dataCentre) },
		LastResume:     pauses.LastResume,
		Clock:          processClock.Now,
		Log:            telemetry.WithPart(log, "flows"),
		Scope:          scope,
	})
	if err != nil {
		return nil, err
	}
	sockets.add(p)
	return p, nil
}

// reloader applies new settings to a running instance.
type reloader func(platform.Settings)

func newReloader(e *exchange.Exchange) reloader {
	return func(s platform.Settings) { e.SetSeeds(s.Seeds) }
}

// connect sets the hooks and registers the start and stop of the components.
func connect(lc fx.Lifecycle, h *hooks, w *watch.Watcher, e *exchange.Exchange, p *flowpath.Path, pauses *pause.Detector, log *slog.Logger) {
	h.catalogueRead = func(before catalogue.Position) {
		p.CatalogueRefreshed()
		e.Announce(before)
	}
	h.localPeers = e.LocalPeers
	h.reportServer = e.Report
	h.returns = p.Returns
	h.probeDataCentre = e.ProbeDataCentre
	connectLoad(h, e, p, log)
	h.peerReported = p.PeerReport
	h.dataCentreAnswered = p.Contact
	h.instancesChanged = p.SetInstances
	h.reachesAnyServer = p.ReachesAnyServer
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go pauses.Run(ctx)
			go w.Run(ctx)
			go w.Await(ctx)
			go e.Run()
			go e.Receive()
			go e.Serve()
			go p.Release()
			go func() {
				if err := p.Run(); err != nil {
					log.Error("Packet path failed.", "part", "daemon", "error", err)
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return errors.Join(p.Close(), e.Close())
		},
	})
}

// serveHTTP registers the HTTP servers for the fabric's readiness probes and for
// metrics.
func serveHTTP(lc fx.Lifecycle, s platform.Settings, r *readiness, m *telemetry.Metrics, sockets *openSockets) {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", m.Handler)
	for address, handler := range map[netip.AddrPort]http.Handler{
		s.Readiness: platform.ReadinessHandler(r.ready),
		netip.AddrPortFrom(s.Address, metricsPort): metrics,
	} {
		server := &httpServer{address: address, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
		sockets.add(server)
		lc.Append(fx.StartStopHook(server.start, server.Close))
	}
}

// headerTimeout is the time within which an HTTP client must send its request headers.
const headerTimeout = 2 * time.Second

// httpServer is an HTTP server on one address.
type httpServer struct {
	address  netip.AddrPort
	server   *http.Server
	listener net.Listener
}

func (h *httpServer) start() error {
	listener, err := net.Listen("tcp4", h.address.String())
	if err != nil {
		return Error.Wrap(err)
	}
	h.listener = listener
	go func() { _ = h.server.Serve(listener) }()
	return nil
}

// Close closes the listener, if there is one, and all connections.
func (h *httpServer) Close() error {
	if h.listener == nil {
		return nil
	}
	err := h.server.Close()
	// The server has closed the listener only if Serve has begun.
	if closeErr := h.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return err
}
