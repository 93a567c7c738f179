// Package gossip runs package member over the control link: it ticks the table,
// carries its messages between instances and hands out views.
package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/member"
	"balsamfork/internal/peer"
)

// Method is the method that carries messages: its parameter is an encoded
// member.Message in base64.
const Method = "member"

const (
	// sendTimeout bounds how long one message may take to be sent.
	sendTimeout = time.Second
	// maxInFlight bounds the messages on their way to one instance; more are
	// dropped, since later ones repeat what matters.
	maxInFlight = 16
	// spreadTicks is how many ticks Leave waits for its news to be passed on.
	spreadTicks = 4
)

// Options are the settings of a Gossip.
type Options struct {
	// Self is this instance. Its incarnation and state are filled in.
	Self   fleet.Instance
	Params member.Params
	// Seed starts the source of chance.
	Seed uint64
}

// Gossip is the membership of one running instance. Its methods may be called
// from several goroutines, but the On methods only before Run. Callbacks run one
// at a time and must not block.
type Gossip struct {
	self   fleet.ID
	params member.Params
	caller peer.Caller
	log    *slog.Logger
	count  counters

	onView          []func(*fleet.View)
	onVersion       []func(fleet.ID, config.Version)
	onAnnouncements []func([]flow.Announcement)

	mu    sync.Mutex
	table *member.Table
	view  atomic.Pointer[fleet.View]

	base    int64
	started time.Time

	ready     chan struct{}
	readyOnce sync.Once
	alone     atomic.Bool

	sending  sync.WaitGroup
	flightMu sync.Mutex
	flight   map[fleet.ID]int
}

type counters struct {
	sent    tally.Counter
	dropped tally.Counter
	failed  tally.Counter
	refused tally.Counter
	bytes   tally.Counter
	usable  tally.Gauge
	known   tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	s := scope.SubScope("member")
	return counters{
		sent:    s.Counter("messages_sent"),
		dropped: s.Counter("messages_dropped"),
		failed:  s.Counter("messages_failed"),
		refused: s.Counter("messages_malformed"),
		bytes:   s.Counter("bytes_encoded"),
		usable:  s.Gauge("instances_usable"),
		known:   s.Gauge("instances_known"),
	}
}

// New makes the membership of an instance and registers its method.
func New(o Options, caller peer.Caller, registry peer.Registry, log *slog.Logger, scope tally.Scope) *Gossip {
	started := time.Now()
	base := started.UnixNano()
	self := o.Self
	self.Incarnation = uint64(started.UnixMilli())
	g := &Gossip{
		self:    self.ID,
		params:  o.Params,
		caller:  caller,
		log:     log.With("part", "member"),
		count:   newCounters(scope),
		table:   member.New(self, o.Params, o.Seed, base),
		base:    base,
		started: started,
		ready:   make(chan struct{}),
		flight:  make(map[fleet.ID]int),
	}
	g.view.Store(g.table.View())
	registry.Handle(Method, g.receive)
	return g
}

// OnView registers a callback for each change of the table.
func (g *Gossip) OnView(f func(*fleet.View)) { g.onView = append(g.onView, f) }

// OnVersion registers a callback for each instance that is heard to serve by a
// newer version than this one.
func (g *Gossip) OnVersion(f func(fleet.ID, config.Version)) { g.onVersion = append(g.onVersion, f) }

// OnAnnouncements registers a callback for conditions that are new here, the own
// ones included.
func (g *Gossip) OnAnnouncements(f func([]flow.Announcement)) {
	g.onAnnouncements = append(g.onAnnouncements, f)
}

// View returns the newest view.
func (g *Gossip) View() *fleet.View { return g.view.Load() }

// Ready is closed once this instance has learnt the table and the announcements
// from a peer, or has waited for one in vain; Alone then reports the latter.
func (g *Gossip) Ready() <-chan struct{} { return g.ready }

// Alone reports whether this instance became ready without a peer.
func (g *Gossip) Alone() bool { return g.alone.Load() }

// Resolve returns the control address of an instance, for the link.
func (g *Gossip) Resolve(id fleet.ID) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.table.Address(id)
	return i.Control, ok && i.Control.IsValid()
}

// Seed gives the platform's list, which is sought but not believed.
func (g *Gossip) Seed(list []fleet.Instance) {
	g.with(func(*member.Table, int64) { g.table.Seed(list) })
}

// SetApplied says which version this instance serves by, from now on.
func (g *Gossip) SetApplied(v config.Version) {
	g.with(func(t *member.Table, now int64) { t.SetApplied(now, v) })
}

// Announce gives the fleet a condition of a backend server.
func (g *Gossip) Announce(a flow.Announcement) {
	g.with(func(t *member.Table, now int64) { t.Announce(now, a) })
}

// Announcements returns all conditions that are known, in order of Server.
func (g *Gossip) Announcements() []flow.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Announcements()
}

// Leave announces that this instance is leaving and waits until the news has had
// time to spread. The instance goes on taking part until Run's context ends.
func (g *Gossip) Leave(ctx context.Context) error {
	g.with(func(t *member.Table, now int64) { t.Leave(now) })
	select {
	case <-time.After(spreadTicks * g.params.Tick):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gossip) with(f func(*member.Table, int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table, g.now())
}

// now is Unix time at the start, moved on by the monotonic clock.
func (g *Gossip) now() int64 { return g.base + int64(time.Since(g.started)) }

func (g *Gossip) receive(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		g.count.refused.Inc(1)
		return nil, member.Malformed.Wrap(err)
	}
	m, err := member.Decode(data)
	if err != nil {
		g.count.refused.Inc(1)
		g.log.Warn("Message refused.", "from", from, "error", err)
		return nil, err
	}
	g.with(func(t *member.Table, now int64) { t.Receive(now, from, m) })
	return nil, nil
}
