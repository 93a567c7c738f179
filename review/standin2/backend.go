package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The retransmission of packets that are not acknowledged.
const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 1600 * time.Millisecond
	maxRetries = 8
)

// opening is an opening packet that a backend took.
type opening struct {
	flow netip.AddrPort
	at   time.Time
}

// backend is a backend server as PROTOCOL.md describes it, for forwarding mode echo.
type backend struct {
	w             *world
	id            string
	number        uint64
	service, zone string
	addr          netip.AddrPort
	slots, cap    int

	mu sync.Mutex
	// conn is nil while the backend does not run.
	conn     *net.UDPConn
	born     time.Time
	coldFor  time.Duration
	seq      int
	flows    map[netip.AddrPort]*serverFlow
	ended    map[netip.AddrPort]bool
	openings []opening
	requests int
	ignored  int
}

// serverFlow is a flow at a backend; it is half open until the consumer has acknowledged
// the backend's sequence number.
type serverFlow struct {
	open      bool
	iss       uint32 // of the consumer
	next, rcv uint32
	echo      uint32
	// answer is the last answer, not acknowledged yet; nil if there is none.
	answer  []byte
	expects uint32
	retries int
}

// start starts the backend, cold for a time, and lets it hold no flow.
func (b *backend) start(coldFor time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	b.mu.Lock()
	b.conn, b.born, b.coldFor, b.seq = conn, time.Now(), coldFor, 0
	b.flows, b.ended = map[netip.AddrPort]*serverFlow{}, map[netip.AddrPort]bool{}
	b.mu.Unlock()
	go b.run(conn)
	return nil
}

// crash ends the backend at once: it drops its flows and answers nothing.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != nil {
		_ = b.conn.Close()
		b.conn = nil
	}
	b.flows = map[netip.AddrPort]*serverFlow{}
}

// register writes the backend's entry into the store.
func (b *backend) register() {
	b.mu.Lock()
	b.seq++
	left := max(0, b.coldFor-time.Since(b.born))
	entry := map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"warmup_left_ms": left.Milliseconds(), "seq": b.seq, "born": b.born.UnixMilli(),
	}
	b.mu.Unlock()
	b.w.store.Put("servers/"+b.id, entry)
}

func (b *backend) run(conn *net.UDPConn) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		p, ok := decode(buffer[8:n])
		b.mu.Lock()
		if ok && b.conn == conn && (number == 0 || number == b.number) {
			b.handle(&p)
		}
		b.mu.Unlock()
	}
}

func (b *backend) handle(p *packet) {
	f := b.flows[p.src]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
		// treated as forged
	case p.flags&flagSYN != 0:
		b.accept(f, p)
	case f == nil && p.flags&flagRST != 0:
	case f == nil && b.ended[p.src] && p.flags&flagFIN != 0:
		b.send(p.src, p.dst, packet{flags: flagACK, echo: p.echo, seq: p.ack, ack: p.seq + 1})
	case f == nil:
		b.reset(p)
	case p.flags&flagRST != 0:
		delete(b.flows, p.src)
	case !f.open && p.ack != f.next:
		// The consumer acknowledges another backend's sequence number: its flow is not here.
		b.reset(p)
	default:
		f.open = true
		b.receive(f, p)
	}
}

// accept answers an opening packet, if the backend is not full.
func (b *backend) accept(f *serverFlow, p *packet) {
	if f == nil || f.iss != p.seq {
		if len(b.flows) >= b.cap {
			b.ignored++
			return
		}
		f = &serverFlow{iss: p.seq, next: rand.Uint32() + 1, rcv: p.seq + 1}
		b.flows[p.src] = f
		b.openings = append(b.openings, opening{p.src, time.Now()})
		b.retryAccept(p.src, p.dst, f, firstRetry)
	}
	f.echo = p.echo
	if !f.open {
		b.sendAccept(p.src, p.dst, f)
	}
}

func (b *backend) sendAccept(to, from netip.AddrPort, f *serverFlow) {
	b.send(to, from, packet{flags: flagSYN | flagACK, echo: f.echo, seq: f.next - 1, ack: f.iss + 1})
}

// retryAccept sends the accepting packet again until the consumer acknowledges it.
func (b *backend) retryAccept(to, from netip.AddrPort, f *serverFlow, wait time.Duration) {
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.flows[to] != f || f.open {
			return
		}
		if f.retries++; f.retries > maxRetries {
			delete(b.flows, to)
			return
		}
		b.sendAccept(to, from, f)
		b.retryAccept(to, from, f, min(2*wait, lastRetry))
	})
}

// receive handles a packet of an open flow. A request is one packet, as is its answer.
func (b *backend) receive(f *serverFlow, p *packet) {
	f.echo = p.echo
	if f.answer != nil && p.ack == f.expects {
		f.answer, f.next = nil, f.expects
	}
	switch {
	case len(p.data) > 0 && p.seq == f.rcv:
		f.rcv += uint32(len(p.data))
		b.requests++
		b.w.note("run backend=%s flow=%v %q", b.id, p.src, p.data)
		f.answer = []byte(b.id + " " + string(p.data))
		f.expects, f.retries = f.next+uint32(len(f.answer)), 0
		b.sendAnswer(p.src, p.dst, f, firstRetry)
	case len(p.data) > 0 && f.answer != nil:
		b.send(p.src, p.dst, packet{flags: flagACK, echo: f.echo, seq: f.next, ack: f.rcv, data: f.answer})
	case p.flags&flagFIN != 0:
		b.send(p.src, p.dst, packet{flags: flagFIN | flagACK, echo: f.echo, seq: f.next, ack: p.seq + 1})
		delete(b.flows, p.src)
		b.ended[p.src] = true
	}
}

// sendAnswer sends the answer of a flow until the consumer acknowledges it.
func (b *backend) sendAnswer(to, from netip.AddrPort, f *serverFlow, wait time.Duration) {
	b.send(to, from, packet{flags: flagACK, echo: f.echo, seq: f.next, ack: f.rcv, data: f.answer})
	expects := f.expects
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.flows[to] != f || f.answer == nil || f.expects != expects {
			return
		}
		if f.retries++; f.retries > maxRetries {
			delete(b.flows, to)
			return
		}
		b.sendAnswer(to, from, f, min(2*wait, lastRetry))
	})
}

// reset answers a packet of a flow that the backend does not hold.
func (b *backend) reset(p *packet) {
	b.w.note("reset backend=%s flow=%v: the flow is not held there", b.id, p.src)
	b.send(p.src, p.dst, packet{flags: flagRST, echo: p.echo, seq: p.ack, ack: p.seq})
}

func (b *backend) send(to, from netip.AddrPort, p packet) {
	if b.conn == nil {
		return
	}
	p.src, p.dst, p.sum = from, to, ownSum
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.Addr(), packetPort))
}

// holds reports whether a flow is open at the backend, which is alive.
func (b *backend) holds(flow netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[flow]
	return f != nil && f.open
}

// size returns the number of flows, half open ones included.
func (b *backend) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

// counts returns a line with what the backend has seen.
func (b *backend) counts() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := 0
	for _, f := range b.flows {
		if f.open {
			open++
		}
	}
	return fmt.Sprintf("backend=%s service=%s zone=%s openings=%d requests=%d open_flows=%d ignored_openings=%d",
		b.id, b.service, b.zone, len(b.openings), b.requests, open, b.ignored)
}
