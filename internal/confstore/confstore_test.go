package confstore

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	standin "balsamfork/internal/standin/store"
	"balsamfork/internal/store"
	"balsamfork/internal/storeclient"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// document returns services of the given number of backend servers each.
func document(services, servers int) config.Document {
	doc := config.Document{Format: config.DocumentFormat, DataCentres: []config.DataCentreSpec{{Name: "a"}, {Name: "b"}}}
	for i := range services {
		s := config.ServiceDocument{ServiceSpec: config.ServiceSpec{
			Name: fmt.Sprintf("service-%d", i), Protocol: config.TCP, Slots: 4,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443),
		}}
		for j := range servers {
			s.BackendServers = append(s.BackendServers, config.ServerSpec{
				Name: fmt.Sprintf("server-%d", j), DataCentre: doc.DataCentres[j%2].Name, Weight: 100, State: config.Active,
				Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 8), byte(i), byte(j + 1)}), 4754),
			})
		}
		doc.Services = append(doc.Services, s)
	}
	return doc
}

// bed is a stand-in with clients of it.
type bed struct {
	server *standin.Server
	ctx    context.Context
}

func newBed(t *testing.T) *bed {
	return &bed{server: standin.New(), ctx: t.Context()}
}

func (b *bed) client() *storeclient.Client {
	return storeclient.New(storeclient.Options{
		URL: "http://store", Transport: b.server, Fleet: 1, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

func (b *bed) repository() *Repository { return New(b.client()) }

func change(id string, seen config.Version) config.Change {
	return config.Change{ID: id, Seen: seen, Who: "operator " + id, When: time.Now(), HashKey: [16]byte{1}}
}

func drained(t interface{ Fatal(...any) }, doc config.Document, service, server int) config.Document {
	next, err := doc.WithServerState(fmt.Sprintf("service-%d", service), fmt.Sprintf("server-%d", server), config.Draining)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestApplySettleAudit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t)
		r := b.repository()
		doc := document(3, 4)
		one, err := r.Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		is.Equal(one.Version, config.Version(1))
		two, err := r.Apply(b.ctx, drained(t, doc, 1, 0), change("two", 1))
		is.NoErr(err)
		again, err := r.Apply(b.ctx, drained(t, doc, 1, 0), change("two", 1))
		is.NoErr(err)
		is.True(again.Already && again.Version == two.Version)

		settler := NewSettler(r, "instance", time.Now)
		is.NoErr(settler.Rebase(b.ctx, "service-1", 2))
		is.NoErr(settler.Rebase(b.ctx, "service-1", 2)) // repeated: done already
		is.True(config.Conflict.Has(settler.Clear(b.ctx, "service-1", 2)))
		is.NoErr(settler.Clear(b.ctx, "service-1", 3))
		now, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.Equal(now.Version(), config.Version(4))
		is.Equal(len(now.State.Services[1].Past), 0)
		entries, err := r.Audit(b.ctx, 0)
		is.NoErr(err)
		is.Equal(len(entries), 4)
		is.Equal(entries[1].What, "drain service-1/server-0")
	})
}

// TestConflict lets two operators race from the same version.
func TestConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t)
		doc := document(3, 4)
		_, err := b.repository().Apply(b.ctx, doc, change("one", 0))
		is.NoErr(err)
		errs := make([]error, 2)
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() {
				_, errs[i] = b.repository().Apply(b.ctx, drained(t, doc, i, i), change(fmt.Sprint("racer-", i), 1))
			})
		}
		group.Wait()
		is.True((errs[0] == nil) != (errs[1] == nil)) // one wins
		lost := errors.Join(errs...)
		var conflict *ConflictError
		is.True(errors.As(lost, &conflict) && config.Conflict.Has(lost))
		is.True(strings.Contains(lost.Error(), "version 2 by operator racer-"))
		loser, winner := 0, 1
		if errs[0] == nil {
			loser, winner = 1, 0
		}
		is.True(strings.Contains(lost.Error(), fmt.Sprintf(" drain service-%d/", loser)))    // its own
		is.True(strings.Contains(lost.Error(), fmt.Sprintf(" undrain service-%d/", winner))) // what it would undo
	})
}

// TestPausedWriter stops a writer before each write up to the head while others move
// on so far that its values are allocated anew. It must change nothing.
func TestPausedWriter(t *testing.T) {
	for pauseAt := 1; pauseAt <= 3; pauseAt++ {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t)
			r := b.repository()
			doc := document(2, 4)
			_, err := r.Apply(b.ctx, doc, change("one", 0))
			is.NoErr(err)
			paused := &pausing{Store: b.client(), at: pauseAt, resume: make(chan struct{})}
			result := make(chan error, 1)
			go func() {
				_, err := New(paused).Apply(b.ctx, drained(t, doc, 0, 0), change("paused", 1))
				result <- err
			}()
			synctest.Wait()
			for i := range 4 * keepHeads {
				toggled := doc
				if i%2 == 0 {
					toggled = drained(t, doc, 1, 1)
				}
				_, err := r.Apply(b.ctx, toggled, change(fmt.Sprint("other-", i), config.Version(i+1)))
				is.NoErr(err)
			}
			close(paused.resume)
			is.True(config.Conflict.Has(<-result))
			now, err := r.Read(b.ctx, Snapshot{})
			is.NoErr(err)
			is.Equal(now.Version(), config.Version(4*keepHeads+1))
			_, err = r.Audit(b.ctx, 0)
			is.NoErr(err)
		})
	}
}

// pausing stops before its write number at until it may resume.
type pausing struct {
	store.Store
	at     int
	writes int
	resume chan struct{}
}

func (p *pausing) CompareAndSwap(ctx context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	p.writes++
	if p.writes == p.at {
		<-p.resume
	}
	return p.Store.CompareAndSwap(ctx, key, old, data)
}

// TestFaults applies random changes by several writers under every fault of the
// store, alone and in pairs, while a reader follows. Whatever was reported must be so, nothing may be
// applied twice, and no reader may see a version that was not accepted whole.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			doc := document(4, 3)
			if _, err := b.repository().Apply(b.ctx, doc, change("first", 0)); err != nil {
				rt.Fatal(err)
			}
			settled := map[string]config.Version{}
			clients := []*Repository{b.repository(), b.repository()}
			var last Snapshot
			for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
				b.inject(rt)
				r := clients[rapid.IntRange(0, 1).Draw(rt, "client")]
				id := fmt.Sprint("change-", step)
				outcome, err := r.applyOne(b.ctx, rt, id)
				switch {
				case err == nil && outcome.Already && outcome.Diff != nil: // nothing to change
				case err == nil:
					settled[id] = outcome.Version
				case store.Unknown.Has(err):
				default:
					settled[id] = 0
				}
				time.Sleep(time.Second)
				if now, err := clients[0].Read(b.ctx, last); err == nil && now.Version() >= last.Version() {
					if err := verifyState(now); err != nil {
						rt.Fatal(err)
					}
					last = now
				}
			}
			b.heal()
			b.judge(rt, settled)
		})
	})
}

func (r *Repository) applyOne(ctx context.Context, rt *rapid.T, id string) (Outcome, error) {
	now, err := r.Read(ctx, Snapshot{})
	if err != nil {
		return Outcome{}, err
	}
	doc := now.State.Document()
	server := &doc.Services[rapid.IntRange(0, 3).Draw(rt, "service")].BackendServers[rapid.IntRange(0, 2).Draw(rt, "server")]
	server.Weight = rapid.Uint32Range(1, 1000).Draw(rt, "weight")
	return r.Apply(ctx, doc, change(id, now.Version()))
}

func (b *bed) inject(rt *rapid.T) {
	for range rapid.IntRange(0, 2).Draw(rt, "faults") {
		switch rapid.IntRange(0, 4).Draw(rt, "fault") {
		case 0:
			b.server.LoseAnswers(rapid.IntRange(1, 3).Draw(rt, "lost"))
		case 1:
			b.server.AnswerOld(rapid.IntRange(1, 4).Draw(rt, "old"))
		case 2:
			b.server.SetDelay(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay")) * time.Millisecond)
		case 3:
			b.server.SetDown(rapid.Bool().Draw(rt, "down"))
		case 4:
			b.server.LapseLeases()
		}
	}
}

func (b *bed) heal() {
	b.server.LoseAnswers(0)
	b.server.AnswerOld(0)
	b.server.SetDelay(0)
	b.server.SetDown(false)
	time.Sleep(time.Minute)
}

// judge compares what was reported with what the trail holds.
func (b *bed) judge(rt *rapid.T, reported map[string]config.Version) {
	r := b.repository()
	entries, err := r.Audit(b.ctx, 0)
	if err != nil {
		rt.Fatal(err)
	}
	accepted := map[string]config.Version{}
	for _, e := range entries {
		if accepted[e.ChangeID] != 0 {
			rt.Fatalf("change %s was applied twice", e.ChangeID)
		}
		accepted[e.ChangeID] = e.Version
	}
	now, err := r.Read(b.ctx, Snapshot{})
	if err != nil || int(now.Version()) != len(entries) {
		rt.Fatalf("version %d with %d entries: %v", now.Version(), len(entries), err)
	}
	for id, version := range reported {
		if accepted[id] != version {
			rt.Fatalf("change %s was reported as version %d and is version %d", id, version, accepted[id])
		}
	}
}

// TestBoundStoreUse counts what a long run of changes leaves and costs: 290 services
// with 3,300 backend servers, changed one by one.
func TestBoundStoreUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(t)
		r := b.repository()
		doc := document(290, 11)
		_, err := r.Apply(b.ctx, doc, change("first", 0))
		is.NoErr(err)
		known, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		const changes = 40
		reads := 0
		for i := range changes {
			doc = drained(t, doc, i, i%11)
			_, err := r.Apply(b.ctx, doc, change(fmt.Sprint(i), config.Version(i+1)))
			is.NoErr(err)
			before := b.server.Counts().Reads
			known, err = r.Read(b.ctx, known)
			is.NoErr(err)
			reads += b.server.Counts().Reads - before
		}
		is.True(reads <= 3*changes) // the head, the new value, and now and then all anew
		before := b.server.Counts().Reads
		_, err = r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.True(b.server.Counts().Reads-before <= maxValues+5)
		is.True(b.server.Keys() <= 64) // values are allocated again
	})
}
