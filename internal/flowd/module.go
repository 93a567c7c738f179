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
	"balsamfork/internal/suspicion"
	"balsamfork/internal/telemetry"
	"balsamfork/internal/watch"
	"balsamfork/platform"
)

// Module provides the parts of an instance.
var Module = fx.Module("flowd",
	fx.Provide(
		newMetrics,
		newRandom,
		newReadiness,
		catalogue.NewMirror,
		newLinks,
		watch.NewPlan,
		newWatcher,
		newExchange,
		newPath,
		newReloader,
	),
	fx.Invoke(connect, serveHTTP),
)

// metricsPort serves metrics, on the instance's own address.
const metricsPort = 9464

// steady is the clock of the process, from its start.
var steady = clock.New()

func newMetrics(lc fx.Lifecycle, s platform.Settings) (*telemetry.Metrics, tally.Scope) {
	m := telemetry.NewMetrics(s.Instance)
	lc.Append(fx.StopHook(m.Close))
	return m, m.Scope
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// readiness tells the fabric whether to send packets.
type readiness struct {
	leaving atomic.Bool
	mirror  *catalogue.Mirror
	links   *links
}

func newReadiness(m *catalogue.Mirror, l *links) *readiness { return &readiness{mirror: m, links: l} }

func (r *readiness) leave() { r.leaving.Store(true) }

// ready reports whether a configuration and backend servers are known and some of
// the servers can be reached. The fabric sends callers of a data centre in which no
// instance is ready to another one.
func (r *readiness) ready() bool {
	snap := r.mirror.Snapshot()
	return !r.leaving.Load() && snap.Configuration != nil && snap.Size() > 0 && r.links.reaches()
}

// links connects parts that need one another. They are set once all are built.
type links struct {
	learned func()
	alone   func() bool
	seek    func(dataCentre string)
	report  func(suspicion.Report)
	peer    func(suspicion.Report)
	contact func(dataCentre string)
	resized func(all, local int)
	reaches func() bool
}

func newLinks() *links { return &links{} }

func newWatcher(s platform.Settings, m *catalogue.Mirror, plan *watch.Plan, l *links, log *slog.Logger, scope tally.Scope) *watch.Watcher {
	return watch.New(watch.Options{
		Source:  platform.NewStore(platform.StoreOptions{URL: "http://" + s.Store.String(), Log: telemetry.Part(log, "store"), Scope: scope}),
		Mirror:  m,
		Plan:    plan,
		Clock:   steady.Now,
		Learned: func() { l.learned() },
		Alone:   func() bool { return l.alone() },
		Log:     telemetry.Part(log, "catalogue"),
		Scope:   scope,
	})
}

func newExchange(s platform.Settings, m *catalogue.Mirror, w *watch.Watcher, plan *watch.Plan, l *links, log *slog.Logger, scope tally.Scope) (*exchange.Exchange, error) {
	e, err := exchange.Open(exchange.Options{
		Listen:     netip.AddrPortFrom(s.Address, s.FirstPort),
		DataCentre: s.DataCentre,
		Mirror:     m,
		Catalogue:  w,
		Reader:     plan,
		Reported:   func(r suspicion.Report) { l.peer(r) },
		Contact:    func(dataCentre string) { l.contact(dataCentre) },
		Resized:    func(all, local int) { l.resized(all, local) },
		Random:     newRandom(),
		Clock:      steady.Now,
		Log:        telemetry.Part(log, "exchange"),
		Scope:      scope,
	})
	if err == nil {
		e.SetSeeds(s.Seeds)
	}
	return e, err
}

func newPath(s platform.Settings, m *catalogue.Mirror, w *watch.Watcher, l *links, log *slog.Logger, scope tally.Scope) (*flowpath.Path, error) {
	return flowpath.Open(flowpath.Options{
		Codec:      platform.Codec{},
		Listen:     s.Packets,
		DataCentre: s.DataCentre,
		Limits:     flowpath.WarmupLimits{Factor: s.WarmupFactor, Slack: s.WarmupSlack},
		Knowledge: func() flowpath.Knowledge {
			known, since := w.Known()
			return flowpath.Knowledge{Snapshot: m.Snapshot(), Known: known, Since: since}
		},
		Refresh:     func() { w.Refresh(context.Background()) },
		Report:      func(r suspicion.Report) { l.report(r) },
		Unreachable: func(dataCentre string) { l.seek(dataCentre) },
		Clock:       steady.Now,
		Log:         telemetry.Part(log, "flows"),
		Scope:       scope,
	})
}

// reloader applies new settings to a running instance.
type reloader func(platform.Settings)

func newReloader(e *exchange.Exchange) reloader {
	return func(s platform.Settings) { e.SetSeeds(s.Seeds) }
}

// connect links the parts and runs them.
func connect(lc fx.Lifecycle, l *links, w *watch.Watcher, e *exchange.Exchange, p *flowpath.Path, log *slog.Logger) {
	l.learned = func() {
		p.Learned()
		e.Announce()
	}
	l.alone = e.Alone
	l.report = e.Report
	l.seek = e.Seek
	l.peer = p.PeerReport
	l.contact = p.Contact
	l.resized = p.SetInstances
	l.reaches = p.Reaches
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go w.Run(ctx)
			go e.Run()
			go e.Receive()
			go e.Serve()
			go p.Release()
			go func() {
				if err := p.Run(); err != nil {
					log.Error("Packet path has ended.", "part", "daemon", "error", err)
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

// serveHTTP answers the fabric's probes and serves metrics.
func serveHTTP(lc fx.Lifecycle, s platform.Settings, r *readiness, m *telemetry.Metrics) {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", m.Handler)
	serve(lc, s.Readiness, platform.ReadinessHandler(r.ready))
	serve(lc, netip.AddrPortFrom(s.Address, metricsPort), metrics)
}

// headerTimeout bounds how long an HTTP client may take to send its request.
const headerTimeout = 2 * time.Second

func serve(lc fx.Lifecycle, at netip.AddrPort, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp4", at.String())
			if err != nil {
				return Error.Wrap(err)
			}
			go func() { _ = server.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
