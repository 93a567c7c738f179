package placement

import (
	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// rankInstances orders the instances for each bucket by rendezvous hashing
// (Thaler and Ravishankar, 1998). The owner is the usable one with the highest
// score, the backup the next usable one of another data centre, if there is
// one, so that a copy survives the loss of a data centre.
func rankInstances(rows []fleet.Instance) *ranking {
	out := &ranking{}
	scores := make([]uint64, len(rows))
	idHashes := make([]uint64, len(rows))
	for i, row := range rows {
		idHashes[i] = xxh3.HashString(string(row.ID))
	}
	for b := range table.Buckets {
		bucketHash := table.Mix(uint64(b))
		for i := range rows {
			scores[i] = table.Mix(idHashes[i] ^ bucketHash)
		}
		out.replicas[b] = replicasOf(rows, scores)
		out.search[b] = searchOrder(rows, scores, out.replicas[b])
	}
	return out
}

func replicasOf(rows []fleet.Instance, scores []uint64) [replicas]uint16 {
	owner := highestScore(rows, scores, fleet.Instance.Usable)
	if owner == noRow {
		return [replicas]uint16{noRow, noRow}
	}
	backup := highestScore(rows, scores, func(i fleet.Instance) bool {
		return i.Usable() && i.DataCentre != rows[owner].DataCentre
	})
	if backup == noRow {
		backup = highestScore(rows, scores, func(i fleet.Instance) bool {
			return i.Usable() && i.ID != rows[owner].ID
		})
	}
	return [replicas]uint16{owner, backup}
}

func highestScore(rows []fleet.Instance, scores []uint64, allowed func(fleet.Instance) bool) uint16 {
	best := noRow
	for i := range rows {
		if (best == noRow || scores[i] > scores[best]) && allowed(rows[i]) {
			best = uint16(i)
		}
	}
	return best
}

// searchOrder returns the reachable rows with the highest scores in order,
// always including the backup.
func searchOrder(rows []fleet.Instance, scores []uint64, holders [replicas]uint16) [searchWidth]uint16 {
	var out [searchWidth]uint16
	for k := range out {
		out[k] = noRow
	}
	for i := range rows {
		if rows[i].Reachable() {
			insertByScore(&out, scores, uint16(i))
		}
	}
	if backup := holders[1]; backup != noRow && out[searchWidth-1] != noRow && scores[backup] < scores[out[searchWidth-1]] {
		out[searchWidth-1] = backup
	}
	return out
}

// insertByScore inserts a row in order of its score and drops the last one.
func insertByScore(list *[searchWidth]uint16, scores []uint64, row uint16) {
	for k := range list {
		if list[k] == noRow || scores[row] > scores[list[k]] {
			list[k], row = row, list[k]
		}
		if row == noRow {
			return
		}
	}
}
