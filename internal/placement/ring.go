package placement

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// ranks is how many instances are ranked for each bucket: the owner, the second,
// and the next ones, who may have been either before the last changes.
const ranks = 6

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
	// steady marks the buckets that this instance has owned without a break since
	// an agreement: older views name the same owner, so no new one is needed.
	steady *table.Bitmap
}

// ranking gives the rows of the ranked instances of each bucket.
type ranking [table.Buckets][ranks]uint16

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
	r.steady = r.keepSteady(prior)
	return r
}

// keepSteady returns the buckets that stay with this instance as their owner.
func (r *ring) keepSteady(prior *ring) *table.Bitmap {
	m := &table.Bitmap{}
	if prior == nil || prior.agreement == nil {
		return m
	}
	reached := prior.agreement.reached.Load()
	for bucket := range table.Buckets {
		if (reached || prior.steady.Has(bucket)) && prior.rankOf(bucket) == 0 && r.rankOf(bucket) == 0 {
			m.Set(bucket)
		}
	}
	return m
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

// rank orders the reachable instances for each bucket by rendezvous hashing
// (Thaler and Ravishankar, 1998). The first is a usable one. The second is the
// next usable one of another data centre, if there is one, so that the loss of a
// data centre leaves a copy. The ones after them alternate in the same way and
// include those that are leaving.
func rank(rows []fleet.Instance) *ranking {
	out := &ranking{}
	seeds := make([]uint64, len(rows))
	for i, row := range rows {
		seeds[i] = xxh3.HashString(string(row.ID))
	}
	var near, far best
	for b := range out {
		near, far = best{}, best{}
		first := highest(rows, seeds, uint64(b))
		if first == noRow {
			out[b] = [ranks]uint16{noRow, noRow, noRow, noRow, noRow, noRow}
			continue
		}
		for i := range rows {
			if !rows[i].Reachable() {
				continue
			}
			list := &far
			if rows[i].DataCentre == rows[first].DataCentre {
				list = &near
			}
			list.insert(rows, uint16(i), score(seeds[i], uint64(b)))
		}
		out[b] = interleave(&near, &far)
	}
	return out
}

func score(seed, bucket uint64) uint64 {
	return table.Mix(seed ^ table.Mix(bucket))
}

func highest(rows []fleet.Instance, seeds []uint64, bucket uint64) uint16 {
	first, top := noRow, uint64(0)
	for i := range rows {
		if s := score(seeds[i], bucket); rows[i].Usable() && (first == noRow || s > top) {
			first, top = uint16(i), s
		}
	}
	return first
}

// best is a short list of rows: the highest usable one, then the others in order
// of their scores.
type best struct {
	rows   [ranks]uint16
	scores [ranks]uint64
	n      int
}

func (l *best) insert(rows []fleet.Instance, row uint16, score uint64) {
	for k := 0; k < l.n; k++ {
		if l.before(rows, k, row, score) {
			l.rows[k], row = row, l.rows[k]
			l.scores[k], score = score, l.scores[k]
		}
	}
	if l.n < ranks {
		l.rows[l.n], l.scores[l.n] = row, score
		l.n++
	}
}

// before reports whether a row goes before the one at position k. Only the first
// position depends on whether a row is usable.
func (l *best) before(rows []fleet.Instance, k int, row uint16, score uint64) bool {
	if k == 0 && rows[row].Usable() != rows[l.rows[0]].Usable() {
		return rows[row].Usable()
	}
	return score > l.scores[k]
}

// interleave takes rows from both lists in turn, then what is left of either.
func interleave(near, far *best) [ranks]uint16 {
	var out [ranks]uint16
	n, f := 0, 0
	for k := range out {
		switch {
		case n < near.n && (k%2 == 0 || f == far.n):
			out[k] = near.rows[n]
			n++
		case f < far.n:
			out[k] = far.rows[f]
			f++
		default:
			out[k] = noRow
		}
	}
	return out
}

// rankOf returns the rank of the instance itself, or -1.
func (r *ring) rankOf(bucket int) int {
	if r.self == noRow {
		return -1
	}
	for k, row := range r.ranking[bucket] {
		if row == r.self {
			return k
		}
	}
	return -1
}

// at returns the instance of a rank, or nil.
func (r *ring) at(bucket, rank int) *fleet.Instance {
	if rank < 0 || rank >= ranks || r.ranking[bucket][rank] == noRow {
		return nil
	}
	return &r.rows[r.ranking[bucket][rank]]
}

// partner returns the instance that must learn what this one records: the second
// for the owner, and the owner for any other. It is nil if there is none.
func (r *ring) partner(bucket int) *fleet.Instance {
	if r.rankOf(bucket) == 0 {
		return r.at(bucket, 1)
	}
	return r.at(bucket, 0)
}

// holds reports whether the instance itself must hold the records of a bucket.
func (r *ring) holds(bucket int) bool {
	k := r.rankOf(bucket)
	return (k == 0 || k == 1) && r.rows[r.self].Usable()
}
