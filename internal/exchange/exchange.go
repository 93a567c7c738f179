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
	// gossipEvery is how often an instance writes to one peer at random, whatever
	// it has heard; a digest then reaches all of 415 instances within some seconds.
	gossipEvery = time.Second
	// youngFor is how long after its start an instance asks the seeds for the
	// others, at pauses that begin with firstPause and double.
	youngFor   = 4 * time.Second
	firstPause = 100 * time.Millisecond
	// maxMessage bounds a datagram that is read, in bytes.
	maxMessage = 64 << 10
)

// Catalogue is the instance's copy of the store, as package watch keeps it.
type Catalogue interface {
	// Known returns when the catalogue was last known to be complete, and since
	// when it has been known at all, in nanoseconds; 0 for never.
	Known() (last, since int64)
	// Take applies changes of the given age and reports whether they follow on.
	Take(d catalogue.Delta, age time.Duration) bool
	// Confirm notes that a revision was the store's some time ago.
	Confirm(revision uint64, age time.Duration)
}

// Reader is the part of an instance in reading the store.
type Reader interface {
	// Regular reports whether this instance reads the store regularly.
	Regular() bool
	// Yield leaves this to another instance.
	Yield()
}

// Options is what an exchange is built from.
type Options struct {
	// Listen is the address for datagrams and connections of other instances; all
	// instances use the same port.
	Listen     netip.AddrPort
	DataCentre string
	Mirror     *catalogue.Mirror
	Catalogue  Catalogue
	Reader     Reader
	// Reported takes a peer's report on a backend server. It must not block.
	Reported func(suspicion.Report)
	// Contact is told of an answer from a data centre that was sought. It must not
	// block.
	Contact func(dataCentre string)
	// Resized is told the numbers of instances, in all and in the data centre, when
	// they change. It must not block.
	Resized func(all, local int)
	Random  *rand.Rand
	// Clock returns the steady time in nanoseconds.
	Clock func() int64
	Log   *slog.Logger
	Scope tally.Scope
}

// Exchange sends and takes messages. Its methods may be called from several
// goroutines.
type Exchange struct {
	Options
	// ctx ends when the exchange is closed.
	ctx     context.Context
	cancel  context.CancelFunc
	peers   *peers
	seeds   atomic.Pointer[[]netip.Addr]
	conn    *net.UDPConn
	server  net.Listener
	pulling atomic.Bool
	sought  sought
	kept    kept
	// told is the revision that the last digest to the audience led to.
	told    atomic.Uint64
	metrics metrics
}

type metrics struct {
	sent, received, malformed, pulls, pullsFailed, relays tally.Counter
	size                                                  tally.Gauge
}

// Open binds the sockets.
func Open(o Options) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server, err := net.Listen("tcp4", o.Listen.String())
	if err != nil {
		return nil, Error.Wrap(errors.Join(err, conn.Close()))
	}
	scope := o.Scope.SubScope("exchange")
	ctx, cancel := context.WithCancel(context.Background())
	e := &Exchange{
		Options: o,
		ctx:     ctx,
		cancel:  cancel,
		peers:   newPeers(Peer{Address: o.Listen.Addr(), DataCentre: o.DataCentre}, o.Random),
		conn:    conn,
		server:  server,
		metrics: metrics{
			sent:        scope.Counter("messages_sent"),
			received:    scope.Counter("messages_received"),
			malformed:   scope.Counter("messages_malformed"),
			pulls:       scope.Counter("pulls"),
			pullsFailed: scope.Counter("pulls_failed"),
			relays:      scope.Counter("relays"),
			size:        scope.Gauge("instances"),
		},
	}
	e.SetSeeds(nil)
	return e, nil
}

// Close ends all goroutines of the exchange.
func (e *Exchange) Close() error {
	e.cancel()
	return Error.Wrap(errors.Join(e.conn.Close(), e.server.Close()))
}

// SetSeeds sets the instances that are written to until they are heard of.
func (e *Exchange) SetSeeds(seeds []netip.Addr) { e.seeds.Store(&seeds) }

// Announce passes on what was read from the store: to all instances of the data
// centre, and to some of each other, which pass it on there.
func (e *Exchange) Announce() {
	m := e.digest()
	if m.Revision == 0 {
		return
	}
	before := e.told.Swap(m.Revision)
	if before != 0 && before < m.Revision {
		known, _ := e.Catalogue.Known()
		delta := e.Mirror.Since(before, known)
		m.Delta = &delta
	}
	e.sendAll(m, append(e.peers.local(), e.unheardSeeds()...))
	m.Relay = true
	e.sendAll(m, e.peers.remote())
}

// Report tells the instances of the data centre what was seen of a backend server.
func (e *Exchange) Report(r suspicion.Report) {
	e.sendAll(message{From: e.peers.self, Report: &r}, e.peers.local())
}

// Alone reports whether no other instance of the data centre is known.
func (e *Exchange) Alone() bool { return len(e.peers.local()) == 0 }

// Run finds the other instances, and then writes to a peer at random now and
// again, until the exchange is closed.
func (e *Exchange) Run() {
	began := e.Clock()
	pause := firstPause
	for {
		young := e.Clock()-began < int64(youngFor)
		e.gossip(young)
		if pause *= 2; !young || pause > gossipEvery {
			pause = gossipEvery
		}
		pause := pause/2 + time.Duration(e.Random.Int64N(int64(pause)))
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// gossip writes to a peer at random, and to seeds that are not known as peers; a
// young instance asks all seeds for an answer.
func (e *Exchange) gossip(young bool) {
	for _, lost := range e.peers.sweep(e.Clock()) {
		e.Log.Info("Instance is lost.", "peer", lost.Address.String(), "data_centre", lost.DataCentre,
			"silent_ms", lost.HeardMS)
		e.resized()
	}
	m := e.digest()
	if young {
		m.Hello = true
		e.sendAll(m, e.otherSeeds())
		m.Hello = false
	} else {
		e.sendAll(m, e.unheardSeeds())
	}
	if peer, ok := e.peers.any(); ok {
		e.sendAll(m, []netip.Addr{peer})
	}
}

func (e *Exchange) resized() {
	n := e.peers.size()
	e.metrics.size.Update(float64(n))
	e.Resized(n, len(e.peers.local())+1)
}

// otherSeeds returns the seeds but for this instance itself.
func (e *Exchange) otherSeeds() []netip.Addr {
	var out []netip.Addr
	for _, s := range *e.seeds.Load() {
		if s != e.peers.self.Address {
			out = append(out, s)
		}
	}
	return out
}

// unheardSeeds returns the seeds that are not among the peers.
func (e *Exchange) unheardSeeds() []netip.Addr {
	return slices.DeleteFunc(e.otherSeeds(), e.peers.has)
}

// welcome answers an instance that knows few others.
func (e *Exchange) welcome(to Peer) {
	m := e.digest()
	m.Peers = e.peers.neighbours(to.DataCentre, welcomeSize, e.Clock())
	e.sendAll(m, []netip.Addr{to.Address})
}

// digest returns a message with what this instance knows.
func (e *Exchange) digest() message {
	now := e.Clock()
	m := message{From: e.peers.self, Peers: e.peers.sample(sampleSize, now)}
	known, _ := e.Catalogue.Known()
	if known == 0 {
		return m
	}
	m.Regular = e.Reader.Regular()
	m.Revision = e.Mirror.Snapshot().Revision
	m.AgeMS = (now - known) / int64(time.Millisecond)
	return m
}

// sendAll sends a message to several instances. One that is too large goes
// without its changes.
func (e *Exchange) sendAll(m message, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	data, err := encode(m)
	if err == nil && len(data) > maxDatagram && m.Delta != nil {
		m.Delta = nil
		data, err = encode(m)
	}
	if err != nil {
		e.Log.Error("Message was not encoded.", "error", err)
		return
	}
	for _, address := range to {
		if _, err := e.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, e.Listen.Port())); err != nil {
			e.Log.Debug("Message was not sent.", "peer", address.String(), "error", err)
			continue
		}
		e.metrics.sent.Inc(1)
	}
}
