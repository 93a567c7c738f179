package health

import "time"

// Params are the periods and limits of health checking.
type Params struct {
	// Period is the interval between probes of a backend server, FastPeriod the
	// interval while the result is about to change, Timeout the time limit of a
	// probe.
	Period     time.Duration
	FastPeriod time.Duration
	Timeout    time.Duration
	// Failures and Passes are the numbers of consecutive probes that must fail or
	// pass to change the result.
	Failures int
	Passes   int
	// TrafficFailures is the number of consecutive requests that must fail, and
	// TrafficSpan the minimum time over which they must, to take precedence over an
	// endpoint that answers.
	TrafficFailures int
	TrafficSpan     time.Duration
	// EvidenceTTL is how long a report or the result of a request is valid.
	EvidenceTTL time.Duration
	// QueryWait is how long the primary prober waits for the answers of other instances
	// before it announces a backend server down.
	QueryWait time.Duration
	// MinDownTime is the minimum time down; it doubles with each further failure within
	// FailureWindow, up to MaxDownTime.
	MinDownTime   time.Duration
	MaxDownTime   time.Duration
	FailureWindow time.Duration
	// ReportPeriod is the interval at which a report that is still true is repeated.
	ReportPeriod time.Duration
}

// Default returns the parameters that the daemon runs with.
func Default() Params {
	return Params{
		Period:          time.Second,
		FastPeriod:      400 * time.Millisecond,
		Timeout:         350 * time.Millisecond,
		Failures:        3,
		Passes:          3,
		TrafficFailures: 8,
		TrafficSpan:     time.Second,
		EvidenceTTL:     1500 * time.Millisecond,
		QueryWait:       150 * time.Millisecond,
		MinDownTime:     4 * time.Second,
		MaxDownTime:     5 * time.Minute,
		FailureWindow:   10 * time.Minute,
		ReportPeriod:    time.Second,
	}
}
