package requestpath_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/client"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/standin/memnet"
	"balsamfork/internal/standin/worker"
)

// mesh links instances in memory.
type mesh struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
	controls map[string]fleet.ID
	dead     map[fleet.ID]bool
}

// connect refuses a connection to an instance that is dead, as its host does, and
// never finishes one to another.
func (m *mesh) connect(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	dead := m.dead[m.controls[address]]
	m.mu.Unlock()
	if dead {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

type link struct {
	*mesh
	self fleet.ID
}

func (l link) Handle(method string, h peer.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers[l.self] == nil {
		l.handlers[l.self] = make(map[string]peer.Handler)
	}
	l.handlers[l.self][method] = h
}

func (l link) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	l.mu.Lock()
	h, dead := l.handlers[to][method], l.dead[to] || l.dead[l.self]
	l.mu.Unlock()
	if dead || h == nil {
		<-ctx.Done()
		return peer.Unreachable.Wrap(ctx.Err())
	}
	answer, err := h(ctx, l.self, raw)
	if err != nil || result == nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (l link) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	return l.Call(ctx, to, method, params, nil)
}

// site is a small fleet in one data centre, in memory and in fake time.
type site struct {
	net     memnet.Net
	mesh    mesh
	paths   []*requestpath.Path
	workers []*worker.Worker
	cfg     *config.Config
	view    *fleet.View
}

const slots = 3

func newSite(instances, servers int) *site {
	s := &site{mesh: mesh{handlers: make(map[fleet.ID]map[string]peer.Handler), controls: make(map[string]fleet.ID), dead: make(map[fleet.ID]bool)}}
	s.view = &fleet.View{Epoch: 1}
	s.cfg = &config.Config{Version: 1, DataCentres: []config.DataCentre{{Name: "a", Region: "r"}}}
	sv := config.Service{Name: "orders", Slots: slots, Ramp: config.Ramp{Start: 0.1, Duration: 4 * time.Second}}
	for i := range servers {
		at := fmt.Sprintf("10.0.1.%d:9", i+1)
		o := worker.Options{Name: at, Slots: slots, Time: 20 * time.Millisecond, ColdFactor: 20, Delay: 50 * time.Millisecond}
		s.workers = append(s.workers, worker.StartOn(s.net.Listen(at), o))
		sv.Servers = append(sv.Servers, config.Server{
			Number: config.Number(i + 1), Name: at, DataCentre: "a", State: config.Active,
			Weight: 1, Requests: netip.MustParseAddrPort(at), Joined: 1,
		})
	}
	s.cfg.Services = []config.Service{sv}
	for i := range instances {
		in := fleet.Instance{ID: fleet.ID(fmt.Sprint("i", i)), DataCentre: "a", Region: "r", State: fleet.Alive, Incarnation: 1}
		in.Control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 1)
		s.mesh.controls[in.Control.String()] = in.ID
		s.view.Instances = append(s.view.Instances, in)
	}
	for i, in := range s.view.Instances {
		o := requestpath.Options{Self: in.ID, Incarnation: 1, DataCentre: "a", Region: "r", Dial: s.dial, DialInstance: s.mesh.connect}
		l := link{mesh: &s.mesh, self: in.ID}
		p := requestpath.New(o, l, l, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
		p.SetConfig(s.cfg)
		p.SetView(s.view)
		p.StartOn(s.net.Listen(address(i)))
		s.paths = append(s.paths, p)
	}
	return s
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:8", i+1) }

func (s *site) dial(ctx context.Context, a string) (net.Conn, error) { return s.net.Dial(ctx, a) }

func (s *site) client(from int) *client.Client {
	var all []string
	for i := range s.paths {
		all = append(all, address((from+i)%len(s.paths)))
	}
	c := client.New(all...)
	c.Dial = s.dial
	return c
}

func (s *site) close() {
	for _, p := range s.paths {
		p.Close()
	}
	for _, w := range s.workers {
		w.Close()
	}
}

func (s *site) ready() bool {
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
			s := newSite(instances, 2)
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
