package confsettle

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/configtest"
	"balsamfork/internal/confstore"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/store"
	"balsamfork/internal/storeclient"
	"balsamfork/platform"
	"balsamfork/platform/platformtest"
)

// network carries calls between settlers; dead instances are unreachable.
type network struct {
	handlers map[fleet.ID]peer.Handler
	dead     map[fleet.ID]bool
}

type testLink struct {
	*network
	id fleet.ID
}

func (l testLink) Handle(_ string, h peer.Handler) { l.handlers[l.id] = h }

func (l testLink) Call(ctx context.Context, to fleet.ID, _ string, params, result any) error {
	if l.dead[to] {
		return peer.Unreachable.New("%s", to)
	}
	data, _ := json.Marshal(params)
	answer, err := l.handlers[to](ctx, l.id, data)
	if err != nil {
		return err
	}
	data, _ = json.Marshal(answer)
	return json.Unmarshal(data, result)
}

func (l testLink) Notify(context.Context, fleet.ID, string, any) error { return nil }

// testBed is a store in which a data centre has just been taken out of all
// services, and the settlers of a fleet.
type testBed struct {
	server   *platformtest.Store
	network  *network
	operator *confstore.Repository
	settlers []*Settler
	view     fleet.View
}

func newTestBed(t *testing.T, services, size int) *testBed {
	is := is.New(t)
	b := &testBed{server: platformtest.NewStore(), network: &network{handlers: map[fleet.ID]peer.Handler{}, dead: map[fleet.ID]bool{}}}
	b.operator = confstore.New(b.client(0, 1))
	doc := configtest.Document(services, 2, "a", "b")
	change := config.Change{ID: "first", When: time.Now(), HashKey: [16]byte{1}}
	_, err := b.operator.Apply(t.Context(), doc, change)
	is.NoErr(err)
	takenOut, err := doc.WithOut("a", true)
	is.NoErr(err)
	_, err = b.operator.Apply(t.Context(), takenOut, config.Change{ID: "takeout", BaseVersion: 1, When: time.Now()})
	is.NoErr(err)
	for i := range size {
		id := fleet.ID(fmt.Sprintf("i-%03d", i))
		b.view.Instances = append(b.view.Instances, fleet.Instance{ID: id, DataCentre: fmt.Sprint("dc", i%7), State: fleet.Alive})
	}
	for i, instance := range b.view.Instances {
		client := b.client(i, size)
		s := New(Options{
			Self: instance.ID, Limits: client, Peers: testLink{b.network, instance.ID},
			Writer: confstore.NewSettlementWriter(confstore.New(client), string(instance.ID), time.Now),
		}, testLink{b.network, instance.ID})
		s.SetView(&fleet.View{Self: instance.ID, Instances: b.view.Instances})
		go s.Run(t.Context())
		b.settlers = append(b.settlers, s)
	}
	return b
}

func (b *testBed) client(i, size int) *storeclient.Client {
	return storeclient.New(storeclient.Options{
		Service: platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: b.server}), FleetSize: size, Random: rand.New(rand.NewPCG(7, uint64(i)))})
}

// TestBoundSettleAll has 290 services settle at once in a fleet of 410, once
// with the chosen writer available, and once with the writer dead and the
// others not knowing for 5 s. All services must settle within the limit.
func TestBoundSettleAll(t *testing.T) {
	for name, limit := range map[string]time.Duration{"whole": 10 * time.Second, "writer dead": 2 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const services = 290
				b := newTestBed(t, services, 410)
				if name == "writer dead" {
					b.network.dead[chooseWriter(&b.view)] = true
					// Membership detects the death after a few seconds.
					time.AfterFunc(5*time.Second, func() {
						updated := append([]fleet.Instance(nil), b.view.Instances...)
						for i := range updated {
							if b.network.dead[updated[i].ID] {
								updated[i].State = fleet.Dead
							}
						}
						for _, s := range b.settlers {
							s.SetView(&fleet.View{Self: s.self, Instances: updated})
						}
					})
				}
				began, before := time.Now(), b.server.Counts()
				done := make(chan error)
				for i := range services {
					go func() {
						var err error
						for range 100 {
							ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
							err = b.settlers[i].Rebase(ctx, fmt.Sprintf("service-%d", i), 2)
							cancel()
							if err == nil {
								break
							}
							time.Sleep(5 * time.Second)
						}
						done <- err
					}()
				}
				for range services {
					is.NoErr(<-done)
				}
				took, after := time.Since(began), b.server.Counts()
				state, err := b.operator.Read(t.Context(), confstore.Snapshot{})
				is.NoErr(err)
				for _, s := range state.State.Services {
					is.Equal(s.Settled, s.Current)
				}
				t.Logf("%s: settled after %v in %d versions, with %d reads and %d writes", name, took,
					state.Version()-2, after.Reads-before.Reads, after.Writes-before.Writes)
				is.True(took <= limit)
			})
		})
	}
}

// TestOutcomes checks that each class of outcome reaches the requesting
// instance.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t, 2, 3)
		var requester *Settler
		for _, s := range b.settlers {
			if s.self != chooseWriter(&b.view) {
				requester = s
			}
		}
		is.True(config.Conflict.Has(requester.Rebase(t.Context(), "service-0", 1)))
		is.NoErr(requester.Rebase(t.Context(), "service-0", 2))
		is.NoErr(requester.Clear(t.Context(), "service-0", 3))
		is.True(store.Unavailable.Has(requester.Clear(t.Context(), "nothing", 3)))
		b.server.SetDown(true)
		is.True(store.Unavailable.Has(requester.Rebase(t.Context(), "service-1", 4)))
		expiring, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(requester.Rebase(expiring, "service-1", 4) != nil)
	})
}
