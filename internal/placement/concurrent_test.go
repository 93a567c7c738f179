package placement

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// TestDecisionsGoOnDuringRebuilds decides from several goroutines while
// configurations, views and announcements change and records are exported.
func TestDecisionsGoOnDuringRebuilds(t *testing.T) {
	is := is.New(t)
	s := testService(1, 1, 14)
	e := testEngine(testConfig(s, testService(2, 40, 4)), 1)
	var running sync.WaitGroup
	var wrong, decided atomic.Int64
	stop := make(chan struct{})
	for g := range 4 {
		running.Go(func() {
			for i := g; ; i += 4 {
				select {
				case <-stop:
					return
				default:
				}
				p := flow.Packet{Key: testKey(1+i%2, i%5000), Origin: flow.FromFabric, Flags: flow.Flags(i / 5000 % 2)}
				v := e.Decide(second, &p)
				decided.Add(1)
				if v.Action == flow.Forward && (v.Server >= 40) != (i%2 == 1) {
					wrong.Add(1)
				}
			}
		})
	}
	for version := config.Version(2); version < 60; version++ {
		before := decided.Load()
		c := testConfig(s, testService(2, 40, 4))
		c.Version = version
		c.Services[0].Current = s.Settled[:13-version%3]
		c.Services[0].Past = []config.Set{s.Settled}
		e.SetConfig(int64(version)*second, c)
		e.SetView(int64(version)*second, testView("i00", 1+int(version%3), version))
		e.SetAnnouncements(int64(version)*second, []flow.Announcement{{Server: config.Number(version % 14), Condition: flow.Down, Sequence: uint64(version)}})
		e.Tick(int64(version) * second)
		_, err := e.Export("i01", Request{Digest: e.state.Load().membership.digest, Buckets: []byte{1, 1, 1, 1}})
		is.NoErr(err)
		for decided.Load() == before { // each round sees at least one decision
		}
	}
	close(stop)
	running.Wait()
	is.Equal(wrong.Load(), int64(0))
}
