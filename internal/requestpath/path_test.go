package requestpath_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/client"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/standin/memnet"
	"balsamfork/internal/standin/worker"
)

// testFleet is a small fleet in one data centre with an in-memory network, run in
// fake time.
type testFleet struct {
	net     memnet.Net
	mesh    memnet.Mesh
	paths   []*requestpath.Path
	workers []*worker.Worker
	cfg     *config.Config
	view    *fleet.View
}

const slots = 3

func newTestFleet(instances, servers int) *testFleet {
	s := &testFleet{view: &fleet.View{Epoch: 1}}
	s.cfg = &config.Config{Version: 1, DataCentres: []config.DataCentre{{Name: "a", Region: "r"}}}
	sv := config.Service{Name: "orders", Slots: slots, Ramp: config.Ramp{Start: 0.1, Duration: 4 * time.Second}}
	for i := range servers {
		addr := fmt.Sprintf("10.0.1.%d:9", i+1)
		o := worker.Options{Name: addr, Slots: slots, Time: 20 * time.Millisecond, ColdFactor: 20, Delay: 50 * time.Millisecond}
		s.workers = append(s.workers, worker.Serve(s.net.Listen(addr), o))
		sv.Servers = append(sv.Servers, config.Server{
			Number: config.Number(i + 1), Name: addr, DataCentre: "a", State: config.Active,
			Weight: 1, Requests: netip.MustParseAddrPort(addr), Joined: 1,
		})
	}
	s.cfg.Services = []config.Service{sv}
	for i := range instances {
		s.add(i, 1)
	}
	for i := range instances {
		s.start(i)
	}
	return s
}

// add adds an instance to the view.
func (s *testFleet) add(i int, incarnation uint64) {
	in := fleet.Instance{ID: fleet.ID(fmt.Sprint("i", i)), DataCentre: "a", Region: "r", State: fleet.Alive, Incarnation: incarnation}
	in.Control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)
	s.view.Instances = append(s.view.Instances, in)
}

// start starts an instance that is in the view.
func (s *testFleet) start(i int) {
	in := s.view.Instances[i]
	o := requestpath.Options{Self: in.ID, Incarnation: in.Incarnation, DataCentre: "a", Region: "r", Dial: s.dial, DialInstance: s.connect}
	l := s.mesh.Link(in.ID)
	p := requestpath.New(o, l, l, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
	p.SetConfig(s.cfg)
	p.SetView(s.view)
	p.Serve(s.net.Listen(address(i)))
	s.paths = append(s.paths, p)
}

// startJoining starts one more instance, of which the others do not learn.
func (s *testFleet) startJoining(incarnation uint64) {
	v := *s.view
	v.Epoch++
	v.Self = fleet.ID(fmt.Sprint("i", len(s.paths)))
	v.Instances = slices.Clone(v.Instances)
	s.view = &v
	s.add(len(s.paths), incarnation)
	s.start(len(s.paths))
}

// join starts one more instance. The others learn of it 500 ms later.
func (s *testFleet) join(incarnation uint64) {
	s.startJoining(incarnation)
	time.Sleep(500 * time.Millisecond)
	for _, p := range s.paths[:len(s.paths)-1] {
		p.SetView(s.view)
	}
}

// connect connects to the control address of an instance.
func (s *testFleet) connect(ctx context.Context, address string) (net.Conn, error) {
	ip := netip.MustParseAddrPort(address).Addr().As4()
	return nil, s.mesh.Connect(ctx, fleet.ID(fmt.Sprint("i", ip[3])))
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:8", i+1) }

func (s *testFleet) dial(ctx context.Context, a string) (net.Conn, error) { return s.net.Dial(ctx, a) }

func (s *testFleet) client(from int) *client.Client {
	var all []string
	for i := range s.paths {
		all = append(all, address((from+i)%len(s.paths)))
	}
	c := client.New(all...)
	c.Dial = s.dial
	return c
}

func (s *testFleet) close() {
	for _, p := range s.paths {
		p.Close()
	}
	for _, w := range s.workers {
		w.Close()
	}
}

func (s *testFleet) ready() bool {
	for _, p := range s.paths {
		if !p.Ready() {
			return false
		}
	}
	return true
}

func TestRequestIsServed(t *testing.T) {
	for _, instances := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newTestFleet(instances, 2)
			defer s.close()
			time.Sleep(12 * time.Second)
			is.True(s.ready())
			for i := range instances {
				c := s.client(i)
				var v worker.Value
				is.NoErr(c.Do(t.Context(), client.Request{Service: "orders", Method: "order.add", Params: []int{i}}, &v))
				is.Equal(string(v.Params), fmt.Sprintf("[%d]", i))
				is.NoErr(c.Close())
			}
		})
	}
}
