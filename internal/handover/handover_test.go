package handover

import (
	"context"
	"encoding/json"
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
	"balsamfork/internal/peer"
	"balsamfork/internal/placement"
	"balsamfork/internal/records"
)

// network is an in-memory control network; calls to an instance in down fail.
type network struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
	down     map[fleet.ID]bool
}

type fakeLink struct {
	network *network
	self    fleet.ID
}

func (l fakeLink) Handle(method string, h peer.Handler) {
	if l.network.handlers[l.self] == nil {
		l.network.handlers[l.self] = map[string]peer.Handler{}
	}
	l.network.handlers[l.self][method] = h
}

func (l fakeLink) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	l.network.mu.Lock()
	h := l.network.handlers[to][method]
	down := l.network.down[to]
	l.network.mu.Unlock()
	if h == nil || down {
		return peer.Unreachable.New("instance %s", to)
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := h(ctx, l.self, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (l fakeLink) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	return l.Call(ctx, to, method, params, &struct{}{})
}

// testFleet holds the engines of a test and the configuration and view that they
// share.
type testFleet struct {
	mu      sync.Mutex
	config  *config.Config
	view    *fleet.View
	engines map[fleet.ID]*placement.Engine
	steps   []placement.Step
}

func (tf *testFleet) Config() *config.Config { tf.mu.Lock(); defer tf.mu.Unlock(); return tf.config }
func (tf *testFleet) View() *fleet.View      { tf.mu.Lock(); defer tf.mu.Unlock(); return tf.view }

func (tf *testFleet) Rebase(_ context.Context, _ string, seen config.Version) error {
	return tf.change(placement.Rebase, seen, func(s *config.Service) {
		s.Past, s.Settled = []config.Set{s.Settled}, s.Current
	})
}

func (tf *testFleet) Clear(_ context.Context, _ string, seen config.Version) error {
	return tf.change(placement.Clear, seen, func(s *config.Service) { s.Past = nil })
}

func (tf *testFleet) change(step placement.Step, seen config.Version, edit func(*config.Service)) error {
	tf.mu.Lock()
	next := *tf.config
	if next.Version != seen {
		tf.mu.Unlock()
		return fmt.Errorf("version %d is not %d", seen, next.Version)
	}
	next.Version++
	next.Services = []config.Service{next.Services[0]}
	edit(&next.Services[0])
	tf.config = &next
	tf.steps = append(tf.steps, step)
	tf.mu.Unlock()
	tf.distribute()
	return nil
}

// distribute passes the configuration and the view to all engines.
func (tf *testFleet) distribute() {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	v := *tf.view
	v.Instances = append([]fleet.Instance(nil), v.Instances...)
	for i := range v.Instances {
		v.Instances[i].Applied = tf.config.Version
	}
	tf.view = &v
	now := time.Now().UnixNano()
	for _, e := range tf.engines {
		e.SetConfig(now, tf.config)
		e.SetView(now, tf.view)
	}
}

func newTestFleet(instances int) *testFleet {
	s := config.Service{
		Name: "feeds", Address: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: config.TCP, IdleLimit: 20 * time.Second,
	}
	for n := config.Number(1); n <= 6; n++ {
		s.Servers = append(s.Servers, config.Server{Number: n, State: config.Active, Weight: 1})
		s.Settled = append(s.Settled, config.Member{Number: n, Weight: 1})
	}
	s.Servers[5].State = config.Draining
	s.Current = s.Settled[:5]
	tf := &testFleet{
		config: &config.Config{Version: 1, Services: []config.Service{s}}, view: &fleet.View{},
		engines: map[fleet.ID]*placement.Engine{},
	}
	for i := range instances {
		id := fleet.ID(fmt.Sprint("i", i))
		tf.view.Instances = append(tf.view.Instances, fleet.Instance{ID: id, State: fleet.Alive, Incarnation: 1, DataCentre: fmt.Sprint(i % 3)})
		tf.engines[id] = placement.New(placement.Options{Self: id, Records: records.LimitsFor(10000)})
	}
	return tf
}

func key(i int) flow.Key {
	return flow.Key{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 40000),
		Destination: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: config.TCP,
	}
}

// send relays a packet between instances until it is forwarded or dropped, and
// returns its backend server.
func (tf *testFleet) send(at fleet.ID, p flow.Packet) config.Number {
	for {
		v := tf.engines[at].Decide(time.Now().UnixNano(), &p)
		if v.Action != flow.Relay {
			return v.Server
		}
		at, p.Origin, p.Server = v.Peer, v.As, v.Server
		p.Hops++
	}
}

func TestRecordsMoveAndServicesSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tf := newTestFleet(4)
		all := tf.view
		n := &network{handlers: map[fleet.ID]map[string]peer.Handler{}, down: map[fleet.ID]bool{}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for id, e := range tf.engines {
			l := fakeLink{n, id}
			x := NewExchanger(e, l, l, tally.NoopScope, slog.New(slog.DiscardHandler))
			c := NewCoordinator(id, e, l, tf, tf, tally.NoopScope, slog.New(slog.DiscardHandler))
			running.Go(func() { x.Run(ctx) })
			running.Go(func() { c.Run(ctx) })
		}
		// Three instances place flows; the fourth joins and becomes the owner of some.
		tf.view = &fleet.View{Instances: all.Instances[:3]}
		n.down["i3"] = true
		tf.distribute()
		time.Sleep(5 * time.Second)
		placed := map[int]config.Number{}
		for i := range 500 {
			placed[i] = tf.send(fleet.ID(fmt.Sprint("i", i%3)), flow.Packet{Key: key(i), Flags: flow.Syn})
			is.True(placed[i] != 6)
			tf.send("i0", flow.Packet{Key: key(i)})
		}
		n.mu.Lock()
		n.down["i3"] = false
		n.mu.Unlock()
		tf.mu.Lock()
		tf.view = all
		tf.mu.Unlock()
		tf.distribute()
		time.Sleep(10 * time.Second)
		s, ok := tf.engines["i3"].Summary(time.Now().UnixNano(), "feeds")
		is.True(ok && s.Complete)
		for i := range 500 {
			is.Equal(tf.send("i3", flow.Packet{Key: key(i)}), placed[i])
			tf.send("i3", flow.Packet{Key: key(i), Flags: flow.Fin})
		}
		// No packets for longer than the idle limit: rebase, then clear once the flows are
		// closed.
		time.Sleep(10 * time.Minute)
		is.Equal(tf.steps, []placement.Step{placement.Rebase, placement.Clear})
		cancel()
		running.Wait()
	})
}

func TestSettlingWaitsForEveryInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tf := newTestFleet(3)
		n := &network{handlers: map[fleet.ID]map[string]peer.Handler{}, down: map[fleet.ID]bool{"i1": true}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for id, e := range tf.engines {
			l := fakeLink{n, id}
			x := NewExchanger(e, l, l, tally.NoopScope, slog.New(slog.DiscardHandler))
			c := NewCoordinator(id, e, l, tf, tf, tally.NoopScope, slog.New(slog.DiscardHandler))
			running.Go(func() { x.Run(ctx) })
			running.Go(func() { c.Run(ctx) })
		}
		tf.distribute()
		time.Sleep(10 * time.Minute)
		is.Equal(len(tf.steps), 0)
		cancel()
		running.Wait()
	})
}

func FuzzFetch(f *testing.F) {
	f.Add([]byte(`{"digest":"0","buckets":"AQE=","sums":"AAAAAAAAAAA="}`), []byte(`{"digest":"0","records":"AAAA"}`))
	f.Add([]byte(`{"digest":1}`), []byte(`{}`))
	tf := newTestFleet(2)
	tf.distribute()
	e := tf.engines["i0"]
	own, err := e.Export("i1", placement.Request{})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, request, reply []byte) {
		r, err := parseRequest(request)
		if err != nil {
			if !Invalid.Has(err) {
				t.Fatal(err)
			}
			return
		}
		if _, err := e.Export("i1", r); err != nil && !records.Invalid.Has(err) {
			t.Fatal(err)
		}
		var got placement.Reply
		if json.Unmarshal(reply, &got) != nil {
			return
		}
		r.Digest, got.Digest = own.Digest, own.Digest
		if err := e.Import(1<<60, "i1", r, got); err != nil && !records.Invalid.Has(err) {
			t.Fatal(err)
		}
	})
}
