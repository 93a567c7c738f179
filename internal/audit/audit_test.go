package audit

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

func sealedEntries(n int) []Entry {
	var entries []Entry
	var last Entry
	for i := range n {
		last = Seal(last, Entry{
			Version: config.Version(i + 1), From: config.Version(i), ChangeID: fmt.Sprint("change-", i),
			Who: "operator", When: time.Unix(int64(i), 0), What: "drain " + strings.Repeat("ū", MaxText), Digest: "d",
		})
		entries = append(entries, last)
	}
	return entries
}

// TestVerify alters, removes, swaps and duplicates each entry of a trail in
// turn, and truncates the trail. Verify must report each.
func TestVerify(t *testing.T) {
	is := is.New(t)
	trail := sealedEntries(6)
	last := trail[len(trail)-1]
	is.NoErr(Verify(trail, last))
	is.NoErr(Verify(trail[3:], last)) // the oldest entries may have been dropped
	is.NoErr(Verify(nil, Entry{}))
	is.True(Tampered.Has(Verify(nil, last)))
	for i := range trail {
		altered := slices.Clone(trail)
		altered[i].Who = "somebody else"
		is.True(Tampered.Has(Verify(altered, last)))
		altered[i].Hash = altered[i].hash() // the hash matches the altered entry again
		is.True(Tampered.Has(Verify(altered, last)))
		if i > 0 {
			is.True(Tampered.Has(Verify(slices.Delete(slices.Clone(trail), i, i+1), last)))
			swapped := slices.Clone(trail)
			swapped[i-1], swapped[i] = swapped[i], swapped[i-1]
			is.True(Tampered.Has(Verify(swapped, last)))
		}
		is.True(Tampered.Has(Verify(slices.Insert(slices.Clone(trail), i, trail[i]), last)))
	}
	is.True(Tampered.Has(Verify(trail[:5], last)))
}

// TestTrail appends more entries than the trail holds, repeating some and
// losing the answers to some writes.
func TestTrail(t *testing.T) {
	is := is.New(t)
	server := &memoryStore{values: map[string]store.Value{}}
	trail := NewTrail(server, "audit")
	entries := sealedEntries(MaxEntries + 100)
	for i, e := range entries {
		if i%500 == 0 {
			server.loseAnswers = 1
		}
		is.NoErr(trail.Append(t.Context(), e))
		if i%700 == 0 {
			is.NoErr(trail.Append(t.Context(), entries[max(0, i-1)]))
		}
	}
	last := entries[len(entries)-1]
	kept, err := trail.Read(t.Context(), last.Sequence, 0)
	is.NoErr(err)
	is.NoErr(Verify(kept, last))
	is.True(len(kept) <= MaxEntries && len(kept) > MaxEntries-entriesPerPage)
	is.True(len(server.values) <= maxPages)
	newest, err := trail.Read(t.Context(), last.Sequence, 70)
	is.NoErr(err)
	is.Equal(newest, entries[len(entries)-70:])
	forged := Seal(entries[len(entries)-2], Entry{Who: "forger"})
	is.True(Tampered.Has(trail.Append(t.Context(), forged)))
}

// memoryStore is a store in memory without the limits of the real one, which
// are not under test here. It loses the answers to the next writes.
type memoryStore struct {
	store.Store
	values      map[string]store.Value
	loseAnswers int
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Value, error) {
	if value, found := m.values[key]; found {
		return value, nil
	}
	return store.Value{}, store.NotFound.New("%s", key)
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	if m.values[key].Revision != old {
		return 0, store.Conflict.New("%s", key)
	}
	m.values[key] = store.Value{Position: store.Position{Revision: old + 1}, Data: data}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, store.OutcomeUnknown.New("%s", key)
	}
	return old + 1, nil
}
