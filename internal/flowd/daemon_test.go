package flowd

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

// claimNetwork returns the second number of the loopback addresses 127.n.0.0/16 that the test
// may use: no other test run on the machine uses them until it ends.
func claimNetwork(t *testing.T) byte {
	n, release, err := platformtest.ClaimNetwork(230) // soaks begin below
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return n
}

// occupied takes a port of an instance, so that the instance cannot open it.
type occupied struct {
	network string
	port    uint16
}

func (o occupied) open(a netip.Addr) (interface{ Close() error }, error) {
	address := netip.AddrPortFrom(a, o.port).String()
	if o.network == "udp4" {
		return net.ListenPacket(o.network, address)
	}
	return net.Listen(o.network, address)
}

// TestFailedStartClosesSockets takes one port of an instance at a time: the instance
// cannot be built or started, and leaves no socket open.
func TestFailedStartClosesSockets(t *testing.T) {
	const packets, readiness, internal = 18172, 18167, 17720
	a := netip.AddrFrom4([4]byte{127, claimNetwork(t), 77, 1})
	settings := platform.Settings{
		Instance: "i", DataCentre: "a", Address: a, Packets: netip.AddrPortFrom(a, packets), Readiness: netip.AddrPortFrom(a, readiness),
		FirstPort: internal, LastPort: internal + 1, Store: netip.AddrPortFrom(a, 1), Grace: time.Second,
	}
	all := []occupied{{"udp4", internal}, {"tcp4", internal}, {"udp4", packets}, {"tcp4", readiness}, {"tcp4", metricsPort}}
	for _, taken := range all {
		t.Run(taken.network+"/"+netip.AddrPortFrom(a, taken.port).String(), func(t *testing.T) {
			is := is.New(t)
			other, err := taken.open(a)
			is.NoErr(err)
			d, err := New(settings, slog.New(slog.DiscardHandler))
			if err == nil {
				err = d.Start(t.Context())
			}
			is.True(Error.Has(err))
			is.NoErr(other.Close())
			for _, o := range all {
				s, err := o.open(a)
				is.NoErr(err)
				is.NoErr(s.Close())
			}
		})
	}
}

// TestStopEndsInTime stops an instance whose components do not stop: it returns after
// stopTimeout at the latest.
func TestStopEndsInTime(t *testing.T) {
	is := is.New(t)
	a := netip.AddrFrom4([4]byte{127, claimNetwork(t), 77, 2})
	hangs := fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.StopHook(func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}))
	})
	d, err := newDaemon(platform.Settings{
		Instance: "i", DataCentre: "a", Address: a, Packets: netip.AddrPortFrom(a, 18172), Readiness: netip.AddrPortFrom(a, 18167),
		FirstPort: 17720, LastPort: 17721, Store: netip.AddrPortFrom(a, 1), Grace: time.Second,
	}, slog.New(slog.DiscardHandler), hangs)
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	began := time.Now()
	is.True(errors.Is(d.Stop(t.Context()), context.DeadlineExceeded))
	is.True(time.Since(began) < withdrawalDelay+2*stopTimeout)
	conn, err := net.ListenPacket("udp4", netip.AddrPortFrom(a, 18172).String())
	is.NoErr(err) // the sockets are closed all the same
	is.NoErr(conn.Close())
}

// TestHTTPServerClosesWithoutError starts and closes an HTTP server many times, with and
// without time for it to begin to serve: closing it returns no error, and frees the port.
func TestHTTPServerClosesWithoutError(t *testing.T) {
	is := is.New(t)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, claimNetwork(t), 77, 4}), 18167)
	for n := range 1500 {
		s := &httpServer{address: address, server: &http.Server{ReadHeaderTimeout: headerTimeout}}
		is.NoErr(s.start())
		if n%2 == 0 {
			runtime.Gosched()
		}
		is.NoErr(s.Close())
		is.NoErr(s.Close())
	}
}
