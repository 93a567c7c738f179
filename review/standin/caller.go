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

// openingWaits are the waits after an opening packet and each of its copies.
var openingWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// received is a packet and the address that it came from.
type received struct {
	packet
	from netip.Addr
}

// caller has one address and any number of flows.
type caller struct {
	local  netip.AddrPort
	fabric *fabric
	zone   string
	judge  *judge

	conn  *net.UDPConn
	mu    sync.Mutex
	flows map[uint16]chan received
	// orderPorts are the ports of flows with a single request.
	orderPorts portRing
}

// portRing hands out the ports of a range in turn, and none again before portRest has
// passed since it was released.
type portRing struct {
	mu       sync.Mutex
	first, n uint16
	next     uint16
	released []time.Time
	taken    []bool
}

func newPortRing(first, n uint16) portRing {
	return portRing{first: first, n: n, released: make([]time.Time, n), taken: make([]bool, n)}
}

func (r *portRing) take() (uint16, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next
	if r.taken[at] || time.Since(r.released[at]) < portRest {
		return 0, false
	}
	r.next = (r.next + 1) % r.n
	r.taken[at] = true
	return r.first + at, true
}

func (r *portRing) release(port uint16) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken[port-r.first], r.released[port-r.first] = false, time.Now()
}

func (c *caller) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.local))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c.conn, c.flows = conn, map[uint16]chan received{}
	go c.run()
	return nil
}

func (c *caller) run() {
	buffer := make([]byte, maxDatagram+1)
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
		flow := c.flows[p.destination.Port()]
		c.mu.Unlock()
		select {
		case flow <- received{p, from.Addr()}:
		default:
		}
	}
}

// flow is a flow of a caller, from its opening to its end.
type flow struct {
	*caller
	key      flowKey
	echo     uint32
	seq, ack uint32
	packets  chan received
	requests int
	// last is the instance that the last packet was sent to, and when.
	last   netip.Addr
	lastAt time.Time
}

// outcome is the result of a step of a flow.
type outcome string

const (
	done     outcome = "done"
	wasReset outcome = "reset"
	silence  outcome = "silence"
)

// open opens a flow from a port.
func (c *caller) open(port uint16, to netip.AddrPort) (*flow, outcome) {
	f := &flow{
		caller: c, key: flowKey{netip.AddrPortFrom(c.local.Addr(), port), to},
		seq: rand.Uint32(), packets: make(chan received, 64),
	}
	c.mu.Lock()
	c.flows[port] = f.packets
	c.mu.Unlock()
	for n, wait := range openingWaits {
		f.send(packet{flags: flagOpen, ack: uint32(n)})
		for end := time.Now().Add(wait); ; {
			p, ok := f.receive(end)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				f.leave()
				return f, wasReset
			}
			if p.flags&flagOpen != 0 && p.ack == f.seq+1 {
				f.seq++
				f.ack = p.seq + 1
				f.send(packet{flags: flagAck, ack: f.ack})
				return f, done
			}
		}
	}
	f.leave()
	return f, silence
}

// receive returns the next packet of the flow. As PROTOCOL.md says, the flow's packets
// carry the last echo received.
func (f *flow) receive(end time.Time) (received, bool) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		if p.echo != 0 && p.flags&flagReset == 0 {
			f.echo = p.echo
		}
		return p, true
	case <-timer.C:
		return received{}, false
	}
}

func (f *flow) send(p packet) {
	to, ok := f.fabric.route(f.key, f.zone)
	if !ok {
		return
	}
	p.source, p.destination, p.echo, p.seq, p.sum = f.key.source, f.key.destination, f.echo, f.seq, sumOfStandIn
	f.last, f.lastAt = to.Addr(), time.Now()
	_, _ = f.conn.WriteToUDPAddrPort(p.encode(), to)
}

// request sends a request and waits for its answer until the deadline.
func (f *flow) request(deadline time.Duration) outcome {
	f.requests++
	text := fmt.Sprintf("%v.%d.%08x", f.key.source, f.requests, rand.Uint32())
	f.judge.asked(text)
	stop := time.Now().Add(deadline)
	var parts [2]string
	first := f.ack
	for _, wait := range retransmissions {
		f.send(packet{flags: flagAck, ack: f.ack, data: []byte(text)})
		end := time.Now().Add(wait)
		if end.After(stop) {
			end = stop
		}
		for {
			p, ok := f.receive(end)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				f.judge.reset(f.key, p.from, f.last, f.lastAt)
				f.leave()
				return wasReset
			}
			switch {
			case len(p.data) == 0:
			case p.seq == first:
				parts[0] = string(p.data)
			case p.seq == first+maxData:
				parts[1] = string(p.data)
			}
			if parts[0] != "" && parts[1] != "" {
				f.seq += uint32(len(text))
				f.ack = first + uint32(len(parts[0])+len(parts[1]))
				f.send(packet{flags: flagAck, ack: f.ack})
				if !strings.HasPrefix(parts[0], text+" ") {
					f.judge.violation("MIXED: request %s got the answer %q", text, parts[0][:60])
				}
				f.judge.gotAnswer(text)
				return done
			}
		}
		if !time.Now().Before(stop) {
			break
		}
	}
	return silence
}

// pause waits between two requests, and receives what arrives meanwhile.
func (f *flow) pause(d time.Duration) outcome {
	for end := time.Now().Add(d); ; {
		p, ok := f.receive(end)
		switch {
		case !ok:
			return done
		case p.flags&flagReset != 0:
			f.judge.reset(f.key, p.from, f.last, f.lastAt)
			f.leave()
			return wasReset
		case len(p.data) > 0:
			f.send(packet{flags: flagAck, ack: f.ack})
		}
	}
}

// close ends the flow with a FIN and waits for that of the server.
func (f *flow) close() {
	defer f.leave()
	for _, wait := range retransmissions[:3] {
		f.send(packet{flags: flagAck | flagFinish, ack: f.ack})
		for end := time.Now().Add(wait); ; {
			p, ok := f.receive(end)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				f.judge.reset(f.key, p.from, f.last, f.lastAt)
				return
			}
			if p.flags&flagFinish != 0 {
				f.seq++
				f.ack = p.seq + 1
				f.send(packet{flags: flagAck, ack: f.ack})
				return
			}
		}
	}
}

// leave ends the flow at the caller.
func (f *flow) leave() {
	f.mu.Lock()
	delete(f.flows, f.key.source.Port())
	f.mu.Unlock()
	f.judge.forget(f.key)
}
