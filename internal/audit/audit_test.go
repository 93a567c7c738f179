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

func chain(n int) []Entry {
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

// TestVerify tampers with each entry of a trail in every way there is.
func TestVerify(t *testing.T) {
	is := is.New(t)
	whole := chain(6)
	last := whole[len(whole)-1]
	is.NoErr(Verify(whole, last))
	is.NoErr(Verify(whole[3:], last)) // the oldest may have been dropped
	is.NoErr(Verify(nil, Entry{}))
	is.True(Tampered.Has(Verify(nil, last)))
	for i := range whole {
		altered := slices.Clone(whole)
		altered[i].Who = "somebody else"
		is.True(Tampered.Has(Verify(altered, last)))
		altered[i].Hash = altered[i].hash() // sealed anew
		is.True(Tampered.Has(Verify(altered, last)))
		if i > 0 {
			is.True(Tampered.Has(Verify(slices.Delete(slices.Clone(whole), i, i+1), last)))
			swapped := slices.Clone(whole)
			swapped[i-1], swapped[i] = swapped[i], swapped[i-1]
			is.True(Tampered.Has(Verify(swapped, last)))
		}
		is.True(Tampered.Has(Verify(slices.Insert(slices.Clone(whole), i, whole[i]), last)))
	}
	is.True(Tampered.Has(Verify(whole[:5], last)))
}

// TestTrail appends more entries than the trail holds, repeating some and losing answers.
func TestTrail(t *testing.T) {
	is := is.New(t)
	server := &direct{values: map[string]store.Value{}}
	trail := NewTrail(server, "audit")
	entries := chain(MaxEntries + 100)
	for i, e := range entries {
		if i%500 == 0 {
			server.lost = 1
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
	is.True(len(server.values) <= pages)
	some, err := trail.Read(t.Context(), last.Sequence, 70)
	is.NoErr(err)
	is.Equal(some, entries[len(entries)-70:])
	other := Seal(entries[len(entries)-2], Entry{Who: "forger"})
	is.True(Tampered.Has(trail.Append(t.Context(), other)))
}

// direct is a store without limits, which this test is not about. It loses the
// answers of the next writes.
type direct struct {
	store.Store
	values map[string]store.Value
	lost   int
}

func (d *direct) Get(_ context.Context, key string) (store.Value, error) {
	if value, found := d.values[key]; found {
		return value, nil
	}
	return store.Value{}, store.NotFound.New("%s", key)
}

func (d *direct) CompareAndSwap(_ context.Context, key string, old store.Revision, data []byte) (store.Revision, error) {
	if d.values[key].Revision != old {
		return 0, store.Conflict.New("%s", key)
	}
	d.values[key] = store.Value{Revision: old + 1, Data: data}
	if d.lost > 0 {
		d.lost--
		return 0, store.Unknown.New("%s", key)
	}
	return old + 1, nil
}
