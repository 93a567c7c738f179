package handover

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/placement"
)

// TestBoundPollsOfOneService counts the polls of a service that stays unsettled for
// an hour: the first after 2 s, then at growing intervals, and again after 2 s once
// the service changes.
func TestBoundPollsOfOneService(t *testing.T) {
	is := is.New(t)
	sc := newSchedule()
	s := &config.Service{Name: "orders", Current: config.Set{{Number: 1, Weight: 1}}}
	start := time.Unix(0, 0)
	polls, last := 0, time.Duration(0)
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		if sc.due(start.Add(at), s) {
			sc.polled(start.Add(at), s.Name)
			polls++
			is.True(at-last <= 2*maxPollInterval) // the interval stays bounded
			last = at
		}
	}
	is.True(polls >= 30) // at most maxPollInterval and its jitter apart
	is.True(polls <= 150)

	s.Past = []config.Set{s.Current}
	now := start.Add(time.Hour)
	is.True(!sc.due(now, s))
	is.True(sc.due(now.Add(minPollInterval), s)) // a change resets the backoff
	sc.retain(nil)
	is.Equal(len(sc.services), 0)
}

// stepRecorder is a Settler that records the services of its steps.
type stepRecorder struct{ services []string }

func (r *stepRecorder) Rebase(_ context.Context, service string, _ config.Version) error {
	r.services = append(r.services, service)
	return nil
}

func (r *stepRecorder) Clear(ctx context.Context, service string, seen config.Version) error {
	return r.Rebase(ctx, service, seen)
}

// TestStepDoesNotDelayOtherServices makes two services due at once, both of which can
// take a step: each takes one in one of two rounds, and a service that is settled leaves
// no state behind.
func TestStepDoesNotDelayOtherServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tf := newTestFleet(1)
		second := tf.config.Services[0]
		second.Name, second.Address = "sheets", netip.MustParseAddrPort("192.0.2.2:443")
		tf.config.Services = append(tf.config.Services, second)
		tf.distribute()
		steps := &stepRecorder{}
		l := fakeLink{&network{}, "i0"}
		c := NewCoordinator("i0", tf.engines["i0"], l, tf, steps, tally.NoopScope, slog.New(slog.DiscardHandler))
		for range 10 { // the engine learns that no flow is left after the idle limit
			time.Sleep(time.Minute)
			tf.engines["i0"].Tick(time.Now().UnixNano())
		}
		is.Equal(len(c.due(tf.config, tf.view)), 0)
		time.Sleep(2 * minPollInterval)
		c.pollServices(t.Context())
		c.pollServices(t.Context())
		is.Equal(steps.services, []string{"feeds", "sheets"})
		c.logWait("gone", placement.WaitReason(1))
		tf.config = &config.Config{Version: 9}
		c.pollServices(t.Context())
		is.Equal(len(c.loggedWaits)+len(c.schedule.services), 0)
	})
}
