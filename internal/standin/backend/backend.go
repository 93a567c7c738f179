// Package backend stands in for a backend server. It takes GRE in UDP, knows
// its own flows, and answers straight to the caller. A packet of a flow that it
// does not know is answered with a reset, as by a real server.
package backend

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("backend stand-in")

const (
	maxPacket    = 9216
	socketBuffer = 4 << 20
	loopback     = "127.0.0.1:0"
)

// Config describes one backend server.
type Config struct {
	// Name is the payload of each answer, so that callers know who answered.
	Name     string
	Service  netip.AddrPort
	Protocol config.Protocol
	// Callers returns the socket that takes answers to an inner address.
	Callers func(inner netip.Addr) (netip.AddrPort, bool)
}

// Counts is what a backend server has seen since its start.
type Counts struct {
	Packets uint64
	// Opened counts flows that began here, Live those that have not ended.
	Opened uint64
	Live   int
	// Unknown counts packets of flows that did not begin here.
	Unknown uint64
	// WrongService counts packets to an address that is not the service's.
	WrongService uint64
	// Last is when the last packet came, LastOpened when the last flow began.
	Last       time.Time
	LastOpened time.Time
}

// Server is a running backend server.
type Server struct {
	config Config
	conn   *net.UDPConn
	health net.Listener
	web    *http.Server
	codec  *wire.Codec
	done   sync.WaitGroup

	mu     sync.Mutex
	counts Counts
	flows  map[netip.AddrPort]struct{}
	report Health
}

// Start opens the sockets on loopback and begins to serve.
func Start(c Config) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(loopback)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	health, err := net.Listen("tcp", loopback)
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	s := &Server{
		config: c,
		conn:   conn,
		health: health,
		codec:  wire.NewCodec(),
		flows:  make(map[netip.AddrPort]struct{}),
		report: Health{Status: OK},
	}
	s.web = &http.Server{Handler: http.HandlerFunc(s.serveHealth), ReadHeaderTimeout: time.Second}
	s.done.Go(s.run)
	s.done.Go(func() { _ = s.web.Serve(health) })
	return s, nil
}

// Close stops at once, as a crash does, and forgets all flows.
func (s *Server) Close() {
	_ = s.conn.Close()
	_ = s.web.Close()
	s.done.Wait()
}

// Packets returns the address that takes GRE in UDP.
func (s *Server) Packets() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns what the server has seen.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Live = len(s.flows)
	return c
}

func (s *Server) run() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		in, ok := s.codec.Read(buf[:n])
		if !ok {
			continue
		}
		if answer, ok := s.receive(in); ok {
			s.send(answer)
		}
	}
}

func (s *Server) send(answer wire.Segment) {
	socket, ok := s.config.Callers(answer.To.Addr())
	if !ok {
		return
	}
	data, err := s.codec.Build(answer)
	if err != nil {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(data, socket)
}

// receive counts a packet and returns the answer to it.
func (s *Server) receive(in wire.Segment) (wire.Segment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Packets++
	s.counts.Last = time.Now()
	if in.To != s.config.Service || in.Protocol != s.config.Protocol {
		s.counts.WrongService++
		return wire.Segment{}, false
	}
	answer := wire.Segment{From: in.To, To: in.From, Protocol: in.Protocol, Data: []byte(s.config.Name)}
	answer.Flags = s.advance(in)
	return answer, answer.Flags != 0
}

// advance moves the flow on and returns the flags of the answer; none means no
// answer.
func (s *Server) advance(in wire.Segment) wire.Flag {
	_, known := s.flows[in.From]
	switch {
	case in.Has(wire.RST):
		delete(s.flows, in.From)
		return 0
	case in.Has(wire.SYN):
		if !known {
			s.counts.Opened++
			s.counts.LastOpened = s.counts.Last
			s.flows[in.From] = struct{}{}
		}
		return wire.SYN | wire.ACK
	case !known:
		s.counts.Unknown++
		return wire.RST
	case in.Has(wire.FIN):
		delete(s.flows, in.From)
		return wire.FIN | wire.ACK
	default:
		return wire.ACK
	}
}
