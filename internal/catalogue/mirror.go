package catalogue

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Retention is how long removed records are retained. It exceeds the duration of the
// longest flow of the platform, 60 s, by a margin.
const Retention = 90 * time.Second

// Mirror is the instance's copy of the store. It is safe for concurrent use. Snapshot
// takes no lock.
type Mirror struct {
	mu       sync.Mutex
	entries  map[ID]*entry
	position Position
	// droppedRevision is the revision of the epoch up to which removed records may have
	// been dropped.
	droppedRevision uint64
	// unseen is the newest range of revisions whose changes the mirror has not seen.
	unseen RevisionRange
	// starts counts the starts of servers in the records that were applied.
	starts   uint64
	snapshot atomic.Pointer[Snapshot]
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	m := &Mirror{entries: map[ID]*entry{}}
	m.snapshot.Store(newSnapshot(Position{}))
	return m
}

// Snapshot returns the current snapshot.
func (m *Mirror) Snapshot() *Snapshot { return m.snapshot.Load() }

// Apply applies a delta and returns the records that changed the mirror; age is the
// time since the delta was read from the store. It returns false and applies nothing if
// the delta is older than the mirror, or is incomplete and either starts after the
// mirror's revision or in another epoch, or lacks changes that the mirror needs.
func (m *Mirror) Apply(d Delta, now int64, age time.Duration) (changed []Record, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Position().Compare(m.position) < 0 || !d.Complete && !m.continues(d) {
		return nil, false
	}
	if d.Epoch != m.position.Epoch {
		m.beginEpoch(d.Epoch)
	}
	var implied []Record
	if d.Complete {
		implied = m.impliedRemovals(d)
	}
	m.recordUnseen(d)
	readAt := now - int64(age)
	for _, r := range d.Records {
		if r.Kind != KindOther && m.put(r, readAt) {
			changed = append(changed, r)
		}
	}
	for _, r := range implied {
		m.entries[r.ID].removeImplied(r, readAt)
		changed = append(changed, r)
	}
	dropped := m.dropExpired(now)
	advanced := d.Position() != m.Snapshot().Position
	m.position = d.Position()
	if len(changed) > 0 || dropped || advanced {
		m.snapshot.Store(m.nextSnapshot(changed, dropped))
	}
	return changed, true
}

// continues reports whether the mirror knows all changes before those of a delta.
func (m *Mirror) continues(d Delta) bool {
	return d.Epoch == m.position.Epoch && d.Since <= m.position.Revision && !d.Unseen.contains(m.position.Revision)
}

// beginEpoch prepares the mirror for a complete delta of a later epoch, whose revisions
// say nothing about those of the epoch before. Entities are kept: the delta may lack what
// the store has lost.
func (m *Mirror) beginEpoch(epoch uint64) {
	m.position = Position{Epoch: epoch}
	m.droppedRevision, m.unseen = 0, RevisionRange{}
}

// recordUnseen records which changes the mirror has not seen once a delta is applied.
func (m *Mirror) recordUnseen(d Delta) {
	if d.Complete && d.Unseen == (RevisionRange{}) {
		d.Unseen.Until = d.Revision
	}
	if m.position.Revision < d.Dropped {
		m.droppedRevision = max(m.droppedRevision, d.Dropped)
	}
	if !d.Unseen.crossedFrom(m.position.Revision) {
		return
	}
	m.droppedRevision = max(m.droppedRevision, m.unseen.Until)
	m.unseen = RevisionRange{After: max(d.Unseen.After, m.position.Revision), Until: d.Unseen.Until}
}

// impliedRemovals returns a removal for each entity that a complete delta does not
// contain, or of which it contains only an earlier removal. The configuration is never
// removed; a store without one has lost it.
func (m *Mirror) impliedRemovals(d Delta) []Record {
	present := make(map[ID]bool, len(d.Records))
	for _, r := range d.Records {
		e := m.entries[r.ID]
		present[r.ID] = !r.Removed || e != nil && r.position().Compare(e.record.position()) > 0
	}
	var removals []Record
	for id, e := range m.entries {
		if id.Kind != KindConfiguration && !present[id] && !e.record.Removed && e.record.position().Compare(d.Position()) <= 0 {
			removals = append(removals, Record{ID: id, Epoch: d.Epoch, Revision: d.Revision, Removed: true})
		}
	}
	slices.SortFunc(removals, byPosition)
	return removals
}

// put stores a record if it is newer than the stored one, and reports whether it is.
func (m *Mirror) put(r Record, readAt int64) bool {
	e, known := m.entries[r.ID]
	if known && !e.supersededBy(r) {
		return false
	}
	if !known {
		e = &entry{}
		m.entries[r.ID] = e
	}
	if r.Server != nil && (e.server == nil || e.server.Started != r.Server.Started) {
		m.starts++
	}
	e.set(r, readAt)
	return true
}

// Kept returns the number of entities whose state the mirror has kept from an earlier
// epoch, since the store holds an earlier one.
func (m *Mirror) Kept() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, e := range m.entries {
		if e.record.Epoch != m.position.Epoch && !e.record.Removed {
			n++
		}
	}
	return n
}

// dropExpired drops records that were removed more than Retention ago, and reports
// whether there were any.
func (m *Mirror) dropExpired(now int64) bool {
	dropped := false
	for id, e := range m.entries {
		if e.record.Removed && now-e.removed > int64(Retention) {
			if e.record.Epoch == m.position.Epoch {
				m.droppedRevision = max(m.droppedRevision, e.record.Revision)
			}
			delete(m.entries, id)
			dropped = true
		}
	}
	return dropped
}

// Since returns the changes after a position, or a complete delta if its revision is 0,
// it is in another epoch, or removals after it may have been dropped or never seen.
// Warm-up times are those that remain at asOf; the receiver counts the age of the delta
// from that time.
func (m *Mirror) Since(after Position, asOf int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Epoch != m.position.Epoch {
		after = Position{Epoch: m.position.Epoch}
	}
	revision := after.Revision
	d := Delta{Epoch: m.position.Epoch, Since: revision, Revision: m.position.Revision, Complete: m.lacksChangesSince(after)}
	if d.Complete {
		d.Dropped = m.droppedRevision
	}
	if m.unseen.crossedFrom(revision) {
		d.Unseen = m.unseen
	}
	for _, e := range m.entries {
		if !e.lost && (d.Complete || e.record.position().Compare(after) > 0) {
			d.Records = append(d.Records, e.asOf(asOf))
		}
	}
	slices.SortFunc(d.Records, byPosition)
	return d
}

// HasChangesSince reports whether the mirror knows all changes after a position, so that
// Since returns no complete delta.
func (m *Mirror) HasChangesSince(after Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lacksChangesSince(after)
}

func (m *Mirror) lacksChangesSince(after Position) bool {
	return after.Epoch != m.position.Epoch || after.Revision == 0 ||
		after.Revision < m.droppedRevision || m.unseen.contains(after.Revision)
}

func (m *Mirror) buildSnapshot() *Snapshot {
	s := newSnapshot(m.position)
	s.Starts = m.starts
	var servers []*Backend
	for _, e := range m.entries {
		switch e.record.Kind {
		case KindServer:
			if e.server != nil {
				servers = append(servers, e.backend())
			}
		case KindConfiguration:
			if e.configuration != nil {
				s.addConfiguration(e.configuration)
			}
		case KindEvacuation:
			if until := e.evacuatedUntil(); until != 0 {
				s.evacuated[e.record.Name] = until
			}
		}
	}
	slices.SortFunc(servers, compareCreation)
	for _, b := range servers {
		s.addBackend(b)
	}
	return s
}
