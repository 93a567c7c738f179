// Package retry bounds how often requests are sent again: a budget that is a
// share of the first attempts, so that retries cannot amplify an overload, and a
// random delay before each. It does no I/O.
package retry

import (
	"math/rand/v2"
	"time"
)

// Share is the part of the first attempts that may be retried.
const Share = 0.1

// MaxSaved is the most retries that a quiet time saves up.
const MaxSaved = 10

// MaxDelay bounds the delay before a retry.
const MaxDelay = 20 * time.Millisecond

// minRetryTime is the least time left that is worth a retry.
const minRetryTime = 2 * time.Millisecond

// Budget counts the retries that may still be made. The zero value has none.
type Budget struct {
	saved float64
}

// Full returns a budget with the most that can be saved up.
func Full() Budget { return Budget{saved: MaxSaved} }

// First counts a first attempt.
func (b *Budget) First() {
	b.saved = min(b.saved+Share, MaxSaved)
}

// Take uses up one retry and reports whether there was one.
func (b *Budget) Take() bool {
	// The tolerance absorbs the rounding of ten times Share.
	if b.saved < 1-1e-9 {
		return false
	}
	b.saved--
	return true
}

// Delay draws the time until a retry, full jitter up to MaxDelay and up to a
// tenth of what is left until the deadline. It returns false if too little time is
// left.
func Delay(r *rand.Rand, left time.Duration) (time.Duration, bool) {
	if left < minRetryTime {
		return 0, false
	}
	most := min(MaxDelay, left/10)
	return time.Duration(r.Int64N(int64(most) + 1)), true
}
