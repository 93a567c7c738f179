// Package pair determines which two instances are jointly responsible for a name:
// the first two by rendezvous hashing (Thaler and Ravishankar, 1998) among the
// instances of a data centre. The first decides, the second records the decision,
// and nothing is done unless both have agreed to it. An instance stops counting at
// once when it is certain to have ended, but only after Timing.UnreachableRetention
// when it is merely unreachable, since it may be on the other side of a network
// partition. The package does no I/O.
package pair

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
)

// Size is the maximum number of instances in a pair. In a data centre with one
// instance, pairs have one member.
const Size = 2

// Holder identifies one run of an instance. Anything granted to it ends with the
// run.
type Holder struct {
	ID          fleet.ID `json:"id"`
	Incarnation uint64   `json:"incarnation"`
}

// Timing holds the bounds on how late instances learn of each other's state.
type Timing struct {
	// Settle is the maximum time until every reachable instance has learnt of a
	// change of the table, clock differences included.
	Settle time.Duration
	// RecordsAfter is how long after its start an instance begins to record keys. Its
	// Incarnation is its start time in milliseconds of Unix time.
	RecordsAfter time.Duration
	// UnreachableRetention is how long an instance that is found dead continues to
	// count if there is no proof that it has ended.
	UnreachableRetention time.Duration
}

type member struct {
	fleet.Instance
	// countsUntil is when the member stops counting, in nanoseconds; zero means
	// that no end is set.
	countsUntil int64
	// absentFrom and recordsFrom bound the time in which the member did not count
	// for keys, as far as this instance knows: from the end of its previous run
	// until its present run records keys.
	absentFrom, recordsFrom int64
	// minIncarnation is the lowest incarnation that may still run: one above the
	// newest run that is certain to have ended.
	minIncarnation uint64
}

// Table holds the instances that count, as seen by one instance. It is not safe
// for concurrent use.
type Table struct {
	timing  Timing
	members []member
	// initialised is set once the first view has been applied.
	initialised bool
}

// New returns an empty table.
func New(timing Timing) *Table { return &Table{timing: timing} }

// Update applies a view of the instances at now, in nanoseconds.
func (t *Table) Update(now int64, v *fleet.View) {
	for i := range t.members {
		m := &t.members[i]
		if _, found := v.Get(m.ID); !found {
			t.stopCounting(m, now, t.timing.UnreachableRetention)
		}
	}
	for _, in := range v.Instances {
		t.updateMember(now, in, in.ID == v.Self)
	}
	t.initialised = true
	t.removeStale(now)
}

func (t *Table) updateMember(now int64, instance fleet.Instance, own bool) {
	at, found := slices.BinarySearchFunc(t.members, instance.ID, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		// An instance that is dead in the first view that lists it may be on the
		// other side of a partition, so it is added as well.
		t.members = slices.Insert(t.members, at, member{Instance: instance})
	}
	m := &t.members[at]
	if newRun := !found || instance.Incarnation > m.Incarnation; newRun && instance.Incarnation >= m.minIncarnation {
		t.addRun(now, m, instance.Incarnation, found, own)
	}
	wasLeaving := m.State == fleet.Leaving
	m.Instance = instance
	switch {
	case instance.Incarnation < m.minIncarnation:
		m.State = fleet.Dead
		t.stopCounting(m, now, 0)
	case instance.State == fleet.Leaving:
		t.stopCounting(m, now, 0)
	case instance.State == fleet.Dead && wasLeaving:
		m.State = fleet.Leaving
	case instance.State == fleet.Dead:
		t.stopCounting(m, now, t.timing.UnreachableRetention)
	default:
		m.countsUntil = 0
	}
}

// addRun records a new run of a member, or a new member. Another instance that is
// present when this one starts may have had an earlier run, which recorded keys until
// the present one started.
func (t *Table) addRun(now int64, m *member, incarnation uint64, known, own bool) {
	started := int64(incarnation) * int64(time.Millisecond)
	m.absentFrom = 0
	switch end := m.keysEnd(); {
	case known && end != 0:
		m.absentFrom = min(now, end)
	case known:
		m.absentFrom = now
	case !t.initialised && !own:
		m.absentFrom = started
	}
	m.recordsFrom = max(m.recordsFrom, started+int64(t.timing.RecordsAfter))
}

// keysEnd returns the time from which the member does not count for new keys, in
// nanoseconds, or zero if none is known. For an announced departure all instances use
// the announced time: if each used the time at which it learnt of the departure, they
// would never agree on the pair of a key created in between.
func (m *member) keysEnd() int64 {
	if m.LeavesAt != 0 {
		return int64(m.LeavesAt) * int64(time.Millisecond)
	}
	return m.countsUntil
}

// countedAt reports whether the member counts for a key with this creation time.
func (m *member) countedAt(created int64) bool {
	if end := m.keysEnd(); end != 0 && created >= end {
		return false
	}
	return created < m.absentFrom || created >= m.recordsFrom
}

// ConfirmEnded records the proof that a run of an instance and all earlier ones have
// ended.
func (t *Table) ConfirmEnded(now int64, id fleet.ID, incarnation uint64) {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found || t.members[at].Incarnation > incarnation {
		return
	}
	m := &t.members[at]
	m.minIncarnation = incarnation + 1
	m.State = fleet.Dead
	if m.countsUntil == 0 || m.countsUntil > now {
		m.countsUntil = now
	}
}

// EndUnconfirmed returns the instances of the data centre whose end is still to be
// proved: those that are unreachable and still count, and those suspected of being
// unreachable.
func (t *Table) EndUnconfirmed(dataCentre string, now int64) []fleet.Instance {
	list := t.UnreachableCounted(dataCentre, now)
	for i := range t.members {
		if m := &t.members[i]; m.countsUntil == 0 && m.State == fleet.Suspect && m.DataCentre == dataCentre {
			list = append(list, m.Instance)
		}
	}
	return list
}

// UnreachableCounted returns the instances of the data centre that are unreachable
// and still count.
func (t *Table) UnreachableCounted(dataCentre string, now int64) []fleet.Instance {
	var unreachable []fleet.Instance
	for i := range t.members {
		m := &t.members[i]
		if m.countsUntil > now && m.DataCentre == dataCentre {
			unreachable = append(unreachable, m.Instance)
		}
	}
	return unreachable
}

// Unreachable reports whether an instance is unknown or dead.
func (t *Table) Unreachable(id fleet.ID) bool {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	return !found || t.members[at].State == fleet.Dead
}

// Incarnation returns the newest known incarnation of an instance, or zero.
func (t *Table) Incarnation(id fleet.ID) uint64 {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return 0
	}
	return t.members[at].Incarnation
}

// DataCentre returns the data centre of an instance, or "" if the instance is not
// known.
func (t *Table) DataCentre(id fleet.ID) string {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return ""
	}
	return t.members[at].DataCentre
}

func (t *Table) stopCounting(m *member, now int64, after time.Duration) {
	if m.countsUntil == 0 {
		m.countsUntil = now + int64(after)
	}
}

// removeStale removes the members that stopped counting so long ago that no pair
// still in use includes them.
func (t *Table) removeStale(now int64) {
	retention := int64(2 * t.timing.UnreachableRetention)
	t.members = slices.DeleteFunc(t.members, func(m member) bool { return m.countsUntil != 0 && m.countsUntil+retention < now })
}

// Pair holds the instances that are jointly responsible for one name.
type Pair struct {
	ids [Size]fleet.ID
	n   int
}

// IDs returns the members in order of rank, the highest first.
func (p *Pair) IDs() []fleet.ID { return p.ids[:p.n] }

// Has reports whether the instance is a member.
func (p *Pair) Has(id fleet.ID) bool { return slices.Contains(p.ids[:p.n], id) }

// Digest returns a hash of the members. A member accepts only requests that carry
// the digest of the pair that it computes itself.
func (p *Pair) Digest() uint64 {
	var h xxh3.Hasher
	for _, id := range p.IDs() {
		h.WriteString(string(id))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// ForKey returns the pair of a name among the instances of the data centre that
// counted for keys at the creation time, in nanoseconds.
func (t *Table) ForKey(name uint64, dataCentre string, created int64) Pair {
	return t.pair(name, func(m *member) bool { return m.DataCentre == dataCentre && m.countedAt(created) })
}

// Pair returns the pair of a name among the instances of the data centre that
// count at now, in nanoseconds. If there are none, it is chosen among those of the
// region.
func (t *Table) Pair(name uint64, dataCentre, region string, now int64) Pair {
	counts := func(m *member) bool { return m.countsUntil == 0 || now < m.countsUntil }
	p := t.pair(name, func(m *member) bool { return m.DataCentre == dataCentre && counts(m) })
	if p.n == 0 {
		p = t.pair(name, func(m *member) bool { return m.Region == region && counts(m) })
	}
	return p
}

func (t *Table) pair(name uint64, eligible func(*member) bool) Pair {
	var p Pair
	var ranks [Size]uint64
	for i := range t.members {
		m := &t.members[i]
		if !eligible(m) {
			continue
		}
		r := Rank(m.ID, name)
		k := p.n
		for k > 0 && ranks[k-1] < r {
			k--
		}
		if k == Size {
			continue
		}
		if p.n < Size {
			p.n++
		}
		copy(ranks[k+1:p.n], ranks[k:p.n-1])
		copy(p.ids[k+1:p.n], p.ids[k:p.n-1])
		ranks[k], p.ids[k] = r, m.ID
	}
	return p
}

// First returns the usable instance of the data centre that ranks first for the
// name after skipping the skip highest-ranked ones. If skip is 0 and the data centre
// has none, it chooses among the instances of the region. It returns false if there
// is no such instance.
func (t *Table) First(name uint64, dataCentre, region string, skip int) (fleet.ID, bool) {
	id, ok := t.first(name, skip, func(m *member) bool { return m.DataCentre == dataCentre })
	if !ok && skip == 0 {
		id, ok = t.first(name, 0, func(m *member) bool { return m.Region == region })
	}
	return id, ok
}

func (t *Table) first(name uint64, skip int, eligible func(*member) bool) (fleet.ID, bool) {
	lastRank, skipping := uint64(0), false
	for {
		var best fleet.ID
		var bestRank uint64
		found := false
		for i := range t.members {
			m := &t.members[i]
			r := Rank(m.ID, name)
			if m.countsUntil != 0 || !m.Usable() || !eligible(m) || skipping && r >= lastRank {
				continue
			}
			if !found || r > bestRank {
				best, bestRank, found = m.ID, r, true
			}
		}
		if !found || skip == 0 {
			return best, found
		}
		lastRank, skipping = bestRank, true
		skip--
	}
}

// Rank returns the weight of an instance for a name in rendezvous hashing.
func Rank(id fleet.ID, name uint64) uint64 { return xxh3.HashStringSeed(string(id), name) }

// KeyOf returns the hash of a text, for use as the name of a pair.
func KeyOf(text string) uint64 { return xxh3.HashString(text) }
