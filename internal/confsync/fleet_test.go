package confsync

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/configtest"
	"balsamfork/internal/confstore"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/rendezvous"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "25")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// oneWayDelay is the latency of a message between instances, and of a call to
// the store.
const oneWayDelay = time.Millisecond

// testBed is a fleet that shares one fake store, on an in-memory network.
type testBed struct {
	store *platformtest.Store
	// backup is the copy from which the store is restored.
	backup platformtest.Backup
	ctx    context.Context

	mu        sync.Mutex
	instances []fleet.Instance
	nodes     map[fleet.ID]*node
	// partition holds the number of the side of a network partition that an
	// instance is on; storeCutOff holds the sides that do not reach the store.
	partition   map[fleet.ID]int
	storeCutOff map[int]bool
	bytes       int
	// viewChanges counts the events that change the instances' views.
	viewChanges int
	// heartbeatInterval is the time between the heartbeats of an instance.
	heartbeatInterval time.Duration
}

// node is one instance, from its start until it is stopped.
type node struct {
	id      fleet.ID
	testBed *testBed
	sync    *Syncer
	stop    context.CancelFunc

	handlers  map[string]peer.Handler
	mu        sync.Mutex
	adopted   []config.Version
	adoptedAt map[config.Version]time.Time
}

func (n *node) Handle(method string, h peer.Handler) { n.handlers[method] = h }

func newTestBed(t *testing.T, dataCentres, perDataCentre int) *testBed {
	b := &testBed{store: platformtest.NewStore(), ctx: t.Context(), nodes: map[fleet.ID]*node{}, partition: map[fleet.ID]int{}, storeCutOff: map[int]bool{}, heartbeatInterval: time.Second}
	for d := range dataCentres {
		for i := range perDataCentre {
			b.instances = append(b.instances, fleet.Instance{
				ID: fleet.ID(fmt.Sprintf("dc%d-%02d", d, i)), DataCentre: fmt.Sprint("dc", d), State: fleet.Alive})
		}
	}
	return b
}

// start starts an instance without a configuration.
func (b *testBed) start(id fleet.ID) *node {
	ctx, stop := context.WithCancel(b.ctx)
	n := &node{id: id, testBed: b, stop: stop, handlers: map[string]peer.Handler{}, adoptedAt: map[config.Version]time.Time{}}
	random := rand.New(rand.NewPCG(1, rendezvous.KeyOf(string(id))))
	client := storeclient.New(storeclient.Options{Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: storeTransport{b, id}}), FleetSize: len(b.instances), Random: random})
	n.sync = New(Options{
		Self: id, Store: confstore.New(client), Limits: client, Peers: n, Random: rand.New(rand.NewPCG(2, rendezvous.KeyOf(string(id)))),
	}, n)
	n.sync.OnChange(func(c *config.Config) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.adopted = append(n.adopted, c.Version)
		n.adoptedAt[c.Version] = time.Now()
	})
	b.mu.Lock()
	b.nodes[id] = n
	b.viewChanges++
	b.mu.Unlock()
	go n.sync.Run(ctx)
	go n.sendHeartbeats(ctx)
	return n
}

// sendHeartbeats stands in for membership: it sets the view and sends the
// versions that heartbeats carry.
func (n *node) sendHeartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, rendezvous.KeyOf(string(n.id))))
	view, seen := &fleet.View{}, 0
	for ctx.Err() == nil {
		if count := n.testBed.viewChangeCount(); count != seen {
			view, seen = n.testBed.viewOf(n.id), count
			n.sync.SetView(view)
		}
		for range 2 {
			to := view.Instances[random.IntN(len(view.Instances))]
			if state := n.sync.State(); state != nil && to.ID != n.id && to.Reachable() {
				_ = n.Notify(ctx, to.ID, MethodVersion, versionParams{state.Version})
			}
		}
		sleep(ctx, n.testBed.heartbeatInterval, nil)
	}
}

func (b *testBed) viewChangeCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.viewChanges
}

func (b *testBed) viewOf(id fleet.ID) *fleet.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := &fleet.View{Self: id}
	for _, instance := range b.instances {
		if b.nodes[instance.ID] == nil || b.partition[instance.ID] != b.partition[id] {
			instance.State = fleet.Dead
		}
		view.Instances = append(view.Instances, instance)
	}
	return view
}

func (b *testBed) startAll() {
	for _, instance := range b.instances {
		b.start(instance.ID)
	}
}

func (b *testBed) kill(id fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.nodes[id]; n != nil {
		n.stop()
		delete(b.nodes, id)
		b.viewChanges++
	}
}

func (b *testBed) stopAll() {
	for _, instance := range b.instances {
		b.kill(instance.ID)
	}
}

// Call delivers one call over the test network, encoded as JSON.
func (n *node) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	target, err := n.testBed.deliver(ctx, n.id, to, len(data))
	if err != nil {
		return err
	}
	answer, err := target.handlers[method](ctx, n.id, data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(answer); err != nil {
		return err
	}
	if _, err := n.testBed.deliver(ctx, to, n.id, len(data)); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

func (n *node) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	return n.Call(ctx, to, method, params, nil)
}

func (b *testBed) deliver(ctx context.Context, from, to fleet.ID, bytes int) (*node, error) {
	sleep(ctx, oneWayDelay, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes += bytes
	if target := b.nodes[to]; target != nil && b.partition[from] == b.partition[to] && ctx.Err() == nil {
		return target, nil
	}
	return nil, peer.Unreachable.New("%s", to)
}

// bytesDuring returns the number of bytes that instances send one another in
// the next d.
func (b *testBed) bytesDuring(d time.Duration) int {
	b.mu.Lock()
	before := b.bytes
	b.mu.Unlock()
	time.Sleep(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes - before
}

// operator returns a repository whose calls bypass the test network, so that no
// partition stops them.
func (b *testBed) operator() *confstore.Repository {
	return confstore.New(storeclient.New(storeclient.Options{
		Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: b.store}), FleetSize: 1, Random: rand.New(rand.NewPCG(4, 4))}))
}

// apply changes one weight and returns the resulting version.
func (b *testBed) apply(r *confstore.Repository, step int) (config.Version, error) {
	current, err := r.Read(b.ctx, confstore.Snapshot{})
	if err != nil {
		return 0, err
	}
	doc := configtest.Document(4, 11, "dc0")
	if current.State != nil {
		doc = current.State.Document()
	}
	doc.Services[step%len(doc.Services)].BackendServers[0].Weight = uint32(step%900 + 1)
	change := config.Change{ID: fmt.Sprint("step-", step), BaseVersion: current.Version(), Who: "operator", When: time.Now(), HashKey: [16]byte{1}}
	outcome, err := r.Apply(b.ctx, doc, change)
	return outcome.Version, err
}

// lowest returns the lowest version in force, and the number of instances that
// have it.
func (b *testBed) lowest() (config.Version, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	low, count := config.Version(1<<60), 0
	for _, n := range b.nodes {
		switch v := n.sync.holder.version(); {
		case v < low:
			low, count = v, 1
		case v == low:
			count++
		}
	}
	return low, count
}
