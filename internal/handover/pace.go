package handover

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/config"
)

// The times between two looks at one unsettled service: askFirst after a change,
// then longer while nothing comes of it, up to askMax.
const (
	askFirst = 2 * time.Second
	askMax   = time.Minute
)

// pace says when to look at each unsettled service again. A service is seldom
// settled soon after a change, and asking costs a call to each instance.
type pace struct {
	services map[string]*turn
}

// turn is the next look at one service in the state that it had at the last one.
type turn struct {
	at      time.Time
	wait    *backoff.ExponentialBackOff
	current config.Set
	past    int
}

func newPace() *pace { return &pace{services: map[string]*turn{}} }

// due reports whether to look at the service now, and moves to the next time. A
// service that has changed since is due as after a change.
func (p *pace) due(now time.Time, s *config.Service) bool {
	t := p.services[s.Name]
	if t == nil || t.past != len(s.Past) || !slices.Equal(t.current, s.Current) {
		p.services[s.Name] = newTurn(now, s)
		return false
	}
	if now.Before(t.at) {
		return false
	}
	t.at = now.Add(t.wait.NextBackOff())
	return true
}

func newTurn(now time.Time, s *config.Service) *turn {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = askFirst
	wait.MaxInterval = askMax
	return &turn{at: now.Add(askFirst), wait: wait, current: s.Current, past: len(s.Past)}
}

// keep forgets the services that are settled, or fall to another instance.
func (p *pace) keep(names map[string]bool) {
	for name := range p.services {
		if !names[name] {
			delete(p.services, name)
		}
	}
}
