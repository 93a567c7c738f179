package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoundBudget lets every request want a retry: they stay below their share.
func TestBoundBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for first := 1; first <= 10_000; first++ {
		b.First()
		for range 3 {
			if b.Take() {
				retries++
			}
		}
		is.True(float64(retries) <= Share*float64(first)+1e-6)
	}
	is.Equal(retries, 1000)
	for range 10_000 {
		b.First()
	}
	saved := 0
	for b.Take() {
		saved++
	}
	is.Equal(saved, MaxSaved)
}

func TestDelay(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for _, left := range []time.Duration{minRetryTime, 50 * time.Millisecond, time.Hour} {
		for range 1000 {
			d, worth := Delay(r, left)
			is.True(worth && d >= 0 && d <= MaxDelay && d <= left/10)
		}
	}
	_, worth := Delay(r, minRetryTime-1)
	is.True(!worth)
}
