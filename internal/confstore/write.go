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

// errLost says that another writer swapped the head first.
var errLost = errors.New("another version was accepted first")

// write brings next into the store as the version after base, with the audit
// entry of its change. It returns errLost when base is no longer the newest
// version, store.Unknown when it cannot be found out whether the write took
// effect, and else the errors of the store.
func (r *Repository) write(ctx context.Context, base Snapshot, next *config.State, entry audit.Entry) (Snapshot, error) {
	head, blobs, err := r.plan(ctx, base, next)
	if err != nil {
		return Snapshot{}, unchanged(err)
	}
	if entry.Digest, err = head.digest(); err != nil {
		return Snapshot{}, err
	}
	entry.Version, entry.From, entry.ChangeID = next.Version, base.Version(), next.ChangeID()
	head.Entry = audit.Seal(base.Head.Entry, entry)
	for _, blob := range blobs {
		if err := r.put(ctx, blob); err != nil {
			return Snapshot{}, unchanged(err)
		}
	}
	// A trail that was tampered with must not stop changes: Audit shows it.
	if err := r.Trail().Append(ctx, base.Head.Entry); err != nil && !audit.Tampered.Has(err) {
		return Snapshot{}, unchanged(err)
	}
	revision, err := r.swap(ctx, base.Revision, head)
	if err != nil {
		return Snapshot{}, err
	}
	// The entry is safe in the head: whoever writes next appends it if this fails.
	_ = r.Trail().Append(ctx, head.Entry)
	return Snapshot{State: next, Head: head, Revision: revision}, nil
}

// unchanged returns the error of a write before the head's. Whether that write
// took effect does not matter to the configuration.
func unchanged(err error) error {
	if store.Unknown.Has(err) || store.Conflict.Has(err) {
		return store.Unavailable.New("nothing was changed: %v", err)
	}
	return err
}

// blob is a value to write under the number allocated for it.
type blob struct {
	number uint64
	base   store.Revision
	data   []byte
}

// plan lays out the head of next and returns the values to write.
func (r *Repository) plan(ctx context.Context, base Snapshot, next *config.State) (Head, []blob, error) {
	head := Head{Header: next.StateHeader}
	kept, changed := divide(base, next)
	datas, groups, err := pack(base.Revision, changed)
	if err != nil {
		return head, nil, err
	}
	numbers, err := r.allocate(ctx, len(datas), base.Head, base.Revision)
	if err != nil {
		return head, nil, err
	}
	place := map[string]uint64{}
	var blobs []blob
	for i, group := range groups {
		for _, record := range group {
			place[record.Name] = numbers[i]
		}
		blobs = append(blobs, blob{number: numbers[i], base: base.Revision, data: datas[i]})
		head.Values = append(head.Values, ValueRef{Number: numbers[i], Digest: digest(datas[i])})
	}
	for _, ref := range kept {
		place[ref.Name] = ref.Value
	}
	for _, old := range base.Head.Values {
		if slices.ContainsFunc(kept, func(ref ServiceRef) bool { return ref.Value == old.Number }) {
			head.Values = append(head.Values, old)
		}
	}
	for _, record := range next.Services {
		head.Services = append(head.Services, ServiceRef{Name: record.Name, Written: record.Written, Value: place[record.Name]})
	}
	return head, blobs, nil
}

// divide returns the references of the services that stay where they are, and
// the records to write: those that changed, or all once they lie in too many
// values or next is of another history.
func divide(base Snapshot, next *config.State) ([]ServiceRef, []config.ServiceRecord) {
	if len(base.Head.Values) >= maxValues || !next.Follows(base.State.Held()) {
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

// swap swaps the head and finds out what a lost answer was.
func (r *Repository) swap(ctx context.Context, base store.Revision, head Head) (store.Revision, error) {
	data, err := json.Marshal(head)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var unknown error
	for range writeAttempts {
		revision, err := r.store.CompareAndSwap(ctx, headKey, base, data)
		switch {
		case err == nil:
			return revision, nil
		case store.Unknown.Has(err):
			unknown = err
			continue
		case store.Conflict.Has(err):
			return r.swapped(ctx, head, unknown)
		case unknown != nil:
			return 0, store.Unknown.New("change %s: %v", head.Header.ChangeID(), err)
		default:
			return 0, err
		}
	}
	return 0, unknown
}

// swapped finds out by reading whether the head that is there stems from this
// attempt.
func (r *Repository) swapped(ctx context.Context, head Head, unknown error) (store.Revision, error) {
	if unknown == nil {
		return 0, errLost
	}
	value, err := r.store.Get(ctx, headKey)
	if err != nil {
		return 0, store.Unknown.New("change %s: %v", head.Header.ChangeID(), err)
	}
	var found Head
	if err := json.Unmarshal(value.Data, &found); err != nil {
		return 0, Error.New("the head cannot be read: %w", err)
	}
	if _, accepted := found.Header.AcceptedAs(head.Header.ChangeID()); !accepted {
		return 0, errLost
	}
	if found.Header.Version != head.Header.Version {
		return 0, errLost
	}
	return value.Revision, nil
}

// Trail returns the audit trail of the configuration.
func (r *Repository) Trail() *audit.Trail {
	return audit.NewTrail(r.store, auditPrefix)
}
