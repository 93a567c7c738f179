package flowpath

import (
	"errors"
	"log/slog"
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
	// maxReports bounds reports of peers that wait to be taken.
	maxReports = 256
)

// Options is what a path is built from.
type Options struct {
	Codec   Codec
	Decider *Decider
	// Listen is where packets arrive.
	Listen netip.AddrPort
	// Knowledge returns the catalogue.
	Knowledge func() Knowledge
	// Refresh asks for the catalogue to be read, and returns when this is done.
	Refresh func()
	// Missed tells the peers that a server did not answer. It must not block.
	Missed func(suspicion.Report)
	// Clock returns the steady time in nanoseconds.
	Clock func() int64
	Log   *slog.Logger
	Scope tally.Scope
}

// Path carries packets between the fabric and backend servers.
type Path struct {
	Options
	conn     *net.UDPConn
	room     int
	out      []byte
	metrics  metrics
	record   *decisionlog.Recorder
	held     chan []byte
	released chan []byte
	reports  chan suspicion.Report
	pending  atomic.Bool
	peers    atomic.Int32
	lastRead atomic.Int64
	closed   chan struct{}
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
		held:     make(chan []byte, maxHeld),
		released: make(chan []byte, maxHeld),
		reports:  make(chan suspicion.Report, maxReports),
		closed:   make(chan struct{}),
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		o.Log.Warn("Read buffer of the packet socket was not set.", "error", err)
	}
	return p, nil
}

// Close ends Run and Release.
func (p *Path) Close() error {
	close(p.closed)
	return Error.Wrap(p.conn.Close())
}

// Quiet returns how long no packet has arrived.
func (p *Path) Quiet() time.Duration { return time.Duration(p.Clock() - p.lastRead.Load()) }

// SetInstances sets the number of instances, for shares of limits.
func (p *Path) SetInstances(n int) { p.peers.Store(int32(n)) }

// PeerMissed takes a peer's report. It does not block; a report without room is
// dropped.
func (p *Path) PeerMissed(r suspicion.Report) {
	select {
	case p.reports <- r:
		p.pending.Store(true)
	default:
		p.metrics.reportsDropped.Inc(1)
	}
}

// Run reads and forwards packets until the path is closed.
func (p *Path) Run() error {
	buffer := make([]byte, p.room+p.Codec.MaxPacket()+1)
	for {
		n, err := p.conn.Read(buffer[p.room:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				p.takeReleased()
				continue
			}
			p.metrics.readErrors.Inc(1)
			continue
		}
		now := p.Clock()
		p.lastRead.Store(now)
		if p.pending.Load() {
			p.takeReports(now)
		}
		p.handle(buffer[:p.room+n], now, true)
	}
}

// Release waits for held packets, has the catalogue read, and hands the packets
// back to Run, until the path is closed.
func (p *Path) Release() {
	for {
		select {
		case <-p.closed:
			return
		case buffer := <-p.held:
			p.Refresh()
			p.released <- buffer
			_ = p.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// takeReleased decides again about packets that waited.
func (p *Path) takeReleased() {
	if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	for {
		select {
		case buffer := <-p.released:
			p.handle(buffer, p.Clock(), false)
		default:
			return
		}
	}
}

func (p *Path) takeReports(now int64) {
	p.pending.Store(false)
	for {
		select {
		case r := <-p.reports:
			if p.Decider.PeerMissed(r, now) {
				p.logSuspected(r.Server, r.DataCentre, "peers")
			}
		default:
			p.Decider.SetInstances(int(p.peers.Load()))
			return
		}
	}
}

// handle decides about one packet, which stands behind the headroom of a buffer.
func (p *Path) handle(buffer []byte, now int64, mayHold bool) {
	packet, ok := p.Codec.Decode(buffer[p.room:])
	if !ok {
		p.metrics.malformed.Inc(1)
		return
	}
	k := p.Knowledge()
	v := p.Decider.Decide(&packet, k, now)
	p.metrics.count(&packet, &v, now, k.Known)
	switch v.Action {
	case Forward:
		p.forward(buffer, &v)
	case Reset:
		p.reset(&packet)
	case Hold:
		if mayHold {
			p.hold(buffer)
		}
	case Drop:
	}
	if v.Reason != Known {
		p.log(&packet, &v, k, now)
	}
	if v.Missed != nil {
		p.missed(&v, now)
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
func (p *Path) hold(buffer []byte) {
	select {
	case p.held <- append([]byte(nil), buffer...):
	default:
		p.metrics.holdsDropped.Inc(1)
	}
}

func (p *Path) missed(v *Verdict, now int64) {
	r := suspicion.Report{Server: v.Missed.Cookie, DataCentre: v.Missed.DataCentre}
	if p.Decider.PeerMissed(r, now) {
		p.logSuspected(r.Server, r.DataCentre, "own traffic")
	}
	p.Missed(r)
}
