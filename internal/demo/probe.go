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
	probeInterval = 25 * time.Millisecond
	probeTimeout  = 15 * time.Second
	firstProbe    = 2000
	probePacket   = 2048
)

// probeAddress is the inner address that probes come from.
var probeAddress = netip.MustParseAddr("198.51.100.250")

// prober finds out from outside when a configuration is in force at each
// instance: it opens a flow to a service that is new in that configuration,
// through each instance, until it is answered.
type prober struct {
	conn   *net.UDPConn
	done   sync.WaitGroup
	mu     sync.Mutex
	answer map[netip.AddrPort]bool
}

func newProber(f *fabric.Fabric) (*prober, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Register(probeAddress, conn.LocalAddr().(*net.UDPAddr).AddrPort())
	p := &prober{conn: conn, answer: make(map[netip.AddrPort]bool)}
	p.done.Go(p.receive)
	return p, nil
}

func (p *prober) close() {
	_ = p.conn.Close()
	p.done.Wait()
}

// key names the probe of one service through one instance.
func probeKey(service netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(service.Addr(), port)
}

func (p *prober) receive() {
	codec := wire.NewCodec()
	buf := make([]byte, probePacket)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if in, ok := codec.Read(buf[:n]); ok && in.Has(wire.SYN|wire.ACK) {
			p.mu.Lock()
			p.answer[probeKey(in.From, in.To.Port())] = true
			p.mu.Unlock()
		}
	}
}

func (p *prober) answered(key netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answer[key]
}

// wait returns when the service is answered through each of the instances, or
// with an error that names one through which it is not.
func (p *prober) wait(ctx context.Context, service netip.AddrPort, through []fabric.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	codec := wire.NewCodec()
	for {
		silent := p.send(codec, service, through)
		if silent == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("service %s is not in force at instance %s after %s", service, silent, probeTimeout)
		case <-ticker.C:
		}
	}
}

// send probes once through each instance that has not answered yet, and names
// one of them.
func (p *prober) send(codec *wire.Codec, service netip.AddrPort, through []fabric.Instance) string {
	silent := ""
	for i, instance := range through {
		port := uint16(firstProbe + i)
		if p.answered(probeKey(service, port)) {
			continue
		}
		silent = instance.ID
		data, err := codec.Build(wire.Segment{
			From: netip.AddrPortFrom(probeAddress, port), To: service, Protocol: config.TCP, Flags: wire.SYN,
		})
		if err == nil {
			_, _ = p.conn.WriteToUDPAddrPort(data, instance.Packets)
		}
	}
	return silent
}

// startCheck starts the backend server of a probed service.
func startCheck(name string, service netip.AddrPort, f *fabric.Fabric) (*backend.Server, error) {
	return backend.Start(backend.Config{Name: name, Service: service, Protocol: config.TCP, Callers: f.Caller})
}
