package placement

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

const (
	// holders is how many instances hold the records of a bucket: the owner and
	// the second.
	holders = 2
	// searchWidth is how many instances a search for the authority visits.
	searchWidth = 10
)

// noRow marks a rank that no instance holds.
const noRow = ^uint16(0)

// ring is what follows from one view of the table of instances, limited to the
// region of the instance itself. It is immutable but for the agreement.
type ring struct {
	rows []fleet.Instance
	self uint16
	// joining is set until the instance itself counts as started.
	joining bool
	leaving bool
	// digest identifies the usable instances and their incarnations.
	digest  uint64
	ranking *ranking
	// peers are the reachable instances besides the instance itself.
	peers []fleet.ID
	// lowest and highest are the bounds of the versions that peers have applied.
	lowest    config.Version
	highest   config.Version
	agreement *agreement
}

// ranking gives rows for each bucket: the holders, and those that a search visits
// in order of their scores, which are the same in every view.
type ranking struct {
	holders [table.Buckets][holders]uint16
	search  [table.Buckets][searchWidth]uint16
}

// newRing makes the ring of a view; prior may be nil.
func newRing(v *fleet.View, self fleet.ID, prior *ring) *ring {
	own, known := v.Get(self)
	r := &ring{self: noRow, joining: !known || own.State == fleet.Joining, leaving: own.State == fleet.Leaving}
	for _, i := range v.Instances {
		if known && i.Region == own.Region {
			r.add(i, self)
		}
	}
	r.digest = digest(r.rows)
	if prior != nil && prior.digest == r.digest && sameRows(prior.rows, r.rows) {
		r.ranking = prior.ranking
	} else {
		r.ranking = rank(r.rows)
	}
	return r
}

func (r *ring) add(i fleet.Instance, self fleet.ID) {
	if i.ID == self {
		r.self = uint16(len(r.rows))
	}
	r.rows = append(r.rows, i)
	if i.ID == self || !i.Reachable() {
		return
	}
	if len(r.peers) == 0 || i.Applied < r.lowest {
		r.lowest = i.Applied
	}
	r.highest = max(r.highest, i.Applied)
	r.peers = append(r.peers, i.ID)
}

func digest(rows []fleet.Instance) uint64 {
	var b []byte
	for _, i := range rows {
		if i.Usable() {
			b = append(b, i.ID...)
			b = append(b, 0)
			b = binary.LittleEndian.AppendUint64(b, i.Incarnation)
		}
	}
	return xxh3.Hash(b)
}

func sameRows(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool {
		return x.ID == y.ID && x.Usable() == y.Usable() &&
			x.Reachable() == y.Reachable() && x.DataCentre == y.DataCentre
	})
}

// partner returns the instance that must learn what this one records: the second
// for the owner, and the owner for any other. It is nil if there is none.
func (r *ring) partner(bucket int) *fleet.Instance {
	if r.rankOf(bucket) == 0 {
		return r.at(bucket, 1)
	}
	return r.at(bucket, 0)
}

// rankOf returns 0 if the instance itself is the owner of a bucket, 1 if it is the
// second, and -1 otherwise.
func (r *ring) rankOf(bucket int) int {
	if r.self == noRow {
		return -1
	}
	return slices.Index(r.ranking.holders[bucket][:], r.self)
}

// at returns the owner of a bucket for rank 0, the second for rank 1, or nil.
func (r *ring) at(bucket, rank int) *fleet.Instance {
	row := r.ranking.holders[bucket][rank]
	if row == noRow {
		return nil
	}
	return &r.rows[row]
}

// holds reports whether the instance itself must hold the records of a bucket.
func (r *ring) holds(bucket int) bool {
	return r.rankOf(bucket) >= 0
}

// next returns the instance that a search goes on with: from the highest score
// for one that begins, else the next one below this instance. It is nil at the
// end. Since scores are the same in every view, no search visits one twice.
func (r *ring) next(bucket int, begins bool) *fleet.Instance {
	passed := begins
	for _, row := range r.ranking.search[bucket] {
		if row == noRow {
			return nil
		}
		if passed && row != r.self {
			return &r.rows[row]
		}
		passed = passed || row == r.self
	}
	return nil
}

// secondTo returns the buckets that a peer owns and this instance is the second
// of.
func (r *ring) secondTo(owner fleet.ID) *table.Bitmap {
	m := &table.Bitmap{}
	for bucket := range table.Buckets {
		if r.rankOf(bucket) == 1 && r.at(bucket, 0).ID == owner {
			m.Set(bucket)
		}
	}
	return m
}
