package confstore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// errHeadChanged reports that another writer swapped the head first.
var errHeadChanged = errors.New("another version was accepted first")

// write stores next as the version after base, with the audit entry of its
// change. It returns errHeadChanged if base is no longer the newest version,
// store.OutcomeUnknown if it cannot be determined whether the write took
// effect, and otherwise the errors of the store.
func (r *Repository) write(ctx context.Context, base Snapshot, next *config.State, entry audit.Entry) (Snapshot, error) {
	head, blobs, err := r.buildHead(ctx, base, next)
	if err != nil {
		return Snapshot{}, unchangedError(err)
	}
	if entry.Digest, err = head.digest(); err != nil {
		return Snapshot{}, err
	}
	entry.Version, entry.From, entry.ChangeID = next.Version, base.Version(), next.ChangeID()
	head.Entry = audit.Seal(base.Head.Entry, entry)
	for _, blob := range blobs {
		if err := r.putValue(ctx, blob); err != nil {
			return Snapshot{}, unchangedError(err)
		}
	}
	// A trail that was tampered with must not block changes; Audit reports it.
	if err := r.Trail().Append(ctx, base.Head.Entry); err != nil && !audit.Tampered.Has(err) {
		return Snapshot{}, unchangedError(err)
	}
	revision, err := r.swapHead(ctx, base.Position.Revision, head)
	if err != nil {
		return Snapshot{}, err
	}
	// The head contains the entry, so the next writer appends it if this fails.
	_ = r.Trail().Append(ctx, head.Entry)
	return Snapshot{State: next, Head: head, Position: store.Position{Epoch: base.Position.Epoch, Revision: revision}}, nil
}

// unchangedError returns the error of a write that precedes the swap of the
// head. The configuration is unchanged whether or not that write took effect.
func unchangedError(err error) error {
	if store.OutcomeUnknown.Has(err) || store.Conflict.Has(err) {
		return store.Unavailable.New("nothing was changed: %v", err)
	}
	return err
}

// blob is an encoded value and the number allocated for it.
type blob struct {
	number uint64
	base   store.Revision
	data   []byte
}

// buildHead returns the head of next and the values to write.
func (r *Repository) buildHead(ctx context.Context, base Snapshot, next *config.State) (Head, []blob, error) {
	head := Head{Header: next.StateHeader}
	kept, changed := partition(base, next)
	encoded, groups, err := encodeValues(base.Position.Revision, changed)
	if err != nil {
		return head, nil, err
	}
	numbers, err := r.allocate(ctx, len(encoded), base.Head, base.Position.Revision)
	if err != nil {
		return head, nil, err
	}
	valueNumbers := map[string]uint64{}
	var blobs []blob
	for i, group := range groups {
		for _, record := range group {
			valueNumbers[record.Name] = numbers[i]
		}
		blobs = append(blobs, blob{number: numbers[i], base: base.Position.Revision, data: encoded[i]})
		head.Values = append(head.Values, ValueRef{Number: numbers[i], Digest: digest(encoded[i])})
	}
	for _, ref := range kept {
		valueNumbers[ref.Name] = ref.Value
	}
	for _, value := range base.Head.Values {
		if slices.ContainsFunc(kept, func(ref ServiceRef) bool { return ref.Value == value.Number }) {
			head.Values = append(head.Values, value)
		}
	}
	for _, record := range next.Services {
		head.Services = append(head.Services, ServiceRef{Name: record.Name, Written: record.Written, Value: valueNumbers[record.Name]})
	}
	return head, blobs, nil
}

// partition returns the references to the services whose records stay in place,
// and the records to write: those that changed, or all of them if base has
// maxValues values or next does not descend from base.
func partition(base Snapshot, next *config.State) ([]ServiceRef, []config.ServiceRecord) {
	if len(base.Head.Values) >= maxValues || !next.DescendsFrom(base.State.VersionID()) {
		return nil, next.Services
	}
	old := map[string]ServiceRef{}
	for _, ref := range base.Head.Services {
		old[ref.Name] = ref
	}
	var kept []ServiceRef
	var changed []config.ServiceRecord
	for _, record := range next.Services {
		ref, known := old[record.Name]
		if known && ref.Written == record.Written {
			kept = append(kept, ref)
			continue
		}
		changed = append(changed, record)
	}
	return kept, changed
}

// swapHead swaps the head. If an answer was lost, it determines whether the
// swap took effect.
func (r *Repository) swapHead(ctx context.Context, base store.Revision, head Head) (store.Revision, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var unknown error
	for range maxWriteAttempts {
		revision, err := r.store.CompareAndSwap(ctx, headKey, base, data)
		switch {
		case err == nil:
			return revision, nil
		case store.OutcomeUnknown.Has(err):
			unknown = err
			continue
		case store.Conflict.Has(err):
			return r.resolveSwap(ctx, head, unknown)
		case unknown != nil:
			return 0, store.OutcomeUnknown.New("change %s: %v", head.Header.ChangeID(), err)
		default:
			return 0, err
		}
	}
	return 0, unknown
}

// resolveSwap determines, by reading the head, whether it was written by this
// attempt.
func (r *Repository) resolveSwap(ctx context.Context, head Head, unknown error) (store.Revision, error) {
	if unknown == nil {
		return 0, errHeadChanged
	}
	value, err := r.store.Get(ctx, headKey)
	if err != nil {
		return 0, store.OutcomeUnknown.New("change %s: %v", head.Header.ChangeID(), err)
	}
	var current Head
	if err := json.Unmarshal(value.Data, &current); err != nil {
		return 0, Error.New("decode head: %w", err)
	}
	if _, accepted := current.Header.AcceptedAs(head.Header.ChangeID()); !accepted {
		return 0, errHeadChanged
	}
	if current.Header.Version != head.Header.Version {
		return 0, errHeadChanged
	}
	return value.Revision, nil
}

// Trail returns the audit trail of the configuration.
func (r *Repository) Trail() *audit.Trail {
	return audit.NewTrail(r.store, auditPrefix)
}
