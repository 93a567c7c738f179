// Package retry limits retries of requests. A budget caps them at a ratio of the
// first attempts, so that retries cannot amplify an overload, and each is delayed
// by a random time. The package does no I/O.
package retry

import (
	"math/rand/v2"
	"time"
)

// Ratio is the number of retries allowed per first attempt.
const Ratio = 0.1

// MaxTokens is the maximum number of unused retries that a Budget accumulates.
const MaxTokens = 10

// MaxDelay is the maximum delay before a retry.
const MaxDelay = 20 * time.Millisecond

// minRemaining is the minimum time until the deadline for which a retry is made.
const minRemaining = 2 * time.Millisecond

// Budget is a token bucket of retries. The zero value is empty.
type Budget struct {
	tokens float64
}

// NewFullBudget returns a budget that holds MaxTokens.
func NewFullBudget() Budget { return Budget{tokens: MaxTokens} }

// RecordFirstAttempt records a first attempt, which adds Ratio to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.tokens+Ratio, MaxTokens)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	// The tolerance absorbs the rounding error of adding Ratio ten times.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns a random delay before a retry, with full jitter: from zero up to
// MaxDelay or a tenth of the time remaining until the deadline, whichever is
// shorter. It returns false if too little time remains for a retry.
func Delay(r *rand.Rand, remaining time.Duration) (time.Duration, bool) {
	if remaining < minRemaining {
		return 0, false
	}
	limit := min(MaxDelay, remaining/10)
	return time.Duration(r.Int64N(int64(limit) + 1)), true
}
