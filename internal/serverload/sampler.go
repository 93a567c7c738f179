package serverload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overdueLimits is the time after which a request is Overdue, in limits of response
	// times, and minOverdue the least: a server five times slower than its service answers
	// nearly all of its requests by then. Where the limit is not known, it is defaultOverdue.
	overdueLimits  = 2
	minOverdue     = 500 * time.Millisecond
	defaultOverdue = time.Second
)

// Sampler measures the traffic of one instance. It is not safe for concurrent use. It
// keeps at most MaxServers servers; the traffic of others is not measured.
type Sampler struct {
	run, sequence uint64
	since         int64 // start of the interval
	running       bool  // since is set
	servers       map[uint32]*activity
}

// activity is what the sampler has measured of one server since the last report.
type activity struct {
	Sample
	inProgress int
	at         int64         // Busy includes the time up to here
	limit      time.Duration // of a response time; 0: none
}

// NewSampler returns a sampler of the process with the given random number.
func NewSampler(run uint64) *Sampler {
	return &Sampler{run: run, servers: map[uint32]*activity{}}
}

// Begin records that a request to a server begins.
func (s *Sampler) Begin(server uint32, started, now int64) {
	s.start(now)
	a := s.activity(server, started)
	if a == nil {
		return
	}
	a.advance(now)
	a.inProgress++
	a.Requests++
}

// End records that the response to a request begins, and how long that took. Requests
// that Begin did not record, and negative response times, are not counted.
func (s *Sampler) End(server uint32, started int64, response time.Duration, now int64) {
	a := s.finish(server, started, now)
	if a == nil || response < 0 {
		return
	}
	if a.limit > 0 {
		response = min(response, a.limit)
	}
	a.Completed++
	a.Response += min(response, maxDuration)
}

// Abandon records that a request has ended without a response.
func (s *Sampler) Abandon(server uint32, started, now int64) { s.finish(server, started, now) }

// SetFlows records the number of flows at a server.
func (s *Sampler) SetFlows(server uint32, started int64, flows int) {
	if flows <= 0 && s.servers[server] == nil {
		return
	}
	if a := s.activity(server, started); a != nil {
		a.Flows = min(max(flows, 0), maxCount)
	}
}

// Remove discards what is known of a server.
func (s *Sampler) Remove(server uint32) { delete(s.servers, server) }

// LimitResponses limits the response times that End counts from now on to 4 times the
// median of their service in a table, so that a long response does not dominate the mean.
// It is called after Table.Advance.
func (s *Sampler) LimitResponses(t *Table) {
	for server, a := range s.servers {
		a.limit = t.responseLimit(server, a.Started)
	}
}

// Overdue reports whether a request that began at a time has been in progress for so long
// that its response has probably passed through another instance: the fabric moves flows
// when instances come and go.
func (s *Sampler) Overdue(server uint32, began, now int64) bool {
	a := s.servers[server]
	if a == nil {
		return false
	}
	if a.limit == 0 {
		return now-began > int64(defaultOverdue)
	}
	return now-began > int64(max(overdueLimits*a.limit, minOverdue))
}

// Discard records that an overdue request that began at a time does not count. What has been
// reported of it stays.
func (s *Sampler) Discard(server uint32, started, began, now int64) {
	if a := s.finish(server, started, now); a != nil {
		a.Busy = max(a.Busy-time.Duration(now-max(began, s.since)), 0)
	}
}

// Report returns the samples since the last report, those with the most requests first,
// and starts the next interval.
func (s *Sampler) Report(now int64) Report {
	s.start(now)
	s.sequence++
	r := Report{
		Run: s.run, Sequence: s.sequence,
		Interval: min(max(time.Duration(now-s.since), minInterval), maxDuration),
	}
	s.since = now
	for server, a := range s.servers {
		a.advance(now)
		if a.Flows == 0 && a.Requests == 0 && a.Completed == 0 && a.Busy == 0 && a.inProgress == 0 {
			delete(s.servers, server)
			continue
		}
		sample := a.Sample
		sample.Requests, sample.Completed = min(sample.Requests, maxCount), min(sample.Completed, maxCount)
		sample.Busy, sample.Response = min(sample.Busy, maxDuration), min(sample.Response, maxDuration)
		r.Samples = append(r.Samples, sample)
		a.Sample = Sample{Server: a.Server, Started: a.Started, Flows: a.Flows}
	}
	r.Flows, r.Requests = r.totals()
	slices.SortFunc(r.Samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(b.Flows, a.Flows),
			cmp.Compare(a.Server, b.Server))
	})
	return r
}

func (s *Sampler) start(now int64) {
	if !s.running {
		s.since, s.running = now, true
	}
}

// activity returns the record of a server, which it creates if there is room. A later
// start replaces the record; it returns nil for an earlier one.
func (s *Sampler) activity(server uint32, started int64) *activity {
	a := s.servers[server]
	switch {
	case a == nil:
		if len(s.servers) >= MaxServers {
			return nil
		}
		a = &activity{}
		s.servers[server] = a
	case a.Started == started:
		return a
	case started < a.Started:
		return nil
	}
	*a = activity{Sample: Sample{Server: server, Started: started}}
	return a
}

// finish ends a request. It returns nil if Begin has not recorded one.
func (s *Sampler) finish(server uint32, started, now int64) *activity {
	a := s.servers[server]
	if a == nil || a.Started != started || a.inProgress == 0 {
		return nil
	}
	a.advance(now)
	a.inProgress--
	return a
}

// advance adds the time in progress up to now.
func (a *activity) advance(now int64) {
	if a.inProgress > 0 && now > a.at {
		a.Busy += time.Duration(now-a.at) * time.Duration(a.inProgress)
	}
	a.at = max(a.at, now)
}
