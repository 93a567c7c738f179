package serverload

import "time"

const (
	// minWorkPerFlow is the smallest work in progress that a flow is expected to cause,
	// so that flows are spread evenly before the first requests.
	minWorkPerFlow = 0.001
	// measuredPart is the part of the load that is the measured work in progress; the
	// rest is expected from the flows held. Flows alone do not tell apart servers whose
	// flows are short: over 40 simulated runs with reports 0.5 s late, the busiest
	// server got up to 1.51 times the mean without this part and 1.43 with it; a part of
	// 0.5 gave 1.51 again, because what was measured has changed meanwhile.
	measuredPart = 0.3
)

// Server is what the table knows of one server. The zero value means nothing.
type Server struct {
	// Flows and InProgress are the flows and the mean number of requests in progress,
	// and Rate the requests a second, over all instances of the data centre.
	Flows, InProgress, Rate float64
	// Speed is the server's speed relative to the median of its service.
	Speed float64
	// Response is the mean response time, and Samples the decayed number of responses
	// behind it.
	Response time.Duration
	Samples  float64
	// Age is the age of the oldest report that counts.
	Age time.Duration
}

// Member is a server of the data centre.
type Member struct {
	Server  uint32
	Started int64
	Service string
	Slots   int
}

// Service is what the table knows of the usable servers of a service in the data centre.
type Service struct {
	Flows, InProgress, Rate float64
	// Capacity is the sum of slots times speed, Slots that of slots.
	Capacity float64
	Slots    int
	// ServiceTime is the median of the servers' mean response times.
	ServiceTime time.Duration
	// SpeedSpread is the ratio of the speeds at the upper and the lower fifth of the servers,
	// 1 if they are alike.
	SpeedSpread float64
	Age         time.Duration
	// Known is false if no recent report exists.
	Known bool
}

// Server returns what is known of a server, as of the last call of Advance. It returns
// the zero value if no report counts, or the server or its start is unknown.
func (t *Table) Server(server uint32, started int64) Server {
	e := t.find(server, started)
	if e == nil || t.known == 0 {
		return Server{}
	}
	return Server{
		Flows: e.flows, InProgress: e.inProgress, Rate: e.rate, Speed: e.speed,
		Response: seconds(e.responses.all.value()), Samples: e.responses.all.count, Age: t.age,
	}
}

// Service returns the sums over the usable servers of a service, as of the last call of
// Advance; nil means that all are usable. The zero value stands for an unknown service.
func (t *Table) Service(name string, usable func(Member) bool) Service {
	s := t.services[name]
	if s == nil {
		return Service{}
	}
	out := Service{Age: t.age, Known: t.known > 0, ServiceTime: seconds(s.median), SpeedSpread: s.speedSpread}
	for _, m := range s.members {
		if usable != nil && !usable(m) {
			continue
		}
		e := t.servers[m.Server]
		out.Flows += e.flows
		out.InProgress += e.inProgress
		out.Rate += e.rate
		out.Capacity += float64(m.Slots) * e.speed
		out.Slots += m.Slots
	}
	return out
}

// Load returns the expected work in progress per slot of a server, at its speed. It is 0
// if no report counts or the server is no member.
//
// Most of it is expected from the flows that the server holds, because these change
// slowly: the requests in progress have changed many times when a report arrives. Work in
// progress that exceeds the expectation by more than one request counts in full.
func (t *Table) Load(server uint32, started int64) float64 {
	e := t.find(server, started)
	if e == nil || e.service == nil || t.known == 0 {
		return 0
	}
	expected := e.flows * e.service.workPerFlow()
	work := (1-measuredPart)*expected + measuredPart*e.inProgress
	if e.inProgress > expected+1 {
		work = e.inProgress
	}
	return work / (e.slots * e.speed)
}

// FlowLoad returns what one more flow adds to the load of a server, so that an instance
// can count the flows that it has placed since the sum. It is 0 where Load is.
func (t *Table) FlowLoad(server uint32, started int64) float64 {
	e := t.find(server, started)
	if e == nil || e.service == nil || t.known == 0 {
		return 0
	}
	return e.service.workPerFlow() / (e.slots * e.speed)
}

// workPerFlow returns the mean number of requests in progress per flow.
func (s *service) workPerFlow() float64 {
	if s.flows == 0 {
		return minWorkPerFlow
	}
	return max(s.inProgress/s.flows, minWorkPerFlow)
}
