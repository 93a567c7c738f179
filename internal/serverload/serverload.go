// Package serverload estimates how much work the backend servers of a data centre have
// and how fast they are, from what each of its instances sees in its own traffic. Sampler
// measures one instance's traffic, Report carries the samples to the others, and Table adds
// up the reports of all. The package does no I/O and reads no clock: times are nanoseconds
// of the monotonic clock.
package serverload

import (
	"time"

	"github.com/zeebo/errs"
)

var (
	// Invalid is the class of errors about reports that cannot be used; the message names
	// the field.
	Invalid = errs.Class("serverload: invalid report")
	// Outdated is the class of errors about reports that are repeated, or older than the
	// newest one of their sender.
	Outdated = errs.Class("serverload: outdated report")
	// Full is the class of errors about senders that the table has no room for.
	Full = errs.Class("serverload: table is full")
)

const (
	// MaxSenders and MaxServers bound the table and, for servers, the sampler.
	MaxSenders = 512
	MaxServers = 8192
	// MaxReportBytes is the largest size of a report in its binary form.
	MaxReportBytes = 1200

	// Numbers beyond these limits mean a corrupt report.
	maxCount    = 1_000_000
	maxDuration = time.Hour
	// A rate over less than minInterval says nothing.
	minInterval = 100 * time.Millisecond
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
	// the sum of the response times of Completed, each limited to 4 times the median of
	// the service where that is known.
	Busy, Response time.Duration
}

// Report holds the samples of one instance.
type Report struct {
	// Run is a random number of the sender's process, and Sequence rises with each report
	// of a run.
	Run, Sequence uint64
	// Interval is the time that the report covers.
	Interval time.Duration
	// Flows and Requests are the sums over all samples, also those that did not fit into
	// the binary form; smaller values count as the sums over Samples.
	Flows, Requests int
	// Samples are in descending order of importance.
	Samples []Sample
}

// totals returns Flows and Requests over Samples.
func (r *Report) totals() (flows, requests int) {
	for i := range r.Samples {
		flows += r.Samples[i].Flows
		requests += r.Samples[i].Requests
	}
	return flows, requests
}
