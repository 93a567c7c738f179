package records

import (
	"math/bits"

	"balsamfork/internal/table"
)

const (
	// minSlots is the smallest number of slots allocated for a bucket that has records.
	minSlots = 8
	// maxLoadNum/maxLoadDen is the load factor above which a bucket grows.
	maxLoadNum, maxLoadDen = 3, 4
	// bucketBits is the number of low bits of a flow hash that select the bucket; they
	// are equal for all flows of a bucket, so probing starts from the bits above them.
	bucketBits = 12
)

func (b *Bucket) homeSlot(flow uint64) int {
	return int(flow>>bucketBits) & (len(b.slots) - 1)
}

// findSlot returns the slot of a flow, or the empty slot where it would be inserted.
func (b *Bucket) findSlot(flow uint64) int {
	i := b.homeSlot(flow)
	for !b.slots[i].empty() && b.slots[i].Flow != flow {
		i = (i + 1) & (len(b.slots) - 1)
	}
	return i
}

// Get returns the record of a flow, or false if there is none.
func (b *Bucket) Get(flow uint64) (Record, bool) {
	if b.count == 0 {
		return Record{}, false
	}
	r := b.slots[b.findSlot(flow)]
	return r, !r.empty()
}

// Put stores a record, replacing an earlier one of the same flow. It returns false
// and leaves the bucket unchanged when a limit of the table is reached.
func (b *Bucket) Put(r Record) bool {
	if b.count == 0 {
		return b.insert(r)
	}
	i := b.findSlot(r.Flow)
	old := b.slots[i]
	if old.empty() {
		return b.insert(r)
	}
	if !b.changeKind(old.Kind(), r.Kind()) {
		return false
	}
	b.slots[i] = r
	return true
}

// changeKind moves a record from the count of one kind to that of another, and
// returns false if the limits do not allow it. Opening and Placed records share a limit,
// so turning an Opening into a Placed one always succeeds.
func (b *Bucket) changeKind(from, to Kind) bool {
	t := b.table
	switch {
	case from == to:
		return true
	case from == Opening && to == Placed:
		t.counts[Placed].Add(1)
		t.counts[Opening].Add(-1)
		return true
	case from == Placed && to == Opening:
		if !t.add(&t.counts[Opening], t.limits.Opening) {
			return false
		}
		t.counts[Placed].Add(-1)
		return true
	case !t.reserve(to):
		return false
	}
	t.release(from)
	return true
}

func (b *Bucket) insert(r Record) bool {
	if !b.table.reserve(r.Kind()) {
		return false
	}
	if (b.count+1)*maxLoadDen > len(b.slots)*maxLoadNum {
		b.resize(max(minSlots, 2*len(b.slots)))
	}
	b.slots[b.findSlot(r.Flow)] = r
	b.count++
	return true
}

func (b *Bucket) resize(n int) {
	old := b.slots
	b.slots = make([]Record, n)
	for _, r := range old {
		if !r.empty() {
			b.slots[b.findSlot(r.Flow)] = r
		}
	}
}

// Touch updates the time of the record of a flow, which must exist, and its kind if
// the limits allow it. If closed is set, the record is marked as closed; a closed
// record stays closed.
func (b *Bucket) Touch(flow uint64, kind Kind, seen uint32, closed bool) {
	i := b.findSlot(flow)
	r := &b.slots[i]
	if b.changeKind(r.Kind(), kind) {
		r.server = r.server&^kindMask | uint32(kind)<<kindShift
	}
	if closed {
		r.server |= closedFlag
	}
	r.Seen = seen
}

// Delete removes the record of a flow, if there is one.
func (b *Bucket) Delete(flow uint64) {
	if b.count == 0 {
		return
	}
	i := b.findSlot(flow)
	if b.slots[i].empty() {
		return
	}
	b.table.release(b.slots[i].Kind())
	b.count--
	b.slots[i] = Record{}
	b.closeGap(i)
}

// closeGap moves the records after an emptied slot back, so that probing still finds
// them (Knuth, The Art of Computer Programming, volume 3, 6.4, algorithm R).
func (b *Bucket) closeGap(gap int) {
	mask := len(b.slots) - 1
	for i := (gap + 1) & mask; !b.slots[i].empty(); i = (i + 1) & mask {
		distance := (i - b.homeSlot(b.slots[i].Flow)) & mask
		if distance < (i-gap)&mask {
			continue
		}
		b.slots[gap] = b.slots[i]
		b.slots[i] = Record{}
		gap = i
	}
}

// Each calls f for each record until f returns false.
func (b *Bucket) Each(f func(Record) bool) {
	for _, r := range b.slots {
		if !r.empty() && !f(r) {
			return
		}
	}
}

// Sweep deletes each record for which drop returns true, and releases memory that is
// no longer needed. It returns how many records it deleted.
func (b *Bucket) Sweep(drop func(Record) bool) int {
	var dropped []uint64
	for _, r := range b.slots {
		if !r.empty() && drop(r) {
			dropped = append(dropped, r.Flow)
		}
	}
	for _, f := range dropped {
		b.Delete(f)
	}
	b.shrink()
	return len(dropped)
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

// Append appends the encoded records of the bucket to a byte slice.
func (b *Bucket) Append(to []byte) []byte {
	b.Each(func(r Record) bool {
		to = Append(to, r)
		return true
	})
	return to
}

// Sum returns a checksum over the flows that are not closed and their backend
// servers. Equal contents have equal sums; unequal contents have equal sums only by
// chance.
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
