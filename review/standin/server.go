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

// retransmissions are the waits after each transmission of a packet.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond,
	1600 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond, 1600 * time.Millisecond,
}

// flowState is the state of a flow at a server.
type flowState int

const (
	halfOpen flowState = iota
	open
	ended
)

// serverFlow is a flow at a server.
type serverFlow struct {
	state flowState
	echo  uint32
	// seq is the server's next sequence number, ack the next one that it expects.
	seq, ack uint32
	// answered is the acknowledgement number up to which the caller has the answers.
	answered uint32
	running  bool
}

// server is a backend server as PROTOCOL.md, "Backends", describes it. It answers a request
// with its text in two packets, after its work.
type server struct {
	name, service, zone string
	number              uint64
	address             netip.AddrPort
	callerPort          uint16
	work                time.Duration
	judge               *judge

	conn  *net.UDPConn
	slots chan struct{}
	mu    sync.Mutex
	flows map[flowKey]*serverFlow
	runs  map[string]int
	// born is the Unix millisecond of the server's last start.
	born int64
	// dead says that the server has crashed, warmAt when it is no longer cold after its last
	// start, and coldOpenings when it took flows before that.
	dead         bool
	cut          bool
	warmAt       time.Time
	coldOpenings []time.Time
}

// setCut cuts the server off from all instances, or ends the cut.
func (s *server) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// crash makes the server forget its flows and ignore all packets.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for k := range s.flows {
		s.judge.forget(k)
	}
	s.flows = map[flowKey]*serverFlow{}
}

// restart starts the server again, cold for a time.
func (s *server) restart(cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead, s.coldOpenings, s.born = false, nil, time.Now().UnixMilli()
	s.warmAt = time.Now().Add(cold)
}

// coldPeak returns the largest number of flows that the server took in one second while it
// was cold.
func (s *server) coldPeak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak, first := 0, 0
	for n, at := range s.coldOpenings {
		for at.Sub(s.coldOpenings[first]) > time.Second {
			first++
		}
		peak = max(peak, n-first+1)
	}
	return peak
}

// serverSlots is the number of requests that a server processes at a time.
const serverSlots = 4

// answerSize is the size of an answer, in bytes.
const answerSize = 2000

func (s *server) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(4 << 20)
	s.born = time.Now().UnixMilli()
	s.conn, s.slots, s.flows, s.runs = conn, make(chan struct{}, serverSlots), map[flowKey]*serverFlow{}, map[string]int{}
	go s.run()
	return nil
}

// entry is what the server writes to the store.
func (s *server) entry(state string, seq int, warmup time.Duration) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address.String(), "zone": s.zone, "version": "v1", "slots": serverSlots,
		"state": state, "warmup_left_ms": warmup.Milliseconds(), "seq": seq, "born": s.born,
	}
}

func (s *server) key() string { return "servers/" + s.name }

func (s *server) run() {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		if p, ok := decode(buffer[8:n]); ok && (number == 0 || number == s.number) {
			s.handle(&p, from.Addr())
		}
	}
}

func (s *server) handle(p *packet, instance netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.cut {
		return
	}
	key := flowKey{p.source, p.destination}
	s.judge.arrived(key, s, instance, p.flags&flagOpen != 0)
	f := s.flows[key]
	switch {
	case p.flags&flagOpen != 0:
		s.accept(key, f, p, instance)
	case f == nil:
		if p.flags&flagReset == 0 {
			s.send(key, packet{flags: flagReset, seq: p.ack, echo: p.echo})
		}
	case p.flags&flagReset != 0:
		delete(s.flows, key)
	case f.state == halfOpen && p.ack != f.seq:
		// It doesn't acknowledge this server's sequence number, so the flow isn't opened here.
	case f.state == ended:
		f.echo = p.echo
		switch {
		case p.flags&flagFinish != 0:
			s.send(key, packet{flags: flagAck, seq: f.seq, ack: f.ack, echo: f.echo})
		case len(p.data) > 0:
			s.send(key, packet{flags: flagReset, seq: p.ack, echo: p.echo})
		}
	default:
		s.advance(key, f, p)
	}
}

// accept answers an opening packet.
func (s *server) accept(key flowKey, f *serverFlow, p *packet, instance netip.Addr) {
	if f == nil || f.state == ended || f.state == halfOpen && f.ack != p.seq+1 {
		f = &serverFlow{seq: rand.Uint32(), ack: p.seq + 1}
		f.seq++
		s.flows[key] = f
		s.judge.took(key, s, instance)
		if time.Now().Before(s.warmAt) {
			s.coldOpenings = append(s.coldOpenings, time.Now())
		}
	}
	if f.state != halfOpen {
		return
	}
	f.echo = p.echo
	s.send(key, packet{flags: flagOpen | flagAck, seq: f.seq - 1, ack: f.ack, echo: f.echo})
}

// advance handles a packet of a flow that the server holds.
func (s *server) advance(key flowKey, f *serverFlow, p *packet) {
	if f.state == halfOpen {
		f.state, f.answered = open, f.seq
		s.judge.opened(key, s)
	}
	f.echo = p.echo
	if int32(p.ack-f.answered) > 0 {
		f.answered = p.ack
	}
	switch {
	case p.flags&flagFinish != 0 && !f.running:
		f.state = ended
		s.judge.closed(key, s)
		f.ack = p.seq + 1
		s.send(key, packet{flags: flagAck | flagFinish, seq: f.seq, ack: f.ack, echo: f.echo})
	case len(p.data) == 0:
	case p.seq != f.ack || f.running:
		s.send(key, packet{flags: flagAck, seq: f.seq, ack: f.ack, echo: f.echo})
	default:
		f.ack += uint32(len(p.data))
		f.running = true
		go s.serve(key, f, string(p.data))
	}
}

// serve runs a request and sends the answer until the caller has acknowledged it.
func (s *server) serve(key flowKey, f *serverFlow, text string) {
	s.slots <- struct{}{}
	s.mu.Lock()
	s.runs[text]++
	if s.runs[text] > 1 {
		s.judge.violation("request %q ran %d times at %s", text, s.runs[text], s.name)
	}
	s.mu.Unlock()
	s.judge.ran(text, s)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(s.work)))
	<-s.slots
	answer := text + " by " + s.name + "\n"
	answer += strings.Repeat(".", answerSize-len(answer))
	s.mu.Lock()
	first := f.seq
	f.seq += answerSize
	f.running = false
	s.mu.Unlock()
	for _, wait := range retransmissions {
		s.mu.Lock()
		done := f.state != open || s.flows[key] != f || int32(f.answered-first) >= answerSize
		if !done {
			s.send(key, packet{flags: flagAck, seq: first, ack: f.ack, echo: f.echo, data: []byte(answer[:maxData])})
			s.send(key, packet{flags: flagAck, seq: first + maxData, ack: f.ack, echo: f.echo, data: []byte(answer[maxData:])})
		}
		s.mu.Unlock()
		if done {
			return
		}
		time.Sleep(wait)
	}
}

// send sends a packet to the caller of a flow.
func (s *server) send(key flowKey, p packet) {
	p.source, p.destination, p.sum = key.destination, key.source, sumOfStandIn
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.source.Addr(), s.callerPort))
}

func (s *server) String() string { return fmt.Sprintf("%s (%s, %s)", s.name, s.service, s.zone) }
