// Package handover exchanges the messages of package placement between instances:
// it requests flow records from peers and answers their requests, and settles
// unsettled services step by step. It makes no decisions about flows itself.
package handover

import "time"

// The RPC methods that instances call on each other.
const (
	FetchMethod   = "flows.fetch"
	SummaryMethod = "flows.summary"
)

const (
	// callTimeout is the timeout of one request for records, and of collecting all
	// summaries of one service.
	callTimeout = 2 * time.Second
	// maxCalls is the maximum number of concurrent requests for records, and of
	// concurrent calls for the summaries of one service.
	maxCalls = 32
	// tickInterval is the interval at which the Engine is polled for requests to send.
	tickInterval = 100 * time.Millisecond
	// settleInterval is the interval at which the schedule of unsettled services is
	// checked.
	settleInterval = time.Second
	// part is the value of the log attribute "part" for this package.
	part = "handover"
)
