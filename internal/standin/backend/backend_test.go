package backend

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/wire"
)

var (
	service = netip.MustParseAddrPort("203.0.113.1:443")
	other   = netip.MustParseAddrPort("203.0.113.2:443")
	inner   = netip.MustParseAddrPort("198.51.100.1:1024")
)

// Over TCP and UDP, a backend server replies to packets of its own flows, resets
// unknown flows, and counts packets to another service without a reply.
func TestRepliesOnlyToOwnFlows(t *testing.T) {
	for _, protocol := range []config.Protocol{config.TCP, config.UDP} {
		is := is.New(t)
		client, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		defer client.Close()
		is.NoErr(client.SetReadDeadline(time.Now().Add(10 * time.Second))) // bounds a failing test
		address := client.LocalAddr().(*net.UDPAddr).AddrPort()
		s, err := Start(Config{
			Name: "one", Service: service, Protocol: protocol,
			CallerSocket: func(a netip.Addr) (netip.AddrPort, bool) { return address, a == inner.Addr() },
		})
		is.NoErr(err)
		defer s.Close()
		codec, buf := wire.NewCodec(), make([]byte, maxPacketBytes)
		send := func(to netip.AddrPort, flags wire.Flag) {
			data, err := codec.Encode(wire.Segment{From: inner, To: to, Protocol: protocol, Flags: flags})
			is.NoErr(err)
			_, err = client.WriteToUDPAddrPort(data, s.PacketAddr())
			is.NoErr(err)
		}
		send(other, wire.SYN) // no reply
		for _, step := range []struct{ sent, reply wire.Flag }{
			{wire.ACK, wire.RST},
			{wire.SYN, wire.SYN | wire.ACK},
			{wire.SYN, wire.SYN | wire.ACK}, // a retransmission
			{wire.ACK, wire.ACK},
			{wire.FIN | wire.ACK, wire.FIN | wire.ACK},
			{wire.ACK, wire.RST},
		} {
			send(service, step.sent)
			n, err := client.Read(buf)
			is.NoErr(err)
			segment, ok := codec.Decode(buf[:n])
			is.True(ok)
			is.Equal(segment.Flags, step.reply)
			is.Equal([]netip.AddrPort{segment.From, segment.To}, []netip.AddrPort{service, inner})
			is.Equal(string(segment.Data), "one")
		}
		c := s.Counts()
		is.Equal([]uint64{c.Packets, c.Opened, uint64(c.Live), c.Unknown, c.WrongService}, []uint64{7, 1, 0, 2, 1})
	}
}

func TestHealthEndpointReturnsConfiguredStatus(t *testing.T) {
	is := is.New(t)
	s, err := Start(Config{Name: "one", Service: service, Protocol: config.TCP})
	is.NoErr(err)
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	for status, want := range map[Status]int{OK: 200, Cold: 200, Draining: 200, Failing: 503} {
		s.SetHealth(Health{Status: status})
		response, err := http.Get(s.HealthURL())
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, want)
	}
}
