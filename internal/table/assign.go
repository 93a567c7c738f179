package table

import "balsamfork/internal/config"

// Buckets is how many buckets the flows of a service are spread over.
const Buckets = 4096

// None marks a bucket without a backend server in a Table over an empty set.
const None = ^uint16(0)

// Table maps each bucket to the position of its member in the set that the
// table was built over. It is immutable once built.
type Table [Buckets]uint16

// Build assigns the buckets to the members in proportion to their weights, by
// the filling of Maglev (Eisenbud et al., 2016): members take turns, each
// taking the next free bucket of its own permutation. It depends on the set
// alone. Members of weight 0 get no bucket.
func Build(set config.Set) *Table {
	t := &Table{}
	for i := range t {
		t[i] = None
	}
	turns := newTurns(set)
	if len(turns) == 0 {
		return t
	}
	for range Buckets {
		turn := next(turns)
		turn.take(t)
	}
	return t
}

// turn is the state of one member while a table is filled.
type turn struct {
	position uint16
	number   config.Number
	weight   uint64
	taken    uint64
	// bucket is the next entry of the permutation, step the odd distance
	// between entries: as Buckets is a power of two, every bucket is met once.
	bucket uint32
	step   uint32
}

func newTurns(set config.Set) []turn {
	turns := make([]turn, 0, len(set))
	for i, m := range set {
		if m.Weight == 0 {
			continue
		}
		h := Mix(uint64(m.Number))
		turns = append(turns, turn{
			position: uint16(i),
			number:   m.Number,
			weight:   uint64(m.Weight),
			bucket:   uint32(h) % Buckets,
			step:     uint32(h>>32)%Buckets | 1,
		})
	}
	return turns
}

// next picks the member whose share is filled least: the lowest (taken+1)/weight,
// and the first in order of the set among equals.
func next(turns []turn) *turn {
	best := &turns[0]
	for i := 1; i < len(turns); i++ {
		t := &turns[i]
		if (t.taken+1)*best.weight < (best.taken+1)*t.weight {
			best = t
		}
	}
	return best
}

func (m *turn) take(t *Table) {
	for t[m.bucket] != None {
		m.bucket = (m.bucket + m.step) % Buckets
	}
	t[m.bucket] = m.position
	m.taken++
}
