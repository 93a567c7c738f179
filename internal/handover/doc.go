// Package handover carries the work of package placement between instances: it
// asks peers for flow records and answers them, and brings unsettled services to
// rest step by step. It decides nothing about flows itself.
package handover

import "time"

// The methods that instances call on each other.
const (
	FetchMethod   = "flows.fetch"
	SummaryMethod = "flows.summary"
)

const (
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// maxCalls bounds the calls that are under way at once.
	maxCalls = 32
	// tickInterval is the time between two looks at what is to be sent.
	tickInterval = 100 * time.Millisecond
	// settleInterval is the time between two looks at unsettled services.
	settleInterval = time.Second
	// part names this package in logs.
	part = "handover"
)
