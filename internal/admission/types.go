// Package admission counts the slots of backend servers. Each backend server has
// one admitting instance; all requests for it pass there. The right to admit is a
// lease (Gray and Cheriton, 1989) that a pair of instances have both granted, as a
// rule the admitting instance itself and one that notes it, so that two instances
// never hold it at once; a new holder gets it only after every request of its
// predecessor must have ended. The package does no I/O: inputs are values, and what
// is to be done comes back as effects.
package admission

import (
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Timing is the same in all instances.
type Timing struct {
	// Settle is pair.Timing.Settle.
	Settle time.Duration
	// Hold is how long a grant lasts; Renew is how often it is asked for again.
	Hold, Renew time.Duration
	// MaxRun is the longest time a backend server runs one request.
	MaxRun time.Duration
	// Margin bounds the clock difference between an instance and a backend server,
	// and the time a backend server takes to end a request at its deadline.
	Margin time.Duration
}

// Limits of the queues of an instance.
const (
	// QueuePerSlot is how many requests may wait for one slot.
	QueuePerSlot = 4
	// MaxWaiting is how many requests may wait in all. Once half of them wait, a
	// service may have no more than its equal part, one part left for a newcomer.
	MaxWaiting = 4096
	// HandOver is how long requests wait at a new admitting instance for the lease
	// that its predecessor gives up; AskEvery is how often it asks meanwhile.
	HandOver = time.Second
	AskEvery = 50 * time.Millisecond
	// Overlap is how long an admitting instance still takes requests after it has
	// learned of its successor, of which others may learn later.
	Overlap = 200 * time.Millisecond
	// DrainQueue is how long a draining backend server still gets requests that
	// wait for it already.
	DrainQueue = 1500 * time.Millisecond
)

// Server is one backend server as the configuration and the fleet have it.
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
	// Run is the incarnation of the admitting instance that the owner sees.
	Run uint64 `json:"run"`
	// Sent and Deadline are in nanoseconds of Unix time.
	Sent     int64            `json:"sent"`
	Deadline int64            `json:"deadline"`
	Request  *request.Request `json:"request"`
}

// Load is what an answer says of its backend server.
type Load struct {
	// Used counts running and waiting requests, Limit the slots that may be used
	// now; it is zero while nothing may be sent.
	Used  int     `json:"used"`
	Limit float64 `json:"limit"`
}

// Outcome ends an attempt. Refused says that the attempt has not run and will not.
type Outcome struct {
	Result request.Result `json:"result"`
	Load   Load           `json:"load"`
}

// Grant is one backend server granted. Sure is set if the one who grants it knows
// of all earlier promises that may still matter.
type Grant struct {
	Server config.Number `json:"server"`
	Sure   bool          `json:"sure,omitempty"`
}

// GrantRequest asks a member of the pairs of backend servers to grant them, or
// tells it that they were given up.
type GrantRequest struct {
	Holder pair.Holder `json:"holder"`
	// DataCentre and Region are those of the backend servers.
	DataCentre string          `json:"dataCentre"`
	Region     string          `json:"region"`
	Servers    []config.Number `json:"servers"`
	// Pairs is the digests of the pairs that the holder sees, one for each server.
	Pairs  []uint64 `json:"pairs,omitempty"`
	SentAt int64    `json:"sentAt"`
}

// EffectKind says what is to be done.
type EffectKind uint8

// The kinds of effects.
const (
	// Dispatch sends the request of Attempt to the backend server.
	Dispatch EffectKind = iota + 1
	// CancelRun asks the backend server to stop the attempt.
	CancelRun
	// Reply answers Waiter with Outcome.
	Reply
	// AskGrant asks To for Grant; its answer goes to Granted.
	AskGrant
	// ReleaseGrant tells To that Grant.Servers are not held any more.
	ReleaseGrant
	// Report passes Evidence on.
	Report
)

// Effect is one thing to be done.
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
	// Ended is set if the request does not run there any more for certain.
	Ended bool
}
