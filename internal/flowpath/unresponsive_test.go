package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/suspicion"
)

// TestSilentServerGetsNoNewFlows covers a server that stops responding, as in the
// scenario replace_with_reuse (dark): after two unanswered packets it gets no new
// flows.
func TestSilentServerGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	silent := h.open(1, 0).Backend
	h.offerFlows(10, 130*ms, silent.Name)
	is.Equal(h.unanswered, []string{silent.Name}) // one missing handshake
	is.True(h.peerFailure(silent, 42).Suspected)  // and one reported by a peer
	for port := uint16(1000); port < 1200; port++ {
		is.True(h.open(port, 0).Backend.Name != silent.Name)
	}
}

// peerFailure passes a peer's report of a missing handshake to the decider.
func (h *harness) peerFailure(b *catalogue.Backend, source uint64) suspicion.Finding {
	r := reportOn(b, suspicion.NoHandshake)
	r.Source = source
	h.Observe(h.mirror.Snapshot())
	return h.PeerReport(r, h.now)
}

// offerFlows opens flows for a time; all servers but one answer at once.
func (h *harness) offerFlows(port uint16, span int64, silent string) {
	for end := h.now + span; h.now < end; port++ {
		h.now += 10 * ms
		if v := h.open(port, 0); v.Backend.Name != silent {
			h.send(port, v.Backend.Cookie, 1, 0)
		}
	}
}

// TestLateRetransmissionIsNoEvidence covers retransmissions to a suspected server 1.6 s
// apart: the server may have become reachable between them.
func TestLateRetransmissionIsNoEvidence(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 100)
	h.now += 10 * ms
	for range 2 {
		h.peerFailure(b, 7)
	}
	h.advance(1600 * ms)
	h.send(1, b.Cookie, 1, 100)
	is.Equal(len(h.unanswered), 0)
	h.advance(300 * ms)
	h.send(1, b.Cookie, 1, 100)
	is.Equal(h.unanswered, []string{"s0"})
}

// TestLateFailureDoesNotProlongAVerdict covers an instance without traffic for 1.4 s: it
// records a missing handshake only then, though the server may have become reachable right
// after the opening packet. 4 s later the server must not count as dead any more.
func TestLateFailureDoesNotProlongAVerdict(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	h.awaitResets()
	h.open(1, 0)
	b := h.open(2, 0).Backend
	h.send(2, b.Cookie, 1, 0)
	h.now += 10 * ms
	sent := h.now
	h.open(3, 0)
	for source := range uint64(4) {
		h.peerFailure(b, source)
		h.peerRetransmission(b, source)
	}
	is.True(h.isDead(b, h.now))
	h.backlogged = true
	for range 2 {
		h.now += 1400 * ms / 2
		h.readAt = h.now // the process runs, and gets no packets
	}
	h.send(99, cookie.None, 1, 0)
	h.backlogged = false
	h.now += 50 * ms
	h.send(99, cookie.None, 1, 0)
	for h.now < sent+4000*ms {
		h.now += 50 * ms
		h.readAt = h.now
	}
	is.True(!h.isDead(b, h.now))
}

// TestPeersRefute covers reports of 40 instances that arrived together against
// servers that answered all other flows (kernhaven-orders-grown, trouble-1 with seed
// 33699674635 and scale-1 with seed 157742876114).
func TestPeersRefute(t *testing.T) {
	for _, c := range []struct {
		name string
		sign suspicion.Kind
	}{
		{"by a handshake", suspicion.Handshake},
		{"by data", suspicion.Data},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1, nil)
			h.awaitResets()
			b := h.open(1, 0).Backend
			h.send(1, b.Cookie, 1, 0)
			for source := range uint64(20) {
				h.now += 20 * ms
				h.peerFailure(b, source)
				h.peerRetransmission(b, source)
				if source%3 == 2 {
					h.PeerReport(suspicion.Report{Kind: c.sign, Server: b.Cookie, DataCentre: "a"}, h.now+ms)
				}
				h.now += 2 * ms
				is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward)
			}
		})
	}
}

// TestStartingInstanceResetsNothing covers the start of an instance, when handshakes
// are slow.
func TestStartingInstanceResetsNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	for source := range uint64(4) {
		h.peerFailure(b, source)
		h.peerRetransmission(b, source)
	}
	is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward)
}

// TestRetransmissionCountsOnlyAgainstASuspect covers servers that take long to
// answer.
func TestRetransmissionCountsOnlyAgainstASuspect(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 100)
	h.now += 50 * ms
	h.send(1, b.Cookie, 1, 100)
	is.Equal(len(h.unanswered), 0)
	for range 2 {
		h.peerFailure(b, 7)
	}
	h.now += 50 * ms
	h.send(1, b.Cookie, 1, 100)
	is.Equal(h.unanswered, []string{"s0"})
}

// TestServersThatRefuseFlows covers a data centre whose servers are all down and
// reset flows: callers see the resets, while instances see only that handshakes are
// missing. The flows go to the other data centre.
func TestServersThatRefuseFlows(t *testing.T) {
	is := is.New(t)
	n := 0
	h := newHarness(8, func(s *catalogue.Server) {
		if n++; n > 4 {
			s.DataCentre = "b"
		}
	})
	refused := 0
	for port := uint16(1); port < 1000; port++ {
		h.now += 5 * ms
		v := h.open(port, 0)
		if v.Backend.DataCentre == "b" {
			h.send(port, v.Backend.Cookie, 1, 0)
			continue
		}
		refused++
	}
	// 4 servers with two missing handshakes each, some in progress, and a few trials
	// in 5 s.
	is.True(refused < 60)
}

// TestRecoveredServerGetsFlowsAgain covers a suspicion that ends with a trial flow.
func TestRecoveredServerGetsFlowsAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(3, nil)
	silent := h.open(1, 0).Backend
	h.offerFlows(10, 1500*ms, silent.Name)
	is.True(h.Suspected(silent, h.now))
	h.offerFlows(1000, 5000*ms, "")
	is.True(!h.Suspected(silent, h.now))
	is.Equal(h.refuted[len(h.refuted)-1], silent.Name)
}

// TestResumedInstanceIgnoresOldReports covers 40% of the instances being frozen for
// 5 s: after resuming, each had reports of all the others queued and reset flows of
// servers that were alive (deploy/days/instances-lost on vitols-lb).
func TestResumedInstanceIgnoresOldReports(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	h.now += 5000 * ms
	is.Equal(h.send(1, b.Cookie, 1, 0).Action, Forward)
	for source := range uint64(6) {
		h.peerFailure(b, source)
	}
	is.True(!h.Suspected(b, h.now))
	h.known = h.now // the store has been read since the pause
	h.offerFlows(10, 600*ms, "")
	for source := range uint64(6) {
		h.peerFailure(b, source)
	}
	is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward) // too soon after the pause for a reset
}

// TestStaleOpeningPacketsAreNoEvidence covers the frozen instances of the same
// scenario: opening packets had waited in their sockets, and the callers had already
// gone elsewhere.
func TestStaleOpeningPacketsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	h.backlogged = true
	h.now += 5000 * ms
	for port := uint16(1); port < 40; port++ {
		h.now += ms / 4
		h.known = h.now // the store has been read since the pause
		h.open(port, 0)
	}
	h.backlogged = false
	h.offerFlows(1000, 1000*ms, "")
	is.Equal(len(h.unanswered), 0)
}

// TestPausedInstanceSuspectsNoServer covers a freeze, or a processor that is too slow
// for the packets, as after a total power loss on the smallest machines: the
// handshakes that arrived meanwhile wait to be read, and no server is at fault.
func TestPausedInstanceSuspectsNoServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	opened := map[uint16]*catalogue.Backend{}
	for port := uint16(1); port < 40; port++ {
		h.now += ms
		opened[port] = h.open(port, 0).Backend
	}
	h.now += 4000 * ms
	h.backlogged = true
	for port := uint16(1); port < 40; port++ {
		h.now += ms
		h.known = h.now // the store has been read since the pause
		h.send(port, opened[port].Cookie, 1, 0)
	}
	h.backlogged = false
	h.offerFlows(1000, 1000*ms, "")
	is.Equal(len(h.unanswered), 0)
}

// TestResumedInstanceReadsBeforeItPlacesFlows covers an instance that was stopped for 8 s
// while servers were drained: a new flow waits for a read of the store. If the store
// cannot be read, or the read has been made, it is placed with what is known. An instance
// that only got no packets places it at once, since its catalogue is recent.
func TestResumedInstanceReadsBeforeItPlacesFlows(t *testing.T) {
	is := is.New(t)
	h := newHarness(3, nil)
	h.now += 8000 * ms
	v := h.open(1, 0)
	is.Equal(v.Action, Hold)
	is.Equal(v.Reason, StaleCatalogue)
	arrived := h.now
	h.now += ms
	is.Equal(h.decide(Packet{Flow: flow(1), Kind: Opening, Arrived: arrived}).Reason, Placed) // no newer one to be had
	h.failing = true
	is.Equal(h.open(2, 0).Reason, Placed)
	h.failing = false
	h.known = h.now
	is.Equal(h.open(3, 0).Reason, Placed)

	h.now += 8000 * ms
	h.readAt = h.now // the process runs, and gets no packets
	h.known = h.now - 500*ms
	is.Equal(h.open(4, 0).Reason, Placed)
}

// TestHeldPacketsAreNoEvidence covers instances that were frozen (deploy/days/
// instances-lost --vary --seed 595177173665 on tbo-lb): opening packets had waited in
// their sockets, were held until the store had been read, and their callers had long gone
// elsewhere. The handshakes that do not come are no server's fault.
func TestHeldPacketsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	h.now += 8000 * ms
	arrived := h.now
	for port := uint16(1); port < 40; port++ {
		is.Equal(h.open(port, 0).Action, Hold)
	}
	h.now += 10 * ms
	h.known = h.now
	for port := uint16(1); port < 40; port++ {
		v := h.decide(Packet{Flow: flow(port), Kind: Opening, Arrived: arrived})
		is.Equal(v.Reason, Placed)
		if port%2 == 0 {
			h.decide(Packet{Flow: flow(port), Kind: Established, Cookie: v.Backend.Cookie, Acknowledged: 1, Data: 100, Arrived: arrived})
		}
	}
	h.offerFlows(1000, 2000*ms, "")
	is.Equal(len(h.unanswered)+len(h.stalled), 0)
}

// TestQuietInstanceNoticesMissingHandshakes covers an instance that gets a packet every
// 150 ms: it records handshakes that do not come as a busy one does. It guards against
// packets that are taken to have waited since the one before, whose servers are then not
// expected to answer in time, and against missing handshakes that are forgotten when the
// next packet is the copy of their opening packet, or that count twice.
func TestQuietInstanceNoticesMissingHandshakes(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	h.quiet = true
	h.now += 150 * ms
	silent := h.open(1, 0).Backend
	quiet := func(packets int) {
		for range packets {
			h.now += 150 * ms
			h.send(99, cookie.None, 1, 0)
		}
	}
	quiet(2)
	is.Equal(h.unanswered, []string{silent.Name})
	quiet(1)
	h.quiet, h.backlogged = false, true // two packets arrive together
	another := h.open(1000, 0).Backend
	h.quiet, h.backlogged = true, false
	quiet(2)
	is.Equal(h.unanswered, []string{silent.Name, another.Name})

	h.unanswered = []string{silent.Name}
	for port := uint16(2); len(h.unanswered) < 2; port++ {
		h.now += 100 * ms
		if v := h.open(port, 0); v.Backend == silent {
			h.now += 200 * ms
			is.Equal(h.open(port, 1).Reason, Repeated) // the next packet is its copy
			is.Equal(h.unanswered, []string{silent.Name, silent.Name})
		} else {
			h.send(port, v.Backend.Cookie, 1, 0)
		}
	}
	quiet(2)
	is.Equal(h.unanswered, []string{silent.Name, silent.Name})
}
