package main

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// consumer sends packets from one address.
type consumer struct {
	w    *world
	zone int
	addr netip.Addr
	conn *net.UDPConn
	// lose reports whether a packet that arrives is lost on the way; nil loses none.
	lose func(f *flow, p *packet) bool

	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

// arrival is a packet and the address of the process that sent it.
type arrival struct {
	packet
	from netip.Addr
}

// flow is a consumer's end of a flow.
type flow struct {
	c         *consumer
	local, to netip.AddrPort
	in        chan arrival
	seq, ack  uint32
	// answeredAt is the time of the last answer.
	answeredAt time.Time

	mu     sync.Mutex
	echo   uint32
	ended  bool
	openAt netip.Addr // of the backend
	// resetFrom is the address of the process that reset the flow while it was open, and
	// bySystem says that the reset was one of the system's own.
	resetFrom netip.Addr
	bySystem  bool
	resetAt   time.Time
	accepts   int
	// echoLost says that an accepting packet of the flow was lost.
	echoLost bool
}

func newConsumer(w *world, zone, n int) (*consumer, error) {
	c := &consumer{w: w, zone: zone, addr: w.address(30+zone, n), flows: map[uint16]*flow{}, port: 1024}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c.conn = conn
	go c.run()
	return c, nil
}

func (c *consumer) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
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
		if f != nil && (c.lose == nil || !c.lose(f, &p)) {
			f.arrive(arrival{p, from.Addr()})
		}
	}
}

// arrive takes the echo of a packet, and notes a reset of an open flow.
func (f *flow) arrive(a arrival) {
	f.mu.Lock()
	if f.ended {
		f.mu.Unlock()
		return
	}
	f.echo = a.echo
	if a.flags&flagSYN != 0 {
		f.accepts++
	}
	if a.flags&flagRST != 0 && f.openAt.IsValid() {
		f.ended, f.resetFrom, f.bySystem, f.resetAt = true, a.from, a.sum == 0, time.Now()
	}
	f.mu.Unlock()
	select {
	case f.in <- a:
	default:
	}
}

// open opens a flow: the opening packet, and copies after 200 and 600 ms.
func (c *consumer) open(to netip.AddrPort) (*flow, bool) {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, local: netip.AddrPortFrom(c.addr, c.port), to: to, in: make(chan arrival, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	c.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(flagSYN, uint32(copies), nil)
		a, got := f.wait(time.Now().Add(wait), func(a *arrival) bool { return a.flags&(flagSYN|flagRST) != 0 })
		if !got {
			continue
		}
		if a.flags&flagRST != 0 {
			break
		}
		f.seq++
		f.ack = a.seq + 1
		f.mu.Lock()
		f.openAt = a.from
		f.mu.Unlock()
		f.send(flagACK, f.ack, nil)
		c.w.note("opened flow=%v at %v, packets sent: %d", f.local, f.openAt, copies+1)
		return f, true
	}
	c.w.note("not opened flow=%v", f.local)
	f.forget()
	return nil, false
}

// request sends a request in one packet, and again until it is answered. It returns false
// if the flow was reset or the time is over.
func (f *flow) request(text string, deadline time.Duration) bool {
	end, wait := time.Now().Add(deadline), firstRetry
	f.c.w.note("sent flow=%v %q", f.local, text)
	for time.Now().Before(end) {
		f.send(flagACK, f.ack, []byte(text))
		a, got := f.wait(time.Now().Add(min(wait, time.Until(end))), func(a *arrival) bool {
			return a.flags&flagRST != 0 || len(a.data) > 0 && a.seq == f.ack
		})
		wait = min(2*wait, lastRetry)
		if !got {
			continue
		}
		if a.flags&flagRST != 0 {
			f.c.w.note("reset flow=%v by %v, system's own %v", f.local, a.from, a.sum == 0)
			return false
		}
		f.c.w.note("answered flow=%v by %v %q", f.local, a.from, text)
		f.seq += uint32(len(text))
		f.ack += uint32(len(a.data))
		f.answeredAt = time.Now()
		f.send(flagACK, f.ack, nil)
		return true
	}
	return false
}

// wait returns the next packet that fits.
func (f *flow) wait(end time.Time, fits func(*arrival) bool) (arrival, bool) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		select {
		case a := <-f.in:
			if fits(&a) {
				return a, true
			}
		case <-timer.C:
			return arrival{}, false
		}
	}
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	to, ok := f.c.w.route(f.c.zone, f.local, f.to)
	if !ok {
		return
	}
	f.mu.Lock()
	p := packet{src: f.local, dst: f.to, echo: f.echo, seq: f.seq, ack: ack, sum: ownSum, flags: flags, data: data}
	f.mu.Unlock()
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to, packetPort))
}

// close ends the flow.
func (f *flow) close() {
	f.send(flagFIN|flagACK, f.ack, nil)
	f.forget()
}

func (f *flow) forget() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.c.mu.Lock()
	delete(f.c.flows, f.local.Port())
	f.c.mu.Unlock()
}

// foreignReset reports whether the flow, while open, was reset by another process than
// its backend. It also returns the address of that process and the time.
func (f *flow) foreignReset() (from netip.Addr, bySystem bool, at time.Time, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resetFrom, f.bySystem, f.resetAt, f.resetFrom.IsValid() && f.resetFrom != f.openAt
}
