// Package rendezvous assigns keys to instances by rendezvous hashing (Thaler and
// Ravishankar, 1998): instances with the same view make the same assignment, and when
// an instance is removed, only the keys that were assigned to it move. The package
// does no I/O.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// KeyOf returns the key of a text, which is its hash.
func KeyOf(text string) uint64 { return xxh3.HashString(text) }

// Score returns the score of an instance for a key.
func Score(id fleet.ID, key uint64) uint64 {
	return table.Mix(xxh3.HashString(string(id)) ^ key)
}

// Top returns the n instances with the highest scores for a key, in descending order
// of score, or all if there are fewer. Equal scores are ordered by ID.
func Top(ids []fleet.ID, key uint64, n int) []fleet.ID {
	type ranked struct {
		id    fleet.ID
		score uint64
	}
	order := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	}
	best := make([]ranked, 0, n+1)
	for _, id := range ids {
		r := ranked{id: id, score: Score(id, key)}
		at, _ := slices.BinarySearchFunc(best, r, order)
		if at == n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), n)]
	}
	out := make([]fleet.ID, len(best))
	for i, r := range best {
		out[i] = r.id
	}
	return out
}

// First returns the usable instance of a view with the highest score for a key, or
// false if no instance is usable.
func First(v *fleet.View, key uint64) (fleet.ID, bool) {
	top := Top(v.UsableIDs(), key, 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}
