package requestpath

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/pair"
	"balsamfork/internal/peer"
	"balsamfork/internal/request"
)

// ListenError is the class of errors for a failure to listen for callers.
var ListenError = errs.Class("requestpath: listen")

// Path is the request path of one instance.
type Path struct {
	opts  Options
	self  pair.Holder
	peers peer.Caller
	log   *slog.Logger
	m     metrics
	clock clock

	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	listener net.Listener
	servers  *serverPools
	// clockStepped is used only by the goroutine of tick.
	clockStepped bool
	// evidenceQueue holds the evidence to be passed to Options.Evidence.
	evidenceQueue chan flow.Evidence

	// mu guards the fields below.
	mu            sync.Mutex
	members       *pair.Table
	claims        *atmostonce.Claims
	owner         *keyowner.System
	admitter      *admission.System
	cfg           *config.Config
	view          *fleet.View
	announcements map[config.Number]flow.Announcement
	joins         map[config.Number]joinTime
	seq           uint64
	results       map[uint64]chan request.Result
	// copyByWaiter maps waiters to the copies that other instances forwarded, and
	// waiterByCopy is its inverse. attemptByWaiter maps waiters of the admitter to
	// the attempts whose outcome this instance has to report. callByAttempt maps the
	// sequence numbers of attempts sent to other instances to the IDs of their calls.
	copyByWaiter    map[uint64]copyID
	waiterByCopy    map[copyID]uint64
	attemptByWaiter map[uint64]admission.AttemptID
	callByAttempt   map[uint64]uint64
	calls           map[uint64]call
	stopping        bool
	closed          bool
	// inProgress counts unfinished requests of callers and unfinished replies to
	// instances.
	inProgress int
}

// call is a pending call to another instance.
type call struct {
	to     fleet.ID
	cancel context.CancelFunc
}

// stop cancels the call. It does nothing on a zero call.
func (c call) stop() {
	if c.cancel != nil {
		c.cancel()
	}
}

// New returns a request path and registers its methods with reg. Call Start once
// the configuration and the view are set.
func New(o Options, peers peer.Caller, reg peer.Registry, log *slog.Logger, scope tally.Scope) *Path {
	o.setDefaults()
	c := newClock()
	now := c.now()
	p := &Path{
		clock:           c,
		opts:            o,
		self:            pair.Holder{ID: o.Self, Incarnation: o.Incarnation},
		peers:           peers,
		log:             log.With("part", "requests"),
		m:               newMetrics(scope),
		members:         pair.New(o.Membership),
		announcements:   make(map[config.Number]flow.Announcement),
		joins:           make(map[config.Number]joinTime),
		results:         make(map[uint64]chan request.Result),
		copyByWaiter:    make(map[uint64]copyID),
		waiterByCopy:    make(map[copyID]uint64),
		attemptByWaiter: make(map[uint64]admission.AttemptID),
		callByAttempt:   make(map[uint64]uint64),
		calls:           make(map[uint64]call),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.servers = newServerPools(p.ctx, o.Dial, p.clock, p.log, p.m)
	p.evidenceQueue = make(chan flow.Evidence, evidenceQueueSize)
	p.claims = atmostonce.NewClaims(now, o.Timing.Settle, atmostonce.MaxClaims)
	p.claims.SetAwaitingContact(now, true)
	p.claims.SetKnownAfter(int64(o.Incarnation)*int64(time.Millisecond) + int64(o.Membership.RecordsAfter))
	p.admitter = admission.New(now, p.self, o.Timing, p.members)
	p.owner = keyowner.New(keyowner.Options{
		Self:    p.self,
		Members: p.members,
		Claims:  p.claims,
		Table:   atmostonce.NewTable(atmostonce.MaxEntries, atmostonce.MaxAnswerBytes),
		Rand:    rand.New(rand.NewPCG(o.Incarnation, pair.KeyOf(string(o.Self)))),
		MaxRun:  o.Timing.MaxRun,
	})
	p.register(reg)
	return p
}

// Start listens for callers and starts the background goroutines. It returns
// ListenError.
func (p *Path) Start() error {
	l, err := net.Listen("tcp", p.opts.Listen.String())
	if err != nil {
		return ListenError.Wrap(err)
	}
	p.Serve(l)
	return nil
}

// Serve is like Start, with an existing listener.
func (p *Path) Serve(l net.Listener) {
	p.listener = l
	p.work.Go(p.accept)
	p.work.Go(p.tick)
	p.work.Go(p.watchSilent)
	p.work.Go(p.deliverEvidence)
	p.log.Info("Listening for callers", "address", l.Addr().String())
}

// Addr returns the address that callers connect to. Call it after Start.
func (p *Path) Addr() net.Addr { return p.listener.Addr() }

// Ready reports whether the configuration and the view are set, and this instance
// holds the lease of every backend server that it should admit to.
func (p *Path) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.admitter.Totals(p.clock.now())
	return p.cfg != nil && p.view != nil && t.Held == t.Wanted
}

// Drain stops accepting requests within drainAcceptTime, and returns once those in
// progress have ended. It returns the error of the context if that ends first.
func (p *Path) Drain(ctx context.Context) error {
	p.listener.Close()
	p.mu.Lock()
	now := p.clock.now()
	p.claims.SetLeaving(now)
	p.admitter.SetLeaving(now)
	p.runEffects()
	p.mu.Unlock()
	start := time.Now()
	stopping := time.AfterFunc(drainAcceptTime, p.stopAccepting)
	defer stopping.Stop()
	for {
		if time.Since(start) >= minDrainTime && p.stopIfIdle() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// Times of a graceful shutdown.
const (
	drainAcceptTime = 2 * time.Second
	// minDrainTime is how long an instance that drains still records claims on keys
	// created before the drain.
	minDrainTime      = time.Second
	drainPollInterval = 20 * time.Millisecond
)

func (p *Path) stopAccepting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	p.owner.SetStopping()
}

// stopIfIdle stops accepting requests if none is in progress, and reports whether it
// did.
func (p *Path) stopIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := p.admitter.Totals(p.clock.now()).Running
	if p.inProgress > 0 || len(p.attemptByWaiter) > 0 || p.owner.Pending() > 0 || running > 0 {
		return false
	}
	p.stopping = true
	p.owner.SetStopping()
	return true
}

// Close cancels all requests and stops the request path immediately.
func (p *Path) Close() error {
	if p.listener != nil {
		p.listener.Close()
	}
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stop()
	p.work.Wait()
	p.servers.close()
	return nil
}

func (p *Path) tick() {
	t := time.NewTicker(admission.TickInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		now := p.clock.now()
		p.admitter.Tick(now)
		p.owner.Tick(now)
		p.runEffects()
		if n%ticksPerGaugeUpdate == 0 {
			p.m.setGauges(p.admitter.Totals(now), p.owner.Pending(), p.claims.Len(), p.owner.Counts())
		}
		p.mu.Unlock()
		p.checkClock()
	}
}

// ticksPerGaugeUpdate is the number of ticks between two updates of the gauges.
const ticksPerGaugeUpdate = 100

// evidenceQueueSize bounds the evidence that is waiting for Options.Evidence.
const evidenceQueueSize = 1024

// deliverEvidence passes queued evidence to Options.Evidence without holding mu.
func (p *Path) deliverEvidence() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.evidenceQueue:
			if p.opts.Evidence != nil {
				p.opts.Evidence(e)
			}
		}
	}
}

// checkClock logs and counts, once, that the wall clock was stepped: deadlines that
// this instance sends are then wrong for the others until it is restarted.
func (p *Path) checkClock() {
	if step := p.clock.step(); step > p.opts.Timing.Margin && !p.clockStepped {
		p.clockStepped = true
		p.m.clockStepped.Inc(1)
		p.log.Error("Wall clock was stepped; restart the instance", "by", step)
	}
}
