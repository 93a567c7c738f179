package suspicion

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = int64(time.Millisecond)

func TestOneUnansweredPacketIsNoSuspicion(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(!s.Missed(Report{Server: 1, DataCentre: "a"}, 100*ms))
	is.True(!s.Suspected(1, 101*ms))
}

func TestTwoAccountsSuspect(t *testing.T) {
	for _, c := range []struct {
		name      string
		first     Report
		second    Report
		between   int64
		answered  int64
		suspected bool
	}{
		{"own, twice", Report{Server: 1}, Report{Server: 1}, 200 * ms, 0, true},
		{"own and a peer's", Report{Server: 1}, Report{Server: 1, Source: 9}, 50 * ms, 0, true},
		{"of two servers", Report{Server: 1}, Report{Server: 2}, 50 * ms, 0, false},
		{"too far apart", Report{Server: 1}, Report{Server: 1}, 1600 * ms, 0, false},
		{"a sign of life between", Report{Server: 1}, Report{Server: 1}, 200 * ms, 100 * ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			start := 1000 * ms
			s.Missed(c.first, start)
			if c.answered != 0 {
				s.Answered(1, "", start+c.answered)
			}
			is.Equal(s.Missed(c.second, start+c.between), c.suspected)
			is.Equal(s.Suspected(c.second.Server, start+c.between), c.suspected)
		})
	}
}

func TestSuspicionEndsAndDoubles(t *testing.T) {
	is := is.New(t)
	s := New()
	at := 1000 * ms
	suspect := func() time.Duration {
		s.Missed(Report{Server: 1}, at)
		s.Missed(Report{Server: 1}, at)
		from := at
		for s.Suspected(1, at) {
			at += 100 * ms
		}
		return time.Duration(at - from)
	}
	is.Equal(suspect(), firstTerm)
	is.Equal(suspect(), 2*firstTerm)
	is.Equal(suspect(), 4*firstTerm)
	is.Equal(suspect(), lastTerm)
	at += int64(memory) + 1
	is.Equal(suspect(), firstTerm)
}

func TestSignOfLifeEndsASuspicion(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Missed(Report{Server: 1}, 1000*ms)
	s.Missed(Report{Server: 1}, 1000*ms)
	is.True(s.Answered(1, "a", 1100*ms))
	is.True(!s.Suspected(1, 1101*ms))
}

// TestCutDataCentre answers a cut between data centres: packets to several servers
// of one are lost, those to another are answered.
func TestCutDataCentre(t *testing.T) {
	is := is.New(t)
	s := New()
	at := 1000 * ms
	for _, server := range []uint32{1, 2} {
		s.Answered(server, "b", at)
		s.Missed(Report{Server: server, DataCentre: "b"}, at+ms)
		s.Missed(Report{Server: server, DataCentre: "b"}, at+2*ms)
	}
	s.Answered(7, "a", at+3*ms)
	is.True(s.Unreachable("b", at+4*ms))
	is.True(!s.Unreachable("a", at+4*ms))
	s.Answered(3, "b", at+5*ms)
	is.True(!s.Unreachable("b", at+6*ms)) // another of its servers answers
	is.True(s.Suspected(1, at+6*ms))
}
