// Package prober runs package health on an instance: it probes backend servers over
// HTTP, exchanges reports with other instances and publishes announcements.
package prober

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/health"
	"balsamfork/internal/peer"
)

// Method is the name of the method by which instances send each other a
// health.Report.
const Method = "health"

// unexpectedAnswer is the class of errors for an answer of an endpoint whose status
// is not 2xx.
var unexpectedAnswer = errs.Class("prober: unexpected answer")

// Malformed is the class of errors for a report that cannot be decoded.
var Malformed = errs.Class("prober: malformed report")

const (
	// tick is the interval between the ticks of the health table.
	tick = 50 * time.Millisecond
	// sendTimeout is the time limit for sending one report.
	sendTimeout = time.Second
	// idleConnTimeout is how long an idle connection to an endpoint is kept open.
	idleConnTimeout = 30 * time.Second
	// warnPeriod is the minimum time between two warnings about servers that are
	// kept in service.
	warnPeriod = 10 * time.Second
)

// Options are the settings of a Prober.
type Options struct {
	Self   fleet.ID
	Params health.Params
	// Seed seeds the random number generator.
	Seed uint64
	// Records is used to determine when a recovering server may be announced
	// healthy. If it is nil, that is done only by Release.
	Records Records
}

// Prober runs the health checks of one instance. Its methods are safe for
// concurrent use, except that OnAnnounce must be called before Run.
type Prober struct {
	self     fleet.ID
	records  Records
	params   health.Params
	caller   peer.Caller
	log      *slog.Logger
	metrics  counters
	client   *http.Client
	announce []func(flow.Announcement)

	mu    sync.Mutex
	table *health.Table
	view  *fleet.View
	// withheld is when the last warning about servers that are kept in service was
	// logged. It is used only by Run.
	withheld int64

	startUnixNano int64
	started       time.Time
	tasks         sync.WaitGroup

	// releaseChecks is used only by releaseLoop.
	releaseChecks map[config.Number]*releaseCheck
}

type counters struct {
	probes    tally.Counter
	failed    tally.Counter
	reports   tally.Counter
	withheld  tally.Counter
	announced map[flow.Condition]tally.Counter
}

func newCounters(scope tally.Scope) counters {
	s := scope.SubScope("health")
	return counters{
		probes:   s.Counter("probes"),
		failed:   s.Counter("probes_failed"),
		reports:  s.Counter("reports_sent"),
		withheld: s.Counter("verdicts_doubted"),
		announced: map[flow.Condition]tally.Counter{
			flow.Healthy:    s.Counter("announced_healthy"),
			flow.Cold:       s.Counter("announced_cold"),
			flow.Down:       s.Counter("announced_down"),
			flow.Recovering: s.Counter("announced_recovering"),
		},
	}
}

// New returns the Prober of an instance and registers Method.
func New(o Options, caller peer.Caller, registry peer.Registry, log *slog.Logger, scope tally.Scope) *Prober {
	started := time.Now()
	p := &Prober{
		self:          o.Self,
		records:       o.Records,
		view:          &fleet.View{Self: o.Self},
		params:        o.Params,
		caller:        caller,
		log:           log.With("part", "health"),
		metrics:       newCounters(scope),
		client:        newClient(),
		table:         health.New(o.Self, o.Params, o.Seed),
		startUnixNano: started.UnixNano(),
		started:       started,
	}
	registry.Handle(Method, p.receive)
	return p
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// OnAnnounce registers a callback for the announcements that this instance makes as
// the primary prober of a backend server. The callback must not block.
func (p *Prober) OnAnnounce(f func(flow.Announcement)) { p.announce = append(p.announce, f) }

// SetConfig sets the configuration in force.
func (p *Prober) SetConfig(c *config.Config) {
	servers := health.Servers(c)
	p.withTable(func(t *health.Table, now int64) { t.Configure(now, servers) })
}

// SetView sets the table of instances.
func (p *Prober) SetView(v *fleet.View) {
	p.withTable(func(t *health.Table, now int64) {
		p.view = v
		t.SetView(now, v)
	})
}

// SetAnnouncements applies announcements received from the fleet.
func (p *Prober) SetAnnouncements(list []flow.Announcement) {
	p.withTable(func(t *health.Table, _ int64) { t.SetConditions(list) })
}

// AddEvidence records one piece of evidence from traffic.
func (p *Prober) AddEvidence(e flow.Evidence) {
	if e.Kind == flow.TurnedCold {
		p.ReportColdStart(e.Server)
		return
	}
	p.withTable(func(t *health.Table, _ int64) { t.AddEvidence([]flow.Evidence{e}) })
}

// ReportColdStart reports a cold start that was detected from traffic.
func (p *Prober) ReportColdStart(n config.Number) {
	p.withTable(func(t *health.Table, now int64) { t.ReportColdStart(now, n) })
}

// Release records that no flows remain recorded because of the condition of a
// recovering backend server. It has an effect only at the server's primary prober.
func (p *Prober) Release(n config.Number) {
	p.withTable(func(t *health.Table, _ int64) { t.Release(n) })
}

func (p *Prober) withTable(f func(*health.Table, int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table, p.now())
}

// now returns the Unix time at the start plus the monotonic time since then, in
// nanoseconds.
func (p *Prober) now() int64 { return p.startUnixNano + int64(time.Since(p.started)) }

func (p *Prober) receive(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var r health.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, Malformed.Wrap(err)
	}
	p.withTable(func(t *health.Table, now int64) { t.Receive(now, from, r) })
	return nil, nil
}
