package confstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// Settler writes the versions in which services settle. An instance has one.
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

// Settle writes all settlements as one version. It returns the outcome of each,
// as config.Settle does, or one error of the store for all of them; after
// store.Unknown they may have been written.
func (s *Settler) Settle(ctx context.Context, all []config.Settlement) ([]error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("settle by %s at %d", s.who, s.now().UnixNano())
	var outcomes []error
	for range writeAttempts {
		base, err := s.repository.Read(ctx, s.last)
		if err != nil {
			return nil, err
		}
		s.last = base
		if err := recentEnough(base, all); err != nil {
			return nil, err
		}
		if _, accepted := base.State.AcceptedAs(id); accepted {
			return outcomes, nil
		}
		var next *config.State
		next, outcomes, err = config.Settle(base.State, all, id)
		if err != nil || next == base.State {
			return outcomes, err
		}
		written, err := s.repository.write(ctx, base, next, s.entry(all))
		if err == nil {
			s.last = written
			return outcomes, nil
		}
		if !errors.Is(err, errLost) {
			return nil, err
		}
	}
	return nil, store.Unavailable.New("settling lost %d races", writeAttempts)
}

// recentEnough returns store.Unavailable if the store answers with a version
// before one that a settlement was decided by.
func recentEnough(base Snapshot, all []config.Settlement) error {
	for _, one := range all {
		if one.Seen > base.Version() {
			return store.Unavailable.New("the store answers with version %d, after version %d was seen", base.Version(), one.Seen)
		}
	}
	if base.State == nil {
		return store.Unavailable.New("the store has no configuration")
	}
	return nil
}

func (s *Settler) entry(all []config.Settlement) audit.Entry {
	var parts []string
	for _, one := range all {
		parts = append(parts, fmt.Sprintf("%s %s", one.Action, one.Service))
	}
	return audit.Entry{Who: s.who, When: s.now(), What: strings.Join(parts, ", ")}
}

// Rebase makes the current target of a service its base. Errors are
// config.Conflict if the service has changed since the version seen, and those
// of the store.
func (s *Settler) Rebase(ctx context.Context, service string, seen config.Version) error {
	return s.one(ctx, config.Settlement{Service: service, Action: config.RebaseService, Seen: seen})
}

// Clear forgets the past sets of a service, under the same conditions.
func (s *Settler) Clear(ctx context.Context, service string, seen config.Version) error {
	return s.one(ctx, config.Settlement{Service: service, Action: config.ClearService, Seen: seen})
}

func (s *Settler) one(ctx context.Context, settlement config.Settlement) error {
	outcomes, err := s.Settle(ctx, []config.Settlement{settlement})
	if err != nil {
		return err
	}
	return outcomes[0]
}
