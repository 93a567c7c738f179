package flowpath

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/cookie"
	"balsamfork/internal/suspicion"
)

// TestOpeningPacketThatWaitedIsDropped guards against an instance that forwards the opening
// packets which waited in its socket while it was paused: the flow was opened through
// another instance meanwhile, and the second server's answer replaced the caller's cookie.
func TestOpeningPacketThatWaitedIsDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, nil)
	h.drainedAt = h.now
	h.backlogged = true
	h.now += 2500 * ms
	for port := uint16(1); port < 20; port++ {
		h.now += ms
		h.known = h.now // the store has been read since the pause
		v := h.open(port, 0)
		is.Equal(v.Action, Drop)
		is.Equal(v.Reason, Delayed)
	}
	h.backlogged = false
	h.now += ms
	is.Equal(h.open(1, 1).Action, Forward) // a copy that has just arrived
	is.Equal(h.open(30, 0).Action, Forward)
}

// TestOpeningPacketsThatAllWaitedHere covers a pause that is too short for the fabric to
// take the instance out of rotation: a flow whose opening packet and copies all waited here
// was not opened elsewhere.
func TestOpeningPacketsThatAllWaitedHere(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  int64
		copies []int
		want   Action
	}{
		{"all", 800 * ms, []int{0, 1, 2}, Forward},
		{"in another order", 800 * ms, []int{1, 2, 0}, Forward},
		{"a copy may have gone elsewhere", 800 * ms, []int{0, 1, 1}, Drop},
		{"the caller has given up", 1600 * ms, []int{0, 1, 2}, Drop},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4, nil)
			h.drainedAt = h.now
			h.backlogged = true
			h.now += c.pause
			h.decide(Packet{Flow: flow(1), Kind: Opening, Sequence: 99}) // of another flow
			var v Verdict
			for n, copies := range c.copies {
				v = h.decide(Packet{Flow: flow(1), Kind: Opening, Sequence: 7, Copy: copies})
				is.True(n == 2 || v.Action == Drop)
			}
			is.Equal(v.Action, c.want)
			h.backlogged = false
			h.decide(Packet{Flow: flow(2), Kind: Opening})
			is.Equal(len(h.waitedOpenings), 0)
		})
	}
}

// TestReadThatWaitedThroughAPause guards against the packets for which a read has waited,
// and that waited themselves while the instance was paused: their handshakes are not expected.
func TestReadThatWaitedThroughAPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, nil)
	h.quiet = true
	h.now += 800 * ms
	h.open(1, 0)
	h.quiet, h.backlogged = false, true // the copies arrived together with it
	h.open(1, 1)
	is.Equal(h.open(1, 2).Action, Forward)
	h.quiet, h.backlogged = true, false
	for range 4 {
		h.now += 150 * ms
		h.send(99, cookie.None, 1, 0)
	}
	is.Equal(len(h.unanswered), 0)
}

// TestHeldOpeningPacketIsDroppedAfterAPause covers an instance that is paused while a packet
// waits for the store.
func TestHeldOpeningPacketIsDroppedAfterAPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, nil)
	arrived := h.now
	h.now += 2500 * ms
	h.known = h.now
	is.Equal(h.decide(Packet{Flow: flow(1), Kind: Opening, Arrived: arrived}).Reason, Delayed)
}

// TestBacklogWithoutAPauseIsForwarded covers an instance that is slow but runs: the fabric
// keeps it in rotation, so the copies of its opening packets wait in its own socket.
func TestBacklogWithoutAPauseIsForwarded(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, nil)
	h.backlogged = true
	for port := uint16(1); port < 100; port++ {
		h.now += 20 * ms
		is.Equal(h.open(port, 0).Action, Forward)
	}
}

// TestPacketsThatWaitedShowNoPresentState guards against packets that waited while the
// instance was paused and count as signs that their servers are alive now.
func TestPacketsThatWaitedShowNoPresentState(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 100)
	h.open(2, 0)
	h.now += 10 * ms
	for range 2 {
		h.peerFailure(b, 7)
		h.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: 7, Server: b.Cookie, DataCentre: "a"}, h.now)
	}
	h.drainedAt = h.now
	h.backlogged = true
	h.now += 1500 * ms
	is.Equal(h.send(1, b.Cookie, 2, 0).Action, Forward)   // data had come
	is.Equal(h.send(1, b.Cookie, 3, 100).Action, Forward) // and again
	is.Equal(h.send(2, b.Cookie, 1, 0).Action, Forward)   // so had a handshake
	is.Equal(len(h.refuted), 0)
	is.True(h.Suspected(b, h.now))
	h.backlogged = false
	h.now += ms
	h.send(1, b.Cookie, 4, 0)
	is.Equal(h.refutedBy, []suspicion.Kind{suspicion.Data})
}

// TestOpeningPacketHeldTooLongIsDropped guards against an opening packet that is forwarded
// after a slow read of the store, when its caller has given up.
func TestOpeningPacketHeldTooLongIsDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(4, nil)
	arrived := h.now
	h.advance(1500 * ms)
	h.known = h.now
	is.Equal(h.decide(Packet{Flow: flow(1), Kind: Opening, Arrived: arrived}).Reason, Placed)
	h.now += ms
	is.Equal(h.decide(Packet{Flow: flow(2), Kind: Opening, Arrived: arrived}).Reason, Delayed)
}

// TestFlowAfterAPauseWaitsForTheCatalogue guards against a server that has started again
// while the instance was paused: it would get its usual flows while cold, until the next
// announcement of the regular reader. If the store cannot be read, the flow is placed.
func TestFlowAfterAPauseWaitsForTheCatalogue(t *testing.T) {
	for _, pause := range []int64{600 * ms, 1000 * ms, 2500 * ms} {
		is := is.New(t)
		h := newHarness(2, startedAt(1000))
		b := h.open(1, 0).Backend
		h.now += pause
		is.Equal(h.open(2, 0).Reason, StaleCatalogue)
		arrived := h.now
		h.now += 8 * ms
		h.known = h.now
		h.restart(b, 2*time.Second)
		v := h.decide(Packet{Flow: flow(2), Kind: Opening, Arrived: arrived})
		is.Equal(v.Action, Forward)
		is.True(v.Backend.Name != b.Name)

		h.now += pause
		h.failing = true
		is.Equal(h.open(3, 0).Action, Forward)
	}
}
