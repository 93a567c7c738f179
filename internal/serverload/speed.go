package serverload

import (
	"math"
	"slices"
	"time"
)

const (
	// responseHalfLife is the time after which a response counts half. With 2 s, a server
	// that turns five times slower at 11 requests a second is not seen as slow within 2 s.
	responseHalfLife = time.Second
	// priorSamples is the number of responses at the service's median that each server is
	// credited with, so that a few responses do not make a verdict.
	priorSamples = 8
	// minMedianSamples is the number of decayed responses from which a server's mean
	// counts for the median of its service.
	minMedianSamples = 1
	// responseLimit is the largest response time that counts, in medians of the service:
	// one request in thirty may take seven times as long.
	responseLimit = 4
	minSpeed      = 0.2
	maxSpeed      = 2
)

// responses is a decaying mean of response times.
type responses struct {
	count float64
	sum   float64 // s
}

func (r *responses) add(completed int, response, limit time.Duration) {
	if limit > 0 {
		response = min(response, limit*time.Duration(completed))
	}
	r.count += float64(completed)
	r.sum += response.Seconds()
}

// decayOver returns the factor by which responses decay over some time.
func decayOver(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / responseHalfLife.Seconds())
}

// mean returns the mean response time in seconds, 0 without responses.
func (r *responses) mean() float64 {
	if r.count == 0 {
		return 0
	}
	return r.sum / r.count
}

// speed returns the speed relative to a median response time in seconds.
func (r *responses) speed(median float64) float64 {
	if median <= 0 {
		return 1
	}
	own := (r.sum + priorSamples*median) / (r.count + priorSamples)
	return min(max(median/own, minSpeed), maxSpeed)
}

// median returns the lower median of values, which it sorts, and 0 without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
