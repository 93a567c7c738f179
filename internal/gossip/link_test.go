package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/gossip"
	"balsamfork/internal/keys"
	"balsamfork/internal/link"
	"balsamfork/internal/member"
)

// TestFleetFormsOverLink runs three instances that form a fleet over mutual TLS on
// loopback. The second and third know only the address of the first.
func TestFleetFormsOverLink(t *testing.T) {
	is := is.New(t)
	const count = 3
	var holders []keys.Identity
	for n := range count {
		holders = append(holders, keys.Identity{Role: keys.Instance, Name: fmt.Sprintf("i%d", n)})
	}
	now := time.Now()
	files, err := keys.WriteDevelopmentSet(t.TempDir(), holders, now.Add(-time.Hour), now.Add(time.Hour))
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var seeds []fleet.Instance
	formed := make(chan struct{}, count)
	done := make(chan struct{}, count)
	for n, h := range holders {
		k, err := keys.Load(files[h])
		is.NoErr(err)
		var g *gossip.Gossip
		resolve := func(id fleet.ID) (netip.AddrPort, bool) { return g.Resolve(id) }
		log := slog.New(slog.DiscardHandler)
		self := fleet.Instance{ID: fleet.ID(h.Name)}
		self.Control = freeAddress(t)
		l, err := link.New(link.Options{Self: self.ID, Listen: self.Control, Keys: k, Resolve: resolve}, log, tally.NoopScope)
		is.NoErr(err)
		g = gossip.New(gossip.Options{Self: self, Params: member.DefaultParams(), Seed: uint64(n)}, l, l, log, tally.NoopScope)
		g.OnView(notifyWhenAllAlive(count, formed))
		is.NoErr(l.Start())
		defer func() { _ = l.Close() }()
		g.Seed(seeds)
		g.SetApplied(1)
		if n == 0 {
			seeds = append(seeds, self)
		}
		go func() {
			g.Run(ctx)
			done <- struct{}{}
		}()
	}
	for range count {
		<-formed
	}
	stop()
	for range count {
		<-done
	}
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// notifyWhenAllAlive returns a callback that sends once to the channel, when all
// instances are alive in a view.
func notifyWhenAllAlive(count int, formed chan<- struct{}) func(*fleet.View) {
	notified := false
	return func(v *fleet.View) {
		alive := 0
		for _, i := range v.Instances {
			if i.State == fleet.Alive {
				alive++
			}
		}
		if alive == count && !notified {
			notified = true
			formed <- struct{}{}
		}
	}
}
