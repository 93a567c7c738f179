// Package pair says which two instances share a matter: for each name the first
// two by rendezvous hashing (Thaler and Ravishankar, 1998) among the instances of
// a data centre. The first decides, the second notes, and nothing is done that one
// of them has not agreed to. An instance stops counting at once when its end is
// certain, and only much later when it is merely silent: it may be on the other
// side of a partition. The package does no I/O.
package pair

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
)

// Size is the most instances that a pair has. A data centre with one instance has
// pairs of one.
const Size = 2

// Holder is one run of an instance: what is promised to it ends with the run.
type Holder struct {
	ID          fleet.ID `json:"id"`
	Incarnation uint64   `json:"incarnation"`
}

// Timing bounds what instances may know late of each other.
type Timing struct {
	// Settle is the longest time until every reachable instance has heard of a
	// change of the table, clock differences included.
	Settle time.Duration
	// NotesAfter is how long after its start an instance begins to note keys; its
	// Incarnation is when it started, in milliseconds of Unix time.
	NotesAfter time.Duration
	// SilentMemory is how long an instance counts that is found dead without a
	// proof of its end.
	SilentMemory time.Duration
}

type member struct {
	fleet.Instance
	// until is when the member stops counting, in nanoseconds; zero means never.
	until int64
	// left and from bound the time in which it did not count for keys, if this
	// instance knows that: from the end of its former run until its present one
	// notes keys.
	left, from int64
	// gone is the newest run whose end is certain, plus one.
	gone uint64
}

// Table is the table of instances that count, by the view of one instance.
// It must not be used by several goroutines at once.
type Table struct {
	timing  Timing
	members []member
	// began is set once the first view was taken in.
	began bool
}

// New returns an empty table.
func New(timing Timing) *Table { return &Table{timing: timing} }

// Update takes in a view at a time in nanoseconds.
func (t *Table) Update(now int64, v *fleet.View) {
	for i := range t.members {
		m := &t.members[i]
		if _, found := v.Get(m.ID); !found {
			t.end(m, now, t.timing.SilentMemory)
		}
	}
	for _, in := range v.Instances {
		t.update(now, in, in.ID == v.Self)
	}
	t.began = true
	t.forget(now)
}

func (t *Table) update(now int64, in fleet.Instance, own bool) {
	at, found := slices.BinarySearchFunc(t.members, in.ID, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		// One that is dead when first heard of may be on the other side of a
		// partition.
		t.members = slices.Insert(t.members, at, member{Instance: in})
	}
	m := &t.members[at]
	if fresh := !found || in.Incarnation > m.Incarnation; fresh && in.Incarnation >= m.gone && (t.began || own) {
		t.restart(now, m, in.Incarnation, found)
	}
	left := m.State == fleet.Leaving
	m.Instance = in
	switch {
	case in.Incarnation < m.gone:
		m.State = fleet.Dead
		t.end(m, now, 0)
	case in.State == fleet.Leaving:
		t.end(m, now, 0)
	case in.State == fleet.Dead && left:
		m.State = fleet.Leaving
	case in.State == fleet.Dead:
		t.end(m, now, t.timing.SilentMemory)
	default:
		m.until = 0
	}
}

// restart takes in a new run of a member, or a new member. Those that are there when
// this instance starts may have noted any key, this instance itself apart.
func (t *Table) restart(now int64, m *member, incarnation uint64, known bool) {
	m.left = 0
	if known {
		m.left = now
	}
	if known && m.until != 0 {
		m.left = min(m.left, m.until)
	}
	m.from = max(m.from, int64(incarnation)*int64(time.Millisecond)+int64(t.timing.NotesAfter))
}

// counted reports whether the member counts for a key made at a time.
func (m *member) counted(at int64) bool {
	if m.until != 0 && at >= m.until {
		return false
	}
	return at < m.left || at >= m.from
}

// Gone takes in the proof that a run of an instance, and all before it, have ended.
func (t *Table) Gone(now int64, id fleet.ID, incarnation uint64) {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found || t.members[at].Incarnation > incarnation {
		return
	}
	m := &t.members[at]
	m.gone = incarnation + 1
	m.State = fleet.Dead
	if m.until == 0 || m.until > now {
		m.until = now
	}
}

// Doubted returns the instances of the data centre whose end is to be proved: those
// that are silent, and those suspected of it.
func (t *Table) Doubted(dataCentre string, now int64) []fleet.Instance {
	list := t.Silent(dataCentre, now)
	for i := range t.members {
		if m := &t.members[i]; m.until == 0 && m.State == fleet.Suspect && m.DataCentre == dataCentre {
			list = append(list, m.Instance)
		}
	}
	return list
}

// Silent returns the instances of the data centre that count although nothing is
// heard of them.
func (t *Table) Silent(dataCentre string, now int64) []fleet.Instance {
	var silent []fleet.Instance
	for i := range t.members {
		m := &t.members[i]
		if m.until > now && m.DataCentre == dataCentre {
			silent = append(silent, m.Instance)
		}
	}
	return silent
}

// Lost reports whether an instance is not in reach.
func (t *Table) Lost(id fleet.ID) bool {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	return !found || t.members[at].State == fleet.Dead
}

// Incarnation returns the newest run known of an instance, or zero.
func (t *Table) Incarnation(id fleet.ID) uint64 {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return 0
	}
	return t.members[at].Incarnation
}

// DataCentre returns the data centre of an instance, or nothing if it is not known.
func (t *Table) DataCentre(id fleet.ID) string {
	at, found := slices.BinarySearchFunc(t.members, id, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return ""
	}
	return t.members[at].DataCentre
}

func (t *Table) end(m *member, now int64, after time.Duration) {
	if m.until == 0 {
		m.until = now + int64(after)
	}
}

// forget drops members that no name can still depend on.
func (t *Table) forget(now int64) {
	long := int64(2 * t.timing.SilentMemory)
	t.members = slices.DeleteFunc(t.members, func(m member) bool { return m.until != 0 && m.until+long < now })
}

// Pair is the instances that share one name.
type Pair struct {
	ids [Size]fleet.ID
	n   int
}

// IDs returns the members, the first by rank first.
func (p *Pair) IDs() []fleet.ID { return p.ids[:p.n] }

// Has reports whether the instance is a member.
func (p *Pair) Has(id fleet.ID) bool { return slices.Contains(p.ids[:p.n], id) }

// Digest tells pairs apart: a member agrees only to what is asked of the pair that it
// sees itself.
func (p *Pair) Digest() uint64 {
	var h xxh3.Hasher
	for _, id := range p.IDs() {
		h.WriteString(string(id))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// ForKey returns the pair of a name among the instances of the data centre that
// counted for keys at a time in nanoseconds.
func (t *Table) ForKey(name uint64, dataCentre string, at int64) Pair {
	return t.pair(name, func(m *member) bool { return m.DataCentre == dataCentre && m.counted(at) })
}

// Pair returns the pair of a name among the instances of the data centre that
// count now, in nanoseconds. If there are none, it is chosen in the region.
func (t *Table) Pair(name uint64, dataCentre, region string, now int64) Pair {
	counts := func(m *member) bool { return m.until == 0 || now < m.until }
	p := t.pair(name, func(m *member) bool { return m.DataCentre == dataCentre && counts(m) })
	if p.n == 0 {
		p = t.pair(name, func(m *member) bool { return m.Region == region && counts(m) })
	}
	return p
}

func (t *Table) pair(name uint64, counts func(*member) bool) Pair {
	var p Pair
	var ranks [Size]uint64
	for i := range t.members {
		m := &t.members[i]
		if !counts(m) {
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
// name, or of the region if the data centre has none; skip leaves out that many
// of the first. It returns false if there is no such instance.
func (t *Table) First(name uint64, dataCentre, region string, skip int) (fleet.ID, bool) {
	id, ok := t.first(name, skip, func(m *member) bool { return m.DataCentre == dataCentre })
	if !ok && skip == 0 {
		id, ok = t.first(name, 0, func(m *member) bool { return m.Region == region })
	}
	return id, ok
}

func (t *Table) first(name uint64, skip int, counts func(*member) bool) (fleet.ID, bool) {
	bound, bounded := uint64(0), false
	for {
		var best fleet.ID
		var high uint64
		found := false
		for i := range t.members {
			m := &t.members[i]
			r := Rank(m.ID, name)
			if m.until != 0 || !m.Usable() || !counts(m) || bounded && r >= bound {
				continue
			}
			if !found || r > high {
				best, high, found = m.ID, r, true
			}
		}
		if !found || skip == 0 {
			return best, found
		}
		bound, bounded = high, true
		skip--
	}
}

// Rank is the weight of an instance for a name in rendezvous hashing.
func Rank(id fleet.ID, name uint64) uint64 { return xxh3.HashStringSeed(string(id), name) }

// Name hashes a text into the name of a pair.
func Name(text string) uint64 { return xxh3.HashString(text) }
