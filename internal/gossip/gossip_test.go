package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/gossip"
	"balsamfork/internal/member"
	"balsamfork/internal/peer/peertest"
)

type testInstance struct {
	*gossip.Gossip
	id   fleet.ID
	stop context.CancelFunc
	done chan struct{}

	mu        sync.Mutex
	announced []flow.Announcement
	versions  map[fleet.ID]config.Version
}

func startAll(t *testing.T, count int) (*peertest.Bus, []*testInstance) {
	b := &peertest.Bus{}
	var list []fleet.Instance
	for n := range count {
		list = append(list, fleet.Instance{
			ID:      fleet.ID(fmt.Sprintf("i%02d", n)),
			Control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+n)),
		})
	}
	var out []*testInstance
	for n, self := range list {
		p := b.Port(self.ID)
		g := gossip.New(gossip.Options{Self: self, Params: member.DefaultParams(), Seed: uint64(n)}, p, p,
			slog.New(slog.DiscardHandler), tally.NoopScope)
		ctx, stop := context.WithCancel(t.Context())
		r := &testInstance{Gossip: g, id: self.ID, stop: stop, done: make(chan struct{}), versions: map[fleet.ID]config.Version{}}
		g.OnVersion(func(id fleet.ID, v config.Version) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.versions[id] = v
		})
		g.OnAnnouncements(func(a []flow.Announcement) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.announced = append(r.announced, a...)
		})
		g.Seed(list)
		g.SetApplied(1)
		go func() {
			g.Run(ctx)
			close(r.done)
		}()
		out = append(out, r)
	}
	return b, out
}

func states(r *testInstance) map[fleet.State]int {
	out := map[fleet.State]int{}
	for _, i := range r.View().Instances {
		out[i.State]++
	}
	return out
}

func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 18
		b, all := startAll(t, count)
		for _, r := range all {
			<-r.Ready()
			is.True(!r.Alone())
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range all {
			is.Equal(states(r), map[fleet.State]int{fleet.Alive: count})
		}

		all[0].SetApplied(2)
		all[1].Announce(flow.Announcement{Server: 7, Condition: flow.Cold, Sequence: 1})
		time.Sleep(300 * time.Millisecond)
		for _, r := range all {
			i, _ := r.View().Get("i00")
			is.Equal(i.Applied, config.Version(2))
			is.Equal(len(r.Announcements()), 1)
			r.mu.Lock()
			is.Equal(len(r.announced), 1)
			is.True(r.id == "i00" || r.versions["i00"] == 2)
			r.mu.Unlock()
		}

		is.NoErr(all[2].Leave(t.Context()))
		is.Equal(states(all[5]), map[fleet.State]int{fleet.Alive: count - 1, fleet.Leaving: 1})
		all[2].stop()
		<-all[2].done
		b.Remove("i03")
		all[3].stop()
		time.Sleep(1800 * time.Millisecond)
		is.Equal(states(all[5]), map[fleet.State]int{fleet.Alive: count - 2, fleet.Dead: 2})
		for _, r := range all {
			r.stop()
			<-r.done
		}
	})
}

func TestLoneInstanceBecomesReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, all := startAll(t, 1)
		<-all[0].Ready()
		is.True(all[0].Alone())
		time.Sleep(100 * time.Millisecond)
		is.Equal(states(all[0]), map[fleet.State]int{fleet.Alive: 1})
		all[0].stop()
		<-all[0].done
	})
}
