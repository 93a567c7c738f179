package handover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
)

// TestBoundPollsOfOneService counts the polls of a service that stays unsettled for
// an hour: the first after 2 s, then at growing intervals, and again after 2 s once
// the service changes.
func TestBoundPollsOfOneService(t *testing.T) {
	is := is.New(t)
	sc := newSchedule()
	s := &config.Service{Name: "orders", Current: config.Set{{Number: 1, Weight: 1}}}
	start := time.Unix(0, 0)
	polls, last := 0, time.Duration(0)
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		if sc.due(start.Add(at), s) {
			polls++
			is.True(at-last <= 2*maxPollInterval) // the interval stays bounded
			last = at
		}
	}
	is.True(polls >= 30) // at most maxPollInterval and its jitter apart
	is.True(polls <= 150)

	s.Past = []config.Set{s.Current}
	now := start.Add(time.Hour)
	is.True(!sc.due(now, s))
	is.True(sc.due(now.Add(minPollInterval), s)) // a change resets the backoff
	sc.retain(nil)
	is.Equal(len(sc.services), 0)
}
