// Package backend simulates a backend server. It receives GRE over UDP, tracks
// its own flows, and replies directly to the caller. It replies to a packet of an
// unknown flow with a reset, as a real server does.
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
	maxPacketBytes  = 9216
	readBufferBytes = 4 << 20
	loopbackAddr    = "127.0.0.1:0"
)

// Config describes one backend server.
type Config struct {
	// Name is the payload of each reply, which identifies the server to callers.
	Name     string
	Service  netip.AddrPort
	Protocol config.Protocol
	// CallerSocket returns the socket that receives replies to an inner address, and
	// false if there is none.
	CallerSocket func(inner netip.Addr) (netip.AddrPort, bool)
}

// Counts are the totals of a backend server since its start.
type Counts struct {
	Packets uint64
	// Opened counts flows opened at this server; Live is how many of them are open.
	Opened uint64
	Live   int
	// Unknown counts packets of flows that are not open at this server.
	Unknown uint64
	// WrongService counts packets whose destination address or protocol is not the
	// service's.
	WrongService uint64
	// LastPacket is when the last packet arrived, LastOpened when the last flow opened.
	LastPacket time.Time
	LastOpened time.Time
}

// Server is a running backend server.
type Server struct {
	config         Config
	conn           *net.UDPConn
	healthListener net.Listener
	healthServer   *http.Server
	codec          *wire.Codec
	goroutines     sync.WaitGroup

	mu     sync.Mutex
	counts Counts
	flows  map[netip.AddrPort]struct{}
	health Health
}

// Start opens the sockets on loopback and starts serving.
func Start(c Config) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(loopbackAddr)))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_ = conn.SetReadBuffer(readBufferBytes)
	healthListener, err := net.Listen("tcp", loopbackAddr)
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	s := &Server{
		config:         c,
		conn:           conn,
		healthListener: healthListener,
		codec:          wire.NewCodec(),
		flows:          make(map[netip.AddrPort]struct{}),
		health:         Health{Status: OK},
	}
	s.healthServer = &http.Server{Handler: http.HandlerFunc(s.serveHealth), ReadHeaderTimeout: time.Second}
	s.goroutines.Go(s.run)
	s.goroutines.Go(func() { _ = s.healthServer.Serve(healthListener) })
	return s, nil
}

// Close closes the sockets at once, as a crash does; all flows are lost.
func (s *Server) Close() {
	_ = s.conn.Close()
	_ = s.healthServer.Close()
	s.goroutines.Wait()
}

// PacketAddr returns the address that receives GRE over UDP.
func (s *Server) PacketAddr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Counts returns the current totals.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Live = len(s.flows)
	return c
}

func (s *Server) run() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		segment, ok := s.codec.Decode(buf[:n])
		if !ok {
			continue
		}
		if reply, ok := s.handle(segment); ok {
			s.send(reply)
		}
	}
}

func (s *Server) send(reply wire.Segment) {
	addr, ok := s.config.CallerSocket(reply.To.Addr())
	if !ok {
		return
	}
	data, err := s.codec.Encode(reply)
	if err != nil {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(data, addr)
}

// handle counts a packet and returns the reply, and false if there is none.
func (s *Server) handle(segment wire.Segment) (wire.Segment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Packets++
	s.counts.LastPacket = time.Now()
	if segment.To != s.config.Service || segment.Protocol != s.config.Protocol {
		s.counts.WrongService++
		return wire.Segment{}, false
	}
	reply := wire.Segment{From: segment.To, To: segment.From, Protocol: segment.Protocol, Data: []byte(s.config.Name)}
	reply.Flags = s.updateFlow(segment)
	return reply, reply.Flags != 0
}

// updateFlow applies a packet to the state of its flow and returns the flags of
// the reply; zero means no reply. The caller holds mu.
func (s *Server) updateFlow(segment wire.Segment) wire.Flag {
	_, known := s.flows[segment.From]
	switch {
	case segment.Has(wire.RST):
		delete(s.flows, segment.From)
		return 0
	case segment.Has(wire.SYN):
		if !known {
			s.counts.Opened++
			s.counts.LastOpened = s.counts.LastPacket
			s.flows[segment.From] = struct{}{}
		}
		return wire.SYN | wire.ACK
	case !known:
		s.counts.Unknown++
		return wire.RST
	case segment.Has(wire.FIN):
		delete(s.flows, segment.From)
		return wire.FIN | wire.ACK
	default:
		return wire.ACK
	}
}
