package flowd

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"balsamfork/internal/catalogue"
	"balsamfork/platform"
)

// roomLog is a log handler that counts the lines on services that are available.
type roomLog struct {
	slog.Handler
	available atomic.Int64
}

func (l *roomLog) Enabled(context.Context, slog.Level) bool { return true }

func (l *roomLog) WithAttrs([]slog.Attr) slog.Handler { return l }

func (l *roomLog) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if r.Message == "Service room has changed." && a.Key == "state" && a.Value.String() == "available" {
			l.available.Add(1)
		}
		return true
	})
	return nil
}

// splitCatalogue returns a route that is split between two services, which have servers in
// data centre a only.
func splitCatalogue() catalogue.Delta {
	to := catalogue.Destination{Address: netip.MustParseAddr("198.18.0.1"), Port: 443}
	shares := []catalogue.Share{{Service: "desk", Weight: 9}, {Service: "sheets", Weight: 1}}
	d := catalogue.Delta{Complete: true, Revision: 9, Records: []catalogue.Record{{
		ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1,
		Configuration: &catalogue.Configuration{Version: 1, Routes: []catalogue.Route{{Destination: to, Shares: shares}}},
	}}}
	for n, service := range []string{"desk", "sheets"} {
		revision := uint64(2 + n)
		d.Records = append(d.Records, catalogue.Record{
			ID: catalogue.ID{Kind: catalogue.KindServer, Name: fmt.Sprint("i-", n)}, Revision: revision, Created: revision,
			Server: &catalogue.Server{Number: revision, Address: netip.MustParseAddrPort("127.0.79.99:9000"), Service: service, DataCentre: "a", Slots: 2},
		})
	}
	return d
}

// TestInstancesShareLoad guards against reports and sums that get lost between the packet
// path and the exchange: without any packet, the two instances of a data centre know its sums,
// and the instance of another one learns them from digests.
func TestInstancesShareLoad(t *testing.T) {
	is := is.New(t)
	var daemons []*Daemon
	logs := []*roomLog{{}, {}, {}}
	network := claimNetwork(t)
	for n, dataCentre := range []string{"a", "a", "b"} {
		address := netip.AddrFrom4([4]byte{127, network, 79, 1 + byte(n)})
		var mirror *catalogue.Mirror
		d, err := newDaemon(platform.Settings{
			Instance: fmt.Sprint("i", n), DataCentre: dataCentre, Address: address, Packets: netip.AddrPortFrom(address, 18172),
			Readiness: netip.AddrPortFrom(address, 18167), FirstPort: 17720, LastPort: 17721, Store: netip.AddrPortFrom(address, 1),
			Seeds: []netip.Addr{netip.AddrFrom4([4]byte{127, network, 79, 1})}, Grace: time.Second, MaxFlowAge: time.Minute,
		}, slog.New(logs[n]), fx.Populate(&mirror))
		is.NoErr(err)
		mirror.Apply(splitCatalogue(), processClock.Now(), 0)
		is.NoErr(d.Start(t.Context()))
		t.Cleanup(func() { _ = d.fx.Stop(context.Background()) })
		daemons = append(daemons, d)
	}
	shared := func() bool {
		for _, d := range daemons {
			d.path.ReachesAnyServer() // the readiness probe
		}
		return len(daemons[0].path.ServiceSums()) == 2 && len(daemons[1].path.ServiceSums()) == 2 && logs[2].available.Load() >= 2
	}
	for began := time.Now(); !shared() && time.Since(began) < 10*time.Second; {
		time.Sleep(20 * time.Millisecond)
	}
	is.True(shared())
}
