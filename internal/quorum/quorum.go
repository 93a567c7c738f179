// Package quorum says which instances must agree before one of them may act
// alone: for each name a small group, chosen by rendezvous hashing (Thaler and
// Ravishankar, 1998) among the instances of a data centre, of which more than
// half are needed. An instance that died still counts for a while, as one that
// does not agree, so that two sides of a partition cannot both have a majority.
// The package does no I/O.
package quorum

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
)

// GroupSize is the most instances that a group has.
const GroupSize = 3

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
	// DeadMemory is how long an instance counts after it was found dead.
	DeadMemory time.Duration
	// LeaveMemory is how long an instance counts after it announced to leave.
	LeaveMemory time.Duration
}

type member struct {
	fleet.Instance
	// until is when the member stops counting, in nanoseconds; zero means never.
	until int64
}

// Electorate is the table of instances that count, by the view of one instance.
// It must not be used by several goroutines at once.
type Electorate struct {
	timing  Timing
	members []member
}

// New returns an empty table.
func New(t Timing) *Electorate { return &Electorate{timing: t} }

// Update takes in a view at a time in nanoseconds.
func (e *Electorate) Update(now int64, v *fleet.View) {
	for i := range e.members {
		m := &e.members[i]
		if _, found := v.Get(m.ID); !found {
			e.end(m, now, e.timing.DeadMemory)
		}
	}
	for _, in := range v.Instances {
		e.update(now, in)
	}
	e.forget(now)
}

func (e *Electorate) update(now int64, in fleet.Instance) {
	at, found := slices.BinarySearchFunc(e.members, in.ID, func(m member, id fleet.ID) int { return cmp.Compare(m.ID, id) })
	if !found {
		// One that is dead when first heard of may be on the other side of a
		// partition.
		e.members = slices.Insert(e.members, at, member{Instance: in})
	}
	m := &e.members[at]
	left := m.State == fleet.Leaving
	m.Instance = in
	switch {
	case in.State == fleet.Leaving:
		e.end(m, now, e.timing.LeaveMemory)
	case in.State == fleet.Dead && left:
		m.State = fleet.Leaving
	case in.State == fleet.Dead:
		e.end(m, now, e.timing.DeadMemory)
	default:
		m.until = 0
	}
}

func (e *Electorate) end(m *member, now int64, after time.Duration) {
	if m.until == 0 {
		m.until = now + int64(after)
	}
}

// forget drops members that no name can still depend on.
func (e *Electorate) forget(now int64) {
	long := int64(2 * e.timing.DeadMemory)
	e.members = slices.DeleteFunc(e.members, func(m member) bool { return m.until != 0 && m.until+long < now })
}

// Group is the instances that decide about one name.
type Group struct {
	ids [GroupSize]fleet.ID
	n   int
}

// IDs returns the members, the first by rank first.
func (g *Group) IDs() []fleet.ID { return g.ids[:g.n] }

// Majority returns how many members must agree.
func (g *Group) Majority() int { return g.n/2 + 1 }

// Has reports whether the instance is a member.
func (g *Group) Has(id fleet.ID) bool { return slices.Contains(g.ids[:g.n], id) }

// Group returns the group of a name among the instances of the data centre that
// counted at a time in nanoseconds. If there were none, it is chosen in the
// region.
func (e *Electorate) Group(name uint64, dataCentre, region string, at int64) Group {
	g := e.group(name, at, func(m *member) bool { return m.DataCentre == dataCentre })
	if g.n == 0 {
		g = e.group(name, at, func(m *member) bool { return m.Region == region })
	}
	return g
}

func (e *Electorate) group(name uint64, at int64, counts func(*member) bool) Group {
	var g Group
	var ranks [GroupSize]uint64
	for i := range e.members {
		m := &e.members[i]
		if m.until != 0 && at >= m.until || !counts(m) {
			continue
		}
		r := Rank(m.ID, name)
		k := g.n
		for k > 0 && ranks[k-1] < r {
			k--
		}
		if k == GroupSize {
			continue
		}
		if g.n < GroupSize {
			g.n++
		}
		copy(ranks[k+1:g.n], ranks[k:g.n-1])
		copy(g.ids[k+1:g.n], g.ids[k:g.n-1])
		ranks[k], g.ids[k] = r, m.ID
	}
	return g
}

// First returns the usable instance of the data centre that ranks first for the
// name, or of the region if the data centre has none; skip leaves out that many
// of the first. It returns false if there is no such instance.
func (e *Electorate) First(name uint64, dataCentre, region string, skip int) (fleet.ID, bool) {
	id, ok := e.first(name, skip, func(m *member) bool { return m.DataCentre == dataCentre })
	if !ok && skip == 0 {
		id, ok = e.first(name, 0, func(m *member) bool { return m.Region == region })
	}
	return id, ok
}

func (e *Electorate) first(name uint64, skip int, counts func(*member) bool) (fleet.ID, bool) {
	bound, bounded := uint64(0), false
	for {
		var best fleet.ID
		var high uint64
		found := false
		for i := range e.members {
			m := &e.members[i]
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

// Name hashes a text into the name of a group.
func Name(text string) uint64 { return xxh3.HashString(text) }
