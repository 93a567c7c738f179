package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoundRetriesStayWithinRatio checks that the retries granted stay within Ratio
// of the first attempts when every request asks for more, and that the budget
// accumulates no more than MaxTokens.
func TestBoundRetriesStayWithinRatio(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for first := 1; first <= 10_000; first++ {
		b.RecordFirstAttempt()
		for range 3 {
			if b.Take() {
				retries++
			}
		}
		is.True(float64(retries) <= Ratio*float64(first)+1e-6)
	}
	is.Equal(retries, 1000)
	for range 10_000 {
		b.RecordFirstAttempt()
	}
	tokens := 0
	for b.Take() {
		tokens++
	}
	is.Equal(tokens, MaxTokens)
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for _, remaining := range []time.Duration{minRemaining, 50 * time.Millisecond, time.Hour} {
		for range 1000 {
			d, ok := Delay(r, remaining)
			is.True(ok && d >= 0 && d <= MaxDelay && d <= remaining/10)
		}
	}
	_, ok := Delay(r, minRemaining-1)
	is.True(!ok)
}
