package flowpath

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
)

// restart registers a server again under its id, with a later start, and returns it.
func (h *harness) restart(b *catalogue.Backend, warmup time.Duration) *catalogue.Backend {
	return h.register(b, b.Started+1000, warmup)
}

// register registers a server with a start and a remaining warm-up time, and returns it.
func (h *harness) register(b *catalogue.Backend, started int64, warmup time.Duration) *catalogue.Backend {
	s := b.Server
	s.Started, s.Report, s.Warmup = started, s.Report+1, warmup
	h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: b.Name}, Revision: h.mirror.Snapshot().Revision + 1, Server: &s})
	return h.mirror.Snapshot().ByCookie(b.Cookie)
}

// TestSecondWarmUp guards against shares of a cold server's limit that are left from an
// earlier warm-up: all instances would use theirs at the same moment. The news of the second
// warm-up reaches all instances within a millisecond.
func TestSecondWarmUp(t *testing.T) {
	const warmup = 3 * time.Second
	for _, c := range []struct {
		name     string
		restarts bool
	}{
		{"after a restart", true},
		{"of the same start, after an evacuation", false},
	} {
		for _, instances := range []int{13, 150, 415} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				var sent []int64
				for range instances {
					h := newHarness(1, func(s *catalogue.Server) { s.Warmup, s.Started, s.Report = warmup, 1000, 1 })
					b := h.mirror.Snapshot().Backends("desk")[0]
					h.warmup.random = rand.New(rand.NewPCG(7, harnessCount.Add(1)))
					h.SetInstances(instances, 4)
					h.offerUntil(h.now+int64(warmup), func() {})
					h.now += int64(time.Minute)
					if c.restarts {
						h.restart(b, warmup)
					} else {
						h.register(b, b.Started, warmup)
					}
					h.offerUntil(h.now+int64(warmup), func() { sent = append(sent, h.now) })
				}
				const limit = 10*1.5 + 5
				is.True(peakRate(sent) <= limit)
				is.True(float64(len(sent)) >= meanRate(limit)*warmup.Seconds()/2)
			})
		}
	}
}

// offerUntil opens a flow every 10 ms before end, and calls onForward for those that are forwarded.
func (h *harness) offerUntil(end int64, onForward func()) {
	for port := uint16(1); h.now+10*ms < end; port++ {
		h.now += 10 * ms
		h.readAt = h.now
		if h.open(port, 0).Action == Forward {
			onForward()
		}
	}
}
