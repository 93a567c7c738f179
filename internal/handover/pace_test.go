package handover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
)

// TestBoundLooksAtOneService follows a service for an hour in which nothing comes
// of it: at 2 s, then ever less, and soon again after a change.
func TestBoundLooksAtOneService(t *testing.T) {
	is := is.New(t)
	p := newPace()
	s := &config.Service{Name: "orders", Current: config.Set{{Number: 1, Weight: 1}}}
	start := time.Unix(0, 0)
	looks, last := 0, time.Duration(0)
	for at := time.Duration(0); at < time.Hour; at += time.Second {
		if p.due(start.Add(at), s) {
			looks++
			is.True(at-last <= 2*askMax) // never left alone for long
			last = at
		}
	}
	is.True(looks >= 30) // at most askMax and its jitter apart
	is.True(looks <= 150)

	s.Past = []config.Set{s.Current}
	now := start.Add(time.Hour)
	is.True(!p.due(now, s))
	is.True(p.due(now.Add(askFirst), s)) // a change begins anew
	p.keep(nil)
	is.Equal(len(p.services), 0)
}
