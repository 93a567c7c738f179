package confstore

import (
	"context"
	"encoding/json"
	"slices"

	"balsamfork/internal/store"
)

const (
	// keepHeads is for how many revisions of the head a value is kept after the
	// last head that named it, for readers that are still at it.
	keepHeads = 8
	// maxAllocated bounds the values that exist at any time.
	maxAllocated = 4096
	// writeAttempts bounds how often a write begins again after losing a race.
	writeAttempts = 16
)

// allocations says which values exist, and for which revision of the head each
// was written. A writer whose base is past can no longer swap the head, so its
// values are free again even if it never came back.
type allocations struct {
	Next uint64       `json:"next"`
	Free []uint64     `json:"free,omitempty"`
	Used []allocation `json:"used,omitempty"`
}

type allocation struct {
	Number uint64         `json:"number"`
	Base   store.Revision `json:"base"`
}

// take frees what the head leaves behind, and takes count numbers for a writer
// whose base is that head. It returns nil if there are too many already.
func (a *allocations) take(count int, head Head, base store.Revision) []uint64 {
	a.release(head, base)
	if len(a.Used)+count > maxAllocated {
		return nil
	}
	var taken []uint64
	for range count {
		var number uint64
		if len(a.Free) > 0 {
			number, a.Free = a.Free[0], a.Free[1:]
		} else {
			a.Next++
			number = a.Next
		}
		taken = append(taken, number)
		a.Used = append(a.Used, allocation{Number: number, Base: base})
	}
	return taken
}

// release frees the values that the head does not name and that no writer can
// bring into a later head. What was named by an earlier head stays for keepHeads
// revisions more.
func (a *allocations) release(head Head, revision store.Revision) {
	named := map[uint64]bool{}
	for _, v := range head.Values {
		named[v.Number] = true
	}
	a.Used = slices.DeleteFunc(a.Used, func(u allocation) bool {
		if named[u.Number] || u.Base+keepHeads >= revision {
			return false
		}
		a.Free = append(a.Free, u.Number)
		return true
	})
}

// allocate takes count numbers in the store. Errors are those of the store.
func (r *Repository) allocate(ctx context.Context, count int, head Head, base store.Revision) ([]uint64, error) {
	if count == 0 {
		return nil, nil
	}
	var err error
	for range writeAttempts {
		var taken []uint64
		taken, err = r.tryAllocate(ctx, count, head, base)
		if !store.Conflict.Has(err) && !store.Unknown.Has(err) {
			return taken, err
		}
	}
	return nil, err
}

func (r *Repository) tryAllocate(ctx context.Context, count int, head Head, base store.Revision) ([]uint64, error) {
	var a allocations
	value, err := r.store.Get(ctx, allocationKey)
	switch {
	case store.NotFound.Has(err):
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(value.Data, &a); err != nil {
			return nil, Error.New("the allocations cannot be read: %w", err)
		}
	}
	taken := a.take(count, head, base)
	if taken == nil {
		return nil, Error.New("%d values are allocated already", len(a.Used))
	}
	data, err := json.Marshal(a)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = r.store.CompareAndSwap(ctx, allocationKey, value.Revision, data)
	return taken, err
}

// put writes a value. It returns errLost if its number has gone to a later
// writer: this one was paused for so long that its base is past.
func (r *Repository) put(ctx context.Context, b blob) error {
	var err error
	for range writeAttempts {
		var have store.Value
		have, err = r.store.Get(ctx, valueKey(b.number))
		if err != nil && !store.NotFound.Has(err) {
			return err
		}
		if err == nil && digest(have.Data) == digest(b.data) {
			return nil
		}
		if writtenFrom(have) > b.base {
			return errLost
		}
		_, err = r.store.CompareAndSwap(ctx, valueKey(b.number), have.Revision, b.data)
		if !store.Conflict.Has(err) && !store.Unknown.Has(err) {
			return err
		}
	}
	return err
}

// writtenFrom returns the base of a value, zero if there is none.
func writtenFrom(have store.Value) store.Revision {
	var content struct {
		Base store.Revision `json:"base"`
	}
	if json.Unmarshal(have.Data, &content) != nil {
		return 0
	}
	return content.Base
}
