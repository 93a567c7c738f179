package member

import "time"

// Params are the intervals, timeouts and limits of the membership protocol.
type Params struct {
	// TickInterval is the interval between calls of Table.Tick. At each hop an update
	// waits for the next tick.
	TickInterval time.Duration
	// Heartbeat is the interval of heartbeats to each watcher.
	Heartbeat time.Duration
	// SilenceTimeout is how long a watched instance may be silent before it is probed.
	SilenceTimeout time.Duration
	// ProbeTimeout is how long a probed instance has to answer, directly or through
	// others, before it is suspected.
	ProbeTimeout time.Duration
	// ConfirmedSuspicionTimeout is the minimum time from suspicion to death once
	// Confirmations instances suspect the instance; SuspicionTimeout is the time
	// without that.
	ConfirmedSuspicionTimeout time.Duration
	SuspicionTimeout          time.Duration
	// Confirmations is how many instances must suspect another for
	// ConfirmedSuspicionTimeout to apply.
	Confirmations int
	// IndirectProbes is how many other instances are asked to probe a silent one.
	IndirectProbes int
	// PauseThreshold is the gap between two ticks from which an instance concludes
	// that it was paused itself.
	PauseThreshold time.Duration
	// ReconnectInterval is the interval of attempts to reach an instance that is dead
	// or only listed by the platform; IsolatedReconnectInterval applies while no
	// other instance is known.
	ReconnectInterval         time.Duration
	IsolatedReconnectInterval time.Duration
	// SyncQuietPeriod is how long the table must be unchanged before a differing
	// digest starts an exchange of tables; MinSyncInterval is the minimum time
	// between two exchanges.
	SyncQuietPeriod time.Duration
	MinSyncInterval time.Duration
	// PostSyncGossip is how long after an exchange of tables all updates are sent to
	// the peer of the exchange.
	PostSyncGossip time.Duration
	// LeaveNotice is the time between the announcement of a departure and the departure.
	// It should be long enough for the announcement to reach every instance.
	LeaveNotice time.Duration
	// JoinTimeout is how long a starting instance waits for a peer.
	JoinTimeout time.Duration
	// DeadRetention is how long a dead instance is kept in the table and attempts to
	// reach it go on.
	DeadRetention time.Duration
}

// DefaultParams returns the parameters used by the daemon.
func DefaultParams() Params {
	return Params{
		TickInterval:              50 * time.Millisecond,
		Heartbeat:                 500 * time.Millisecond,
		SilenceTimeout:            1050 * time.Millisecond,
		ProbeTimeout:              150 * time.Millisecond,
		ConfirmedSuspicionTimeout: 150 * time.Millisecond,
		SuspicionTimeout:          3 * time.Second,
		Confirmations:             2,
		IndirectProbes:            2,
		PauseThreshold:            300 * time.Millisecond,
		ReconnectInterval:         2 * time.Second,
		IsolatedReconnectInterval: 100 * time.Millisecond,
		SyncQuietPeriod:           500 * time.Millisecond,
		MinSyncInterval:           2 * time.Second,
		PostSyncGossip:            5 * time.Second,
		LeaveNotice:               500 * time.Millisecond,
		JoinTimeout:               time.Second,
		DeadRetention:             time.Hour,
	}
}
