package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"balsamfork/internal/store"
)

// The trail keeps at most the MaxEntries newest entries. It holds fewer just
// after the oldest page was overwritten.
const (
	entriesPerPage = 64
	maxPages       = 64
	// MaxEntries is the maximum number of entries in the trail.
	MaxEntries = entriesPerPage * maxPages

	maxAppendAttempts = 8
)

// Trail reads and appends the entries in a store.
type Trail struct {
	store  store.Store
	prefix string
}

// NewTrail returns the trail whose keys begin with prefix.
func NewTrail(s store.Store, prefix string) *Trail {
	return &Trail{store: s, prefix: prefix}
}

// page is the stored form of up to entriesPerPage entries, from sequence number
// Number*entriesPerPage+1 on.
type page struct {
	Number  uint64  `json:"number"`
	Entries []Entry `json:"entries"`
}

func pageOf(sequence uint64) uint64 { return (sequence - 1) / entriesPerPage }

// key returns the key of a page, which it shares with the page maxPages earlier.
func (t *Trail) key(number uint64) string {
	return fmt.Sprintf("%s/%d", t.prefix, number%maxPages)
}

func (t *Trail) readPage(ctx context.Context, number uint64) (page, store.Revision, error) {
	value, err := t.store.Get(ctx, t.key(number))
	if store.NotFound.Has(err) {
		return page{Number: number}, 0, nil
	}
	if err != nil {
		return page{}, 0, err
	}
	var p page
	if err := json.Unmarshal(value.Data, &p); err != nil {
		return page{}, 0, Tampered.New("page %d: %w", number, err)
	}
	return p, value.Revision, nil
}

// Append writes a sealed entry. It has no effect if the entry is already in the
// trail or its page has been overwritten by a later one. It returns Tampered if
// the trail has another entry in its place, and otherwise the errors of the
// store.
func (t *Trail) Append(ctx context.Context, e Entry) error {
	if e.Sequence == 0 {
		return nil
	}
	var err error
	for range maxAppendAttempts {
		var done bool
		if done, err = t.tryAppend(ctx, e); done {
			return err
		}
	}
	return err
}

// tryAppend makes one attempt and reports whether its outcome is final.
func (t *Trail) tryAppend(ctx context.Context, e Entry) (bool, error) {
	number := pageOf(e.Sequence)
	p, revision, err := t.readPage(ctx, number)
	if err != nil {
		return true, err
	}
	if p.Number > number {
		return true, nil
	}
	if p.Number < number {
		p = page{Number: number}
	}
	for _, existing := range p.Entries {
		if existing.Sequence != e.Sequence {
			continue
		}
		if existing.Hash != e.Hash {
			return true, Tampered.New("the trail has a different entry %d", e.Sequence)
		}
		return true, nil
	}
	p.Entries = append(p.Entries, e)
	slices.SortFunc(p.Entries, bySequence)
	data, err := json.Marshal(p)
	if err != nil {
		return true, Tampered.Wrap(err)
	}
	_, err = t.store.CompareAndSwap(ctx, t.key(number), revision, data)
	retry := store.Conflict.Has(err) || store.OutcomeUnknown.Has(err)
	return !retry, err
}

func bySequence(a, b Entry) int {
	switch {
	case a.Sequence < b.Sequence:
		return -1
	case a.Sequence > b.Sequence:
		return 1
	}
	return 0
}

// Read returns the newest limit entries up to entry last, oldest first. A limit of
// zero means all. The entries are not verified; see Verify.
func (t *Trail) Read(ctx context.Context, last uint64, limit int) ([]Entry, error) {
	if limit <= 0 {
		limit = MaxEntries
	}
	var entries []Entry
	if last == 0 {
		return nil, nil
	}
	for pagesBack := range uint64(maxPages) {
		if pagesBack > pageOf(last) || len(entries) >= limit {
			break
		}
		number := pageOf(last) - pagesBack
		p, _, err := t.readPage(ctx, number)
		if err != nil {
			return nil, err
		}
		if p.Number != number {
			break
		}
		upToLast := slices.DeleteFunc(slices.Clone(p.Entries), func(e Entry) bool { return e.Sequence > last })
		entries = append(upToLast, entries...)
	}
	return entries[max(0, len(entries)-limit):], nil
}
