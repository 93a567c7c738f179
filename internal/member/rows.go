package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
)

// rings is how many orders of the fleet there are: how many watchers each
// instance has, and half its neighbours.
const rings = 3

// row is one instance of the table.
type row struct {
	fleet.Instance
	// place is the position on each ring, index its number there.
	place [rings]uint64
	index [rings]int
	hash  uint64
	// suspicion is nil while nobody suspects the instance.
	suspicion *suspicion
	// died is when it was found dead, in nanoseconds.
	died int64
}

// suspicion is who suspects one incarnation of an instance, and since when.
type suspicion struct {
	since int64
	by    []fleet.ID
}

// rows is the table of instances in order of ID, with a digest of those that are
// not dead.
type rows struct {
	list   []*row
	digest uint64
}

func (r *rows) find(id fleet.ID) (int, bool) {
	return slices.BinarySearchFunc(r.list, id, func(x *row, id fleet.ID) int {
		return cmp.Compare(x.ID, id)
	})
}

// get returns the row with the ID, or nil.
func (r *rows) get(id fleet.ID) *row {
	at, ok := r.find(id)
	if !ok {
		return nil
	}
	return r.list[at]
}

func (r *rows) insert(i fleet.Instance) *row {
	x := &row{Instance: i, place: places(i.ID)}
	at, _ := r.find(i.ID)
	r.list = slices.Insert(r.list, at, x)
	r.rehash(x)
	return x
}

func (r *rows) remove(id fleet.ID) {
	at, ok := r.find(id)
	if !ok {
		return
	}
	r.digest ^= r.list[at].hash
	r.list = slices.Delete(r.list, at, at+1)
}

// rehash brings the digest up to date after a change of the row.
func (r *rows) rehash(x *row) {
	r.digest ^= x.hash
	x.hash = rowHash(x)
	r.digest ^= x.hash
}

func rowHash(x *row) uint64 {
	if x.State == fleet.Dead {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, x.ID...)
	b = append(b, byte(x.State))
	b = binary.BigEndian.AppendUint64(b, x.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(x.Applied))
	return xxh3.Hash(b)
}

func places(id fleet.ID) [rings]uint64 {
	var out [rings]uint64
	for ring := range out {
		out[ring] = xxh3.HashStringSeed(string(id), uint64(ring)+1)
	}
	return out
}
