// Package prober runs package health: it probes backend servers over HTTP,
// carries reports between instances and hands out announcements.
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

// Method is the method that carries health.Report between instances.
const Method = "health"

// unexpected is the class of errors for an endpoint that answers otherwise.
var unexpected = errs.Class("prober: unexpected answer")

// Malformed is the class of errors for a report that cannot be read.
var Malformed = errs.Class("prober: malformed report")

const (
	// tick is how often the decisions run.
	tick = 50 * time.Millisecond
	// sendTimeout bounds how long one report may take to be sent.
	sendTimeout = time.Second
	// idleConnection is how long a connection to an endpoint is kept unused.
	idleConnection = 30 * time.Second
	// doubtPeriod is the least time between two warnings of doubt.
	doubtPeriod = 10 * time.Second
)

// Options are the settings of a Prober.
type Options struct {
	Self   fleet.ID
	Params health.Params
	// Seed starts the source of chance.
	Seed uint64
	// Records tells when a recovering server may be announced healthy. Without it
	// only Release does.
	Records Records
}

// Prober is the health of one running instance. Its methods may be called from
// several goroutines, but OnAnnounce only before Run.
type Prober struct {
	self     fleet.ID
	records  Records
	params   health.Params
	caller   peer.Caller
	log      *slog.Logger
	count    counters
	client   *http.Client
	announce []func(flow.Announcement)

	mu      sync.Mutex
	table   *health.Table
	view    *fleet.View
	doubted int64

	base    int64
	started time.Time
	busy    sync.WaitGroup

	// looks belongs to the loop that releases.
	looks map[config.Number]*look
}

type counters struct {
	probes  tally.Counter
	failed  tally.Counter
	reports tally.Counter
	doubted tally.Counter
	verdict map[flow.Condition]tally.Counter
}

func newCounters(scope tally.Scope) counters {
	s := scope.SubScope("health")
	return counters{
		probes:  s.Counter("probes"),
		failed:  s.Counter("probes_failed"),
		reports: s.Counter("reports_sent"),
		doubted: s.Counter("verdicts_doubted"),
		verdict: map[flow.Condition]tally.Counter{
			flow.Healthy:    s.Counter("announced_healthy"),
			flow.Cold:       s.Counter("announced_cold"),
			flow.Down:       s.Counter("announced_down"),
			flow.Recovering: s.Counter("announced_recovering"),
		},
	}
}

// New makes the health of an instance and registers its method.
func New(o Options, caller peer.Caller, registry peer.Registry, log *slog.Logger, scope tally.Scope) *Prober {
	started := time.Now()
	p := &Prober{
		self:    o.Self,
		records: o.Records,
		view:    &fleet.View{Self: o.Self},
		params:  o.Params,
		caller:  caller,
		log:     log.With("part", "health"),
		count:   newCounters(scope),
		client:  newClient(),
		table:   health.New(o.Self, o.Params, o.Seed),
		base:    started.UnixNano(),
		started: started,
	}
	registry.Handle(Method, p.receive)
	return p
}

func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleConnection,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// OnAnnounce registers a callback for the announcements that this instance makes
// as a keeper; it must not block.
func (p *Prober) OnAnnounce(f func(flow.Announcement)) { p.announce = append(p.announce, f) }

// SetConfig gives the configuration in force.
func (p *Prober) SetConfig(c *config.Config) {
	servers := health.Servers(c)
	p.with(func(t *health.Table, now int64) { t.Configure(now, servers) })
}

// SetView gives the table of instances.
func (p *Prober) SetView(v *fleet.View) {
	p.with(func(t *health.Table, now int64) {
		p.view = v
		t.SetView(now, v)
	})
}

// SetAnnouncements gives announcements that are new here.
func (p *Prober) SetAnnouncements(list []flow.Announcement) {
	p.with(func(t *health.Table, _ int64) { t.SetConditions(list) })
}

// Evidence gives one thing that traffic has shown.
func (p *Prober) Evidence(e flow.Evidence) {
	if e.Kind == flow.TurnedCold {
		p.SawCold(e.Server)
		return
	}
	p.with(func(t *health.Table, _ int64) { t.Evidence([]flow.Evidence{e}) })
}

// SawCold gives a sign of a cold start that traffic has shown.
func (p *Prober) SawCold(n config.Number) {
	p.with(func(t *health.Table, now int64) { t.SawCold(now, n) })
}

// Release says that no flow is recorded any more because of the condition of a
// backend server that is recovering. Only its keeper acts on it.
func (p *Prober) Release(n config.Number) {
	p.with(func(t *health.Table, _ int64) { t.Release(n) })
}

func (p *Prober) with(f func(*health.Table, int64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.table, p.now())
}

// now is Unix time at the start, moved on by the monotonic clock.
func (p *Prober) now() int64 { return p.base + int64(time.Since(p.started)) }

func (p *Prober) receive(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var r health.Report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, Malformed.Wrap(err)
	}
	p.with(func(t *health.Table, now int64) { t.Receive(now, from, r) })
	return nil, nil
}
