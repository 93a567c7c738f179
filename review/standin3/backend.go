package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
	// timerDelay is how late a backend's timer may be.
	timerDelay   = 2 * time.Millisecond
	responseSize = 2000
)

// backend is a backend server as PROTOCOL.md describes it.
type backend struct {
	w        *world
	number   uint64
	service  string
	zone     string
	address  netip.AddrPort
	slots    int
	queue    int
	maxConns int
	work     time.Duration
	conn     *net.UDPConn
	out      *delayLine
	mu       sync.Mutex
	flows    map[netip.AddrPort]*served
	ended    map[netip.AddrPort]bool
	busy     int
	waiting  []func()
	state    string
	born     int64
	seq      int
	refused  int
	openings []opening // flows that it took
	silent   bool      // it has crashed
	warmAt   time.Time // the end of its warm-up
}

// served is a flow at a backend.
type served struct {
	open       bool
	isn        uint32
	next       uint32 // the next sequence number expected from the consumer
	echo       uint32
	sent       uint32 // the next sequence number to send
	acked      uint32
	unacked    int
	pending    []packet // packets that are not acknowledged
	generation int      // counts the packets and acknowledgements that end a retransmission
	route      netip.AddrPort
}

func (b *backend) key() string { return fmt.Sprintf("servers/%s-%x", b.service, b.number) }

func (b *backend) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return err
	}
	b.conn, b.flows, b.ended = conn, map[netip.AddrPort]*served{}, map[netip.AddrPort]bool{}
	_ = conn.SetReadBuffer(4 << 20)
	b.out = newDelayLine(conn)
	b.state, b.born = "ready", time.Now().UnixMilli()
	b.register()
	go b.run()
	return nil
}

func (b *backend) register() {
	b.seq++
	b.w.store.Put(b.key(), map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": b.state, "warmup_left_ms": max(0, time.Until(b.warmAt).Milliseconds()), "seq": b.seq, "born": b.born,
	})
}

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// heartbeat writes the backend's entry regularly.
func (b *backend) heartbeat(stop <-chan struct{}) {
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeatInterval))))
	for {
		b.mu.Lock()
		if !b.silent {
			b.register()
		}
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// drain reports to the store that the backend is draining.
func (b *backend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
	b.register()
}

// leave drains the backend, and ends it after a time.
func (b *backend) leave(after time.Duration) {
	b.drain()
	time.Sleep(after)
	_ = b.conn.Close()
	b.w.store.Remove(b.key())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state, b.flows = "gone", map[netip.AddrPort]*served{}
}

func (b *backend) run() {
	buffer := make([]byte, 2048)
	for {
		n, err := b.conn.Read(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		id := binary.BigEndian.Uint64(buffer)
		if p, ok := decode(buffer[8:n]); ok && (id == 0 || id == b.number) {
			b.mu.Lock()
			if !b.silent {
				b.handle(&p)
			}
			b.mu.Unlock()
		}
	}
}

func (b *backend) send(f *served, to netip.AddrPort, flags byte, seq uint32, data []byte) {
	p := packet{src: f.route, dst: to, flags: flags, echo: f.echo, seq: seq, ack: f.next, sum: uint32(b.number), data: data}
	b.transmit(&p)
}

func (b *backend) transmit(p *packet) {
	if b.w.loses() {
		return
	}
	b.out.send(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}

// handle processes a packet. The lock is held.
func (b *backend) handle(p *packet) {
	f := b.flows[p.src]
	if p.flags&flagSYN != 0 && p.flags&flagACK == 0 {
		b.accept(p, f)
		return
	}
	if f == nil {
		b.w.arrived(p.src, b.number, false)
		switch {
		case p.flags&flagRST != 0:
		case b.ended[p.src] && p.flags&flagFIN != 0 && len(p.data) == 0:
			b.transmit(&packet{src: p.dst, dst: p.src, flags: flagACK, echo: p.echo, seq: p.ack, ack: p.seq + 1, sum: uint32(b.number)})
		case b.ended[p.src] && len(p.data) == 0:
		default:
			b.transmit(&packet{src: p.dst, dst: p.src, flags: flagRST, echo: p.echo, seq: p.ack, sum: uint32(b.number)})
		}
		return
	}
	if !f.open {
		if p.ack != f.isn+1 {
			// The flow was opened at another backend. The page tells no answer.
			b.w.arrived(p.src, b.number, false)
			return
		}
		f.open, f.sent, f.acked = true, f.isn+1, f.isn+1
		f.generation++
		b.w.opened(p.src, b)
	}
	b.w.arrived(p.src, b.number, true)
	f.echo = p.echo
	if p.flags&flagRST != 0 {
		delete(b.flows, p.src)
		return
	}
	if int32(p.ack-f.acked) > 0 {
		b.acknowledge(f, p.ack)
	}
	switch {
	case p.flags&flagFIN != 0:
		f.next = p.seq + uint32(len(p.data)) + 1
		b.send(f, p.src, flagACK|flagFIN, f.sent, nil)
		b.end(p.src)
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		id, _, _ := strings.Cut(string(p.data), " ")
		if f.unacked++; f.unacked%2 == 0 {
			b.send(f, p.src, flagACK, f.sent, nil)
		}
		b.serve(p.src, f, id)
	case len(p.data) > 0:
		f.unacked = 0
		b.send(f, p.src, flagACK, f.sent, nil)
	}
}

// accept answers an opening packet.
func (b *backend) accept(p *packet, f *served) {
	if f != nil && f.next == p.seq+1 {
		f.echo = p.echo
		if f.open {
			b.send(f, p.src, flagACK, f.sent, nil)
			return
		}
		b.send(f, p.src, flagSYN|flagACK, f.isn, nil)
		return
	}
	if f == nil && len(b.flows) >= b.maxConns {
		b.refused++
		return
	}
	sent := b.w.recordOpening(p.src, b)
	b.openings = append(b.openings, opening{sent: sent, arrived: time.Now()})
	f = &served{isn: rand.Uint32(), next: p.seq + 1, echo: p.echo, route: p.dst}
	b.flows[p.src] = f
	delete(b.ended, p.src)
	b.send(f, p.src, flagSYN|flagACK, f.isn, nil)
	b.repeatAccept(p.src, f, firstRetransmission, 1)
}

// repeatAccept repeats the answer to an opening packet until the flow is open.
func (b *backend) repeatAccept(to netip.AddrPort, f *served, wait time.Duration, n int) {
	time.AfterFunc(wait+time.Duration(rand.Int64N(int64(timerDelay))), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.flows[to] != f || f.open {
			return
		}
		if n > maxRetransmissions {
			delete(b.flows, to)
			return
		}
		b.send(f, to, flagSYN|flagACK, f.isn, nil)
		b.repeatAccept(to, f, min(2*wait, maxRetransmission), n+1)
	})
}

func (b *backend) end(flow netip.AddrPort) {
	delete(b.flows, flow)
	b.ended[flow] = true
	time.AfterFunc(20*time.Second, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.ended, flow)
	})
}

func (b *backend) acknowledge(f *served, ack uint32) {
	f.acked = ack
	f.generation++
	rest := f.pending[:0]
	for _, p := range f.pending {
		if int32(p.seq+uint32(len(p.data))-ack) > 0 {
			rest = append(rest, p)
		}
	}
	f.pending = rest
}

// serve works on a request once a slot is free. A request that finds the queue full gets its
// answer at once, and has not run.
func (b *backend) serve(flow netip.AddrPort, f *served, request string) {
	run := func() {
		b.w.ran(request, b)
		time.AfterFunc(time.Duration(float64(b.work)*(0.75+rand.Float64()/2)), func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.respond(flow, f, request, "200")
			if b.state == "draining" && b.flows[flow] == f {
				b.send(f, flow, flagACK|flagFIN, f.sent, nil)
				b.end(flow)
			}
			if len(b.waiting) > 0 {
				next := b.waiting[0]
				b.waiting = b.waiting[1:]
				next()
				return
			}
			b.busy = max(0, b.busy-1)
		})
	}
	switch {
	case b.busy < b.slots:
		b.busy++
		run()
	case len(b.waiting) < b.queue:
		b.waiting = append(b.waiting, run)
	default:
		b.respond(flow, f, request, "503")
	}
}

func (b *backend) respond(flow netip.AddrPort, f *served, request, status string) {
	if b.flows[flow] != f {
		return
	}
	body := make([]byte, b.w.responseSize)
	head := fmt.Sprintf("%s %s %d|", status, request, len(body))
	copy(body, head)
	for len(body) > 0 {
		n := min(len(body), maxData)
		p := packet{src: f.route, dst: flow, flags: flagACK, seq: f.sent, sum: uint32(b.number), data: body[:n]}
		f.sent += uint32(n)
		f.pending = append(f.pending, p)
		b.resend(f, p)
		body = body[n:]
	}
	b.retransmit(flow, f, f.generation, firstRetransmission, 1)
}

// resend sends a packet with the current echo and acknowledgement.
func (b *backend) resend(f *served, p packet) {
	p.echo, p.ack = f.echo, f.next
	f.unacked = 0
	b.transmit(&p)
}

// retransmit repeats the oldest packet that is not acknowledged.
func (b *backend) retransmit(flow netip.AddrPort, f *served, generation int, wait time.Duration, n int) {
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch {
		case b.flows[flow] != f || len(f.pending) == 0:
		case f.generation != generation:
			b.retransmit(flow, f, f.generation, firstRetransmission, 1)
		case n > maxRetransmissions:
			delete(b.flows, flow)
		default:
			b.resend(f, f.pending[0])
			b.retransmit(flow, f, generation, min(2*wait, maxRetransmission), n+1)
		}
	})
}
