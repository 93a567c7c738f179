// Package serverload estimates how much work the backend servers of a data centre have
// and how fast they are, from what each of its instances sees in its own traffic. Sampler
// measures one instance's traffic, Report carries the samples to the others, and Table adds
// up the reports of all. The package does no I/O and reads no clock: times are nanoseconds
// of the monotonic clock.
package serverload

import (
	"net/netip"
	"time"
)

// Sample is what one instance has seen of one server since its last report.
type Sample struct {
	// Server is the server's cookie, and Started its start as in catalogue.Server.
	Server  uint32
	Started int64
	// Flows is the number of flows that had a packet within the last 4 s.
	Flows int
	// Requests and Completed are the requests that began, and those whose response began.
	Requests, Completed int
	// Busy is the sum over requests of the time that each was in progress, and Response
	// the sum of the response times of Completed.
	Busy, Response time.Duration
}

// Report holds the samples of one instance.
type Report struct {
	// Run is a random number of the sender's process, and Sequence rises with each report
	// of a run.
	Run, Sequence uint64
	// Interval is the time that the report covers.
	Interval time.Duration
	Samples  []Sample
}

// Append appends the binary form of the report.
func (r *Report) Append(to []byte) []byte { return to }

// Decode decodes the result of Append.
func Decode(data []byte) (Report, error) { return Report{}, nil }

// Sampler measures the traffic of one instance. It is not safe for concurrent use.
type Sampler struct{}

// NewSampler returns a sampler of the process with the given random number.
func NewSampler(run uint64) *Sampler { return &Sampler{} }

// Begin records that a request to a server begins.
func (s *Sampler) Begin(server uint32, started, now int64) {}

// End records that the response to a request begins, and how long that took.
func (s *Sampler) End(server uint32, started int64, response time.Duration, now int64) {}

// Abandon records that a request has ended without a response.
func (s *Sampler) Abandon(server uint32, started, now int64) {}

// SetFlows records the number of flows at a server.
func (s *Sampler) SetFlows(server uint32, started int64, flows int) {}

// Remove discards what is known of a server.
func (s *Sampler) Remove(server uint32) {}

// Report returns the samples since the last report.
func (s *Sampler) Report(now int64) Report { return Report{} }

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
	Age         time.Duration
	// Known is false if no recent report exists.
	Known bool
}

// Table holds the newest report of each instance of the data centre. It is not safe for
// concurrent use.
type Table struct{}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Apply replaces the report of a sender. It returns an error for an outdated one.
func (t *Table) Apply(sender netip.Addr, r Report, now int64) error { return nil }

// SetInstances sets the number of instances of the data centre.
func (t *Table) SetInstances(local int) {}

// Advance expires reports and computes the sums anew.
func (t *Table) Advance(now int64) {}

// Fresh reports whether a recent report of another instance is known, and those of at
// least half of the data centre's instances.
func (t *Table) Fresh(now int64) bool { return false }

// Senders returns the number of instances whose reports count.
func (t *Table) Senders() int { return 0 }

// Server returns what is known of a server.
func (t *Table) Server(server uint32, started int64) Server { return Server{} }

// SetMembers sets the servers of the data centre.
func (t *Table) SetMembers(members []Member) {}

// Service returns the sums over the usable servers of a service.
func (t *Table) Service(name string, usable func(Member) bool) Service { return Service{} }

// Load returns the expected work in progress per slot of a server, at its speed.
func (t *Table) Load(server uint32, started int64) float64 { return 0 }
