package table

import (
	"math/bits"

	"balsamfork/internal/config"
)

// Bitmap is a set of buckets, with one bit for each.
type Bitmap [Buckets / 64]uint64

// Has reports whether the bit of a bucket is set.
func (m *Bitmap) Has(bucket int) bool {
	return m[bucket/64]&(1<<(bucket%64)) != 0
}

// Set sets the bit of a bucket.
func (m *Bitmap) Set(bucket int) {
	m[bucket/64] |= 1 << (bucket % 64)
}

// Add sets all bits that are set in another bitmap.
func (m *Bitmap) Add(other *Bitmap) {
	for i := range m {
		m[i] |= other[i]
	}
}

// Count returns how many bits are set.
func (m *Bitmap) Count() int {
	n := 0
	for _, w := range m {
		n += bits.OnesCount64(w)
	}
	return n
}

// Assignment is a table with the set that it was built from.
type Assignment struct {
	Set   config.Set
	Table *Table
}

// Number returns the backend server of a bucket, or zero if the bucket has none.
func (a Assignment) Number(bucket int) config.Number {
	p := a.Table[bucket]
	if p == None {
		return 0
	}
	return a.Set[p].Number
}

// Unsettled returns the buckets on which the assignments do not all agree, and
// those that any of them maps to a backend server for which announced returns
// true.
func Unsettled(assignments []Assignment, announced func(config.Number) bool) *Bitmap {
	m := &Bitmap{}
	for b := range Buckets {
		if !settled(assignments, b, announced) {
			m.Set(b)
		}
	}
	return m
}

func settled(assignments []Assignment, bucket int, announced func(config.Number) bool) bool {
	first := assignments[0].Number(bucket)
	for _, a := range assignments {
		n := a.Number(bucket)
		if n != first || announced(n) {
			return false
		}
	}
	return true
}
