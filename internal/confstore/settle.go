package confstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// Settler writes the versions in which a service settles. An instance has one
// each.
type Settler struct {
	repository *Repository
	who        string
	now        func() time.Time

	mu sync.Mutex
	// last is the newest version read, so that only what changed is read again.
	last Snapshot
}

// NewSettler returns a settler that signs the audit trail as who and takes the
// time from now.
func NewSettler(r *Repository, who string, now func() time.Time) *Settler {
	return &Settler{repository: r, who: who, now: now}
}

// Rebase makes the current target of a service its base, if no version after
// seen has changed the service. It returns config.Conflict if one has, and else
// the errors of the store.
func (s *Settler) Rebase(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, "rebase", service, seen, config.Rebase)
}

// Clear forgets the past sets of a service, under the same conditions.
func (s *Settler) Clear(ctx context.Context, service string, seen config.Version) error {
	return s.settle(ctx, "clear", service, seen, config.Clear)
}

type settleRule func(old *config.State, service, changeID string) (*config.State, error)

func (s *Settler) settle(ctx context.Context, what, service string, seen config.Version, rule settleRule) error {
	id := fmt.Sprintf("%s %s at %d by %s", what, service, seen, s.who)
	for range writeAttempts {
		base, err := s.read(ctx)
		if err != nil {
			return err
		}
		if base.Version() < seen {
			return store.Unavailable.New("the store answers with version %d, after version %d was seen", base.Version(), seen)
		}
		if _, accepted := base.State.AcceptedAs(id); accepted {
			return nil
		}
		record := base.State.Service(service)
		if record == nil || record.Written > seen {
			return config.Conflict.New("service %q has changed since version %d", service, seen)
		}
		next, err := rule(base.State, service, id)
		if err != nil || next == base.State {
			return err
		}
		entry := audit.Entry{Who: s.who, When: s.now(), What: what + " " + service}
		_, err = s.repository.write(ctx, base, next, entry)
		if !errors.Is(err, errLost) {
			return err
		}
	}
	return store.Unavailable.New("%s of service %q lost %d races", what, service, writeAttempts)
}

func (s *Settler) read(ctx context.Context) (Snapshot, error) {
	s.mu.Lock()
	known := s.last
	s.mu.Unlock()
	now, err := s.repository.Read(ctx, known)
	if err != nil {
		return now, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
	return now, nil
}
