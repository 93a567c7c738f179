package flowpath

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/selection"
	"balsamfork/internal/suspicion"
)

// startedAt makes servers state when they started, in Unix milliseconds.
func startedAt(at int64) func(*catalogue.Server) {
	return func(s *catalogue.Server) { s.Started, s.Report = at, 1 }
}

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

// openedFlow returns a harness that may reset flows, and a server that states its start and
// has just answered the flow of port 1.
func openedFlow() (*harness, *catalogue.Backend) {
	h := newHarness(1, startedAt(1000))
	h.awaitResets()
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	return h, b
}

// TestVerdictEndsWithRestart guards against a server that counts as dead or suspected for
// failures of an earlier start under its id.
func TestVerdictEndsWithRestart(t *testing.T) {
	is := is.New(t)
	h, b := openedFlow()
	h.declareDead(b)
	is.Equal(h.send(1, b.Cookie, 1, 100).Reason, ServerDead)
	b = h.restart(b, 0)
	is.Equal(h.open(2, 0).Tier, selection.Local)
	h.send(2, b.Cookie, 1, 0)
	is.Equal(h.send(2, b.Cookie, 1, 100).Action, Forward)
	is.True(!h.Suspected(b, h.now))
}

// TestReportOnAnEarlierStart guards against reports of peers that have not learned of a
// restart yet: they say nothing about the server that has started since.
func TestReportOnAnEarlierStart(t *testing.T) {
	is := is.New(t)
	h, b := openedFlow()
	earlier := *b
	b = h.restart(b, 0)
	for source := range uint64(4) {
		is.Equal(h.peerFailure(&earlier, source), suspicion.Finding{})
	}
	is.True(!h.Suspected(b, h.now))
	is.True(h.peerFailure(b, 1) != suspicion.Finding{})
}

// TestRequestsOfAnEarlierStart guards against requests in progress that end with a restart
// of their server: it resets their flows and answers none of them, and they are no failures
// of the server that has started.
func TestRequestsOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, startedAt(1000))
	h.awaitResets()
	var b *catalogue.Backend
	for port := uint16(1); port <= 4; port++ {
		b = h.open(port, 0).Backend
		h.send(port, b.Cookie, 1, 0)
	}
	h.now += 10 * ms
	h.send(1, b.Cookie, 1, 100)
	h.send(2, b.Cookie, 1, 100)
	h.open(5, 0) // its handshake does not come
	b = h.restart(b, 0)
	h.send(3, b.Cookie, 1, 100)
	h.send(4, b.Cookie, 1, 100)
	is.Equal(h.Load(b), 0.0)
	for range 20 {
		h.now += 100 * ms
		h.send(99, 0, 1, 0)
	}
	is.Equal(len(h.stalled), 0)
	is.Equal(len(h.unanswered), 0)
	is.Equal(h.Load(b), 0.0)
	is.True(!h.Suspected(b, h.now))
}

// TestAcknowledgementOfAnEarlierStart guards against a caller's acknowledgement of data
// from before a restart that counts as a sign of life of the server that has started.
func TestAcknowledgementOfAnEarlierStart(t *testing.T) {
	is := is.New(t)
	h, b := openedFlow()
	h.now += 10 * ms
	b = h.restart(b, 0)
	h.peerFailure(b, 1)
	h.now += ms
	h.send(1, b.Cookie, 2, 0)
	is.Equal(len(h.refuted), 0)
}

// TestCopyAfterRestart guards against copies of an opening packet that a server gets as new
// flows once it has started again: the start that got the first packet cannot answer them.
func TestCopyAfterRestart(t *testing.T) {
	for name, answered := range map[string]bool{"the first packet was not answered": false, "the flow had opened": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2, startedAt(1000))
			h.awaitResets()
			b := h.open(1, 0).Backend
			if answered {
				h.send(1, b.Cookie, 1, 0)
			}
			h.now += 200 * ms
			restarted := h.restart(b, 2*time.Second)
			h.Observe(h.mirror.Snapshot())
			h.PeerReport(reportOn(restarted, suspicion.Handshake), h.now)
			v := h.open(1, 1)
			is.True(v.Backend == nil || v.Backend.Name != b.Name)
			is.Equal(v.Action == Drop, answered)
		})
	}
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
