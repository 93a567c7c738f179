// Package rendezvous chooses instances for names by rendezvous hashing (Thaler and
// Ravishankar, 1998): all who see the same instances choose the same ones, and
// when an instance goes, only what it was chosen for moves. It does no I/O.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// Name hashes a text into a name.
func Name(text string) uint64 { return xxh3.HashString(text) }

// Score is the weight of an instance for a name.
func Score(id fleet.ID, name uint64) uint64 {
	return table.Mix(xxh3.HashString(string(id)) ^ name)
}

// Top returns the n instances with the highest scores for a name, the highest
// first, or all if there are fewer.
func Top(ids []fleet.ID, name uint64, n int) []fleet.ID {
	type ranked struct {
		id    fleet.ID
		score uint64
	}
	order := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	}
	best := make([]ranked, 0, n+1)
	for _, id := range ids {
		r := ranked{id: id, score: Score(id, name)}
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

// First returns the usable instance of a view with the highest score for a name,
// and false if none is usable.
func First(v *fleet.View, name uint64) (fleet.ID, bool) {
	top := Top(v.Usable(), name, 1)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}
