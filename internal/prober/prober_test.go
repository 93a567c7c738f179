package prober_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/health"
	"balsamfork/internal/peer/peertest"
	"balsamfork/internal/placement"
	"balsamfork/internal/prober"
)

// fakeRecords implements Records. Its summaries report flows on another backend
// server until call number clearAtCall.
type fakeRecords struct {
	calls       atomic.Int64
	clearAtCall int64
}

func (r *fakeRecords) Summary(int64, string) (placement.Summary, bool) {
	s := placement.Summary{Complete: true}
	if r.calls.Add(1) < r.clearAtCall {
		s.Away = []placement.DisplacedFlows{{Base: 1, Flows: 3}}
	}
	return s, true
}

// TestRecoveringServerIsReleasedOnceFlowsAreCleared checks that a recovering server
// is announced healthy once no instance has a flow recorded elsewhere that belongs
// on it.
func TestRecoveringServerIsReleasedOnceFlowsAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := new(peertest.Bus).Port("i1")
		records := &fakeRecords{clearAtCall: 8}
		p := prober.New(prober.Options{Self: "i1", Params: health.Default(), Records: records}, link, link,
			slog.New(slog.DiscardHandler), tally.NoopScope)
		announced := make(chan flow.Announcement, 1)
		p.OnAnnounce(func(a flow.Announcement) { announced <- a })
		p.SetConfig(&config.Config{Services: []config.Service{{Name: "desk", Servers: []config.Server{
			{Number: 1, DataCentre: "a", State: config.Active},
		}}}})
		p.SetView(&fleet.View{Instances: []fleet.Instance{{ID: "i1", DataCentre: "a", State: fleet.Alive}}})
		begin := time.Now()
		p.SetAnnouncements([]flow.Announcement{{Server: 1, Condition: flow.Recovering, Sequence: 1, Since: begin.UnixNano()}})
		ctx, stop := context.WithCancel(t.Context())
		go p.Run(ctx)
		is.Equal((<-announced).Condition, flow.Healthy)
		is.Equal(records.calls.Load(), records.clearAtCall)
		// Seven checks found flows, at growing intervals.
		is.True(time.Since(begin) >= 60*time.Second)
		stop()
		synctest.Wait()
	})
}

// shortParams returns parameters with short periods, for a test that uses real
// sockets.
func shortParams() health.Params {
	p := health.Default()
	p.Period, p.FastPeriod, p.Timeout = 60*time.Millisecond, 30*time.Millisecond, 500*time.Millisecond
	p.QueryWait, p.MinDownTime = 10*time.Millisecond, 10*time.Millisecond
	return p
}

func TestProbersAnnounceOverHTTP(t *testing.T) {
	is := is.New(t)
	var broken atomic.Bool
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if broken.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer endpoint.Close()
	servers := []config.Server{
		{Number: 1, DataCentre: "a", State: config.Active, Health: endpoint.URL},
		{Number: 2, DataCentre: "elsewhere", State: config.Active},
	}
	c := &config.Config{Services: []config.Service{{Name: "desk", Servers: servers}}}
	view := &fleet.View{Instances: []fleet.Instance{
		{ID: "i1", DataCentre: "a", State: fleet.Alive},
		{ID: "i2", DataCentre: "a", State: fleet.Alive},
	}}
	bus := &peertest.Bus{}
	announced := make(chan flow.Announcement, 16)
	ctx, stop := context.WithCancel(t.Context())
	var all []*prober.Prober
	var done sync.WaitGroup
	for _, i := range view.Instances {
		link := bus.Port(i.ID)
		all = append(all, prober.New(prober.Options{Self: i.ID, Params: shortParams()}, link, link, slog.New(slog.DiscardHandler), tally.NoopScope))
	}
	for _, p := range all {
		p.OnAnnounce(func(a flow.Announcement) {
			for _, other := range all {
				go other.SetAnnouncements([]flow.Announcement{a})
			}
			announced <- a
		})
		p.SetConfig(c)
		p.SetView(view)
		done.Go(func() { p.Run(ctx) })
	}
	broken.Store(true)
	is.Equal((<-announced).Condition, flow.Down)
	broken.Store(false)
	is.Equal((<-announced).Condition, flow.Cold)
	is.Equal((<-announced).Condition, flow.Recovering)
	for _, p := range all {
		p.Release(1)
	}
	is.Equal((<-announced).Condition, flow.Healthy)
	stop()
	done.Wait()
}
