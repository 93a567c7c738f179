package suspicion

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ms              = int64(time.Millisecond)
	stabilityWindow = 4 * time.Second
)

func TestOneFailureDoesNotMakeAServerSuspected(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	is.True(!s.RecordFailure(Report{Kind: NoHandshake, Server: 1, DataCentre: "a"}, 100*ms).Suspected)
	is.True(!s.Suspected(1, 101*ms))
}

func TestTwoFailuresMakeAServerSuspected(t *testing.T) {
	for _, c := range []struct {
		name      string
		first     Report
		second    Report
		between   int64
		answered  int64
		suspected bool
	}{
		{"own, twice", Report{Kind: NoHandshake, Server: 1}, Report{Kind: NoHandshake, Server: 1}, 200 * ms, 0, true},
		{"own and from a peer", Report{Kind: NoHandshake, Server: 1}, Report{Kind: NoHandshake, Server: 1, Source: 9}, 50 * ms, 0, true},
		{"of two servers", Report{Kind: NoHandshake, Server: 1}, Report{Kind: NoHandshake, Server: 2}, 50 * ms, 0, false},
		{"too far apart", Report{Kind: NoHandshake, Server: 1}, Report{Kind: NoHandshake, Server: 1}, 1600 * ms, 0, false},
		{"an answer between", Report{Kind: NoHandshake, Server: 1}, Report{Kind: NoHandshake, Server: 1}, 200 * ms, 100 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(stabilityWindow)
			start := 1000 * ms
			s.RecordFailure(c.first, start)
			if c.answered != 0 {
				s.RecordHandshake(1, "", start+c.answered)
			}
			is.Equal(s.RecordFailure(c.second, start+c.between).Suspected, c.suspected)
			is.Equal(s.Suspected(c.second.Server, start+c.between), c.suspected)
		})
	}
}

// TestSuspicionDoublesWhileAServerIsSilent covers a server that stays silent: after a
// suspicion ends, one unanswered trial renews it for twice as long.
func TestSuspicionDoublesWhileAServerIsSilent(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	s.RecordFailure(Report{Kind: NoHandshake, Server: 1}, at)
	for _, duration := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion, maxSuspicion} {
		is.True(s.RecordFailure(Report{Kind: NoHandshake, Server: 1}, at).Suspected)
		is.True(s.Suspected(1, at+int64(duration)-1))
		at += int64(duration)
		is.True(!s.Suspected(1, at)) // one trial
		s.RecordTrial(1, at)
		is.True(s.Suspected(1, at+1)) // no second trial at the same time
	}
	is.Equal(s.RecordHandshake(1, "", at+ms), Refutation{Refutes: true, Ended: true})
	is.True(!s.Suspected(1, at+2*ms))
	is.True(!s.RecordFailure(Report{Kind: NoHandshake, Server: 1}, at+3*ms).Suspected) // the count of failures starts again
}

func TestHandshakeEndsASuspicion(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	s.RecordFailure(Report{Kind: NoHandshake, Server: 1}, 1000*ms)
	s.RecordFailure(Report{Kind: NoHandshake, Server: 1}, 1000*ms)
	is.Equal(s.RecordHandshake(1, "a", 1100*ms), Refutation{Refutes: true, Ended: true})
	is.Equal(s.RecordHandshake(1, "a", 1100*ms), Refutation{})
	is.True(!s.Suspected(1, 1101*ms))
}

// TestPartitionedDataCentreIsUnreachable covers a partition between data centres:
// packets to several servers of one data centre are lost, those to another are
// answered.
func TestPartitionedDataCentreIsUnreachable(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	s.RecordHandshake(1, "b", at)
	s.RecordHandshake(2, "b", at)
	for server := uint32(1); server <= 2; server++ {
		s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b"}, at+ms)
		f := s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b"}, at+2*ms)
		is.Equal(f, Finding{Suspected: true, Unreachable: server == 2, Failures: 2, Silent: 2 * time.Millisecond})
	}
	s.RecordHandshake(7, "a", at+3*ms)
	is.True(s.Unreachable("b", at+4*ms))
	is.True(!s.Unreachable("a", at+4*ms))
	is.True(s.Unreachable("b", at+5000*ms)) // until something there answers
	s.RecordContact("b", at+5001*ms)
	is.True(!s.Unreachable("b", at+5002*ms))
	is.True(s.Suspected(1, at+1000*ms)) // a contact does not end the suspicion of a server
}

func TestAnswerOfAnyServerMakesADataCentreReachable(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	for server := range uint32(2) {
		s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b"}, at)
		s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b"}, at)
	}
	is.True(s.Unreachable("b", at+ms))
	s.RecordHandshake(3, "b", at+2*ms)
	is.True(!s.Unreachable("b", at+3*ms))
	is.True(s.Suspected(0, at+3*ms))
}

// suspect makes a server suspected of not answering opening packets.
func suspect(s *Table, server uint32, at int64) {
	for range suspicionThreshold {
		s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b"}, at)
	}
}

// recordRetransmissions records one retransmission through each of several instances.
func recordRetransmissions(s *Table, server uint32, at int64) {
	for source := range uint64(deadThreshold) {
		s.RecordFailure(Report{Kind: NoAcknowledgement, Server: server, DataCentre: "b", Source: source}, at)
	}
}

func TestDead(t *testing.T) {
	for _, c := range []struct {
		name     string
		sources  []uint64
		every    int64
		answered int
		dead     bool
	}{
		{"four retransmissions through two instances", []uint64{0, 0, 0, 5}, 100 * ms, -1, true},
		{"through one instance only", []uint64{0, 0, 0, 0, 0, 0}, 100 * ms, -1, false},
		{"three retransmissions", []uint64{0, 5, 6}, 100 * ms, -1, false},
		{"an answer between", []uint64{0, 5, 0, 5}, 100 * ms, 1, false},
		{"too far apart", []uint64{0, 5, 0, 5}, 1400 * ms, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(stabilityWindow)
			at := 1000 * ms
			suspect(s, 1, at)
			for i, source := range c.sources {
				s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1, Source: source}, at)
				if i == c.answered {
					s.RecordHandshake(1, "", at+ms)
					suspect(s, 1, at+2*ms)
				}
				at += c.every
			}
			is.Equal(s.Dead(1, at), c.dead)
			s.RecordHandshake(1, "", at)
			is.True(!s.Dead(1, at))
		})
	}
}

// TestServerThatAcceptsNoFlowsIsNotDead guards against resets of the open flows of a server
// that is full: it answers no opening packet, whichever instance sends it, and its open
// flows may be idle.
func TestServerThatAcceptsNoFlowsIsNotDead(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	for source := range uint64(40) {
		s.RecordFailure(Report{Kind: NoHandshake, Server: 1, Source: source}, at)
		at += 10 * ms
		is.True(!s.Dead(1, at))
	}
	is.True(s.Suspected(1, at))
	for source := range uint64(deadThreshold - 1) { // data may be lost
		s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1, Source: source}, at)
	}
	is.True(!s.Dead(1, at))
	s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1, Source: deadThreshold}, at)
	is.True(s.Dead(1, at))
}

// TestRetransmissionsBeforeASuspicion covers data that was sent again before the server was
// suspected: it counts towards a verdict, and against no server that accepts flows.
func TestRetransmissionsBeforeASuspicion(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	for range deadThreshold {
		s.RecordRetransmission(1, "b", at)
	}
	is.True(!s.Suspected(1, at) && !s.Dead(1, at))
	suspect(s, 1, at+ms)
	is.True(!s.Dead(1, at+ms)) // seen by one instance only
	is.Equal(s.TakeRetransmissions(1, at+ms), slices.Repeat([]int64{at}, deadThreshold))
	is.Equal(len(s.TakeRetransmissions(1, at+ms)), 0) // each once
	s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1, Source: 7}, at+ms)
	is.True(s.Dead(1, at+ms))
	is.Equal(s.RecordData(1, "b", at+2*ms), Refutation{Refutes: true})
	s.RecordRetransmission(1, "b", at+ms)
	is.Equal(len(s.TakeRetransmissions(1, at+3*ms)), 0) // the server was alive later
}

// TestOldDataRefutesOlderFailures covers an acknowledgement that a caller may have sent before
// through another instance: the server was alive after the flow's previous packet.
func TestOldDataRefutesOlderFailures(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	suspect(s, 1, at)
	recordRetransmissions(s, 1, at+100*ms)
	is.True(s.Dead(1, at+400*ms))
	is.Equal(s.RecordPossibleData(1, "b", at+99*ms, at+400*ms), Refutation{})
	is.True(s.Dead(1, at+400*ms))
	is.Equal(s.RecordPossibleData(1, "b", at+100*ms, at+400*ms), Refutation{Refutes: true})
	is.True(!s.Dead(1, at+400*ms))
}

// TestDeadEnds guards against a server that counts as dead without end after a network
// partition, since nobody sends it anything that it could answer. Each further failure
// extends the verdict.
func TestDeadEnds(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	suspect(s, 1, at)
	recordRetransmissions(s, 1, at)
	is.True(s.Dead(1, at+int64(s.verdict)))
	is.True(!s.Dead(1, at+int64(s.verdict)+1))
	s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1}, at+2000*ms)
	is.True(s.Dead(1, at+2000*ms+int64(s.verdict)))
	is.True(!s.Dead(1, at+2000*ms+int64(s.verdict)+1))
	s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 1}, at+6000*ms)
	is.True(!s.Dead(1, at+6000*ms)) // a single failure does not renew it
}

// TestVerdictFitsTheWindow guards against a verdict that outlasts the time after which the
// flows of a server that was cut off must hold, and against one that is needlessly short.
func TestVerdictFitsTheWindow(t *testing.T) {
	for _, window := range []time.Duration{500 * time.Millisecond, 4 * time.Second, 6 * time.Second} {
		is := is.New(t)
		s := New(window)
		at := 1000 * ms
		suspect(s, 1, at)
		recordRetransmissions(s, 1, at)
		is.True(s.Dead(1, at))
		is.Equal(s.Dead(1, at+int64(window/2)), window > verdictMargin)
		is.True(!s.Dead(1, at+int64(window)))
	}
}

// TestLateReport covers failures that are recorded long after their packets were forwarded,
// and out of order: they count from the time of their packets.
func TestLateReport(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 5000 * ms
	late := func(source uint64, age time.Duration) Finding {
		s.RecordFailure(Report{Kind: NoAcknowledgement, Server: 2, Source: source, Age: age}, at)
		return s.RecordFailure(Report{Kind: NoHandshake, Server: 1, Source: source, Age: age}, at)
	}
	suspect(s, 2, at-2000*ms)
	s.RecordData(2, "", at-2000*ms)
	s.RecordHandshake(1, "", at-2000*ms)
	is.Equal(late(1, 2*time.Second).Failures, 0) // the server has answered later packets
	is.Equal(late(1, time.Second).Failures, 1)
	is.True(late(1, 1200*time.Millisecond).Suspected)
	late(2, 500*time.Millisecond)
	is.Equal(late(2, 900*time.Millisecond).Failures, deadThreshold)
	is.True(s.Dead(2, at-500*ms+int64(s.verdict)))
	is.True(!s.Dead(2, at-500*ms+int64(s.verdict)+1))
	is.Equal(late(2, 1900*time.Millisecond).Failures, deadThreshold) // newer ones are known
}

// TestDataShowsServerAliveButNotReachable covers a partition: servers on the other side
// send data to callers directly while opening packets don't reach them.
func TestDataShowsServerAliveButNotReachable(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	for server := uint32(1); server <= 2; server++ {
		for source := range uint64(deadThreshold) {
			s.RecordFailure(Report{Kind: NoHandshake, Server: server, DataCentre: "b", Source: source}, at)
		}
		recordRetransmissions(s, server, at)
	}
	is.True(s.Dead(1, at))
	is.True(s.Silent(1, at))
	is.Equal(s.RecordData(1, "b", at+ms), Refutation{Refutes: true})
	is.Equal(s.RecordData(1, "b", at+2*ms), Refutation{}) // nothing is left to refute
	is.True(!s.Dead(1, at+3*ms))
	is.True(s.Dead(2, at+3*ms))
	is.True(s.Suspected(1, at+3*ms))
	is.True(!s.Silent(1, at+3*ms))
	is.True(s.Unreachable("b", at+3*ms))
	is.Equal(s.LastHandshake(1), int64(0))
	is.Equal(s.RecordHandshake(1, "b", at+4*ms), Refutation{Refutes: true, Ended: true})
	is.True(!s.Unreachable("b", at+5*ms))
}

// TestServerThatAcceptsFlowsOnly covers a server that answers opening packets but no
// requests: only data, not handshakes, ends the suspicion.
func TestServerThatAcceptsFlowsOnly(t *testing.T) {
	is := is.New(t)
	s := New(stabilityWindow)
	at := 1000 * ms
	is.True(!s.RecordFailure(Report{Kind: NoData, Server: 1, DataCentre: "a"}, at).Suspected)
	is.Equal(s.RecordFailure(Report{Kind: NoData, Server: 1, DataCentre: "a", Source: 5}, at+ms), Finding{Suspected: true, Failures: 2})
	is.Equal(s.RecordHandshake(1, "a", at+2*ms), Refutation{})
	is.True(s.Suspected(1, at+3*ms))
	is.True(!s.HandshakeSuspected(1, at+3*ms))
	for source := range uint64(10) {
		s.RecordFailure(Report{Kind: NoData, Server: 1, DataCentre: "a", Source: source}, at+4*ms)
	}
	is.True(!s.Dead(1, at+5*ms))
	is.True(!s.Unreachable("a", at+5*ms))
	is.Equal(s.RecordPossibleData(1, "a", at, at+6*ms), Refutation{Refutes: true, Ended: true})
	is.True(!s.Suspected(1, at+7*ms))
}
