package table

import "balsamfork/internal/config"

// Buckets is the number of buckets that the flows of a service are hashed into.
const Buckets = 4096

// None is the entry of every bucket in a Table whose set has no member with a weight
// above 0.
const None = ^uint16(0)

// Table maps each bucket to the index of its member in the set that the table was
// built from. It is immutable once built.
type Table [Buckets]uint16

// Build assigns the buckets to the members in proportion to their weights, as in
// Maglev hashing (Eisenbud et al., 2016): the member that is furthest below its
// share is assigned the next free bucket of its own permutation, until no bucket is
// free. The table depends on the set alone. Members of weight 0 get no bucket.
func Build(set config.Set) *Table {
	t := &Table{}
	for i := range t {
		t[i] = None
	}
	states := newMemberStates(set)
	if len(states) == 0 {
		return t
	}
	for range Buckets {
		member := leastFilled(states)
		member.assignNext(t)
	}
	return t
}

// memberState is the state of one member while a table is built.
type memberState struct {
	position uint16
	number   config.Number
	weight   uint64
	assigned uint64
	// bucket is the next entry of the permutation, step the distance between
	// entries. Buckets is a power of two and step is odd, so the permutation visits
	// every bucket once.
	bucket uint32
	step   uint32
}

func newMemberStates(set config.Set) []memberState {
	states := make([]memberState, 0, len(set))
	for i, m := range set {
		if m.Weight == 0 {
			continue
		}
		h := Mix(uint64(m.Number))
		states = append(states, memberState{
			position: uint16(i),
			number:   m.Number,
			weight:   uint64(m.Weight),
			bucket:   uint32(h) % Buckets,
			step:     uint32(h>>32)%Buckets | 1,
		})
	}
	return states
}

// leastFilled returns the member with the lowest (assigned+1)/weight, and the first
// in the order of the set among equals.
func leastFilled(states []memberState) *memberState {
	best := &states[0]
	for i := 1; i < len(states); i++ {
		s := &states[i]
		if (s.assigned+1)*best.weight < (best.assigned+1)*s.weight {
			best = s
		}
	}
	return best
}

func (m *memberState) assignNext(t *Table) {
	for t[m.bucket] != None {
		m.bucket = (m.bucket + m.step) % Buckets
	}
	t[m.bucket] = m.position
	m.assigned++
}
