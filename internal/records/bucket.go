package records

import (
	"math/bits"

	"balsamfork/internal/table"
)

const (
	// minSlots is the room of a bucket that has any record.
	minSlots = 8
	// A bucket grows when more than fullPart of fullWhole slots are taken.
	fullPart, fullWhole = 3, 4
	// bucketBits are the low bits of a flow hash, equal within a bucket.
	bucketBits = 12
)

func (b *Bucket) home(flow uint64) int {
	return int(flow>>bucketBits) & (len(b.slots) - 1)
}

// find returns the slot of a flow, or the empty one where it would go.
func (b *Bucket) find(flow uint64) int {
	i := b.home(flow)
	for !b.slots[i].empty() && b.slots[i].Flow != flow {
		i = (i + 1) & (len(b.slots) - 1)
	}
	return i
}

// Get returns the record of a flow, and false if there is none.
func (b *Bucket) Get(flow uint64) (Record, bool) {
	if b.count == 0 {
		return Record{}, false
	}
	r := b.slots[b.find(flow)]
	return r, !r.empty()
}

// Put keeps a record in place of the flow's earlier one. It returns false, and
// keeps what there was, when a bound is reached.
func (b *Bucket) Put(r Record) bool {
	if b.count == 0 {
		return b.insert(r)
	}
	i := b.find(r.Flow)
	old := b.slots[i]
	if old.empty() {
		return b.insert(r)
	}
	if !b.change(old.Kind(), r.Kind()) {
		return false
	}
	b.slots[i] = r
	return true
}

// change moves the count of a record from one kind to another. An Opening has
// its room among Placed reserved already.
func (b *Bucket) change(from, to Kind) bool {
	t := b.table
	switch {
	case from == to:
		return true
	case from == Opening && to == Placed:
		t.counts[Placed].Add(1)
	case !t.reserve(to):
		return false
	}
	t.counts[from].Add(-1)
	return true
}

func (b *Bucket) insert(r Record) bool {
	if !b.table.reserve(r.Kind()) {
		return false
	}
	if (b.count+1)*fullWhole > len(b.slots)*fullPart {
		b.resize(max(minSlots, 2*len(b.slots)))
	}
	b.slots[b.find(r.Flow)] = r
	b.count++
	return true
}

func (b *Bucket) resize(n int) {
	old := b.slots
	b.slots = make([]Record, n)
	for _, r := range old {
		if !r.empty() {
			b.slots[b.find(r.Flow)] = r
		}
	}
}

// Touch refreshes the record of a flow, which must exist, with a new kind and
// time; closed marks it as closed and leaves a closed one so.
func (b *Bucket) Touch(flow uint64, kind Kind, seen uint32, closed bool) {
	i := b.find(flow)
	r := &b.slots[i]
	if b.change(r.Kind(), kind) {
		r.server = r.server&^kindMask | uint32(kind)<<kindShift
	}
	if closed {
		r.server |= closedFlag
	}
	r.Seen = seen
}

// Delete forgets the record of a flow.
func (b *Bucket) Delete(flow uint64) {
	if b.count == 0 {
		return
	}
	i := b.find(flow)
	if b.slots[i].empty() {
		return
	}
	b.table.counts[b.slots[i].Kind()].Add(-1)
	b.count--
	b.slots[i] = Record{}
	b.close(i)
}

// close moves the records after an emptied slot to where probing finds them
// (Knuth, The Art of Computer Programming, volume 3, 6.4, algorithm R).
func (b *Bucket) close(hole int) {
	mask := len(b.slots) - 1
	for i := (hole + 1) & mask; !b.slots[i].empty(); i = (i + 1) & mask {
		distance := (i - b.home(b.slots[i].Flow)) & mask
		if distance < (i-hole)&mask {
			continue
		}
		b.slots[hole] = b.slots[i]
		b.slots[i] = Record{}
		hole = i
	}
}

// Each calls f for each record until it returns false.
func (b *Bucket) Each(f func(Record) bool) {
	for _, r := range b.slots {
		if !r.empty() && !f(r) {
			return
		}
	}
}

// Sweep forgets each record that drop returns true for, and gives back memory
// that is no longer needed. It returns how many records it forgot.
func (b *Bucket) Sweep(drop func(Record) bool) int {
	var gone []uint64
	for _, r := range b.slots {
		if !r.empty() && drop(r) {
			gone = append(gone, r.Flow)
		}
	}
	for _, f := range gone {
		b.Delete(f)
	}
	b.shrink()
	return len(gone)
}

func (b *Bucket) shrink() {
	if b.count == 0 {
		b.slots = nil
		return
	}
	want := 1 << bits.Len(uint(b.count*2))
	if want = max(want, minSlots); want*2 < len(b.slots) {
		b.resize(want)
	}
}

// Append encodes the records of the bucket after to.
func (b *Bucket) Append(to []byte) []byte {
	b.Each(func(r Record) bool {
		to = Append(to, r)
		return true
	})
	return to
}

// Sum returns a sum over the flows that are not closed, with their backend servers. Equal contents have equal sums; others differ but by chance.
func (b *Bucket) Sum() uint32 {
	sum := uint32(0)
	b.Each(func(r Record) bool {
		if !r.Closed() {
			sum += uint32(table.Mix(r.Flow ^ table.Mix(uint64(r.Server()))))
		}
		return true
	})
	return sum
}
