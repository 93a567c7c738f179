package serverload

import (
	"math"
	"slices"
	"time"
)

const (
	// responseHalfLife is the time after which a response counts half.
	responseHalfLife = 2 * time.Second
	// With each response, the ones before it keep recentShare of their weight in the
	// recent mean, which thus covers the last 5 or so. If the recent mean differs from
	// the longer one by more than the factor changed, the server's speed has changed, and
	// older responses no longer count: by the half-life alone, most of the servers that
	// turn five times slower at 11 requests a second are not seen as slow within 2 s.
	// The recent mean needs minRecent decayed responses.
	recentShare = 0.8
	changed     = 1.75
	minRecent   = 2.5
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

// mean is a decaying mean of response times.
type mean struct {
	count, sum float64 // responses, s
}

func (m *mean) add(count, sum float64) { m.count, m.sum = m.count+count, m.sum+sum }

func (m *mean) scale(by float64) { m.count, m.sum = m.count*by, m.sum*by }

// value returns the mean in seconds, 0 without responses.
func (m *mean) value() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / m.count
}

// responses are the response times of a server.
type responses struct{ all, recent mean }

// add adds responses and the sum of their times. Each counts up to the limit, 0 for none.
func (r *responses) add(completed int, sum, limit time.Duration) {
	if count := time.Duration(completed); limit > 0 && sum/count >= limit {
		sum = limit * count // at most the sum, so that it cannot overflow
	}
	r.all.add(float64(completed), sum.Seconds())
	keep := math.Pow(recentShare, float64(completed))
	weight := (1 - keep) / (1 - recentShare)
	r.recent.scale(keep)
	r.recent.add(weight, weight*sum.Seconds()/float64(completed))
	recent, all := r.recent.value(), r.all.value()
	if r.recent.count >= minRecent && (recent > changed*all || all > changed*recent) {
		r.all = r.recent
	}
}

// decay scales the weight of all responses.
func (r *responses) decay(keep float64) {
	r.all.scale(keep)
	r.recent.scale(keep)
}

// decayOver returns the factor by which responses decay over some time.
func decayOver(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / responseHalfLife.Seconds())
}

// speed returns the speed relative to a median response time in seconds. Without recent
// responses it returns to 1, so that a slow server is tried again.
func (r *responses) speed(median float64) float64 {
	if median <= 0 {
		return 1
	}
	own := (r.all.sum + priorSamples*median) / (r.all.count + priorSamples)
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

// spread returns the ratio of the values at the upper and the lower fifth, 1 if there are
// none. It sorts them.
func spread(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	fifth := len(values) / 5
	return values[len(values)-1-fifth] / values[fifth]
}
