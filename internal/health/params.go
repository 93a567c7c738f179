package health

import "time"

// Params are the periods and bounds of health.
type Params struct {
	// Period is that of probes of a backend server that answers, Fast of one that
	// has just failed, Timeout how long a probe waits.
	Period  time.Duration
	Fast    time.Duration
	Timeout time.Duration
	// Failures and Passes are how many probes in a row change an opinion.
	Failures int
	Passes   int
	// TrafficFailures is how many requests in a row must fail, and TrafficSpan
	// over how long, to outweigh an endpoint that answers.
	TrafficFailures int
	TrafficSpan     time.Duration
	// Fresh is how long a report or an answer to a request counts.
	Fresh time.Duration
	// Ask is how long the keeper waits for others before it announces.
	Ask time.Duration
	// Hold is the least time down; it doubles with each failure within Memory,
	// up to MaxHold.
	Hold    time.Duration
	MaxHold time.Duration
	Memory  time.Duration
	// Repeat is the period of reports that still hold.
	Repeat time.Duration
}

// Default returns the parameters that the daemon runs with.
func Default() Params {
	return Params{
		Period:          time.Second,
		Fast:            400 * time.Millisecond,
		Timeout:         350 * time.Millisecond,
		Failures:        3,
		Passes:          3,
		TrafficFailures: 8,
		TrafficSpan:     time.Second,
		Fresh:           1500 * time.Millisecond,
		Ask:             150 * time.Millisecond,
		Hold:            4 * time.Second,
		MaxHold:         5 * time.Minute,
		Memory:          10 * time.Minute,
		Repeat:          time.Second,
	}
}
