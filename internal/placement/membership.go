package placement

import (
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

const (
	// replicas is how many instances hold the records of a bucket: the owner and
	// the backup.
	replicas = 2
	// searchWidth is how many instances a search for the authority visits at most.
	searchWidth = 10
)

// noRow is the row index that stands for no instance.
const noRow = ^uint16(0)

// membership is built from one view of the table of instances, limited to the
// region of the instance itself. It is immutable except for the sync round.
type membership struct {
	rows []fleet.Instance
	self uint16
	// joining is set while the view shows the instance itself as joining, or does
	// not list it.
	joining bool
	leaving bool
	// digest identifies the usable instances and their incarnations.
	digest  uint64
	ranking *ranking
	// peers are the reachable instances besides the instance itself.
	peers []fleet.ID
	// lowest and highest are the oldest and the newest version that peers have
	// applied.
	lowest    config.Version
	highest   config.Version
	syncRound *syncRound
}

// ranking gives the rows for each bucket: its replicas, and the instances that
// a search for the authority visits, in order of their scores, which are the
// same in every view.
type ranking struct {
	replicas [table.Buckets][replicas]uint16
	search   [table.Buckets][searchWidth]uint16
}

// newMembership builds the membership of a view; prior may be nil.
func newMembership(v *fleet.View, self fleet.ID, prior *membership) *membership {
	own, known := v.Get(self)
	m := &membership{self: noRow, joining: !known || own.State == fleet.Joining, leaving: own.State == fleet.Leaving}
	for _, i := range v.Instances {
		if known && i.Region == own.Region {
			m.add(i, self)
		}
	}
	m.digest = digest(m.rows)
	if prior != nil && prior.digest == m.digest && sameRows(prior.rows, m.rows) {
		m.ranking = prior.ranking
	} else {
		m.ranking = rankInstances(m.rows)
	}
	return m
}

func (m *membership) add(i fleet.Instance, self fleet.ID) {
	if i.ID == self {
		m.self = uint16(len(m.rows))
	}
	m.rows = append(m.rows, i)
	if i.ID == self || !i.Reachable() {
		return
	}
	if len(m.peers) == 0 || i.Applied < m.lowest {
		m.lowest = i.Applied
	}
	m.highest = max(m.highest, i.Applied)
	m.peers = append(m.peers, i.ID)
}

func digest(rows []fleet.Instance) uint64 {
	var b []byte
	for _, i := range rows {
		if i.Usable() {
			b = append(b, i.ID...)
			b = append(b, 0)
			b = binary.LittleEndian.AppendUint64(b, i.Incarnation)
		}
	}
	return xxh3.Hash(b)
}

func sameRows(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool {
		return x.ID == y.ID && x.Usable() == y.Usable() &&
			x.Reachable() == y.Reachable() && x.DataCentre == y.DataCentre
	})
}

// otherReplica returns the instance that must learn what this one records: the
// backup for the owner, and the owner for any other. It is nil if there is
// none.
func (m *membership) otherReplica(bucket int) *fleet.Instance {
	if m.rankOf(bucket) == 0 {
		return m.replica(bucket, 1)
	}
	return m.replica(bucket, 0)
}

// rankOf returns 0 if the instance itself is the owner of a bucket, 1 if it is
// the backup, and -1 otherwise.
func (m *membership) rankOf(bucket int) int {
	if m.self == noRow {
		return -1
	}
	return slices.Index(m.ranking.replicas[bucket][:], m.self)
}

// replica returns the owner of a bucket for rank 0, the backup for rank 1, or
// nil if there is none.
func (m *membership) replica(bucket, rank int) *fleet.Instance {
	row := m.ranking.replicas[bucket][rank]
	if row == noRow {
		return nil
	}
	return &m.rows[row]
}

// isReplica reports whether the instance itself must hold the records of a
// bucket.
func (m *membership) isReplica(bucket int) bool {
	return m.rankOf(bucket) >= 0
}

// nextCandidate returns the instance that continues a search for the authority:
// the one with the highest score if the search starts here, else the next one
// below this instance. It is nil at the end. Since scores are the same in every
// view, no search visits an instance twice.
func (m *membership) nextCandidate(bucket int, first bool) *fleet.Instance {
	passed := first
	for _, row := range m.ranking.search[bucket] {
		if row == noRow {
			return nil
		}
		if passed && row != m.self {
			return &m.rows[row]
		}
		passed = passed || row == m.self
	}
	return nil
}

// backupFor returns the buckets that a peer owns and this instance is the
// backup of.
func (m *membership) backupFor(owner fleet.ID) *table.Bitmap {
	buckets := &table.Bitmap{}
	for bucket := range table.Buckets {
		if m.rankOf(bucket) == 1 && m.replica(bucket, 0).ID == owner {
			buckets.Set(bucket)
		}
	}
	return buckets
}
