package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// report returns a record of a server that states its start and the number of its report.
func report(name string, at Position, started int64, number uint64, change func(*Server)) Record {
	r := server(name, at.Revision, change)
	r.Epoch, r.Server.Started, r.Server.Report = at.Epoch, started, number
	return r
}

func configuration(at Position, version int64) Record {
	return Record{ID: ID{Kind: KindConfiguration}, Epoch: at.Epoch, Revision: at.Revision, Configuration: &Configuration{Version: version}}
}

func drain(s *Server) { s.Draining = true }

func complete(at Position, records ...Record) Delta {
	return Delta{Complete: true, Epoch: at.Epoch, Revision: at.Revision, Records: records}
}

// TestRestoredConfigurationIsNotOlder guards against a configuration that is undone by a
// store that was restored from before it, until the operator has written it again.
func TestRestoredConfigurationIsNotOlder(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	m.Apply(complete(Position{1, 9}, configuration(Position{1, 9}, 11)), 1, 0)
	m.Apply(complete(Position{2, 5}, configuration(Position{2, 5}, 8)), 2, 0)
	is.Equal(m.Snapshot().Configuration.Version, int64(11))
	is.Equal(m.Kept(), 1)
	m.Apply(complete(Position{3, 4}), 3, 0) // a copy from before the first configuration
	is.Equal(m.Snapshot().Configuration.Version, int64(11))

	other := NewMirror()
	other.Apply(m.Since(Position{}, 3), 3, 0)
	is.Equal(other.Snapshot().Configuration.Version, int64(11)) // peers pass the newer one on
	m.Apply(Delta{Epoch: 3, Since: 4, Revision: 5, Records: []Record{configuration(Position{3, 5}, 14)}}, 4, 0)
	is.Equal(m.Snapshot().Configuration.Version, int64(14))
	is.Equal(m.Kept(), 0)
}

// TestRestoredServersAreNotUsed guards against new flows to servers that have drained or
// left since the copy from which the store was restored, and against servers that are
// given up because the copy is from before their registration.
func TestRestoredServersAreNotUsed(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	first := Position{1, 5}
	m.Apply(complete(first, report("draining", first, 7, 1, nil), report("left", first, 7, 1, nil), report("again", first, 7, 1, nil)), 1, 0)
	m.Apply(Delta{Epoch: 1, Since: 5, Revision: 8, Records: []Record{
		report("draining", Position{1, 6}, 7, 2, drain),
		{ID: ID{Kind: KindServer, Name: "left"}, Epoch: 1, Revision: 7, Removed: true},
		{ID: ID{Kind: KindServer, Name: "again"}, Epoch: 1, Revision: 7, Removed: true},
		report("new", Position{1, 8}, 9, 1, nil),
	}}, 2, 0)

	copied := Position{2, 5}
	m.Apply(complete(copied, report("draining", copied, 7, 1, nil), report("left", copied, 7, 1, nil), report("again", copied, 7, 1, nil)), 10, 0)
	is.True(findPresent(m, "draining").Draining)
	is.True(findPresent(m, "left") == nil)
	is.Equal(findBackend(m, "left").Removed, int64(2)) // it left long ago, and its flows end as before
	is.Equal(findBackend(m, "new").Removed, int64(10)) // it may register again

	m.Apply(Delta{Epoch: 2, Since: 5, Revision: 8, Records: []Record{
		report("again", Position{2, 6}, 7, 5, nil),
		report("new", Position{2, 7}, 9, 1, nil),
		report("draining", Position{2, 8}, 8, 1, nil),
	}}, 11, 0)
	is.True(findPresent(m, "again") != nil)       // it has written since
	is.True(findPresent(m, "new") != nil)         // the same report, written again
	is.True(!findPresent(m, "draining").Draining) // another start of the server
	is.Equal(m.Snapshot().Position, Position{2, 8})
	is.True(m.HasChangesSince(Position{Epoch: 2, Revision: 5}))
	is.True(!m.HasChangesSince(Position{Epoch: 1, Revision: 8}))
}

// TestRestoredWarmUpIsNotRepeated guards against a server that counts as cold for longer,
// or no longer, because its report was read again from a restored store.
func TestRestoredWarmUpIsNotRepeated(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	cold := func(s *Server) { s.Warmup = 2 * time.Second }
	m.Apply(complete(Position{1, 5}, report("s1", Position{1, 5}, 7, 3, cold)), int64(time.Second), 0)
	m.Apply(complete(Position{2, 4}, report("s1", Position{2, 4}, 7, 3, cold)), int64(2*time.Second), 0)
	is.Equal(findBackend(m, "s1").WarmAt, int64(3*time.Second)) // written again

	reader, peer := NewMirror(), NewMirror()
	for _, m := range []*Mirror{reader, peer} {
		m.Apply(complete(Position{1, 5}, report("s1", Position{1, 5}, 7, 3, cold)), int64(time.Second), 0)
	}
	reader.Apply(complete(Position{2, 4}, report("s1", Position{2, 4}, 7, 3, cold)), int64(2*time.Second), 0)
	peer.Apply(reader.Since(peer.Snapshot().Position, int64(2*time.Second)), int64(2*time.Second), 0)
	is.Equal(findBackend(peer, "s1").WarmAt, int64(3*time.Second)) // passed on with what remains of the warm-up
	started := NewMirror()
	started.Apply(peer.Since(Position{}, int64(2*time.Second)), int64(2*time.Second), 0)
	is.Equal(findBackend(started, "s1").WarmAt, int64(3*time.Second))
	m.Apply(complete(Position{3, 4}, report("s1", Position{3, 4}, 7, 1, nil)), int64(2*time.Second), 0)
	is.Equal(findBackend(m, "s1").WarmAt, int64(3*time.Second)) // from before the server turned cold
}

// TestRestoredEvacuationHolds guards against flows to an evacuated data centre after a
// restore from before the evacuation, until the operator has written it again.
func TestRestoredEvacuationHolds(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	evacuation := func(at Position) Record {
		return Record{ID: ID{Kind: KindEvacuation, Name: "a"}, Epoch: at.Epoch, Revision: at.Revision, Created: at.Revision}
	}
	m.Apply(complete(Position{1, 5}, evacuation(Position{1, 5})), 1, 0)
	peer := NewMirror()
	peer.Apply(m.Since(Position{}, 1), 1, 0)
	restoredAt := int64(time.Minute)
	m.Apply(complete(Position{2, 4}), restoredAt, 0)
	peer.Apply(m.Since(peer.Snapshot().Position, restoredAt), restoredAt, 0)
	is.True(peer.Snapshot().Evacuated("a", restoredAt+int64(evacuationGracePeriod)-1))
	is.True(m.Snapshot().Evacuated("a", restoredAt+int64(evacuationGracePeriod)-1))
	is.True(!m.Snapshot().Evacuated("a", restoredAt+int64(evacuationGracePeriod))) // it was ended meanwhile
	m.Apply(Delta{Epoch: 2, Since: 4, Revision: 5, Records: []Record{evacuation(Position{2, 5})}}, restoredAt+1, 0)
	is.True(m.Snapshot().Evacuated("a", restoredAt+int64(time.Hour)))
	removed := evacuation(Position{2, 6})
	removed.Removed = true
	m.Apply(Delta{Epoch: 2, Since: 5, Revision: 6, Records: []Record{removed}}, restoredAt+2, 0)
	is.True(!m.Snapshot().Evacuated("a", restoredAt+2)) // what the operator ends, ends at once
}

// restorableStore is a store that can be restored to an earlier revision, with servers
// and an operator that write again what was lost.
type restorableStore struct {
	epoch    uint64
	changes  []Record // changes[i] leads to revision i+1
	contents []map[ID]Record
	// written holds what each writer has in the store, as it knows it itself.
	written map[ID]Record
	// lost holds the entities that are to be written again.
	lost map[ID]bool
}

func newRestorableStore() *restorableStore {
	return &restorableStore{epoch: 1, contents: []map[ID]Record{{}}, written: map[ID]Record{}, lost: map[ID]bool{}}
}

func (s *restorableStore) position() Position { return Position{s.epoch, uint64(len(s.changes))} }

func (s *restorableStore) current() map[ID]Record { return s.contents[len(s.contents)-1] }

// write writes a record, or a removal, at the next revision.
func (s *restorableStore) write(r Record) {
	contents := maps.Clone(s.current())
	if _, found := contents[r.ID]; r.Removed && !found {
		s.written[r.ID] = r
		delete(s.lost, r.ID)
		return
	}
	r.Epoch, r.Revision = s.epoch, uint64(len(s.changes))+1
	if r.Removed {
		r.Created = 0
		delete(contents, r.ID)
	} else if r.Created = r.Revision; contents[r.ID].Created != 0 {
		r.Created = contents[r.ID].Created
	}
	if !r.Removed {
		contents[r.ID] = r
	}
	s.changes, s.contents = append(s.changes, r), append(s.contents, contents)
	s.written[r.ID] = r
	delete(s.lost, r.ID)
}

// restore goes back to a revision.
func (s *restorableStore) restore(revision uint64) {
	s.epoch++
	s.changes, s.contents = slices.Clone(s.changes[:revision]), slices.Clone(s.contents[:revision+1])
	for i, r := range s.changes {
		r.Epoch = s.epoch
		s.changes[i] = r
	}
	for i := range s.contents {
		renewed := map[ID]Record{}
		for id, r := range s.contents[i] {
			r.Epoch = s.epoch
			renewed[id] = r
		}
		s.contents[i] = renewed
	}
	for id, r := range s.written {
		if now, found := s.current()[id]; found != !r.Removed || now.Revision != r.Revision {
			s.lost[id] = true
		}
	}
}

// rewrite writes one lost entity again.
func (s *restorableStore) rewrite(id ID) { s.write(s.written[id]) }

func (s *restorableStore) all() Delta {
	d := Delta{Complete: true, Epoch: s.epoch, Revision: s.position().Revision, Records: slices.Collect(maps.Values(s.current()))}
	slices.SortFunc(d.Records, byPosition)
	return d
}

func (s *restorableStore) since(revision uint64) Delta {
	return Delta{Epoch: s.epoch, Since: revision, Revision: s.position().Revision, Records: s.changes[revision:]}
}

// restoreModel runs a store that is restored at random and mirrors that follow it.
type restoreModel struct {
	store   *restorableStore
	mirrors []*Mirror
	sent    []sentDelta
	starts  int64
	// now is the time, and coldUntil the end of the warm-up of a server by its start.
	now       int64
	coldUntil map[int64]int64
}

// sentDelta is a delta as it was passed on, and the time as of which it is valid.
type sentDelta struct {
	Delta
	asOf int64
}

const modelWarmup = 2 * time.Second

// change lets the operator write a configuration, or a server register, report or leave.
func (m *restoreModel) change(t *rapid.T) {
	if len(m.store.lost) > 0 && rapid.IntRange(0, 2).Draw(t, "rewrite") > 0 {
		m.store.rewrite(rapid.SampledFrom(slices.SortedFunc(maps.Keys(m.store.lost), compareIDs)).Draw(t, "rewritten"))
		return
	}
	last, configured := m.store.written[ID{Kind: KindConfiguration}]
	if !configured || rapid.IntRange(0, 3).Draw(t, "configure") == 0 {
		version := int64(1)
		if configured {
			version = last.Configuration.Version + 1
		}
		m.store.write(configuration(Position{}, version))
		return
	}
	name := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "name"))
	r, found := m.store.written[ID{Kind: KindServer, Name: name}]
	switch {
	case !found || r.Removed:
		m.starts++
		m.coldUntil[m.starts] = m.now + int64(modelWarmup)
		m.store.write(report(name, Position{}, m.starts, 1, func(s *Server) { s.Warmup = modelWarmup }))
	case rapid.Bool().Draw(t, "leaves"):
		m.store.write(Record{ID: r.ID, Removed: true})
	default:
		m.store.write(report(name, Position{}, r.Server.Started, r.Server.Report+1, drain))
	}
}

func compareIDs(a, b ID) int { return byPosition(Record{ID: a}, Record{ID: b}) }

// step changes the store, or lets a mirror read or receive something.
func (m *restoreModel) step(t *rapid.T) {
	m.now += int64(rapid.IntRange(1, 300).Draw(t, "ms")) * int64(time.Millisecond)
	mirror := m.mirrors[rapid.IntRange(0, len(m.mirrors)-1).Draw(t, "mirror")]
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		m.change(t)
	case 2:
		mirror.Apply(m.store.all(), m.now, 0)
	case 3, 4:
		m.read(mirror)
	case 5:
		other := m.mirrors[rapid.IntRange(0, len(m.mirrors)-1).Draw(t, "asking mirror")]
		m.sent = append(m.sent, sentDelta{mirror.Since(other.Snapshot().Position, m.now), m.now})
	case 6:
		if len(m.sent) > 0 {
			d := m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "delivered")]
			mirror.Apply(d.Delta, m.now, time.Duration(m.now-d.asOf))
		}
	case 7:
		if rapid.IntRange(0, 2).Draw(t, "restore") == 0 {
			m.store.restore(rapid.Uint64Range(0, m.store.position().Revision).Draw(t, "to"))
		}
	}
}

// read brings a mirror up to the store's position.
func (m *restoreModel) read(mirror *Mirror) {
	at := mirror.Snapshot().Position
	if at.Epoch != m.store.epoch || at.Revision > m.store.position().Revision {
		mirror.Apply(m.store.all(), m.now, 0)
		return
	}
	mirror.Apply(m.store.since(at.Revision), m.now, 0)
}

// TestMirrorsFollowARestoredStore restores a store at random moments to random earlier
// revisions, while mirrors read it and one another, late and repeatedly. No mirror
// returns to an older configuration, uses a server again that it knows to be draining,
// one that it knows to have left, or a cold one as a warm one; once what was lost is written again, each mirror
// holds what the store holds.
func TestMirrorsFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &restoreModel{store: newRestorableStore(), mirrors: []*Mirror{NewMirror(), NewMirror(), NewMirror()}, coldUntil: map[int64]int64{}}
		for range 150 {
			before, left := make([]*Snapshot, len(m.mirrors)), make([][]Server, len(m.mirrors))
			for i, mirror := range m.mirrors {
				before[i], left[i] = mirror.Snapshot(), departed(mirror)
			}
			m.step(t)
			for i, mirror := range m.mirrors {
				checkNotOlder(t, before[i], mirror.Snapshot())
				checkDeparted(t, left[i], mirror.Snapshot())
				m.checkWarmUps(t, mirror.Snapshot())
			}
		}
		for len(m.store.lost) > 0 {
			m.change(t)
		}
		for i, mirror := range m.mirrors {
			m.read(mirror)
			m.checkEqual(t, i, mirror)
		}
	})
}

// departed returns the last reports of the servers that a mirror knows to have left.
func departed(m *Mirror) []Server {
	var servers []Server
	for _, e := range m.entries {
		if e.removed != 0 && !e.lost && e.server != nil {
			servers = append(servers, *e.server)
		}
	}
	return servers
}

// checkDeparted fails if a server that has left is used again without a later report.
func checkDeparted(t *rapid.T, left []Server, after *Snapshot) {
	for _, old := range left {
		for _, b := range after.Backends("desk") {
			if b.Removed == 0 && b.Started == old.Started && b.Report <= old.Report {
				t.Fatalf("server %+v has left and is used again", b)
			}
		}
	}
}

// checkWarmUps fails if a server whose first report a mirror holds is warm too early.
func (m *restoreModel) checkWarmUps(t *rapid.T, snap *Snapshot) {
	for _, b := range snap.Backends("desk") {
		if b.Removed == 0 && b.Report == 1 && m.now < m.coldUntil[b.Started] && !b.Cold(m.now) {
			t.Fatalf("server %+v is warm at %v, not at %v", b, time.Duration(m.now), time.Duration(m.coldUntil[b.Started]))
		}
	}
}

// checkNotOlder fails if a snapshot undoes what an earlier one of the same mirror knew.
func checkNotOlder(t *rapid.T, before, after *Snapshot) {
	if before.Configuration != nil && (after.Configuration == nil || after.Configuration.Version < before.Configuration.Version) {
		t.Fatalf("the configuration went back from version %d", before.Configuration.Version)
	}
	for _, old := range before.Backends("desk") {
		for _, b := range after.Backends("desk") {
			sameStart := b.Name == old.Name && b.Started == old.Started
			if sameStart && old.Draining && !b.Draining && b.Removed == 0 {
				t.Fatalf("%s is no longer draining", b.Name)
			}
		}
	}
}

// checkEqual fails if a mirror does not hold what the store holds.
func (m *restoreModel) checkEqual(t *rapid.T, i int, mirror *Mirror) {
	snap := mirror.Snapshot()
	if snap.Position != m.store.position() {
		t.Fatalf("mirror %d is at %v, the store at %v", i, snap.Position, m.store.position())
	}
	if want, found := m.store.current()[ID{Kind: KindConfiguration}]; found && snap.Configuration.Version != want.Configuration.Version {
		t.Fatalf("mirror %d has version %d, the store %d", i, snap.Configuration.Version, want.Configuration.Version)
	}
	for n := range 4 {
		name := fmt.Sprint("s", n)
		want, found := m.store.current()[ID{Kind: KindServer, Name: name}]
		got := findPresent(mirror, name)
		if (got != nil) != found {
			t.Fatalf("mirror %d: %s present %t, in the store %t", i, name, got != nil, found)
		}
		if found && (got.Draining != want.Server.Draining || got.Started != want.Server.Started) {
			t.Fatalf("mirror %d: %s is %+v, in the store %+v", i, name, got.Server, *want.Server)
		}
	}
}

// TestEarlierStartDoesNotReturn guards against a server that started again and counts as
// warm since a peer that lags, or a store restored from before, holds its earlier start.
func TestEarlierStartDoesNotReturn(t *testing.T) {
	const now = int64(time.Minute)
	started := func(at int64, warmup time.Duration) func(*Server) {
		return func(s *Server) { s.Started, s.Report, s.Warmup = at, 1, warmup }
	}
	earlier := server("s1", 4, started(1000, 0))
	lagging := NewMirror()
	lagging.Apply(Delta{Complete: true, Revision: 8, Records: []Record{earlier}}, now, 0)
	restored := earlier
	restored.Epoch = 1
	for name, d := range map[string]Delta{
		"all that a peer knows":     lagging.Since(Position{}, now),
		"a peer's changes":          lagging.Since(Position{Revision: 3}, now),
		"a store that was restored": {Complete: true, Epoch: 1, Revision: 5, Records: []Record{restored}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMirror()
			m.Apply(Delta{Complete: true, Revision: 8, Records: []Record{earlier}}, now, 0)
			later := server("s1", 9, started(2000, 2*time.Second))
			m.Apply(Delta{Since: 8, Revision: 9, Records: []Record{later}}, now, 0)
			m.Apply(d, now, 0)
			b := findBackend(m, "s1")
			is.Equal(b.Started, int64(2000))
			is.True(b.Cold(now + int64(time.Second)))
		})
	}
}
