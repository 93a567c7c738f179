package handover

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/config"
)

// The interval between two polls of one unsettled service: minPollInterval after a
// change, growing up to maxPollInterval while the service stays unsettled.
const (
	minPollInterval = 2 * time.Second
	maxPollInterval = time.Minute
)

// schedule holds the time of the next poll of each unsettled service. It backs off,
// since a service is seldom settled soon after a change and a poll costs a call to
// each instance.
type schedule struct {
	services map[string]*nextPoll
}

// nextPoll is the next poll of one service, with the state of the service at the
// last one.
type nextPoll struct {
	at      time.Time
	wait    *backoff.ExponentialBackOff
	current config.Set
	past    int
}

func newSchedule() *schedule { return &schedule{services: map[string]*nextPoll{}} }

// due reports whether the service is to be polled now. If the service has changed since
// the last call, the backoff starts again.
func (sc *schedule) due(now time.Time, s *config.Service) bool {
	next := sc.services[s.Name]
	if next == nil || next.past != len(s.Past) || !slices.Equal(next.current, s.Current) {
		sc.services[s.Name] = newNextPoll(now, s)
		return false
	}
	return !now.Before(next.at)
}

// polled schedules the next poll of a service that is polled now.
func (sc *schedule) polled(now time.Time, name string) {
	next := sc.services[name]
	next.at = now.Add(next.wait.NextBackOff())
}

func newNextPoll(now time.Time, s *config.Service) *nextPoll {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minPollInterval
	wait.MaxInterval = maxPollInterval
	return &nextPoll{at: now.Add(minPollInterval), wait: wait, current: s.Current, past: len(s.Past)}
}

// retain removes all services but the named ones from the schedule: the others are
// settled or assigned to another instance.
func (sc *schedule) retain(names map[string]bool) {
	for name := range sc.services {
		if !names[name] {
			delete(sc.services, name)
		}
	}
}
