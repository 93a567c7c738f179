package flowpath

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/suspicion"
)

// returnWarmup is the warm-up time of the servers.
const returnWarmup = 2 * time.Second

// newReturnHarness returns a harness with n servers that have a warm-up time, of which the
// first one has answered a flow and then become suspected.
func newReturnHarness(n int) (*harness, *catalogue.Backend) {
	h := newHarness(n, startedAt(1000))
	c := *h.mirror.Snapshot().Configuration
	c.Version, c.Services = 2, []catalogue.Service{{Name: "desk", WarmupRate: 4, Warmup: returnWarmup}}
	h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 101, Configuration: &c})
	h.awaitResets()
	h.known = h.now
	b := h.mirror.Snapshot().Backends("desk")[0]
	h.open(1, 0)
	h.send(1, b.Cookie, 1, 0)
	h.now += 500 * ms
	h.peerFailure(b, 7)
	h.peerFailure(b, 8)
	h.advance(2500 * ms)
	return h, b
}

// returnLimit is the limit of the cold server of newReturnHarness, in flows a second.
const returnLimit = 4*1.5 + 5.0

// offerReturned opens a flow every 30 ms for a time, each of which is answered at once, and
// returns when they were placed.
func (h *harness) offerReturned(port uint16, span int64) (placed []int64) {
	for end := h.now + span; h.now < end; port++ {
		h.now += 10 * ms
		if v := h.open(port, 0); v.Action == Forward {
			placed = append(placed, h.now)
			h.now += ms
			h.send(port, v.Backend.Cookie, 1, 0)
		}
		h.now += 20 * ms
	}
	return placed
}

// TestReturnedServerIsColdWithoutTheStore guards against the full load for a server that was
// suspected and answers again while the store can't be read: it may have started again, and
// no entry tells that it is cold. The limit holds over all instances, also those that have
// only heard of the return.
func TestReturnedServerIsColdWithoutTheStore(t *testing.T) {
	const instances = 7
	for _, c := range []struct {
		name string
		// heard tells an instance of the return of a server.
		heard func(h *harness, b *catalogue.Backend)
	}{
		{"own flow", func(h *harness, b *catalogue.Backend) {
			h.open(2, 0)
			h.send(2, b.Cookie, 1, 0)
		}},
		{"a peer's word", func(h *harness, b *catalogue.Backend) { h.PeerReport(reportOn(b, suspicion.Handshake), h.now) }},
		{"an instance that has started since", func(h *harness, b *catalogue.Backend) {
			h.suspicion.Remove(b.Cookie)
			r := reportOn(b, suspicion.Returned)
			r.Age = 400 * time.Millisecond
			h.PeerReport(r, h.now+400*ms)
		}},
		{"suspected for its data", func(h *harness, b *catalogue.Backend) {
			h.PeerReport(reportOn(b, suspicion.Handshake), h.now-int64(returnWarmup)-ms)
			for source := range uint64(2) {
				h.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: source, Server: b.Cookie, DataCentre: "a"}, h.now)
			}
			h.PeerReport(reportOn(b, suspicion.Data), h.now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var all []int64
			for range instances {
				h, b := newReturnHarness(1)
				h.SetInstances(instances, 2)
				h.failing = true
				c.heard(h, b)
				is.True(h.Cold(b, h.now))
				returned := h.now
				all = append(all, h.offerReturned(10, int64(returnWarmup)-50*ms)...)
				h.now = returned + int64(returnWarmup)
				is.True(!h.Cold(b, h.now))
				is.True(len(h.offerReturned(1000, 900*ms)) >= 28) // it is warm at the latest
			}
			is.True(peakRate(all) <= int(math.Floor(returnLimit)))
			is.True(len(all) > 0)
		})
	}
}

// TestReturnedServerIsTakenBackAtOnce covers servers that were only out of reach: one that is
// in the store with the same start as before, and one that serves a flow from before.
func TestReturnedServerIsTakenBackAtOnce(t *testing.T) {
	read := func(h *harness, _ *catalogue.Backend) { h.known = h.now }
	for _, c := range []struct {
		name   string
		outage bool
		shows  func(h *harness, b *catalogue.Backend)
		cold   bool
	}{
		{"by the store", false, read, false},
		{"not by a store that was away, since servers have to register", true, read, true},
		{"by data on an old flow", true, func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 300, 0) }, false},
		{"not by data that may be old", true, func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 300, 100) }, true},
		{"not by a new flow", true, func(h *harness, b *catalogue.Backend) { h.send(2, b.Cookie, 300, 0) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, b := newReturnHarness(1)
			if !c.outage {
				for h.returns.covered < h.now-600*ms {
					h.known += 500 * ms
					h.send(99, cookie.None, 1, 0)
				}
			}
			h.open(2, 0)
			h.send(2, b.Cookie, 1, 0)
			is.True(h.Cold(b, h.now))
			is.Equal(len(h.returned), 1)
			is.Equal(len(h.Returns(h.now)), 1)
			h.now += 10 * ms
			c.shows(h, b)
			h.send(99, cookie.None, 1, 0)
			is.Equal(h.Cold(b, h.now), c.cold)
			is.Equal(len(h.Returns(h.now)) == 1, c.cold) // for instances that start meanwhile
			is.Equal(len(h.Returns(h.now+int64(returnWarmup))), 0)
		})
	}
}

// TestRestartAfterAReturn covers a server that has started again and registers when the store
// is back: what counts then is its entry.
func TestRestartAfterAReturn(t *testing.T) {
	is := is.New(t)
	h, b := newReturnHarness(1)
	h.PeerReport(reportOn(b, suspicion.Handshake), h.now)
	is.True(h.Cold(b, h.now))
	b = h.restart(b, 0)
	h.send(99, cookie.None, 1, 0)
	is.True(!h.Cold(b, h.now))
}

// TestCopyAtAReturnedServer guards against copies of opening packets that a server got no
// first packet of, as it was away: all of them would reach it at once when it returns cold.
func TestCopyAtAReturnedServer(t *testing.T) {
	is := is.New(t)
	h, b := newReturnHarness(1)
	for port := uint16(100); port < 150; port++ {
		h.now += 2 * ms
		h.open(port, 0)
	}
	h.PeerReport(reportOn(b, suspicion.Handshake), h.now)
	h.now += 150 * ms
	forwarded := 0
	for port := uint16(100); port < 150; port++ {
		h.now += 2 * ms
		if h.open(port, 1).Action == Forward {
			forwarded++
		}
	}
	is.True(forwarded <= 1) // the share of one instance
}

// TestAbsenceIsPassedOn covers an instance that starts while a server is suspected and the
// store can't be read: its peers tell it, also after it has got answers from the server.
func TestAbsenceIsPassedOn(t *testing.T) {
	is := is.New(t)
	h, b := newReturnHarness(1)
	h.send(99, cookie.None, 1, 0)
	absent := h.Returns(h.now)
	is.Equal(len(absent), 1)
	is.Equal(absent[0].Kind, suspicion.Absent)
	is.Equal(absent[0].Age, 2500*time.Millisecond)

	newcomer := func() *harness {
		n, _ := newReturnHarness(1)
		n.suspicion.Remove(b.Cookie)
		return n
	}
	n := newcomer()
	n.PeerReport(absent[0], n.now)
	is.True(n.Cold(b, n.now))
	is.True(n.Cold(b, n.now+int64(maxAbsence)-1))
	is.True(!n.Cold(b, n.now+int64(maxAbsence)))
	n.SetInstances(1, 1)
	placed := n.offerReturned(10, 900*ms)
	is.True(len(placed) > 0 && len(placed) <= returnLimit)
	is.Equal(len(n.returned), 1) // with the first answer
	n.now += int64(returnWarmup)
	n.PeerReport(suspicion.Report{Kind: suspicion.Absent, Server: b.Cookie, Age: 4 * time.Second}, n.now)
	is.True(!n.Cold(b, n.now)) // it has returned since

	n = newcomer()
	n.open(2, 0)
	n.send(2, b.Cookie, 1, 0)
	is.True(!n.Cold(b, n.now))
	n.PeerReport(absent[0], n.now+ms)
	is.True(n.Cold(b, n.now+ms))
	is.True(!n.Cold(b, n.now+int64(returnWarmup)))

	n = newcomer()
	n.PeerReport(absent[0], n.now)
	n.known = n.now
	n.send(99, cookie.None, 1, 0)
	is.True(n.Cold(b, n.now)) // servers have to register first
	for range 6 {
		n.now += 500 * ms
		n.known = n.now
		n.send(99, cookie.None, 1, 0)
	}
	is.True(!n.Cold(b, n.now))
	is.Equal(len(n.Returns(n.now)), 0)
}

// TestCopyLeavesAReturnedServer covers a server that was suspected for lost packets only: a
// copy that goes to another one may open a second half of the flow there, as for any other.
func TestCopyLeavesAReturnedServer(t *testing.T) {
	is := is.New(t)
	h, b := newReturnHarness(2)
	other := h.mirror.Snapshot().Backends("desk")[1]
	h.now += 300 * ms // since the trial before
	for port := uint16(100); ; port++ {
		v := h.open(port, 0)
		if v.Backend != b {
			h.send(port, v.Backend.Cookie, 1, 0)
			continue
		}
		h.PeerReport(reportOn(b, suspicion.Handshake), h.now+ms)
		h.now += 200 * ms
		v = h.open(port, 1)
		is.Equal(v.Reason, Moved)
		is.Equal(v.Backend, other)
		is.Equal(h.send(port, other.Cookie, 1, 0).HalfOpen, (*catalogue.Backend)(nil)) // it may be cold
		h.now += int64(returnWarmup)
		is.Equal(h.send(port, b.Cookie, 1, 100).HalfOpen, b)
		return
	}
}
