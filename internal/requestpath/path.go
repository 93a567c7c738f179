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

// ListenError is the class of errors for an address that cannot be listened on.
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
	servers  *pools
	// stepped belongs to the goroutine of tick.
	stepped bool
	// reports is the evidence on its way to Options.Evidence.
	reports chan flow.Evidence

	// mu guards all that follows.
	mu       sync.Mutex
	members  *pair.Table
	claims   *atmostonce.Claims
	owner    *keyowner.System
	admitter *admission.System
	cfg      *config.Config
	view     *fleet.View
	notices  map[config.Number]flow.Announcement
	cold     map[config.Number]joined
	seq      uint64
	results  map[uint64]chan request.Result
	// copies is the copies that other instances passed on, by waiter, and waiters the
	// other way round; attempts is those of whom this instance owes the outcome, by
	// waiter; waits is the calls of those that were passed on, by number.
	copies   map[uint64]copyID
	waiters  map[copyID]uint64
	attempts map[uint64]admission.AttemptID
	waits    map[uint64]uint64
	calls    map[uint64]call
	stopping bool
	closed   bool
	// busy counts requests of callers and replies to instances that are not finished.
	busy int
}

// call is a message to another instance whose answer is awaited.
type call struct {
	to     fleet.ID
	cancel context.CancelFunc
}

// end cancels the call, if there is one.
func (c call) end() {
	if c.cancel != nil {
		c.cancel()
	}
}

// New returns a request path. It registers its methods with reg; call Start once
// the configuration and the view are set.
func New(o Options, peers peer.Caller, reg peer.Registry, log *slog.Logger, scope tally.Scope) *Path {
	o.fill()
	c := newClock()
	now := c.now()
	p := &Path{
		clock:    c,
		opts:     o,
		self:     pair.Holder{ID: o.Self, Incarnation: o.Incarnation},
		peers:    peers,
		log:      log.With("part", "requests"),
		m:        newMetrics(scope),
		members:  pair.New(o.Membership),
		notices:  make(map[config.Number]flow.Announcement),
		cold:     make(map[config.Number]joined),
		results:  make(map[uint64]chan request.Result),
		copies:   make(map[uint64]copyID),
		waiters:  make(map[copyID]uint64),
		attempts: make(map[uint64]admission.AttemptID),
		waits:    make(map[uint64]uint64),
		calls:    make(map[uint64]call),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.servers = newPools(p.ctx, o.Dial, p.clock, p.log, p.m)
	p.reports = make(chan flow.Evidence, maxReports)
	p.claims = atmostonce.NewClaims(now, o.Timing.Settle, atmostonce.MaxClaims)
	p.claims.SetAlone(now, true)
	p.claims.NotBefore(int64(o.Incarnation)*int64(time.Millisecond) + int64(o.Membership.NotesAfter))
	p.admitter = admission.New(now, p.self, o.Timing, p.members)
	p.owner = keyowner.New(keyowner.Options{
		Self:    p.self,
		Members: p.members,
		Claims:  p.claims,
		Table:   atmostonce.NewTable(atmostonce.MaxEntries, atmostonce.MaxAnswerBytes),
		Rand:    rand.New(rand.NewPCG(o.Incarnation, pair.Name(string(o.Self)))),
		MaxRun:  o.Timing.MaxRun,
	})
	p.register(reg)
	return p
}

// Start listens for callers and starts the timers. It returns ListenError.
func (p *Path) Start() error {
	l, err := net.Listen("tcp", p.opts.Listen.String())
	if err != nil {
		return ListenError.Wrap(err)
	}
	p.StartOn(l)
	return nil
}

// StartOn is Start with a listener that is there already.
func (p *Path) StartOn(l net.Listener) {
	p.listener = l
	p.work.Go(p.accept)
	p.work.Go(p.tick)
	p.work.Go(p.watchSilent)
	p.work.Go(p.report)
	p.log.Info("Requests are taken", "address", l.Addr().String())
}

// Addr returns where callers connect, once started.
func (p *Path) Addr() net.Addr { return p.listener.Addr() }

// Ready reports whether every backend server that this instance admits to has
// granted slots, and there is at least a configuration and a view.
func (p *Path) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.admitter.Totals(p.clock.now())
	return p.cfg != nil && p.view != nil && t.Held == t.Wanted
}

// Drain stops taking requests within stopAfter, and returns once those in progress
// have ended. It returns the error of the context if that ends first.
func (p *Path) Drain(ctx context.Context) error {
	p.listener.Close()
	p.mu.Lock()
	now := p.clock.now()
	p.claims.SetLeaving(now)
	p.admitter.SetLeaving(now)
	p.flush()
	p.mu.Unlock()
	began := time.Now()
	stopping := time.AfterFunc(stopAfter, p.refuseNew)
	defer stopping.Stop()
	for {
		if p.idle() && time.Since(began) >= noteFor {
			p.refuseNew()
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// Times of a graceful shutdown.
const (
	stopAfter = 2 * time.Second
	// noteFor is how long keys that were made before are still noted here.
	noteFor   = time.Second
	drainPoll = 20 * time.Millisecond
)

func (p *Path) refuseNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	p.owner.SetStopping()
}

func (p *Path) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy == 0 && len(p.attempts) == 0 && p.owner.Pending() == 0 && p.admitter.Totals(p.clock.now()).Running == 0
}

// Close ends everything at once.
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
	t := time.NewTicker(admission.TickEvery)
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
		p.flush()
		if n%ticksPerGauge == 0 {
			p.m.gauges(p.admitter.Totals(now), p.owner.Pending(), p.claims.Len(), p.owner.Counts())
		}
		p.mu.Unlock()
		p.watchClock()
	}
}

// ticksPerGauge is how many ticks pass between two settings of the gauges.
const ticksPerGauge = 100

// maxReports bounds the evidence that waits for its receiver.
const maxReports = 1024

// report hands evidence on without holding anything.
func (p *Path) report() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.reports:
			if p.opts.Evidence != nil {
				p.opts.Evidence(e)
			}
		}
	}
}

// watchClock reports, once, that the wall clock was set: deadlines of this instance
// are then off for the others until it is started again.
func (p *Path) watchClock() {
	if step := p.clock.step(); step > p.opts.Timing.Margin && !p.stepped {
		p.stepped = true
		p.m.stepped.Inc(1)
		p.log.Error("The clock was set; start the instance again", "by", step)
	}
}
