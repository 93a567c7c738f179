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
	"balsamfork/internal/flowpath"
	"balsamfork/internal/suspicion"
	"balsamfork/platform"
)

// copyOf returns the n-th copy of an opening packet.
func copyOf(opening []byte, n uint32) []byte {
	b := append([]byte(nil), opening...)
	binary.BigEndian.PutUint32(b[22:], n)
	return b
}

// established returns a packet of an opening packet's flow with a cookie.
func established(opening []byte, cookie uint32) []byte {
	b := append([]byte(nil), opening...)
	binary.BigEndian.PutUint32(b[14:], cookie)
	binary.BigEndian.PutUint32(b[22:], 77)
	b[30] = 4
	return b
}

// TestOpeningPacketIsRepeatedWithTheCookie sends a flow's opening packet and two copies, of
// which the last goes to a second server, and then its first packet with the cookie of that
// server: the first one gets the opening packet again, unchanged but for that cookie.
func TestOpeningPacketIsRepeatedWithTheCookie(t *testing.T) {
	is := is.New(t)
	servers, records := map[uint64]*net.UDPConn{}, []catalogue.Record{{
		ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1, Configuration: &catalogue.Configuration{
			Routes: []catalogue.Route{{
				Destination: catalogue.Destination{Address: netip.MustParseAddr("198.18.0.1"), Port: 443},
				Shares:      []catalogue.Share{{Service: "desk", Weight: 1}},
			}},
		},
	}}
	for n := uint64(7); n <= 8; n++ {
		conn, at := listen(t)
		servers[n] = conn
		records = append(records, catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: string(rune('a' + n))}, Revision: n, Server: &catalogue.Server{
			Number: n, Address: at, Service: "desk", DataCentre: "a", Slots: 1,
		}})
	}
	mirror := catalogue.NewMirror()
	mirror.Apply(catalogue.Delta{Complete: true, Revision: 9, Records: records}, 1, 0)
	var now atomic.Int64
	now.Store(int64(time.Hour))
	caller, _ := listen(t)
	path, err := flowpath.Open(flowpath.Options{
		Codec: platform.Codec{}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: "a", Flows: flowpath.FlowLimits{MaxAge: time.Minute, StabilityWindow: 4 * time.Second},
		CatalogueState: func() flowpath.CatalogueState {
			return flowpath.CatalogueState{Snapshot: mirror.Snapshot(), Known: now.Load(), Since: 1}
		},
		Refresh: func() {}, Report: func(suspicion.Report) {}, RequestContact: func(string) {}, LastResume: func(int64) int64 { return 0 },
		Clock: now.Load, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	is.NoErr(err)
	go func() { _ = path.Run() }()
	defer func() { is.NoErr(path.Close()) }()

	send := func(packet []byte, after time.Duration) {
		now.Add(int64(after))
		_, err := caller.WriteToUDPAddrPort(packet, path.Address())
		is.NoErr(err)
	}
	receive := func(n uint64) []byte {
		buffer := make([]byte, 100)
		size, err := servers[n].Read(buffer)
		is.NoErr(err)
		is.Equal(binary.BigEndian.Uint64(buffer), n)
		return buffer[numberSize:size]
	}
	first := opening(4001, 443)
	send(first, 0)
	held := make(chan uint64, 2)
	for n := range servers {
		go func() {
			if _, err := servers[n].Read(make([]byte, 100)); err == nil {
				held <- n
			}
		}()
	}
	half := <-held
	send(copyOf(first, 1), 200*time.Millisecond)
	receive(half)
	send(copyOf(first, 2), 400*time.Millisecond)
	holder := <-held
	is.True(holder != half)
	c := mirror.Snapshot().Backends("desk")[holder-7].Cookie
	send(established(first, c), 2*time.Millisecond)
	is.Equal(receive(holder)[30], byte(4))
	repeated := receive(half)
	is.Equal(binary.BigEndian.Uint32(repeated[14:]), c)
	binary.BigEndian.PutUint32(repeated[14:], 0)
	is.Equal(repeated, copyOf(first, 2))
}
