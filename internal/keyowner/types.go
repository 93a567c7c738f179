// Package keyowner handles requests at the instance that owns their key: it joins
// copies of the same request, claims the key of a request that must not be repeated,
// chooses a backend server, and retries refused attempts within a budget. The package
// does no I/O: inputs are values, and actions are returned as effects.
package keyowner

import (
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/request"
)

// Limits and times of an owner.
const (
	// MaxPending bounds the requests in progress at one owner.
	MaxPending = 8192
	// MaxCopies bounds the copies of one request that wait for its result.
	MaxCopies = 32
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts = 3
	// ClaimInterval is the time between repetitions of an unanswered claim.
	ClaimInterval = 100 * time.Millisecond
	// ClaimTimeout is how long a claim may take. A claim takes at most half of the time
	// until the deadline of the request, if that is shorter.
	ClaimTimeout = 2 * time.Second
	// AbandonGrace is how long a request goes on after its last caller has disconnected:
	// a copy may still arrive through another instance.
	AbandonGrace = 250 * time.Millisecond
	// loadMaxAge is how long the load reported by a reply is used.
	loadMaxAge = 500 * time.Millisecond
	// maxReplyReserve bounds the time that is reserved before the deadline for the result
	// to reach the caller.
	maxReplyReserve = 50 * time.Millisecond
)

// Candidate is a backend server that may run requests of a service, and its admitting
// instance.
type Candidate struct {
	Server   config.Number
	Admitter fleet.ID
	Slots    int
}

// EffectKind is the kind of an effect.
type EffectKind uint8

// The kinds of effects.
const (
	// Claim asks To to record Claim; its answer goes to HandleClaimReply.
	Claim EffectKind = iota + 1
	// Admit asks To to run Attempt; its answer goes to HandleOutcome.
	Admit
	// Cancel asks To to cancel Attempt, which no caller waits for any more.
	Cancel
	// Join asks To for the result of Request, which To may have run; its answer
	// goes to HandleJoinResult.
	Join
	// Answer returns Result to Waiter.
	Answer
)

// Effect is one action for the caller of the package to carry out.
type Effect struct {
	Kind     EffectKind
	To       fleet.ID
	Key      string
	Claimant atmostonce.Claimant
	Claim    ClaimRequest
	Attempt  admission.Attempt
	Request  *request.Request
	Waiter   uint64
	Result   request.Result
}

// ClaimRequest asks a member of a key's pair to record a claim.
type ClaimRequest struct {
	// Name selects the pair by rendezvous hashing, Home is its data centre, PairDigest
	// its digest.
	Name       uint64              `json:"name"`
	Home       string              `json:"home"`
	PairDigest uint64              `json:"pair"`
	Key        atmostonce.KeyHash  `json:"key"`
	Created    int64               `json:"created"`
	Claimant   atmostonce.Claimant `json:"claimant"`
}

// Counts are totals since the start. Joined counts copies of requests that were
// already known, Late the outcomes that arrived after their attempt had ended.
type Counts struct {
	Requests, Attempts, Retries, Joined, Claims, Late int64
}

// stage is the state of a job.
type stage uint8

const (
	claiming stage = iota + 1
	// choosing includes the delay before a retry.
	choosing
	// admitting lasts until the outcome of the attempt.
	admitting
	// awaitingClaimant lasts until the result from the instance that holds the key.
	awaitingClaimant
	done
)

// waiter is one copy of a request that waits for the result.
type waiter struct {
	id       uint64
	deadline int64
}

// job is one request in progress.
type job struct {
	entry    *atmostonce.Entry
	req      *request.Request
	stage    stage
	waiters  []waiter
	deadline int64
	// Claim of the key.
	claimant     atmostonce.Claimant
	pairDigest   uint64
	claimReplies []claimReply
	started      int64
	claimsSent   int64
	// Attempts.
	attempt    admission.Attempt
	target     *candidate
	tried      []config.Number
	retryAt    int64
	mayHaveRun bool
	// abandonedAt is when the last waiter was removed, in nanoseconds; zero while there
	// is one.
	abandonedAt int64
	cancelled   bool
}

// claimReply is the answer of one member of the pair to the claim; its verdict is zero
// until the member answers other than PairMismatch.
type claimReply struct {
	member  fleet.ID
	verdict atmostonce.Verdict
	heldBy  atmostonce.Claimant
	// mismatched is set if the member has answered PairMismatch.
	mismatched bool
}
