package flowpath

import (
	"bytes"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"balsamfork/internal/decisionlog"
	"balsamfork/internal/suspicion"
)

// Error is the class of errors of the packet path's socket.
var Error = errs.Class("flowpath")

const (
	// socketBuffer is asked of the system for packets that wait to be read, in
	// bytes: 0.1 s of the packets that an instance of the later size gets.
	socketBuffer = 1 << 20
	// maxHeld bounds the packets that wait for a newer catalogue.
	maxHeld = 64
	// maxNews bounds what peers tell and waits to be taken.
	maxNews = 256
	// reviewEvery is how often the instance looks whether it reaches any server.
	reviewEvery = 250 * time.Millisecond
	// forgetEvery is how often what is held of servers that are gone is dropped.
	forgetEvery = time.Minute
)

// Options is what a path is built from.
type Options struct {
	Codec Codec
	// Listen is where packets arrive.
	Listen netip.AddrPort
	// DataCentre is that of this instance.
	DataCentre string
	Limits     WarmupLimits
	// Knowledge returns the catalogue.
	Knowledge func() Knowledge
	// Refresh asks for the catalogue to be read, and returns when this is done.
	Refresh func()
	// Report tells the peers of the data centre what was seen of a server. It must not
	// block.
	Report func(suspicion.Report)
	// Unreachable asks for a contact with a data centre whose servers don't answer;
	// Contact is to be called once there is one. It must not block.
	Unreachable func(dataCentre string)
	// Clock returns the steady time in nanoseconds.
	Clock func() int64
	Log   *slog.Logger
	Scope tally.Scope
}

// Path carries packets between the fabric and backend servers.
type Path struct {
	Options
	decider  *Decider
	conn     *net.UDPConn
	room     int
	out      []byte
	metrics  metrics
	record   *decisionlog.Recorder
	held     chan heldPacket
	released chan heldPacket
	news     chan news
	pending  atomic.Bool
	reviewed int64
	forgot   int64
	reaches  atomic.Bool
	peers    atomic.Pointer[instances]
	lastRead atomic.Int64
	closed   chan struct{}
}

// heldPacket is a packet, behind its headroom, that waits for the catalogue.
type heldPacket struct {
	buffer  []byte
	arrived int64
}

// Open binds the socket.
func Open(o Options) (*Path, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Path{
		Options:  o,
		conn:     conn,
		room:     o.Codec.Headroom(),
		out:      make([]byte, o.Codec.MaxPacket()),
		metrics:  newMetrics(o.Scope),
		record:   decisionlog.NewRecorder(o.Log),
		held:     make(chan heldPacket, maxHeld),
		released: make(chan heldPacket, maxHeld),
		news:     make(chan news, maxNews),
		closed:   make(chan struct{}),
	}
	p.decider = NewDecider(o.DataCentre, o.Limits, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), p)
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		o.Log.Warn("Read buffer of the packet socket was not set.", "error", err)
	}
	return p, nil
}

// Address is where packets arrive.
func (p *Path) Address() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close ends Run and Release.
func (p *Path) Close() error {
	close(p.closed)
	return Error.Wrap(p.conn.Close())
}

// Quiet returns how long no packet has arrived.
func (p *Path) Quiet() time.Duration { return time.Duration(p.Clock() - p.lastRead.Load()) }

// wake lets Run look at what waits although no packet has come.
func (p *Path) wake() {
	if err := p.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		p.metrics.readErrors.Inc(1)
	}
}

// Learned tells that the catalogue has been read.
func (p *Path) Learned() {
	if !p.reaches.Load() {
		p.wake()
	}
}

// Reaches reports whether this instance reaches a server of any service. While it
// does not, asking makes it look again.
func (p *Path) Reaches() bool {
	reaches := p.reaches.Load()
	if !reaches {
		p.wake()
	}
	return reaches
}

// Run reads and forwards packets until the path is closed.
func (p *Path) Run() error {
	buffer := make([]byte, p.room+p.Codec.MaxPacket()+1)
	in, err := newReader(p.conn, p.Clock)
	if err != nil {
		return err
	}
	for {
		n, err := in.read(buffer[p.room:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				p.wakened()
				continue
			}
			p.metrics.readErrors.Inc(1)
			continue
		}
		now := p.Clock()
		p.lastRead.Store(now)
		p.decider.Observe(now, in.drained)
		if p.pending.Load() {
			p.takeNews(now)
		}
		if now-p.reviewed > int64(reviewEvery) {
			p.review(now)
		}
		p.handle(buffer[:p.room+n], now, now)
		if p.metrics.sample() {
			p.metrics.handling.RecordDuration(time.Duration(p.Clock() - now))
		}
	}
}

// Release waits for held packets, has the catalogue read, and hands the packets
// back to Run, until the path is closed.
func (p *Path) Release() {
	for {
		select {
		case <-p.closed:
			return
		case packet := <-p.held:
			p.Refresh()
			select {
			case p.released <- packet:
				p.wake()
			case <-p.closed:
			}
		}
	}
}

// wakened decides again about packets that waited.
func (p *Path) wakened() {
	if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
		p.metrics.readErrors.Inc(1)
		return
	}
	now := p.Clock()
	p.takeNews(now)
	p.review(now)
	for {
		select {
		case packet := <-p.released:
			p.handle(packet.buffer, packet.arrived, p.Clock())
		default:
			return
		}
	}
}

// handle decides about one packet, which stands behind the headroom of a buffer. A
// packet that is decided later than on arrival is not held again.
func (p *Path) handle(buffer []byte, arrived, now int64) {
	packet, ok := p.Codec.Decode(buffer[p.room:])
	if !ok {
		p.metrics.malformed.Inc(1)
		return
	}
	packet.Arrived = arrived
	k := p.Knowledge()
	v := p.decider.Decide(&packet, k, now)
	p.metrics.count(&packet, &v, now, k.Known)
	switch v.Action {
	case Forward:
		p.forward(buffer, &v)
	case Reset:
		p.reset(&packet)
	case Hold:
		if arrived == now {
			p.hold(buffer, arrived)
		}
	case Drop:
	}
	if v.Reason != Known {
		p.log(&packet, &v, k, now)
	}
}

func (p *Path) forward(buffer []byte, v *Verdict) {
	p.Codec.EncodeForServer(buffer, v.Backend.Number, v.Backend.Cookie)
	if _, err := p.conn.WriteToUDPAddrPort(buffer, v.Backend.Address); err != nil {
		p.metrics.writeErrors.Inc(1)
	}
}

func (p *Path) reset(packet *Packet) {
	to := netip.AddrPortFrom(packet.Flow.Source, p.Listen.Port())
	if _, err := p.conn.WriteToUDPAddrPort(p.Codec.EncodeReset(p.out, packet), to); err != nil {
		p.metrics.writeErrors.Inc(1)
	}
}

// hold keeps a copy of a packet until the catalogue has been read.
func (p *Path) hold(buffer []byte, arrived int64) {
	select {
	case p.held <- heldPacket{buffer: bytes.Clone(buffer), arrived: arrived}:
	default:
		p.metrics.holdsDropped.Inc(1)
	}
}
