// Package admission limits the concurrent requests at backend servers to their slots.
// Each backend server has one admitting instance, which all requests for it pass
// through. The right to admit is a lease (Gray and Cheriton, 1989) granted by both
// members of a pair of instances, as a rule the admitting instance itself and one that
// records the grant, so that two instances never hold it at once. A new holder gets the
// lease only after every request of its predecessor must have ended. The package does
// no I/O: inputs are values, and actions are returned as effects.
package admission

import (
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Timing holds the durations of the lease protocol. They must be the same in all
// instances.
type Timing struct {
	// Settle is pair.Timing.Settle.
	Settle time.Duration
	// GrantDuration is how long a grant lasts; RenewInterval is the time between its
	// renewals.
	GrantDuration, RenewInterval time.Duration
	// MaxRun is the longest time a backend server runs one request.
	MaxRun time.Duration
	// Margin bounds the clock difference between an instance and a backend server,
	// and the time a backend server takes to end a request at its deadline.
	Margin time.Duration
}

// Limits of the queues of an instance, and times of lease handover and draining.
const (
	// QueuePerSlot is how many requests may wait for one slot.
	QueuePerSlot = 4
	// MaxWaiting is how many requests may wait in total. From half of that on, each
	// service is limited to an equal share, with one share reserved for a service that
	// has none waiting.
	MaxWaiting = 4096
	// LeaseWait is how long requests wait at a new admitting instance for its
	// predecessor to give up the lease; LeaseRequestInterval is the time between the
	// requests for the lease meanwhile.
	LeaseWait            = time.Second
	LeaseRequestInterval = 50 * time.Millisecond
	// HandoverOverlap is how long an admitting instance still accepts requests after it
	// has learned of its successor: other instances may learn of it later.
	HandoverOverlap = 200 * time.Millisecond
	// DrainQueueTime is how long requests that are already queued for a draining backend
	// server are still sent to it.
	DrainQueueTime = 1500 * time.Millisecond
)

// Server is one backend server with its configuration and its current condition.
type Server struct {
	Number     config.Number
	Service    string
	DataCentre string
	Region     string
	Slots      int
	Ramp       config.Ramp
	State      config.ServerState
	Condition  flow.Condition
	// ColdSince is when its last cold start began, in nanoseconds; zero is never.
	ColdSince int64
}

// AttemptID identifies one attempt to run a request.
type AttemptID struct {
	Owner pair.Holder `json:"owner"`
	Seq   uint64      `json:"seq"`
}

// Attempt asks to run a request on a backend server.
type Attempt struct {
	ID     AttemptID     `json:"id"`
	Server config.Number `json:"server"`
	// AdmitterIncarnation is the incarnation of the admitting instance, as the owner
	// sees it.
	AdmitterIncarnation uint64 `json:"run"`
	// Sent and Deadline are in nanoseconds of Unix time.
	Sent     int64            `json:"sent"`
	Deadline int64            `json:"deadline"`
	Request  *request.Request `json:"request"`
}

// Load is the load of a backend server, reported with each outcome.
type Load struct {
	// Used counts running and waiting requests. Limit is the number of slots that may be
	// used now; it is zero while no requests are accepted.
	Used  int     `json:"used"`
	Limit float64 `json:"limit"`
}

// Outcome is how an attempt ended. Refused means that it has not run and never will.
type Outcome struct {
	Result request.Result `json:"result"`
	Load   Load           `json:"load"`
}

// Grant is one member's grant of the lease of a backend server. Complete is set if the
// member knows all earlier grants that may still be in effect.
type Grant struct {
	Server   config.Number `json:"server"`
	Complete bool          `json:"sure,omitempty"`
}

// GrantRequest asks a member of the pairs of backend servers to grant them, or tells it
// that they were given up.
type GrantRequest struct {
	Holder pair.Holder `json:"holder"`
	// DataCentre and Region are those of the backend servers.
	DataCentre string          `json:"dataCentre"`
	Region     string          `json:"region"`
	Servers    []config.Number `json:"servers"`
	// PairDigests holds the digests of the pairs that the holder sees, one per server.
	PairDigests []uint64 `json:"pairs,omitempty"`
	SentAt      int64    `json:"sentAt"`
}

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// Dispatch sends the request of Attempt to the backend server.
	Dispatch EffectKind = iota + 1
	// CancelRun asks the backend server to stop the attempt.
	CancelRun
	// Reply answers Waiter with Outcome.
	Reply
	// RequestGrant asks To for Grant; its answer goes to HandleGrants.
	RequestGrant
	// ReleaseGrant tells To that the holder has given up Grant.Servers.
	ReleaseGrant
	// Report reports Evidence about a backend server.
	Report
)

// Effect is one action for the caller of the package to carry out.
type Effect struct {
	Kind     EffectKind
	Attempt  Attempt
	Waiter   uint64
	Outcome  Outcome
	To       fleet.ID
	Grant    GrantRequest
	Evidence flow.Evidence
}

// Run is how a run on a backend server ended.
type Run struct {
	Result request.Result
	// Shed is set if the backend server refused to run the request.
	Shed bool
	// Ended is set if it is certain that the request is no longer running there.
	Ended bool
}
