package catalogue

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Retention is how long removed records are kept. It covers the longest flow of
// the platform (60 s) with a margin.
const Retention = 90 * time.Second

// entry is the newest record of an entity and what the mirror knows beside it.
type entry struct {
	record Record
	// learned is when the record was read, removed when its removal was.
	learned int64
	removed int64
	// created is the revision at which the entity was created.
	created uint64
	// last is the newest entity that could be decoded.
	server        *Server
	configuration *Configuration
}

// Mirror is the instance's copy of the store. Its methods may be called from
// several goroutines; Snapshot takes no lock.
type Mirror struct {
	mu       sync.Mutex
	entries  map[ID]*entry
	revision uint64
	// floor is the revision up to which removed records may have been forgotten.
	floor    uint64
	snapshot atomic.Pointer[Snapshot]
}

// NewMirror returns a mirror that knows nothing.
func NewMirror() *Mirror {
	m := &Mirror{entries: map[ID]*entry{}}
	m.snapshot.Store(newSnapshot(0))
	return m
}

// Snapshot returns what is known now.
func (m *Mirror) Snapshot() *Snapshot { return m.snapshot.Load() }

// Apply takes a delta that was read age ago and returns the records that changed
// something. A delta that does not follow on from what is known is refused.
func (m *Mirror) Apply(d Delta, now int64, age time.Duration) (changed []Record, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision < m.revision || (!d.Complete && d.Since > m.revision) {
		return nil, false
	}
	if d.Complete {
		d.Records = append(slices.Clone(d.Records), m.missing(d)...)
	}
	learned := now - int64(age)
	for _, r := range d.Records {
		if r.Kind != KindOther && m.take(r, learned) {
			changed = append(changed, r)
		}
	}
	forgot := m.forget(now)
	advanced := d.Revision > m.revision
	m.revision = d.Revision
	if len(changed) > 0 || forgot || advanced {
		m.snapshot.Store(m.build())
	}
	return changed, true
}

// missing returns the removals that a complete delta implies.
func (m *Mirror) missing(d Delta) []Record {
	present := make(map[ID]bool, len(d.Records))
	for _, r := range d.Records {
		present[r.ID] = true
	}
	var gone []Record
	for id, e := range m.entries {
		if !present[id] && !e.record.Removed && e.record.Revision <= d.Revision {
			gone = append(gone, Record{ID: id, Revision: d.Revision, Removed: true})
		}
	}
	slices.SortFunc(gone, byRevision)
	return gone
}

// take stores a record if it is newer than the one that is known.
func (m *Mirror) take(r Record, learned int64) bool {
	e, known := m.entries[r.ID]
	if known && r.Revision <= e.record.Revision {
		return false
	}
	if !known {
		e = &entry{}
		m.entries[r.ID] = e
	}
	if r.Created != 0 {
		e.created = r.Created
	}
	e.record, e.learned, e.removed = r, learned, 0
	if r.Removed {
		e.removed = learned
	}
	if r.Server != nil {
		e.server = r.Server
	}
	if r.Configuration != nil {
		e.configuration = r.Configuration
	}
	return true
}

// forget drops removed records after the retention.
func (m *Mirror) forget(now int64) bool {
	dropped := false
	for id, e := range m.entries {
		if e.record.Removed && now-e.removed > int64(Retention) {
			m.floor = max(m.floor, e.record.Revision)
			delete(m.entries, id)
			dropped = true
		}
	}
	return dropped
}

// Since returns the changes after a revision. Warm-up times are those that remained
// at a time, from which the receiver counts the age of the delta. If removals since
// then were forgotten, it returns everything.
func (m *Mirror) Since(revision uint64, at int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Since: revision, Revision: m.revision, Complete: revision < m.floor || revision == 0}
	for _, e := range m.entries {
		if d.Complete || e.record.Revision > revision {
			d.Records = append(d.Records, e.at(at))
		}
	}
	slices.SortFunc(d.Records, byRevision)
	return d
}

// at returns the record with the warm-up that remains at a time.
func (e *entry) at(at int64) Record {
	r := e.record
	if r.Server == nil || r.Server.Warmup == 0 {
		return r
	}
	server := *r.Server
	server.Warmup = max(0, server.Warmup-time.Duration(at-e.learned))
	r.Server = &server
	return r
}

func (m *Mirror) build() *Snapshot {
	s := newSnapshot(m.revision)
	var servers []*entry
	for _, e := range m.entries {
		switch e.record.Kind {
		case KindServer:
			servers = append(servers, e)
		case KindConfiguration:
			if e.configuration != nil {
				s.addConfiguration(e.configuration)
			}
		case KindEvacuation:
			if !e.record.Removed {
				s.evacuated[e.record.Name] = true
			}
		}
	}
	slices.SortFunc(servers, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.record.Name, b.record.Name))
	})
	for _, e := range servers {
		if e.server != nil {
			s.addBackend(e.backend())
		}
	}
	return s
}

func (e *entry) backend() *Backend {
	b := &Backend{Server: *e.server, Name: e.record.Name, Revision: e.record.Revision, Removed: e.removed}
	b.Unreadable = e.record.Server == nil && !e.record.Removed
	if b.Warmup > 0 {
		b.WarmAt = e.learned + int64(b.Warmup)
	}
	return b
}
