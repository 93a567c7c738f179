// Package gossip runs package member over the control link: it ticks the table,
// carries its messages between instances and publishes views.
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

// Method is the name of the JSON-RPC method that carries messages. Its parameter is
// an encoded member.Message in base64.
const Method = "member"

const (
	// sendTimeout limits how long sending one message may take.
	sendTimeout = time.Second
	// maxInFlight limits the messages being sent to one instance. Further ones are
	// dropped: a later heartbeat reveals missed updates, and a Sync repairs them.
	maxInFlight = 16
)

// Options are the settings of a Gossip.
type Options struct {
	// Self is this instance. New sets its incarnation and state.
	Self   fleet.Instance
	Params member.Params
	// Seed is the seed of the random number generator.
	Seed uint64
}

// Gossip runs the membership protocol of one instance. Its methods are safe for
// concurrent use, except that the On methods must be called before Run. Callbacks run
// one at a time and must not block.
type Gossip struct {
	self    fleet.ID
	params  member.Params
	caller  peer.Caller
	log     *slog.Logger
	metrics instruments

	onView          []func(*fleet.View)
	onVersion       []func(fleet.ID, config.Version)
	onAnnouncements []func([]flow.Announcement)

	mu    sync.Mutex
	table *member.Table
	view  atomic.Pointer[fleet.View]

	startUnixNano int64
	startedAt     time.Time

	ready     chan struct{}
	readyOnce sync.Once
	alone     atomic.Bool

	sends      sync.WaitGroup
	inFlightMu sync.Mutex
	inFlight   map[fleet.ID]int
}

type instruments struct {
	sent         tally.Counter
	dropped      tally.Counter
	failed       tally.Counter
	malformed    tally.Counter
	bytesEncoded tally.Counter
	usable       tally.Gauge
	known        tally.Gauge
}

func newInstruments(scope tally.Scope) instruments {
	s := scope.SubScope("member")
	return instruments{
		sent:         s.Counter("messages_sent"),
		dropped:      s.Counter("messages_dropped"),
		failed:       s.Counter("messages_failed"),
		malformed:    s.Counter("messages_malformed"),
		bytesEncoded: s.Counter("bytes_encoded"),
		usable:       s.Gauge("instances_usable"),
		known:        s.Gauge("instances_known"),
	}
}

// New returns the Gossip of an instance and registers its method.
func New(o Options, caller peer.Caller, registry peer.Registry, log *slog.Logger, scope tally.Scope) *Gossip {
	startedAt := time.Now()
	startUnixNano := startedAt.UnixNano()
	self := o.Self
	self.Incarnation = uint64(startedAt.UnixMilli())
	g := &Gossip{
		self:          self.ID,
		params:        o.Params,
		caller:        caller,
		log:           log.With("part", "member"),
		metrics:       newInstruments(scope),
		table:         member.New(self, o.Params, o.Seed, startUnixNano),
		startUnixNano: startUnixNano,
		startedAt:     startedAt,
		ready:         make(chan struct{}),
		inFlight:      make(map[fleet.ID]int),
	}
	g.view.Store(g.table.View())
	registry.Handle(Method, g.receive)
	return g
}

// OnView registers a callback for each change of the table.
func (g *Gossip) OnView(f func(*fleet.View)) { g.onView = append(g.onView, f) }

// OnVersion registers a callback for each instance found to have applied a newer
// configuration version than this instance.
func (g *Gossip) OnVersion(f func(fleet.ID, config.Version)) { g.onVersion = append(g.onVersion, f) }

// OnAnnouncements registers a callback for announcements that are new to this
// instance, its own included.
func (g *Gossip) OnAnnouncements(f func([]flow.Announcement)) {
	g.onAnnouncements = append(g.onAnnouncements, f)
}

// View returns the latest view.
func (g *Gossip) View() *fleet.View { return g.view.Load() }

// Ready returns a channel that is closed once this instance has received the table and
// the announcements from a peer, or has timed out waiting for one; Alone reports
// whether it timed out.
func (g *Gossip) Ready() <-chan struct{} { return g.ready }

// Alone reports whether this instance became ready without reaching a peer.
func (g *Gossip) Alone() bool { return g.alone.Load() }

// Resolve returns the control address of an instance; the link uses it to dial.
func (g *Gossip) Resolve(id fleet.ID) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.table.Lookup(id)
	return i.Control, ok && i.Control.IsValid()
}

// Seed sets the instances that the platform lists. They are pinged, but not added to
// the table until they answer.
func (g *Gossip) Seed(list []fleet.Instance) {
	g.withTable(func(*member.Table, int64) { g.table.Seed(list) })
}

// SetApplied sets the configuration version that this instance has applied.
func (g *Gossip) SetApplied(v config.Version) {
	g.withTable(func(t *member.Table, now int64) { t.SetApplied(now, v) })
}

// Announce disseminates a condition of a backend server to the fleet.
func (g *Gossip) Announce(a flow.Announcement) {
	g.withTable(func(t *member.Table, now int64) { t.Announce(now, a) })
}

// Announcements returns all known announcements, in order of Server.
func (g *Gossip) Announcements() []flow.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Announcements()
}

// Leave announces that this instance is leaving and waits for the time of the notice,
// in which the announcement is relayed. The instance stays a member until Run's context
// ends.
func (g *Gossip) Leave(ctx context.Context) error {
	g.withTable(func(t *member.Table, now int64) { t.Leave(now) })
	select {
	case <-time.After(g.params.LeaveNotice):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gossip) withTable(f func(*member.Table, int64)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table, g.now())
}

// now returns the Unix time in nanoseconds: the time of the start, advanced by the
// monotonic clock.
func (g *Gossip) now() int64 { return g.startUnixNano + int64(time.Since(g.startedAt)) }

func (g *Gossip) receive(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var data []byte
	if err := json.Unmarshal(params, &data); err != nil {
		g.metrics.malformed.Inc(1)
		return nil, member.Malformed.Wrap(err)
	}
	m, err := member.Decode(data)
	if err != nil {
		g.metrics.malformed.Inc(1)
		g.log.Warn("Malformed message rejected.", "from", from, "error", err)
		return nil, err
	}
	g.withTable(func(t *member.Table, now int64) { t.Receive(now, from, m) })
	return nil, nil
}
