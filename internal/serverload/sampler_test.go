package serverload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work that is counted twice or in the wrong interval: a request in
// progress over a report is busy in both intervals and begins and completes once.
func TestSamplerDividesRequestsAmongIntervals(t *testing.T) {
	is := is.New(t)
	s := NewSampler(5)
	s.Begin(1, 7, 0)
	s.SetFlows(1, 7, 3)
	first := s.Report(500 * ms)
	is.Equal(first, Report{Run: 5, Sequence: 1, Interval: 500 * time.Millisecond, Flows: 3, Requests: 1, Samples: []Sample{
		{Server: 1, Started: 7, Flows: 3, Requests: 1, Busy: 500 * time.Millisecond},
	}})
	s.Begin(1, 7, 600*ms)
	s.End(1, 7, 700*time.Millisecond, 700*ms)
	s.Abandon(1, 7, 800*ms)
	s.End(1, 7, time.Millisecond, 900*ms) // no request is left
	is.Equal(s.Report(1000*ms).Samples, []Sample{
		{Server: 1, Started: 7, Flows: 3, Requests: 1, Completed: 1, Busy: 400 * time.Millisecond, Response: 700 * time.Millisecond},
	})
	s.SetFlows(1, 7, 0)
	is.Equal(len(s.Report(2000*ms).Samples), 0)
}

// Failure: the fabric moves flows when instances come and go, and the responses of their
// requests pass elsewhere. Guards against requests that count as work in progress for seconds
// and make an idle server look full.
func TestMovedRequestsDoNotCount(t *testing.T) {
	is := is.New(t)
	s := NewSampler(1)
	for range 20 {
		s.Begin(1, 7, 0)
	}
	is.True(!s.Overdue(1, 0, 1000*ms))
	is.True(s.Overdue(1, 0, 1001*ms)) // the usual response time is not known
	s.servers[1].limit = 200 * time.Millisecond
	is.True(!s.Overdue(1, 0, 500*ms))
	is.True(s.Overdue(1, 0, 501*ms))
	for range 20 {
		s.Discard(1, 7, 0, 600*ms)
	}
	s.Discard(1, 7, 0, 600*ms) // none is left
	r := s.Report(800 * ms)
	is.Equal(r.Samples[0].Busy, time.Duration(0))
	is.Equal(r.Samples[0].Completed, 0)
}

// Failure: a server started again under its id. Responses of requests to the last start
// do not count for the next.
func TestSamplerSeparatesStartsOfAServer(t *testing.T) {
	is := is.New(t)
	s := NewSampler(1)
	s.Begin(1, 7, 0)
	s.Begin(1, 8, 10*ms)
	s.End(1, 7, 20*time.Millisecond, 20*ms)
	s.Begin(1, 7, 20*ms)
	r := s.Report(500 * ms)
	is.Equal(r.Samples, []Sample{{Server: 1, Started: 8, Requests: 1, Busy: 490 * time.Millisecond}})
	s.Remove(1)
	is.Equal(len(s.Report(1000*ms).Samples), 0)
}

// Guards against reports that leave out the servers with traffic where not all fit, and
// against memory that grows with the number of servers.
func TestSamplerIsBoundedAndPutsBusyServersFirst(t *testing.T) {
	is := is.New(t)
	s := NewSampler(1)
	for i := range uint32(MaxServers + 10) {
		s.SetFlows(i, 0, 1)
	}
	s.Begin(4000, 0, 0)
	r := s.Report(500 * ms)
	is.Equal(len(r.Samples), MaxServers)
	sent, err := Decode(r.Append(nil))
	is.NoErr(err)
	is.Equal(sent.Samples[0].Server, uint32(4000))
	is.True(len(sent.Samples) > 50)
}
