package flowpath_test

import (
	"encoding/binary"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/clock"
	"balsamfork/internal/flowpath"
	"balsamfork/internal/suspicion"
	"balsamfork/platform"
)

// The size of the server number that precedes a packet, and of a packet without data,
// in bytes.
const (
	numberSize = 8
	packetSize = 36
)

func opening(sourcePort, destinationPort uint16) []byte {
	b := make([]byte, packetSize)
	copy(b[2:], []byte{198, 18, 0, 1})
	binary.BigEndian.PutUint16(b[6:], sourcePort)
	binary.BigEndian.PutUint16(b[8:], destinationPort)
	copy(b[10:], []byte{127, 0, 0, 1})
	b[30] = 32
	return b
}

// listen returns a loopback socket and its address.
func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestHeldPacketIsForwardedAfterARead sends an opening packet for a route that is
// missing from the catalogue until it is read again.
func TestHeldPacketIsForwardedAfterARead(t *testing.T) {
	is := is.New(t)
	server, serverAt := listen(t)
	mirror, steady := catalogue.NewMirror(), clock.New()
	var known atomic.Int64
	read := func() {
		mirror.Apply(catalogue.Delta{Complete: true, Revision: 2, Records: []catalogue.Record{
			{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1, Configuration: &catalogue.Configuration{
				Routes: []catalogue.Route{{
					Destination: catalogue.Destination{Address: netip.MustParseAddr("198.18.0.1"), Port: 443},
					Shares:      []catalogue.Share{{Service: "desk", Weight: 1}},
				}},
			}},
			{ID: catalogue.ID{Kind: catalogue.KindServer, Name: "i-7"}, Revision: 2, Server: &catalogue.Server{
				Number: 7, Address: serverAt, Service: "desk", DataCentre: "a", Slots: 1,
			}},
		}}, steady.Now(), 0)
		known.Store(steady.Now())
	}
	caller, _ := listen(t)
	path, err := flowpath.Open(flowpath.Options{
		Codec: platform.Codec{}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: "a", Flows: flowpath.FlowLimits{MaxAge: time.Minute, StabilityWindow: 4 * time.Second},
		CatalogueState: func() flowpath.CatalogueState {
			return flowpath.CatalogueState{Snapshot: mirror.Snapshot(), Known: known.Load(), Since: known.Load()}
		},
		Refresh:        read,
		Report:         func(suspicion.Report) {},
		RequestContact: func(string) {},
		LastResume:     func(int64) int64 { return 0 },
		Clock:          steady.Now,
		Log:            slog.New(slog.DiscardHandler),
		Scope:          tally.NoopScope,
	})
	is.NoErr(err)
	go func() { _ = path.Run() }()
	go path.Release()
	defer func() { is.NoErr(path.Close()) }()

	_, err = caller.WriteToUDPAddrPort([]byte("malformed"), path.Address())
	is.NoErr(err)
	_, err = caller.WriteToUDPAddrPort(opening(4001, 443), path.Address())
	is.NoErr(err)
	buffer := make([]byte, 100)
	n, err := server.Read(buffer)
	is.NoErr(err)
	is.Equal(n, numberSize+packetSize)
	is.Equal(binary.BigEndian.Uint64(buffer), uint64(7))
	is.True(binary.BigEndian.Uint32(buffer[numberSize+14:]) != 0) // the cookie
	is.True(path.ReachesAnyServer())
}
