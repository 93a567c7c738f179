package confstore

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// Outcome is the result of a change request.
type Outcome struct {
	// Version is the version that contains the change.
	Version config.Version `json:"version"`
	// AlreadyApplied is set if an earlier attempt of the same change was
	// accepted, or if the change has no effect.
	AlreadyApplied bool `json:"already"`
	// Diff is the effect of the change; nil if an earlier attempt was accepted.
	Diff *config.Diff `json:"diff,omitempty"`
}

// ConflictError reports the changes that were accepted after the version that
// an operator's change is based on. It belongs to the class config.Conflict.
type ConflictError struct {
	Seen   config.Version `json:"seen"`
	Newest config.Version `json:"newest"`
	// Since holds the entries of the audit trail after Seen, oldest first.
	Since []audit.Entry `json:"since"`
	// Diff is the effect that the operator's change would have on the newest
	// version.
	Diff *config.Diff `json:"diff"`

	cause error
}

// Error describes the changes accepted since Seen and what applying the
// operator's change now would do, including what it would undo.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the change was made against version %d; version %d is in force", e.Seen, e.Newest)
	for _, entry := range e.Since {
		fmt.Fprintf(&b, "\n  version %d by %s: %s", entry.Version, entry.Who, entry.What)
	}
	if e.Diff != nil {
		fmt.Fprintf(&b, "\n  applied now, this change would: %s", e.Diff.Summary(audit.MaxText))
	}
	return b.String()
}

// Unwrap returns the error of class config.Conflict.
func (e *ConflictError) Unwrap() error { return e.cause }

// Apply writes a declaration to the store as the next version. Repeating a
// change with the same ID is safe. Errors: strictjson.Problems, *ConflictError,
// config.NeedsForce, config.Newer, store.OutcomeUnknown if the outcome cannot be
// determined (repeat the same change), or those of the store, after which
// nothing was changed.
func (r *Repository) Apply(ctx context.Context, doc config.Document, change config.Change) (Outcome, error) {
	return r.Propose(ctx, config.Declare(doc), change)
}

// Mark sets or removes a mark, as the next version, under the rules of Apply.
// The declaration is not changed. Further errors are config.Invalid if the
// declaration does not contain what the mark names, and config.AlreadyDeclared.
func (r *Repository) Mark(ctx context.Context, mark config.Mark, set bool, change config.Change) (Outcome, error) {
	if set {
		return r.Propose(ctx, config.SetMark(mark), change)
	}
	return r.Propose(ctx, config.RemoveMark(mark), change)
}

// Propose writes the version that a proposal derives to the store, under the
// rules of Apply. The proposal may be called several times.
func (r *Repository) Propose(ctx context.Context, propose config.Proposal, change config.Change) (Outcome, error) {
	var base Snapshot
	for range maxWriteAttempts {
		var err error
		if base, err = r.Read(ctx, base); err != nil {
			return Outcome{}, err
		}
		if base.State != nil {
			if version, accepted := base.State.AcceptedAs(change.ID); accepted {
				return Outcome{Version: version, AlreadyApplied: true}, nil
			}
		}
		if base.Version() < change.BaseVersion {
			return Outcome{}, store.Unavailable.New("the store answers with version %d, after version %d was seen",
				base.Version(), change.BaseVersion)
		}
		next, diff, err := propose(base.State, change)
		if config.Conflict.Has(err) {
			return Outcome{}, r.conflict(ctx, base, propose, change, err)
		}
		if err != nil {
			return Outcome{Diff: diff}, err
		}
		if next == base.State {
			return Outcome{Version: base.Version(), AlreadyApplied: true, Diff: diff}, nil
		}
		written, err := r.write(ctx, base, next, changeEntry(change, diff))
		if errors.Is(err, errHeadChanged) {
			continue
		}
		return Outcome{Version: written.Version(), Diff: diff}, err
	}
	return Outcome{}, store.Unavailable.New("change %s lost %d races", change.ID, maxWriteAttempts)
}

func changeEntry(change config.Change, diff *config.Diff) audit.Entry {
	what := change.What
	if what == "" {
		what = diff.Summary(audit.MaxText)
	}
	return audit.Entry{Who: change.Who, When: change.When, What: what, Commit: change.Commit}
}

func (r *Repository) conflict(ctx context.Context, base Snapshot, propose config.Proposal, change config.Change, cause error) error {
	conflict := &ConflictError{Seen: change.BaseVersion, Newest: base.Version(), cause: cause}
	change.BaseVersion, change.Force = base.Version(), true
	if _, diff, err := propose(base.State, change); err == nil {
		conflict.Diff = diff
	}
	// If the trail cannot be read, the conflict is reported without it.
	entries, _ := r.Audit(ctx, 0)
	for _, e := range entries {
		if e.Version > conflict.Seen {
			conflict.Since = append(conflict.Since, e)
		}
	}
	return conflict
}

// Audit returns the newest limit entries of the audit trail, oldest first; zero
// means all. If the trail or the configuration does not match its hashes, the
// entries are returned together with audit.Tampered.
func (r *Repository) Audit(ctx context.Context, limit int) ([]audit.Entry, error) {
	current, err := r.Read(ctx, Snapshot{})
	if err != nil {
		return nil, err
	}
	last := current.Head.Entry
	entries, err := r.Trail().Read(ctx, last.Sequence, limit)
	if err != nil {
		return nil, err
	}
	if n := len(entries); last.Sequence != 0 && (n == 0 || entries[n-1].Sequence+1 == last.Sequence) {
		entries = append(entries, last)
	}
	if limit > 0 {
		entries = entries[max(0, len(entries)-limit):]
	}
	if err := audit.Verify(entries, last); err != nil {
		return entries, err
	}
	return entries, verifyState(current)
}

// verifyState returns audit.Tampered if the configuration does not match the
// digest in its audit entry.
func verifyState(s Snapshot) error {
	if s.State == nil {
		return nil
	}
	sum, err := s.Head.digest()
	if err != nil {
		return err
	}
	if sum != s.Head.Entry.Digest {
		return audit.Tampered.New("version %d does not match the digest in its audit entry", s.Version())
	}
	return nil
}
