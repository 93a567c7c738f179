package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// consumer sends requests from one address in a zone.
type consumer struct {
	w       *world
	zone    string
	address netip.Addr
	conn    *net.UDPConn
	out     *delayLine
	mu      sync.Mutex
	flows   map[uint16]*callerFlow
	port    uint16
}

func (w *world) newConsumer(zone string, address netip.Addr) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &consumer{w: w, zone: zone, address: address, conn: conn, out: newDelayLine(conn), flows: map[uint16]*callerFlow{}, port: uint16(10000 + rand.IntN(20000))}
	go c.run()
	return c, nil
}

func (c *consumer) run() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// callerFlow is a flow at its consumer. One goroutine uses it.
type callerFlow struct {
	c        *consumer
	local    netip.AddrPort
	to       netip.AddrPort
	in       chan packet
	echo     uint32
	seq, ack uint32
	server   uint64 // the backend whose answer opened the flow
	received int
	openedAt time.Time
	// lastAt is when the flow last sent or received a packet, and pause its longest time
	// without one.
	lastAt time.Time
	pause  time.Duration
}

// The bounds from which on flows don't count for rule FLOW: idle_timeout_ms of the
// configuration and max_flow_s of the settings.
const (
	idleTimeout = 15 * time.Second
	maxFlowAge  = 60 * time.Second
)

// touch records that the flow has sent or received a packet.
func (f *callerFlow) touch() {
	f.pause, f.lastAt = f.longestPause(), time.Now()
}

// longestPause returns the longest time that the flow has been idle.
func (f *callerFlow) longestPause() time.Duration {
	if f.lastAt.IsZero() {
		return 0
	}
	return max(f.pause, time.Since(f.lastAt))
}

// The results of a request, or of opening a flow.
const (
	answered  = "answered"
	shed      = "shed"
	refused   = "refused"
	unopened  = "unopened"
	resetOwn  = "reset-by-its-backend"
	resetElse = "reset-by-another-backend"
	resetSys  = "reset-by-system"
	lost      = "no-answer"
	closed    = "closed-by-its-backend"
)

func (f *callerFlow) send(flags byte, seq, ack uint32, data []byte) {
	f.touch()
	if f.c.w.loses() {
		return
	}
	i := f.c.w.receiver(f.c.zone, f.local, f.to)
	if i == nil {
		return
	}
	p := packet{src: f.local, dst: f.to, flags: flags, echo: f.echo, seq: seq, ack: ack, sum: callerSum, data: data}
	f.c.out.send(p.encode(), netip.AddrPortFrom(i.address, packetPort))
}

func (f *callerFlow) receive(until time.Time) (packet, bool) {
	t := time.NewTimer(max(time.Until(until), 0))
	defer t.Stop()
	select {
	case p := <-f.in:
		if p.sum != 0 {
			f.echo = p.echo
			f.touch() // a reset of the system is no packet of the flow
		}
		return p, true
	case <-t.C:
		return packet{}, false
	}
}

// open opens a flow.
func (c *consumer) open(to netip.AddrPort) (*callerFlow, string) {
	f := &callerFlow{c: c, to: to, in: make(chan packet, 64), seq: rand.Uint32()}
	c.mu.Lock()
	for c.flows[c.port] != nil || c.port < 1024 {
		c.port++
	}
	f.local = netip.AddrPortFrom(c.address, c.port)
	c.flows[c.port] = f
	c.port++
	c.mu.Unlock()
	began := time.Now()
	c.w.recordSent(f.local, began)
	for n, until := range []time.Duration{200, 600, 1400} {
		f.send(flagSYN, f.seq, uint32(n), nil)
		for {
			p, ok := f.receive(began.Add(until * time.Millisecond))
			if !ok {
				break
			}
			switch {
			case p.flags&flagRST != 0:
				f.forget()
				return nil, refused
			case p.flags&flagSYN != 0 && p.ack == f.seq+1:
				f.seq++
				f.ack, f.server, f.openedAt = p.seq+1, uint64(p.sum), time.Now()
				return f, answered
			}
		}
	}
	f.forget()
	return nil, unopened
}

// request sends a request and waits for the whole answer.
func (f *callerFlow) request(id string, deadline time.Duration) string {
	began := time.Now()
	size := 200 + len(id)
	data := make([]byte, size)
	copy(data, id+" ")
	for i := len(id) + 1; i < size; i++ {
		data[i] = '.'
	}
	end := f.seq + uint32(size)
	wait, at := firstRetransmission, began
	f.send(flagACK, f.seq, f.ack, data)
	at = at.Add(wait)
	var body []byte
	total, acknowledged := -1, false
	for {
		until := began.Add(deadline)
		if !acknowledged && at.Before(until) {
			until = at
		}
		p, ok := f.receive(until)
		if !ok {
			if time.Since(began) >= deadline {
				return lost
			}
			wait = min(2*wait, maxRetransmission)
			at = time.Now().Add(wait)
			f.send(flagACK, f.seq, f.ack, data)
			continue
		}
		if p.flags&flagRST != 0 {
			if d := int32(p.seq - f.ack); d > 76800 || d < -76800 {
				continue
			}
			switch uint64(p.sum) {
			case 0:
				return resetSys
			case f.server:
				return resetOwn
			}
			return fmt.Sprintf("%s %x", resetElse, p.sum)
		}
		if p.flags&flagSYN != 0 {
			continue
		}
		if uint64(p.sum) == f.server && int32(p.ack-end) >= 0 {
			acknowledged = true
		}
		if len(p.data) == 0 {
			continue
		}
		if p.seq != f.ack {
			f.send(flagACK, end, f.ack, nil)
			continue
		}
		f.ack += uint32(len(p.data))
		body = append(body, p.data...)
		if f.received++; f.received%2 == 0 {
			f.send(flagACK, end, f.ack, nil)
		}
		if total < 0 {
			if head, _, found := strings.Cut(string(body), "|"); found {
				if _, err := fmt.Sscanf(head[strings.LastIndexByte(head, ' ')+1:], "%d", &total); err != nil {
					return "foreign-answer"
				}
				if !strings.Contains(head, " "+id+" ") {
					return "foreign-answer"
				}
			}
		}
		if total >= 0 && len(body) >= total {
			f.seq = end
			if strings.HasPrefix(string(body), "503") {
				return shed
			}
			return answered
		}
	}
}

// idle handles what arrives for a time without a request. It returns the kind of reset that
// arrives, or "".
func (f *callerFlow) idle(d time.Duration) string {
	until := time.Now().Add(d)
	for {
		p, ok := f.receive(until)
		switch {
		case !ok:
			return ""
		case p.flags&flagRST != 0:
			switch uint64(p.sum) {
			case 0:
				return resetSys
			case f.server:
				return resetOwn
			}
			return fmt.Sprintf("%s %x", resetElse, p.sum)
		case p.flags&flagFIN != 0 && p.seq == f.ack:
			return closed
		case len(p.data) > 0:
			f.send(flagACK, f.seq, f.ack, nil)
		}
	}
}

func (f *callerFlow) close() {
	f.send(flagFIN|flagACK, f.seq, f.ack, nil)
	f.idle(50 * time.Millisecond)
	f.forget()
}

func (f *callerFlow) forget() {
	f.c.mu.Lock()
	delete(f.c.flows, f.local.Port())
	f.c.mu.Unlock()
	f.c.w.mu.Lock()
	if s := f.c.w.flows[f.local]; s != nil {
		s.closed = true
		delete(f.c.w.flows, f.local)
	}
	f.c.w.mu.Unlock()
}
