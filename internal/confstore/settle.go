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

// SettlementWriter writes versions that settle services. Each instance has one.
type SettlementWriter struct {
	repository *Repository
	who        string
	now        func() time.Time

	mu sync.Mutex
	// last is the newest version read; Read skips the records that it holds.
	last Snapshot
}

// NewSettlementWriter returns a SettlementWriter that writes audit entries in
// the name of who and takes the time from now.
func NewSettlementWriter(r *Repository, who string, now func() time.Time) *SettlementWriter {
	return &SettlementWriter{repository: r, who: who, now: now}
}

// Settle writes all settlements as one version. It returns the outcome of each,
// as config.Settle does, or one error of the store for all of them; after
// store.OutcomeUnknown they may have been written.
func (s *SettlementWriter) Settle(ctx context.Context, all []config.Settlement) ([]error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("settle by %s at %d", s.who, s.now().UnixNano())
	var outcomes []error
	for range maxWriteAttempts {
		base, err := s.repository.Read(ctx, s.last)
		if err != nil {
			return nil, err
		}
		s.last = base
		if err := checkRecent(base, all); err != nil {
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
		if !errors.Is(err, errHeadChanged) {
			return nil, err
		}
	}
	return nil, store.Unavailable.New("settling lost %d races", maxWriteAttempts)
}

// checkRecent returns store.Unavailable if the store answers with a version
// older than one that a settlement is based on, or has no configuration.
func checkRecent(base Snapshot, all []config.Settlement) error {
	for _, settlement := range all {
		if settlement.BaseVersion > base.Version() {
			return store.Unavailable.New("the store answers with version %d, after version %d was seen", base.Version(), settlement.BaseVersion)
		}
	}
	if base.State == nil {
		return store.Unavailable.New("the store has no configuration")
	}
	return nil
}

func (s *SettlementWriter) entry(all []config.Settlement) audit.Entry {
	var parts []string
	for _, settlement := range all {
		parts = append(parts, fmt.Sprintf("%s %s", settlement.Action, settlement.Service))
	}
	return audit.Entry{Who: s.who, When: s.now(), What: strings.Join(parts, ", ")}
}

// Rebase makes the current target of a service its base. Errors are
// config.Conflict if the service has changed since the version seen, and those
// of the store.
func (s *SettlementWriter) Rebase(ctx context.Context, service string, seen config.Version) error {
	return s.settleOne(ctx, config.Settlement{Service: service, Action: config.RebaseService, BaseVersion: seen})
}

// Clear removes the past sets of a service, under the same conditions as
// Rebase.
func (s *SettlementWriter) Clear(ctx context.Context, service string, seen config.Version) error {
	return s.settleOne(ctx, config.Settlement{Service: service, Action: config.ClearService, BaseVersion: seen})
}

func (s *SettlementWriter) settleOne(ctx context.Context, settlement config.Settlement) error {
	outcomes, err := s.Settle(ctx, []config.Settlement{settlement})
	if err != nil {
		return err
	}
	return outcomes[0]
}
