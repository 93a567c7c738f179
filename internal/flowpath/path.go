package flowpath

import (
	"bytes"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/decisionlog"
	"balsamfork/internal/suspicion"
)

// Error is the class of errors of the packet path's socket.
var Error = errs.Class("flowpath")

const (
	// socketBuffer is the requested size of the socket's receive buffer, in bytes:
	// 0.1 s of the packets that an instance gets at the planned size.
	socketBuffer = 1 << 20
	// maxHeldPackets bounds the packets that wait for a newer catalogue.
	maxHeldPackets = 64
	// maxPeerUpdates bounds the queue of updates from peers.
	maxPeerUpdates = 256
	// reachabilityCheckInterval is how often the instance checks whether it reaches
	// any server.
	reachabilityCheckInterval = 250 * time.Millisecond
	// readErrorDelay is the pause after a failed read of the socket, so that a lasting
	// error does not take up the processor.
	readErrorDelay = 10 * time.Millisecond
	// pruneInterval is how often the state of removed servers is deleted.
	pruneInterval = time.Minute
)

// Options holds the configuration and dependencies of a Path.
type Options struct {
	Codec Codec
	// Listen is the address on which packets arrive.
	Listen netip.AddrPort
	// DataCentre is the data centre of this instance.
	DataCentre string
	Flows      FlowLimits
	Warmup     WarmupLimits
	// CatalogueState returns the catalogue snapshot and its age.
	CatalogueState func() CatalogueState
	// Refresh reads the catalogue from the store, and returns when this is done.
	Refresh func()
	// Report sends an observation about a server to the peers of the data centre. It
	// must not block.
	Report func(suspicion.Report)
	// ShareLoad sends a load report to the peers of the data centre; nil means none. It must
	// not block.
	ShareLoad func(report []byte)
	// RequestContact asks for probes of a data centre whose servers don't answer;
	// Contact is to be called once an instance there has answered. It must not block.
	RequestContact func(dataCentre string)
	// LastResume returns the end of the last pause of this process before now, or 0 if
	// there was none, in nanoseconds.
	LastResume func(now int64) int64
	// Clock returns the monotonic time in nanoseconds.
	Clock func() int64
	Log   *slog.Logger
	Scope tally.Scope
}

// Path forwards packets from the fabric to backend servers.
type Path struct {
	Options
	decider        *Decider
	conn           *net.UDPConn
	headroom       int
	resetBuffer    []byte
	metrics        metrics
	recorder       *decisionlog.Recorder
	openings       keptOpenings
	held           chan heldPacket
	released       chan heldPacket
	peerUpdate     chan peerUpdate
	loadUpdates    chan loadUpdate
	updatesPending atomic.Bool
	// wakes says that Run wakes up without packets, to make and apply load reports.
	wakes                 bool
	reachabilityCheckedAt int64
	prunedAt              int64
	reachesServer         atomic.Bool
	instances             atomic.Pointer[instanceCounts]
	lastRead              atomic.Int64
	closed                chan struct{}
	closeOnce             sync.Once
}

// heldPacket is a packet, preceded by its headroom, that waits for the catalogue.
type heldPacket struct {
	buffer  []byte
	arrived int64
}

// Open binds the socket and returns a path on it.
func Open(o Options) (*Path, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &Path{
		Options:     o,
		conn:        conn,
		headroom:    o.Codec.Headroom(),
		resetBuffer: make([]byte, o.Codec.MaxPacket()),
		metrics:     newMetrics(o.Scope),
		recorder:    decisionlog.NewRecorder(o.Log),
		held:        make(chan heldPacket, maxHeldPackets),
		released:    make(chan heldPacket, maxHeldPackets),
		peerUpdate:  make(chan peerUpdate, maxPeerUpdates),
		loadUpdates: make(chan loadUpdate, maxLoadUpdates),
		closed:      make(chan struct{}),
	}
	p.decider = NewDecider(o.DataCentre, o.Flows, o.Warmup, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), p)
	p.decider.SetClockOrigin(time.Now().UnixNano() - o.Clock())
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		o.Log.Warn("Failed to set the receive buffer size of the packet socket.", "error", err)
	}
	return p, nil
}

// Address returns the address on which packets arrive.
func (p *Path) Address() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket and makes Run and Release return. A repeated call returns an
// error.
func (p *Path) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return Error.Wrap(p.conn.Close())
}

// IdleTime returns the time since the last packet arrived.
func (p *Path) IdleTime() time.Duration { return time.Duration(p.Clock() - p.lastRead.Load()) }

// interruptRead makes Run process pending work although no packet has arrived.
func (p *Path) interruptRead() {
	if err := p.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		p.metrics.readErrors.Inc(1)
	}
}

// CatalogueRefreshed notifies the path that the catalogue has been read.
func (p *Path) CatalogueRefreshed() {
	if !p.reachesServer.Load() {
		p.interruptRead()
	}
}

// ReachesAnyServer reports whether this instance reaches a server of any
// service. While it does not, each call triggers a new check.
func (p *Path) ReachesAnyServer() bool {
	reachesServer := p.reachesServer.Load()
	if !reachesServer {
		p.interruptRead()
	}
	return reachesServer
}

// Run reads and forwards packets until the path is closed.
func (p *Path) Run() error {
	buffer := make([]byte, p.headroom+p.Codec.MaxPacket()+1)
	in, err := newReader(p.conn, p.Clock)
	if err != nil {
		return err
	}
	for {
		n, err := in.read(buffer[p.headroom:])
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				p.handleInterrupt()
				continue
			}
			p.metrics.readErrors.Inc(1)
			time.Sleep(readErrorDelay)
			continue
		}
		now := p.Clock()
		p.lastRead.Store(now)
		p.decider.RecordRead(in.drained, in.emptyUntil)
		p.decider.RecordResume(p.LastResume(now))
		if p.updatesPending.Load() {
			p.applyPeerUpdates()
		}
		if now-p.reachabilityCheckedAt > int64(reachabilityCheckInterval) {
			p.checkReachability(now)
		}
		p.handle(buffer[:p.headroom+n], now, now)
		if p.decider.SharesLoad() != p.wakes {
			p.interruptRead()
		}
		if p.metrics.sample() {
			p.metrics.handling.RecordDuration(time.Duration(p.Clock() - now))
		}
	}
}

// Release waits for held packets, refreshes the catalogue, and returns the packets to
// Run, until the path is closed.
func (p *Path) Release() {
	for {
		select {
		case <-p.closed:
			return
		case packet := <-p.held:
			p.Refresh()
			select {
			case p.released <- packet:
				p.interruptRead()
			case <-p.closed:
			}
		}
	}
}

// handleInterrupt applies peer updates, checks reachability, and handles the packets
// that Release has returned.
func (p *Path) handleInterrupt() {
	if err := p.conn.SetReadDeadline(time.Time{}); err != nil {
		p.metrics.readErrors.Inc(1)
		return
	}
	p.decider.Observe(p.CatalogueState().Snapshot)
	p.armReportWake()
	now := p.Clock()
	p.decider.RecordResume(p.LastResume(now))
	p.applyPeerUpdates()
	p.checkReachability(now)
	if p.decider.SharesLoad() {
		p.decider.RefreshLoad(p.CatalogueState().Snapshot, now)
	}
	for {
		select {
		case packet := <-p.released:
			p.handle(packet.buffer, packet.arrived, p.Clock())
		default:
			return
		}
	}
}

// handle processes one packet, which follows the headroom of a buffer. A packet that
// was held before is not held again.
func (p *Path) handle(buffer []byte, arrived, now int64) {
	packet, ok := p.Codec.Decode(buffer[p.headroom:])
	if !ok {
		p.metrics.malformed.Inc(1)
		return
	}
	packet.Arrived = arrived
	state := p.CatalogueState()
	v := p.decider.Decide(&packet, state, now)
	p.metrics.count(&packet, &v, now, state.Known)
	switch v.Action {
	case Forward:
		p.forward(buffer, &v)
		if packet.Kind == Opening && packet.Copy > 0 {
			p.openings.add(&packet, buffer, now)
		}
		if v.HalfOpen != nil {
			p.repeatOpening(&packet, v.HalfOpen, v.Backend, now)
		}
	case Reset:
		p.reset(&packet)
	case Hold:
		if arrived == now {
			p.hold(buffer, arrived)
		}
	case Drop:
	}
	if v.Reason != Known {
		p.log(&packet, &v, state, now)
	}
}

func (p *Path) forward(buffer []byte, v *Verdict) {
	p.Codec.EncodeForServer(buffer, v.Backend.Number, v.Backend.Cookie)
	p.write(buffer, v.Backend)
}

func (p *Path) write(buffer []byte, to *catalogue.Backend) {
	if _, err := p.conn.WriteToUDPAddrPort(buffer, to.Address); err != nil {
		p.metrics.writeErrors.Inc(1)
	}
}

func (p *Path) reset(packet *Packet) {
	to := netip.AddrPortFrom(packet.Flow.Source, p.Listen.Port())
	if _, err := p.conn.WriteToUDPAddrPort(p.Codec.EncodeReset(p.resetBuffer, packet), to); err != nil {
		p.metrics.writeErrors.Inc(1)
	}
}

// hold queues a copy of a packet until the catalogue has been read.
func (p *Path) hold(buffer []byte, arrived int64) {
	select {
	case p.held <- heldPacket{buffer: bytes.Clone(buffer), arrived: arrived}:
	default:
		p.metrics.holdsDropped.Inc(1)
	}
}
