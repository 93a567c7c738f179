package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// peerRetransmission passes a peer's report of data that was sent again to the decider.
func (h *harness) peerRetransmission(b *catalogue.Backend, source uint64) {
	r := reportOn(b, suspicion.NoAcknowledgement)
	r.Source = source
	h.Observe(h.mirror.Snapshot())
	h.PeerReport(r, h.now)
}

// declareDead passes on reports of four instances that a server, which has just answered,
// does not answer any more.
func (h *harness) declareDead(b *catalogue.Backend) {
	h.now += 10 * ms
	for source := range uint64(4) {
		h.peerFailure(b, source)
		h.peerRetransmission(b, source)
	}
}

// TestOpenFlowsOfADeadServer covers long flows whose server has stopped responding:
// they are reset as soon as several instances report it, so that the callers
// reconnect.
func TestOpenFlowsOfADeadServer(t *testing.T) {
	for _, c := range []struct {
		name       string
		dataCentre string
		source     uint64
		want       Action
	}{
		{"reported by two instances", "a", 7, Reset},
		{"reported by one instance only", "a", 0, Forward},
		{"in another data centre", "b", 7, Forward},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1, func(s *catalogue.Server) { s.DataCentre = c.dataCentre })
			h.awaitResets()
			b := h.open(1, 0).Backend
			h.send(1, b.Cookie, 1, 0)
			for range 3 {
				h.now += 50 * ms
				h.peerFailure(b, 0)
				h.peerRetransmission(b, 0)
			}
			h.peerRetransmission(b, c.source)
			is.Equal(h.send(1, b.Cookie, 1, 100).Action, c.want)
			is.Equal(h.send(1, b.Cookie, 2, 100).Action, c.want) // a retransmission with an old acknowledgement
			is.Equal(h.send(1, b.Cookie, 3, 0).Action, Forward)  // an answer clears the suspicion
		})
	}
}

// TestFullServerKeepsItsFlows guards against resets of the open flows of a server that is
// full: it answers no opening packet of any instance, and its flows pause meanwhile.
func TestFullServerKeepsItsFlows(t *testing.T) {
	const flows = 30
	is := is.New(t)
	h := newHarness(1, nil)
	h.awaitResets()
	b := h.mirror.Snapshot().Backends("desk")[0]
	for port := range uint16(flows) {
		h.open(port, 0)
		h.send(port, b.Cookie, 1, 0)
	}
	h.advance(1000 * ms)
	for port := uint16(100); port < 140; port++ {
		h.open(port, 0)
		h.peerFailure(b, uint64(port%5))
		h.advance(10 * ms)
	}
	h.advance(600 * ms)
	is.True(h.Suspected(b, h.now))
	for port := range uint16(flows) {
		is.Equal(h.send(port, b.Cookie, 1, 100).Action, Forward)
		if port == 0 {
			h.now += 200 * ms
			is.Equal(h.send(port, b.Cookie, 1, 100).Action, Forward) // the first one was lost
		}
		h.now += 2 * ms
		is.Equal(h.send(port, b.Cookie, 200, 0).Action, Forward)
	}
	is.True(h.Suspected(b, h.now)) // it takes no new flows
}

// TestDeadServerIsFoundByRetransmissions covers a server that stops responding while its
// flows send requests: those that were sent again before it was suspected count as well, and
// are reported once it is.
func TestDeadServerIsFoundByRetransmissions(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	h.awaitResets()
	b := h.mirror.Snapshot().Backends("desk")[0]
	for port := range uint16(3) {
		h.open(port, 0)
		h.send(port, b.Cookie, 1, 0)
	}
	h.advance(100 * ms)
	for range 2 {
		for port := range uint16(3) {
			is.Equal(h.send(port, b.Cookie, 1, 100).Action, Forward)
		}
		h.now += 200 * ms
	}
	is.Equal(len(h.unanswered), 0)
	h.peerFailure(b, 7)
	h.peerFailure(b, 8)
	is.Equal(h.unanswered, []string{"s0", "s0", "s0"})
	h.peerFailure(b, 9)
	is.Equal(len(h.unanswered), 3) // each is reported once
	is.Equal(h.send(0, b.Cookie, 1, 100).Action, Forward)
	h.peerRetransmission(b, 7)
	for port := range uint16(3) {
		is.Equal(h.send(port, b.Cookie, 1, 100).Action, Reset)
	}
}

// TestResetRequestsAreNoEvidence guards against a suspicion that the resets of a dead
// server's flows renew: a request that was reset here never reached the server.
func TestResetRequestsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	h.awaitResets()
	const flows = 8
	for port := range uint16(flows) {
		b := h.open(port, 0).Backend
		h.send(port, b.Cookie, 1, 0)
	}
	b := h.mirror.Snapshot().Backends("desk")[0]
	h.declareDead(b)
	for port := range uint16(flows) {
		is.Equal(h.send(port, b.Cookie, 1, 100).Action, Reset)
	}
	h.advance(2 * int64(dataTimeout))
	h.open(100, 0)
	is.Equal(len(h.stalled), 0)
}

// TestVerdictOnACutOffServerEnds guards against resets of the open flows of a server that
// was cut off for a while: without new failures its flows are forwarded again.
func TestVerdictOnACutOffServerEnds(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	h.awaitResets()
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	h.declareDead(b)
	is.Equal(h.send(1, b.Cookie, 1, 100).Reason, ServerDead)
	h.advance(3500 * ms)
	is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward)
}
