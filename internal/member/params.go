package member

import "time"

// Params are the periods and bounds of membership.
type Params struct {
	// Tick is how often the systems run; news waits for a tick at each hop.
	Tick time.Duration
	// Heartbeat is the period of heartbeats to each watcher.
	Heartbeat time.Duration
	// Silence is how long a watched instance may be silent before it is probed.
	Silence time.Duration
	// Probe is how long a probed instance has to answer, directly or through
	// others, before it is suspected.
	Probe time.Duration
	// Confirm is the least time from suspicion to death with confirmations
	// enough; Suspicion the time without.
	Confirm   time.Duration
	Suspicion time.Duration
	// Confirmations is how many instances must suspect for the shorter time.
	Confirmations int
	// Helpers is how many others are asked to probe a silent instance.
	Helpers int
	// Pause is the gap between two ticks from which an instance takes itself to
	// have been paused.
	Pause time.Duration
	// Contact is the period of attempts to reach a dead or merely listed
	// instance, and LoneContact that while no other instance is known.
	Contact     time.Duration
	LoneContact time.Duration
	// Quiet is how long the table must be unchanged before a differing digest
	// starts an exchange; Exchange is the least time between two exchanges.
	Quiet    time.Duration
	Exchange time.Duration
	// Bridge is how long after an exchange its peer is sent all news.
	Bridge time.Duration
	// Join is how long a starting instance waits for a peer.
	Join time.Duration
	// Forget is how long a dead instance is remembered and sought.
	Forget time.Duration
}

// Default returns the parameters that the daemon runs with.
func Default() Params {
	return Params{
		Tick:          50 * time.Millisecond,
		Heartbeat:     500 * time.Millisecond,
		Silence:       1050 * time.Millisecond,
		Probe:         150 * time.Millisecond,
		Confirm:       150 * time.Millisecond,
		Suspicion:     3 * time.Second,
		Confirmations: 2,
		Helpers:       2,
		Pause:         300 * time.Millisecond,
		Contact:       2 * time.Second,
		LoneContact:   100 * time.Millisecond,
		Quiet:         500 * time.Millisecond,
		Exchange:      2 * time.Second,
		Bridge:        5 * time.Second,
		Join:          time.Second,
		Forget:        time.Hour,
	}
}
