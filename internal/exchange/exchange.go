package exchange

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

const (
	// gossipInterval is how often an instance sends a digest to one random peer, even
	// if nothing has changed; a digest then reaches all of 415 instances within a few
	// seconds.
	gossipInterval = time.Second
	// startupPeriod is how long after its start an instance asks the seeds for the
	// other instances, at intervals that begin with initialInterval and double.
	startupPeriod   = 4 * time.Second
	initialInterval = 100 * time.Millisecond
	// maxReturns bounds the reports on servers in a digest.
	maxReturns = 64
	// helloPeers is the number of peers in the data centre that a starting instance asks as
	// well each time: the seeds may know nothing of its servers.
	helloPeers = 2
	// receiveBufferSize bounds a datagram that is received, in bytes.
	receiveBufferSize = 64 << 10
)

// Catalogue is the instance's copy of the store, maintained by package watch.
type Catalogue interface {
	// Known returns when the catalogue was last known to be complete, and since when
	// it has been known without interruption, in nanoseconds; 0 means never.
	Known() (last, since int64)
	// ApplyDelta applies changes of the given age and reports whether they continue from
	// the current revision.
	ApplyDelta(d catalogue.Delta, age time.Duration) bool
	// Confirm records that a position was the store's current one some time ago.
	Confirm(p catalogue.Position, age time.Duration)
}

// Reader controls this instance's regular reads of the store.
type Reader interface {
	// Regular reports whether this instance reads the store regularly.
	Regular() bool
	// Yield stops the regular reads, as another instance does them.
	Yield()
	// Settled reports whether this instance has read the store regularly for a while.
	Settled() bool
	// StandBy makes this instance a standby for some seconds: it waits for changes of the
	// store beside the regular reader.
	StandBy()
	// Awaiting reports whether this instance waits for changes, and the store lets it.
	Awaiting() bool
}

// Options holds the configuration and dependencies of an Exchange.
type Options struct {
	// Listen is the address for datagrams and connections of other instances; all
	// instances use the same port.
	Listen     netip.AddrPort
	DataCentre string
	Mirror     *catalogue.Mirror
	Catalogue  Catalogue
	Reader     Reader
	// OnReport is called with a peer's report on a backend server. It must not block.
	OnReport func(suspicion.Report)
	// OnContact is called when a data centre that was probed has answered. It must not
	// block.
	OnContact func(dataCentre string)
	// OnResize is called with the numbers of instances, in all and in the data centre,
	// when they change. It must not block.
	OnResize func(all, local int)
	// OnLoad is called with the load report of another instance of the data centre, which
	// keeps the bytes; the sender is the address that the other instance listens on. Nil
	// ignores reports. It must not block.
	OnLoad func(sender netip.Addr, report []byte)
	// ServiceSums returns the sums of this data centre's services for a digest, of which
	// the first 64 are sent. If it is nil or returns none, digests carry none. It must not
	// block.
	ServiceSums func() []ServiceSum
	// OnServiceSums is called with the sums of another data centre, at most 64; nil ignores
	// them. It must not block.
	OnServiceSums func(dataCentre string, sums []ServiceSum)
	// Returns returns reports on the servers of this data centre that may have started again
	// without an entry in the store, or are suspected. Digests carry the first 64; nil means
	// none. It must not block.
	Returns func() []suspicion.Report
	Random  *rand.Rand
	// LastResume returns the end of the last pause of this process before now, or 0 if
	// there was none, in nanoseconds.
	LastResume func(now int64) int64
	// Clock returns the monotonic time in nanoseconds.
	Clock func() int64
	Log   *slog.Logger
	Scope tally.Scope
}

// Exchange sends and receives messages between instances. It is safe for concurrent
// use.
type Exchange struct {
	Options
	// ctx ends when the exchange is closed.
	ctx         context.Context
	cancel      context.CancelFunc
	peers       *peers
	seeds       atomic.Pointer[[]netip.Addr]
	conn        *net.UDPConn
	server      net.Listener
	pulling     atomic.Bool
	probes      probes
	standbys    standbys
	answerCache answerCache
	loads       loads
	// announced is the position of the last digest that was announced to the data centre,
	// nil before the first.
	announced atomic.Pointer[catalogue.Position]
	metrics   metrics
}

type metrics struct {
	sent, received, readErrors, outdated, malformed tally.Counter
	pulls, pullsFailed, pullsAnswered, relays       tally.Counter
	loadSent, loadBytesSent, loadReplaced           tally.Counter
	loadReceived, loadBytesReceived                 tally.Counter
	loadMalformed, loadOutdated                     tally.Counter
	size                                            tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		sent:              scope.Counter("messages_sent"),
		received:          scope.Counter("messages_received"),
		readErrors:        scope.Counter("read_errors"),
		outdated:          scope.Counter("messages_outdated"),
		malformed:         scope.Counter("messages_malformed"),
		pulls:             scope.Counter("pulls"),
		pullsFailed:       scope.Counter("pulls_failed"),
		pullsAnswered:     scope.Counter("pulls_answered"),
		relays:            scope.Counter("relays"),
		loadSent:          scope.Counter("load_reports_sent"),
		loadBytesSent:     scope.Counter("load_bytes_sent"),
		loadReplaced:      scope.Counter("load_reports_replaced"),
		loadReceived:      scope.Counter("load_reports_received"),
		loadBytesReceived: scope.Counter("load_bytes_received"),
		loadMalformed:     scope.Counter("load_reports_malformed"),
		loadOutdated:      scope.Counter("load_reports_outdated"),
		size:              scope.Gauge("instances"),
	}
}

// Open binds the sockets and returns an exchange on them.
func Open(o Options) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server, err := net.Listen("tcp4", o.Listen.String())
	if err != nil {
		return nil, Error.Wrap(errors.Join(err, conn.Close()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{
		Options: o,
		ctx:     ctx,
		cancel:  cancel,
		peers:   newPeers(Peer{Address: o.Listen.Addr(), DataCentre: o.DataCentre}, o.Random),
		conn:    conn,
		server:  server,
		loads:   loads{ready: make(chan struct{}, 1)},
		metrics: newMetrics(o.Scope.SubScope("exchange")),
	}
	e.SetSeeds(nil)
	return e, nil
}

// Close closes the sockets and ends all goroutines of the exchange.
func (e *Exchange) Close() error {
	e.cancel()
	return Error.Wrap(errors.Join(e.conn.Close(), e.server.Close()))
}

// SetSeeds sets the instances that are contacted until they are known as peers.
func (e *Exchange) SetSeeds(seeds []netip.Addr) { e.seeds.Store(&seeds) }

// Announce sends a digest to all instances of the data centre and to some of each other
// data centre, which relay it there. It has the changes since a position that the others
// are likely to have: that of the last digest announced, or, if this instance is not a
// regular reader, that before its last read.
func (e *Exchange) Announce(lastRead catalogue.Position) {
	m := e.digest()
	if m.Revision == 0 {
		return
	}
	position := m.position()
	before := e.announced.Swap(&position)
	if !m.Regular && lastRead.Revision != 0 {
		before = &lastRead
	}
	if before != nil && before.Compare(position) < 0 {
		known, _ := e.Catalogue.Known()
		delta := e.Mirror.Since(*before, known)
		m.Delta = &delta
	}
	if e.Reader.Settled() {
		e.askStandbys()
	}
	e.sendAll(m, append(e.peers.local(), e.unknownSeeds()...))
	m.Relay = true
	e.sendAll(m, e.peers.remote())
}

// Report sends an observation about a backend server to the instances of the data
// centre. The return of a server concerns all instances, which share the limit of a cold
// server: it goes to some of each other data centre as well, which relay it there.
func (e *Exchange) Report(r suspicion.Report) {
	m := message{From: e.peers.self, Report: &r}
	e.sendAll(m, e.peers.local())
	if r.Kind == suspicion.Returned {
		m.Relay = true
		e.sendAll(m, e.peers.remote())
	}
}

// LocalPeers returns the number of other instances in the data centre that are known.
func (e *Exchange) LocalPeers() int { return len(e.peers.local()) }

// Run discovers the other instances, and then sends digests to random peers, until
// the exchange is closed. It also sends the reports of ShareLoad.
func (e *Exchange) Run() {
	go e.sendLoads()
	startedAt := e.Clock()
	interval := initialInterval
	for {
		starting := e.Clock()-startedAt < int64(startupPeriod)
		e.gossip(starting)
		if interval *= 2; !starting || interval > gossipInterval {
			interval = gossipInterval
		}
		interval := interval/2 + time.Duration(e.Random.Int64N(int64(interval)))
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// gossip sends a digest to a random peer, and to seeds that are not known as peers;
// an instance that is starting asks all seeds for an answer.
func (e *Exchange) gossip(starting bool) {
	for _, expired := range e.peers.expire(e.Clock()) {
		e.Log.Info("Peer timed out.", "peer", expired.Address.String(), "data_centre", expired.DataCentre,
			"silent_ms", expired.HeardMS)
		e.notifyResize()
	}
	m := e.digest()
	m.Services = e.digestSums()
	if starting {
		m.Hello = true
		e.sendAll(m, e.otherSeeds())
		e.sendAll(m, e.peers.inDataCentre(e.DataCentre, helloPeers))
		m.Hello = false
	} else {
		e.sendAll(m, e.unknownSeeds())
	}
	if peer, ok := e.peers.pick(); ok {
		e.sendAll(m, []netip.Addr{peer})
	}
}

func (e *Exchange) notifyResize() {
	n := e.peers.size()
	e.metrics.size.Update(float64(n))
	e.OnResize(n, len(e.peers.local())+1)
}

// otherSeeds returns the seeds except this instance itself.
func (e *Exchange) otherSeeds() []netip.Addr {
	var out []netip.Addr
	for _, s := range *e.seeds.Load() {
		if s != e.peers.self.Address {
			out = append(out, s)
		}
	}
	return out
}

// unknownSeeds returns the seeds that are not among the peers.
func (e *Exchange) unknownSeeds() []netip.Addr {
	return slices.DeleteFunc(e.otherSeeds(), e.peers.contains)
}

// answerHello sends peers to an instance that knows few others.
func (e *Exchange) answerHello(to Peer) {
	m := e.digest()
	m.Peers = e.peers.sampleNear(to.DataCentre, helloSampleSize, e.Clock())
	e.sendAll(m, []netip.Addr{to.Address})
}

// digest returns a message with the revision and age of this instance's catalogue and
// a sample of its peers.
func (e *Exchange) digest() message {
	now := e.Clock()
	m := message{From: e.peers.self, Peers: e.peers.sample(sampleSize, now)}
	known, _ := e.Catalogue.Known()
	if known == 0 {
		return m
	}
	m.Regular = e.Reader.Regular()
	if e.Returns != nil {
		m.Returns = e.Returns()
		m.Returns = m.Returns[:min(len(m.Returns), maxReturns)]
	}
	position := e.Mirror.Snapshot().Position
	m.Epoch, m.Revision = position.Epoch, position.Revision
	m.AgeMS = (now - known) / int64(time.Millisecond)
	return m
}

// sendAll sends a message to several instances. If it is too large, the changes are
// left out.
func (e *Exchange) sendAll(m message, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	data, err := encode(m)
	if err == nil && len(data) > maxDigestSize && m.Delta != nil {
		m.Delta = nil
		data, err = encode(m)
	}
	if err != nil {
		e.Log.Error("Failed to encode a message.", "error", err)
		return
	}
	for _, address := range to {
		e.send(data, address)
	}
}

// send sends an encoded message to one instance, and reports whether it was sent.
func (e *Exchange) send(data []byte, to netip.Addr) bool {
	if _, err := e.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, e.Listen.Port())); err != nil {
		e.Log.Debug("Failed to send a message.", "peer", to.String(), "error", err)
		return false
	}
	e.metrics.sent.Inc(1)
	return true
}
