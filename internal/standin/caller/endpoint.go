package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"balsamfork/internal/standin/fabric"
	"balsamfork/internal/standin/wire"
)

type state uint8

const (
	idle state = iota
	opening
	open
	closing
)

// flow is one flow. nextAction is when it sends, retransmits or fails next;
// attempts counts transmissions of the packet that awaits a reply.
type flow struct {
	service       *Service
	shortLived    bool
	port          uint16
	state         state
	awaitingReply bool
	attempts      int
	nextAction    time.Time
	opened        time.Time
	closeAt       time.Time
	server        string
}

// endpoint is one socket with its flows.
type endpoint struct {
	config  Config
	address netip.Addr
	conn    *net.UDPConn
	picker  *fabric.Picker
	encoder *wire.Codec
	decoder *wire.Codec
	rng     *rand.Rand

	mu         sync.Mutex
	counts     map[string]*Counts
	flows      []flow
	flowByPort map[uint16]int // index into flows
	portOffset int            // of the last port used, from firstPort
}

func newEndpoint(c Config, index int, address netip.Addr, f *fabric.Fabric) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = conn.SetReadBuffer(readBufferBytes)
	f.Register(address, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	ep := &endpoint{
		config:     c,
		address:    address,
		conn:       conn,
		picker:     f.Picker(uint64(index)),
		encoder:    wire.NewCodec(),
		decoder:    wire.NewCodec(),
		rng:        rand.New(rand.NewPCG(c.Seed, uint64(index))),
		counts:     make(map[string]*Counts),
		flowByPort: make(map[uint16]int),
	}
	ep.createFlows(index, time.Now())
	return ep, nil
}

// createFlows creates this socket's share of all flows, to start within OpenTime.
func (ep *endpoint) createFlows(index int, now time.Time) {
	for i := range ep.config.Services {
		service := &ep.config.Services[i]
		ep.counts[service.Name] = &Counts{}
		for n := index; n < service.Flows; n += ep.config.Sockets {
			delay := time.Duration(ep.rng.Float64() * float64(ep.config.OpenTime))
			shortLived := ep.rng.Float64() < ep.config.ShortShare
			ep.flows = append(ep.flows, flow{service: service, shortLived: shortLived, nextAction: now.Add(delay)})
		}
	}
}

func (ep *endpoint) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			ep.tick(now)
		}
	}
}

// tick advances each flow whose nextAction is due.
func (ep *endpoint) tick(now time.Time) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	for i := range ep.flows {
		if f := &ep.flows[i]; !f.nextAction.After(now) {
			ep.advance(now, i, f)
		}
	}
}

func (ep *endpoint) advance(now time.Time, i int, f *flow) {
	switch {
	case f.awaitingReply && f.attempts >= maxAttempts:
		ep.handleTimeout(now, f)
	case f.awaitingReply:
		ep.count(f, Retransmits)
		ep.send(now, f)
	case f.state == idle:
		ep.openFlow(now, i, f)
	case !f.closeAt.IsZero() && now.After(f.closeAt):
		ep.startExchange(now, f, closing)
	default:
		ep.startExchange(now, f, open)
	}
}

// openFlow opens a flow from a port that no other flow of this socket uses.
func (ep *endpoint) openFlow(now time.Time, i int, f *flow) {
	for {
		ep.portOffset = (ep.portOffset + 1) % numPorts
		f.port = uint16(firstPort + ep.portOffset)
		if _, used := ep.flowByPort[f.port]; !used {
			break
		}
	}
	ep.flowByPort[f.port] = i
	f.server = ""
	f.closeAt = time.Time{}
	if f.shortLived {
		f.closeAt = now.Add(ep.jitter(ep.config.ShortLife))
	}
	ep.count(f, Flows)
	ep.startExchange(now, f, opening)
}

// startExchange sends a new packet of a flow, which awaits the reply in state s.
func (ep *endpoint) startExchange(now time.Time, f *flow, s state) {
	f.state, f.awaitingReply, f.attempts = s, true, 0
	ep.send(now, f)
}

func (ep *endpoint) send(now time.Time, f *flow) {
	timeout := min(firstRetransmitDelay<<f.attempts, maxRetransmitDelay)
	f.nextAction = now.Add(timeout)
	f.attempts++
	ep.count(f, Packets)
	instance, ok := ep.picker.Pick()
	if !ok {
		return
	}
	data, err := ep.encoder.Encode(ep.segment(f))
	if err != nil {
		return
	}
	_, _ = ep.conn.WriteToUDPAddrPort(data, instance.PacketAddr)
}

func (ep *endpoint) segment(f *flow) wire.Segment {
	s := wire.Segment{
		From:     netip.AddrPortFrom(ep.address, f.port),
		To:       f.service.Address,
		Protocol: f.service.Protocol,
		Flags:    wire.ACK,
		Data:     []byte("data"),
	}
	switch f.state {
	case opening:
		s.Flags, s.Data = wire.SYN, nil
	case closing:
		s.Flags, s.Data = wire.FIN|wire.ACK, nil
	}
	return s
}

func (ep *endpoint) count(f *flow, event Event) { ep.counts[f.service.Name][event]++ }

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (ep *endpoint) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + ep.rng.Float64()) * float64(mean))
}
