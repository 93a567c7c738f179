package flowpath

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
)

// openMoved sends the opening packet and the copies of a flow whose server does not answer, and
// returns that server and the one that gets the last copy.
func (h *harness) openMoved(port uint16) (first, second *catalogue.Backend) {
	first = h.open(port, 0).Backend
	h.now += 200 * ms
	h.open(port, 1)
	h.now += 400 * ms
	return first, h.open(port, 2).Backend
}

// TestSecondCopyGoesToAnotherServer covers servers that stop responding: the second copy of
// an opening packet goes to another server if the first has not responded since.
func TestSecondCopyGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	first := h.open(1, 0)
	h.now += 200 * ms
	is.Equal(h.open(1, 1).Reason, Repeated)
	h.now += 400 * ms
	second := h.open(1, 2)
	is.Equal(second.Reason, Moved)
	is.Equal(second.Unanswered.Name, first.Backend.Name)
	is.True(second.Backend.Name != first.Backend.Name)
	is.Equal(h.unanswered, []string{first.Backend.Name}) // one account of a flow
}

// TestCopyLeavesASuspectedServer covers a server that stops responding to all: already the
// first copy goes to another server, and the second one to a third.
func TestCopyLeavesASuspectedServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	first := h.open(1, 0)
	h.now += 100 * ms
	h.peerFailure(first.Backend, 7)
	h.peerFailure(first.Backend, 8)
	h.now += 100 * ms
	second := h.open(1, 1)
	is.Equal(second.Reason, Moved)
	is.Equal(second.Unanswered.Name, first.Backend.Name)
	h.now += 400 * ms
	third := h.open(1, 2)
	is.Equal(third.Reason, Moved)
	is.Equal(third.Unanswered.Name, second.Backend.Name)
	is.True(third.Backend.Name != first.Backend.Name)
}

// TestLostAnswerOpensNoSecondHalf guards against a copy that opens half a flow at a second
// server, while the first one goes on repeating an answer that was lost: the caller's cookie
// would change with each answer, and after a change of instances its packets would go to the
// server that does not hold the flow. No other flow has shown that the first server lives.
func TestLostAnswerOpensNoSecondHalf(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	for port := uint16(1); port < 100; port++ {
		first := h.open(port, 0).Backend
		h.now += 200 * ms
		v := h.open(port, 1)
		is.Equal(v.Reason, Repeated)
		is.Equal(v.Backend.Name, first.Name)
		h.now += 2 * ms
		h.send(port, first.Cookie, 1, 0)
	}
}

// TestCopiesReadTogetherStayTogether covers an instance that was stopped for 1.5 s
// and then read an opening packet and both its copies at once: each went to a
// different server (soak seed 138).
func TestCopiesReadTogetherStayTogether(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	first := h.open(1, 0).Backend
	for copies := 1; copies <= 2; copies++ {
		h.now += ms
		v := h.open(1, copies)
		is.Equal(v.Reason, Repeated)
		is.Equal(v.Backend.Name, first.Name)
		is.True(v.Unanswered == nil)
	}
}

// TestCopyOfAnOpenFlowStaysAtItsServer covers a copy that the network delayed.
func TestCopyOfAnOpenFlowStaysAtItsServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(8, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	for port := uint16(100); port < 120; port++ {
		h.open(port, 0) // changes the loads, and with them the choice
	}
	h.now += 210 * ms
	v := h.open(1, 1)
	is.Equal(v.Reason, Repeated)
	is.Equal(v.Backend.Name, b.Name)
	is.Equal(h.send(1, b.Cookie, 1, 100).Reason, Known)
}

// TestCopyStaysAtAServerThatAnswers covers lost packets.
func TestCopyStaysAtAServerThatAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	first := h.open(1, 0)
	h.open(2, 0)
	h.now += 5 * ms
	h.send(2, first.Backend.Cookie, 9, 0) // the handshake of another flow
	h.now += 195 * ms
	v := h.open(1, 1)
	is.Equal(v.Reason, Repeated)
	is.Equal(v.Backend.Name, first.Backend.Name)
	is.True(v.Unanswered == nil)
}

func TestOnlyServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, nil)
	h.open(1, 0)
	h.now += 200 * ms
	v := h.open(1, 1)
	is.Equal(v.Action, Forward)
	is.Equal(v.Reason, Repeated)
}

// TestLateSecondAnswerDoesNotMoveAFlow covers a slow instance: the caller accepted
// the first server's answer, and the second server's answer then replaced its cookie.
func TestLateSecondAnswerDoesNotMoveAFlow(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, nil)
	first, second := h.openMoved(1)
	h.send(1, first.Cookie, 1, 0)
	v := h.send(1, second.Cookie, 1, 100)
	is.Equal(v.Reason, Repaired)
	is.Equal(v.Backend.Name, first.Name)
}

// TestHalfOpenServerIsToldTheCookie guards against a flow whose packets go to the wrong server
// through an instance that did not see it open: a second server, which holds the flow half
// open, goes on repeating its answer, which would change the caller's cookie each time.
func TestHalfOpenServerIsToldTheCookie(t *testing.T) {
	for _, c := range []struct {
		name        string
		opensSecond bool
	}{
		{"the first server's answer is late", false},
		{"the second server answers first", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(5, nil)
			first, second := h.openMoved(1)
			is.True(second != first)
			holder, half := first, second
			if c.opensSecond {
				holder, half = second, first
			}
			v := h.send(1, holder.Cookie, 1, 0)
			is.Equal(v.Backend.Name, holder.Name)
			is.Equal(v.HalfOpen.Name, half.Name)
			is.True(h.send(1, holder.Cookie, 1, 100).HalfOpen == nil)
			h.now += 100 * ms
			v = h.send(1, half.Cookie, 1, 100) // an answer that was on its way
			is.Equal(v.Reason, Repaired)
			is.Equal(v.HalfOpen.Name, half.Name)
			h.apply(record(half.Name, 101, func(s *catalogue.Server) { s.Draining = true }))
			is.True(h.send(1, half.Cookie, 1, 100).HalfOpen == nil)
			h.apply(record(half.Name, 102, func(s *catalogue.Server) { s.Warmup = time.Minute }))
			is.True(h.send(1, half.Cookie, 1, 100).HalfOpen == nil)
		})
	}
}
