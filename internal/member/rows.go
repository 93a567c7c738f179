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
	// place is the position on each ring.
	place [rings]uint64
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

// neighbours returns the next and the one before on each ring among the
// instances that are not dead, without doubles; nil if there is no other.
func (r *rows) neighbours(self fleet.ID) (after, before []fleet.ID) {
	own := places(self)
	for ring := range rings {
		next, last := r.adjacent(self, own[ring], ring, present)
		if next == nil {
			return nil, nil
		}
		after = appendNew(after, next.ID)
		before = appendNew(before, last.ID)
	}
	return after, before
}

// watchers returns the next instances on each ring, and beyond each that is
// suspected the next that is not: others may have found it dead already.
func (r *rows) watchers(self fleet.ID) []fleet.ID {
	own := places(self)
	var out []fleet.ID
	for ring := range rings {
		next, _ := r.adjacent(self, own[ring], ring, present)
		if next == nil {
			return nil
		}
		out = appendNew(out, next.ID)
		sound, _ := r.adjacent(self, own[ring], ring, unsuspected)
		if sound != nil {
			out = appendNew(out, sound.ID)
		}
	}
	return out
}

func present(x *row) bool { return x.State != fleet.Dead }

func unsuspected(x *row) bool { return x.State != fleet.Dead && x.suspicion == nil }

// adjacent finds the instances right after and right before a place on a ring,
// of those that count.
func (r *rows) adjacent(self fleet.ID, at uint64, ring int, counts func(*row) bool) (next, last *row) {
	var gap, back uint64
	for _, x := range r.list {
		if x.ID == self || !counts(x) {
			continue
		}
		forward := x.place[ring] - at
		if next == nil || forward < gap {
			next, gap = x, forward
		}
		if last == nil || -forward < back {
			last, back = x, -forward
		}
	}
	return next, last
}

func appendNew(list []fleet.ID, id fleet.ID) []fleet.ID {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}
