// Package keyowner decides what happens to a request at the instance that owns
// its key: copies meet, the key of a request that may not be repeated is claimed,
// a backend server is chosen, and refused attempts are retried within a budget.
// The package does no I/O: inputs are values, and what is to be done comes back
// as effects.
package keyowner

import (
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/atmostonce"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/request"
)

// Settings of an owner.
const (
	// MaxPending bounds the requests in progress at one owner.
	MaxPending = 8192
	// MaxCopies bounds the copies of one request that wait for its result.
	MaxCopies = 32
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts = 3
	// ClaimEvery is how often an unanswered claim is sent again, ClaimFor how
	// long, though no longer than half of the time of the request.
	ClaimEvery = 100 * time.Millisecond
	ClaimFor   = 2 * time.Second
	// Grace is how long a request goes on after its last caller has vanished, for a
	// copy that may come through another instance.
	Grace = 250 * time.Millisecond
	// loadMemory is how long the load that a reply told is believed.
	loadMemory = 500 * time.Millisecond
	// replyTime is the most that is kept from the deadline for the way back.
	replyTime = 50 * time.Millisecond
)

// Candidate is a backend server that may run requests of a service, and the
// instance that admits to it.
type Candidate struct {
	Server   config.Number
	Admitter fleet.ID
	Slots    int
}

// EffectKind says what is to be done.
type EffectKind uint8

// The kinds of effects.
const (
	// Claim asks To to note Claim; its answer goes to Claimed.
	Claim EffectKind = iota + 1
	// Admit asks To to run Attempt; its answer goes to Outcome.
	Admit
	// Cancel tells To that nobody waits for Attempt any more.
	Cancel
	// Ask asks To for the result of Request, which To may have run; its answer
	// goes to Told.
	Ask
	// Answer gives Result to Waiter.
	Answer
)

// Effect is one thing to be done.
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

// ClaimRequest asks one of a key's pair to record a claim.
type ClaimRequest struct {
	// Name is what the pair is chosen by, Home its data centre, Pair its digest.
	Name     uint64              `json:"name"`
	Home     string              `json:"home"`
	Pair     uint64              `json:"pair"`
	Key      atmostonce.KeyHash  `json:"key"`
	Created  int64               `json:"created"`
	Claimant atmostonce.Claimant `json:"claimant"`
}

// Counts are totals since the start.
type Counts struct {
	Requests, Attempts, Retries, Joined, Claims, Late int64
}

type stage uint8

const (
	claiming stage = iota + 1
	choosing
	admitting
	asking
	done
)

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
	// claim
	claimant atmostonce.Claimant
	pair     uint64
	marks    []mark
	began    int64
	sent     int64
	// attempts
	attempt  admission.Attempt
	to       *candidate
	tried    []config.Number
	wake     int64
	maybeRan bool
	// abandoned is when the last waiter vanished, or zero.
	abandoned int64
	cancelled bool
}

// mark is what one of the pair has said to the claim.
type mark struct {
	member  fleet.ID
	verdict atmostonce.Verdict
	by      atmostonce.Claimant
}
