package placement

import (
	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// rank orders the instances for each bucket by rendezvous hashing (Thaler and
// Ravishankar, 1998). The owner is the usable one with the highest score, the
// second the next usable one of another data centre, if there is one, so that the
// loss of a data centre leaves a copy.
func rank(rows []fleet.Instance) *ranking {
	out := &ranking{}
	scores := make([]uint64, len(rows))
	seeds := make([]uint64, len(rows))
	for i, row := range rows {
		seeds[i] = xxh3.HashString(string(row.ID))
	}
	for b := range table.Buckets {
		spread := table.Mix(uint64(b))
		for i := range rows {
			scores[i] = table.Mix(seeds[i] ^ spread)
		}
		out.holders[b] = holdersOf(rows, scores)
		out.search[b] = searchOf(rows, scores, out.holders[b])
	}
	return out
}

func holdersOf(rows []fleet.Instance, scores []uint64) [holders]uint16 {
	owner := highest(rows, scores, fleet.Instance.Usable)
	if owner == noRow {
		return [holders]uint16{noRow, noRow}
	}
	second := highest(rows, scores, func(i fleet.Instance) bool {
		return i.Usable() && i.DataCentre != rows[owner].DataCentre
	})
	if second == noRow {
		second = highest(rows, scores, func(i fleet.Instance) bool {
			return i.Usable() && i.ID != rows[owner].ID
		})
	}
	return [holders]uint16{owner, second}
}

func highest(rows []fleet.Instance, scores []uint64, allowed func(fleet.Instance) bool) uint16 {
	best := noRow
	for i := range rows {
		if (best == noRow || scores[i] > scores[best]) && allowed(rows[i]) {
			best = uint16(i)
		}
	}
	return best
}

// searchOf returns the reachable rows with the highest scores in order, the
// second among them in any case.
func searchOf(rows []fleet.Instance, scores []uint64, held [holders]uint16) [searchWidth]uint16 {
	var out [searchWidth]uint16
	for k := range out {
		out[k] = noRow
	}
	for i := range rows {
		if rows[i].Reachable() {
			insert(&out, scores, uint16(i))
		}
	}
	if second := held[1]; second != noRow && out[searchWidth-1] != noRow && scores[second] < scores[out[searchWidth-1]] {
		out[searchWidth-1] = second
	}
	return out
}

// insert puts a row into its place by score and drops the last one.
func insert(list *[searchWidth]uint16, scores []uint64, row uint16) {
	for k := range list {
		if list[k] == noRow || scores[row] > scores[list[k]] {
			list[k], row = row, list[k]
		}
		if row == noRow {
			return
		}
	}
}
