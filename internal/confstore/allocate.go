package confstore

import (
	"context"
	"encoding/json"
	"slices"

	"balsamfork/internal/store"
)

const (
	// retainedHeads is the number of heads after its base for which a value that
	// the head does not name stays allocated, so that reads in progress still find
	// it.
	retainedHeads = 8
	// maxAllocatedValues bounds the number of values allocated at any time.
	maxAllocatedValues = 4096
	// maxWriteAttempts bounds the attempts of a write that loses races.
	maxWriteAttempts = 16
)

// allocations lists the free and the allocated value numbers. Each allocated
// number has a base, the head revision that its writer started from. Once the
// head has moved on from the base, the writer can no longer swap it, so its
// values are reclaimed even if the writer never returns. Highest is the highest
// number used so far.
type allocations struct {
	Highest uint64       `json:"next"`
	Free    []uint64     `json:"free,omitempty"`
	Used    []allocation `json:"used,omitempty"`
	// Heads lists the revisions of the newest heads that writers started from,
	// oldest first, at most retainedHeads+1.
	Heads []store.Revision `json:"heads,omitempty"`
}

type allocation struct {
	Number uint64         `json:"number"`
	Base   store.Revision `json:"base"`
}

// reserve releases the values that are no longer in use and allocates count
// numbers to a writer whose base is head. It returns nil if that would exceed
// maxAllocatedValues.
func (a *allocations) reserve(count int, head Head, base store.Revision) []uint64 {
	a.release(head, base)
	if len(a.Used)+count > maxAllocatedValues {
		return nil
	}
	var numbers []uint64
	for range count {
		var number uint64
		if len(a.Free) > 0 {
			number, a.Free = a.Free[0], a.Free[1:]
		} else {
			a.Highest++
			number = a.Highest
		}
		numbers = append(numbers, number)
		a.Used = append(a.Used, allocation{Number: number, Base: base})
	}
	return numbers
}

// release frees the values that head does not name and that no writer can still
// add to a later head. Values whose base is one of the last retainedHeads heads
// before this one are kept.
func (a *allocations) release(head Head, revision store.Revision) {
	if len(a.Heads) == 0 || a.Heads[len(a.Heads)-1] < revision {
		a.Heads = append(a.Heads, revision)
	}
	a.Heads = a.Heads[max(0, len(a.Heads)-retainedHeads-1):]
	if len(a.Heads) <= retainedHeads {
		return
	}
	named := map[uint64]bool{}
	for _, v := range head.Values {
		named[v.Number] = true
	}
	a.Used = slices.DeleteFunc(a.Used, func(u allocation) bool {
		if named[u.Number] || u.Base >= a.Heads[0] {
			return false
		}
		a.Free = append(a.Free, u.Number)
		return true
	})
}

// allocate reserves count value numbers in the store. Errors are those of the
// store, or Error.
func (r *Repository) allocate(ctx context.Context, count int, head Head, base store.Revision) ([]uint64, error) {
	if count == 0 {
		return nil, nil
	}
	var err error
	for range maxWriteAttempts {
		var numbers []uint64
		numbers, err = r.tryAllocate(ctx, count, head, base)
		if !store.Conflict.Has(err) && !store.OutcomeUnknown.Has(err) {
			return numbers, err
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
			return nil, Error.New("decode allocations: %w", err)
		}
	}
	numbers := a.reserve(count, head, base)
	if numbers == nil {
		return nil, Error.New("too many values are allocated: %d", len(a.Used))
	}
	data, err := json.Marshal(a)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = r.store.CompareAndSwap(ctx, allocationKey, value.Revision, data)
	return numbers, err
}

// putValue writes a value. It returns errHeadChanged if its number was
// reallocated to a writer with a later base, which happens if this writer was
// paused until its own base was outdated.
func (r *Repository) putValue(ctx context.Context, b blob) error {
	var err error
	for range maxWriteAttempts {
		var existing store.Value
		existing, err = r.store.Get(ctx, valueKey(b.number))
		if err != nil && !store.NotFound.Has(err) {
			return err
		}
		if err == nil && digest(existing.Data) == digest(b.data) {
			return nil
		}
		if baseRevision(existing) > b.base {
			return errHeadChanged
		}
		_, err = r.store.CompareAndSwap(ctx, valueKey(b.number), existing.Revision, b.data)
		if !store.Conflict.Has(err) && !store.OutcomeUnknown.Has(err) {
			return err
		}
	}
	return err
}

// baseRevision returns the base of a stored value, zero if there is none.
func baseRevision(existing store.Value) store.Revision {
	var content struct {
		Base store.Revision `json:"base"`
	}
	if json.Unmarshal(existing.Data, &content) != nil {
		return 0
	}
	return content.Base
}
