package demo

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/fabric"
	"balsamfork/internal/standin/wire"
)

const (
	probeInterval    = 25 * time.Millisecond
	probeTimeout     = 15 * time.Second
	firstProbePort   = 2000
	probeBufferBytes = 2048
)

// probeAddress is the inner source address of probes.
var probeAddress = netip.MustParseAddr("198.51.100.250")

// prober finds out from outside when a configuration is in force at each instance:
// it sends SYN packets to a service that is new in that configuration, through each
// instance, until a reply arrives.
type prober struct {
	conn       *net.UDPConn
	goroutines sync.WaitGroup
	mu         sync.Mutex
	replied    map[netip.AddrPort]bool
}

func newProber(f *fabric.Fabric) (*prober, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Register(probeAddress, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	p := &prober{conn: conn, replied: make(map[netip.AddrPort]bool)}
	p.goroutines.Go(p.receive)
	return p, nil
}

func (p *prober) close() {
	_ = p.conn.Close()
	p.goroutines.Wait()
}

// probeKey returns the key in prober.replied of the probes of a service from a source
// port. The probes through each instance have a source port of their own.
func probeKey(service netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(service.Addr(), port)
}

func (p *prober) receive() {
	codec := wire.NewCodec()
	buf := make([]byte, probeBufferBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if segment, ok := codec.Decode(buf[:n]); ok && segment.Has(wire.SYN|wire.ACK) {
			p.mu.Lock()
			p.replied[probeKey(segment.From, segment.To.Port())] = true
			p.mu.Unlock()
		}
	}
}

func (p *prober) hasReplied(key netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replied[key]
}

// wait returns once the service has replied through each of the instances. After
// probeTimeout it returns an error that names an instance without a reply.
func (p *prober) wait(ctx context.Context, service netip.AddrPort, instances []fabric.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	codec := wire.NewCodec()
	for {
		pending := p.send(codec, service, instances)
		if pending == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("service %s is not in force at instance %s after %s", service, pending, probeTimeout)
		case <-ticker.C:
		}
	}
}

// send sends a probe through each instance without a reply yet, and returns the ID of
// the last of them, or an empty string if there is none.
func (p *prober) send(codec *wire.Codec, service netip.AddrPort, instances []fabric.Instance) string {
	pending := ""
	for i, instance := range instances {
		port := uint16(firstProbePort + i)
		if p.hasReplied(probeKey(service, port)) {
			continue
		}
		pending = instance.ID
		data, err := codec.Encode(wire.Segment{
			From: netip.AddrPortFrom(probeAddress, port), To: service, Protocol: config.TCP, Flags: wire.SYN,
		})
		if err == nil {
			_, _ = p.conn.WriteToUDPAddrPort(data, instance.PacketAddr)
		}
	}
	return pending
}

// startProbedServer starts the backend server of a probed service.
func startProbedServer(name string, service netip.AddrPort, f *fabric.Fabric) (*backend.Server, error) {
	return backend.Start(backend.Config{Name: name, Service: service, Protocol: config.TCP, CallerSocket: f.SocketOf})
}
