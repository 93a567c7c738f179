package app

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/settings"
)

// TestFailedStartClosesSockets takes one address of an instance at a time: the instance
// cannot be built, and leaves no socket open.
func TestFailedStartClosesSockets(t *testing.T) {
	at := func(port uint16) settings.Endpoint {
		return settings.Endpoint{Listen: netip.AddrPortFrom(netip.MustParseAddr("127.0.77.3"), port)}
	}
	s := &settings.Valid{
		Self:    fleet.Instance{ID: "i", DataCentre: "a", Region: "r"},
		Packets: at(18001), Requests: at(18002), Control: at(18003), Admin: at(18004),
		Workers: 1, StoreURL: "http://127.0.77.3:1", DrainTimeout: time.Second,
	}
	listenTCP := func(e settings.Endpoint) (interface{ Close() error }, error) {
		return net.Listen("tcp", e.Listen.String())
	}
	listenUDP := func(e settings.Endpoint) (interface{ Close() error }, error) {
		return net.ListenPacket("udp", e.Listen.String())
	}
	type socket struct {
		open     func(settings.Endpoint) (interface{ Close() error }, error)
		endpoint settings.Endpoint
	}
	all := map[string]socket{
		"packets": {listenUDP, s.Packets}, "requests": {listenTCP, s.Requests}, "control": {listenTCP, s.Control}, "admin": {listenTCP, s.Admin},
	}
	for name, taken := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other, err := taken.open(taken.endpoint)
			is.NoErr(err)
			d, err := New(s, slog.New(slog.DiscardHandler))
			if err == nil {
				err = d.Start(t.Context())
			}
			is.True(Error.Has(err))
			is.NoErr(other.Close())
			for _, o := range all {
				again, err := o.open(o.endpoint)
				is.NoErr(err)
				is.NoErr(again.Close())
			}
		})
	}
}
