package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
)

// ringCount is the number of rings. It is also the number of watchers of each
// instance and the average number of instances that it watches.
const ringCount = 3

// row is the entry of one instance in the table.
type row struct {
	fleet.Instance
	// ringKey is the sort key of the instance on each ring, ringIndex its index there.
	ringKey   [ringCount]uint64
	ringIndex [ringCount]int
	hash      uint64
	// suspicion is nil while the instance is not suspected.
	suspicion *suspicion
	// diedAt is when the instance was declared dead, in nanoseconds of Unix time.
	diedAt int64
}

// suspicion records which instances suspect an incarnation, and since when, in
// nanoseconds of Unix time.
type suspicion struct {
	since int64
	by    []fleet.ID
}

// rows holds the instances sorted by ID, with a digest of those that are not dead.
type rows struct {
	list   []*row
	digest uint64
}

func (r *rows) find(id fleet.ID) (int, bool) {
	return slices.BinarySearchFunc(r.list, id, func(x *row, id fleet.ID) int {
		return cmp.Compare(x.ID, id)
	})
}

// get returns the row with the given ID, or nil.
func (r *rows) get(id fleet.ID) *row {
	at, ok := r.find(id)
	if !ok {
		return nil
	}
	return r.list[at]
}

func (r *rows) insert(i fleet.Instance) *row {
	x := &row{Instance: i, ringKey: ringKeys(i.ID)}
	at, _ := r.find(i.ID)
	r.list = slices.Insert(r.list, at, x)
	r.updateDigest(x)
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

// updateDigest updates the digest after a change of the row.
func (r *rows) updateDigest(x *row) {
	r.digest ^= x.hash
	x.hash = rowHash(x)
	r.digest ^= x.hash
}

// rowHash returns the contribution of a row to the digest: zero for a dead instance.
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

func ringKeys(id fleet.ID) [ringCount]uint64 {
	var out [ringCount]uint64
	for ring := range out {
		out[ring] = xxh3.HashStringSeed(string(id), uint64(ring)+1)
	}
	return out
}
