package catalogue

import (
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/cookie"
)

func server(name string, revision uint64, change func(*Server)) Record {
	s := &Server{Number: revision, Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", DataCentre: "a", Slots: 4}
	if change != nil {
		change(s)
	}
	return Record{ID: ID{Kind: KindServer, Name: name}, Revision: revision, Created: revision, Server: s}
}

func removal(name string, revision uint64) Record {
	return Record{ID: ID{Kind: KindServer, Name: name}, Revision: revision, Removed: true}
}

// TestMirrorsAgree applies random changes to a store. A mirror that reads every change
// and one that follows it by late, repeated and incomplete deltas hold the same servers
// in the end, and the follower never returns to an older revision.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := NewMirror(), NewMirror()
		var sent []Delta
		var revision uint64
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			name := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name"))
			revision++
			r := server(name, revision, nil)
			if rapid.Bool().Draw(t, "removed") {
				r = removal(name, revision)
			}
			before := reader.Snapshot().Revision
			if _, ok := reader.Apply(Delta{Since: before, Revision: revision, Records: []Record{r}}, int64(revision), 0); !ok {
				t.Fatalf("revision %d was refused", revision)
			}
			sent = append(sent, reader.Since(Position{Revision: rapid.Uint64Range(0, revision).Draw(t, "since")}, int64(revision)))
			last := follower.Snapshot().Revision
			follower.Apply(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "delivered")], int64(revision), 0)
			if follower.Snapshot().Revision < last {
				t.Fatalf("the follower returned from revision %d to %d", last, follower.Snapshot().Revision)
			}
		}
		follower.Apply(reader.Since(follower.Snapshot().Position, int64(revision)), int64(revision), 0)
		for i := range 6 {
			name := fmt.Sprint("s", i)
			a, b := findPresent(reader, name), findPresent(follower, name)
			if (a == nil) != (b == nil) {
				t.Fatalf("%s: %v and %v", name, a, b)
			}
			if a != nil && a.Revision != b.Revision {
				t.Fatalf("%s: %+v and %+v", name, a, b)
			}
		}
	})
}

func findBackend(m *Mirror, name string) *Backend {
	for _, b := range m.Snapshot().Backends("desk") {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// findPresent returns a server if it has not been removed.
func findPresent(m *Mirror, name string) *Backend {
	if b := findBackend(m, name); b != nil && b.Removed == 0 {
		return b
	}
	return nil
}

func TestMirrorRefusesGaps(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	_, ok := m.Apply(Delta{Complete: true, Revision: 5, Records: []Record{server("s1", 4, nil)}}, 1, 0)
	is.True(ok)
	_, ok = m.Apply(Delta{Since: 6, Revision: 7, Records: []Record{removal("s1", 7)}}, 2, 0)
	is.True(!ok) // revision 6 is missing
	_, ok = m.Apply(Delta{Complete: true, Revision: 4}, 2, 0)
	is.True(!ok) // older than the mirror
	is.Equal(m.Snapshot().Revision, uint64(5))
	_, ok = m.Apply(Delta{Complete: true, Revision: 8}, 3, 0)
	is.True(ok)
	is.Equal(findBackend(m, "s1").Removed, int64(3)) // a complete delta implies removals
}

func TestMirrorKeepsTheLastDecodableEntity(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	decodable := Record{ID: ID{Kind: KindConfiguration}, Revision: 2, Configuration: &Configuration{Version: 7}}
	m.Apply(Delta{Complete: true, Revision: 3, Records: []Record{decodable, server("s1", 3, nil)}}, 1, 0)
	undecodable := []Record{{ID: ID{Kind: KindConfiguration}, Revision: 4}, {ID: ID{Kind: KindServer, Name: "s1"}, Revision: 5}}
	m.Apply(Delta{Since: 3, Revision: 5, Records: undecodable}, 2, 0)
	is.Equal(m.Snapshot().Configuration.Version, int64(7))
	is.True(findBackend(m, "s1").Unreadable)
	is.True(m.Snapshot().ByCookie(cookie.Of("s1")) != nil) // its flows are still forwarded
}

func TestRemainingWarmupIsForwarded(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	cold := server("s1", 1, func(s *Server) { s.Warmup = 2 * time.Second })
	m.Apply(Delta{Complete: true, Revision: 1, Records: []Record{cold}}, int64(time.Second), 0)
	is.True(findBackend(m, "s1").Cold(int64(2900 * time.Millisecond)))
	is.True(!findBackend(m, "s1").Cold(int64(3 * time.Second)))

	forwarded := m.Since(Position{}, int64(2*time.Second))
	is.Equal(forwarded.Records[0].Server.Warmup, time.Second)
	other := NewMirror()
	other.Apply(forwarded, int64(10*time.Second), 100*time.Millisecond)
	is.True(findBackend(other, "s1").Cold(int64(10800 * time.Millisecond)))
	is.True(!findBackend(other, "s1").Cold(int64(10900 * time.Millisecond)))
}

func TestRemovedServersAreDroppedAfterRetention(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	m.Apply(Delta{Complete: true, Revision: 2, Records: []Record{server("s1", 1, nil), removal("s2", 2)}}, 1, 0)
	m.Apply(Delta{Since: 2, Revision: 3, Records: []Record{removal("s1", 3)}}, 2, 0)
	is.True(m.Snapshot().ByCookie(cookie.Of("s1")) != nil)
	m.Apply(Delta{Since: 3, Revision: 4}, int64(Retention)+3, 0)
	is.True(m.Snapshot().ByCookie(cookie.Of("s1")) == nil)
	is.True(m.Since(Position{Revision: 2}, 0).Complete) // the removal was dropped
	is.True(!m.Since(Position{Revision: 3}, 0).Complete)
}

func TestLaterOfTwoServersWithOneCookieIsAmbiguous(t *testing.T) {
	is := is.New(t)
	s := newSnapshot(Position{Revision: 1})
	first := &Backend{Name: "s1", Server: Server{Service: "desk"}}
	s.addBackend(first)
	second := &Backend{Name: "s1", Server: Server{Service: "desk"}} // the same name simulates a collision of cookies
	s.addBackend(second)
	is.True(!first.Ambiguous)
	is.True(second.Ambiguous)
	is.Equal(s.ByCookie(first.Cookie), first)

	first.Removed = 1
	third := &Backend{Name: "s1", Server: Server{Service: "desk"}}
	s.addBackend(third)
	is.True(!third.Ambiguous) // the cookie of a removed server is reused
}

// storeHistory is a store whose contents at each revision are known.
type storeHistory struct {
	changes  []Record            // changes[i] leads to revision i+1
	contents []map[string]Record // contents[r] are the entities at revision r
}

func (s *storeHistory) revision() uint64 { return uint64(len(s.changes)) }

func (s *storeHistory) change(name string, remove bool) {
	revision := s.revision() + 1
	contents := maps.Clone(s.contents[len(s.contents)-1])
	r := server(name, revision, nil)
	if remove {
		r = removal(name, revision)
		delete(contents, name)
	} else {
		contents[name] = r
	}
	s.changes = append(s.changes, r)
	s.contents = append(s.contents, contents)
}

// all returns everything in the store.
func (s *storeHistory) all() Delta {
	records := slices.Collect(maps.Values(s.contents[len(s.contents)-1]))
	slices.SortFunc(records, byPosition)
	return Delta{Revision: s.revision(), Complete: true, Records: records}
}

// since returns the changes after a revision.
func (s *storeHistory) since(revision uint64) Delta {
	return Delta{Since: revision, Revision: s.revision(), Records: s.changes[revision:]}
}

// TestMirrorsHoldTheirRevision lets mirrors read the store, as changes or as a whole,
// and pass on what they know, late and repeatedly. At each revision a mirror holds what
// the store held then: a mirror that has read the whole store does not know which
// entities were created and removed before, and must not pass on its knowledge to
// others as if it did.
func TestMirrorsHoldTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeHistory{contents: []map[string]Record{{}}}
		mirrors := []*Mirror{NewMirror(), NewMirror(), NewMirror()}
		var sent []Delta
		for range 200 {
			m := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")]
			at := m.Snapshot().Revision
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				store.change(fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "name")), rapid.Bool().Draw(t, "remove"))
			case 2:
				m.Apply(store.all(), 1, 0)
			case 3:
				m.Apply(store.since(at), 1, 0)
			case 4:
				other := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "asking mirror")]
				sent = append(sent, m.Since(other.Snapshot().Position, 1))
			case 5:
				if len(sent) > 0 {
					m.Apply(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "delivered")], 1, 0)
				}
			}
			for i, m := range mirrors {
				if !reflect.DeepEqual(m.Snapshot(), m.buildSnapshot()) {
					t.Fatalf("mirror %d: the derived snapshot differs from one that is built anew", i)
				}
				revision := m.Snapshot().Revision
				for n := range 4 {
					name := fmt.Sprint("s", n)
					_, want := store.contents[revision][name]
					if got := findPresent(m, name) != nil; got != want {
						t.Fatalf("mirror %d at revision %d: %s present %t, in the store %t", i, revision, name, got, want)
					}
				}
			}
		}
	})
}

// TestDerivedSnapshotEqualsANewOne applies random changes of servers that move between
// services, are created again and collide in their cookies, and of the configuration.
// The snapshot is the one that would be built anew, and earlier snapshots do not change.
func TestDerivedSnapshotEqualsANewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMirror()
		m.Apply(Delta{Complete: true, Revision: 1}, 1, 0)
		for step := range 60 {
			before, copied := m.Snapshot(), m.buildSnapshot()
			var records []Record
			revision := before.Revision
			for range rapid.IntRange(0, 3).Draw(t, "records") {
				revision++
				name := fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "name"))
				switch rapid.IntRange(0, 9).Draw(t, "kind") {
				case 0:
					records = append(records, removal(name, revision))
				case 1:
					records = append(records, Record{ID: ID{Kind: KindServer, Name: name}, Revision: revision})
				case 2:
					c := &Configuration{Version: int64(step), Services: []Service{{Name: "desk", WarmupRate: float64(step)}}}
					records = append(records, Record{ID: ID{Kind: KindConfiguration}, Revision: revision, Configuration: c})
				case 3:
					records = append(records, Record{ID: ID{Kind: KindEvacuation, Name: "a"}, Revision: revision, Removed: step%2 == 0})
				default:
					r := server(name, revision, func(s *Server) {
						s.Service = rapid.SampledFrom([]string{"desk", "sheets"}).Draw(t, "service")
						s.Warmup = time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Second
					})
					if e := m.entries[r.ID]; e != nil && rapid.IntRange(0, 4).Draw(t, "recreated") > 0 {
						r.Created = e.created.Revision
					}
					records = append(records, r)
				}
			}
			m.Apply(Delta{Since: before.Revision, Revision: revision, Records: records}, int64(step+2), 0)
			if !reflect.DeepEqual(m.Snapshot(), m.buildSnapshot()) {
				t.Fatalf("step %d: the derived snapshot differs from one that is built anew", step)
			}
			if copied.Revision = before.Revision; !reflect.DeepEqual(before, copied) {
				t.Fatalf("step %d: an earlier snapshot was changed", step)
			}
		}
	})
}

// TestBoundCostOfAChange applies a change of one server to a catalogue of the planned
// size: it costs a quarter of building the snapshot anew at most.
func TestBoundCostOfAChange(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	const servers = 3300
	d := Delta{Complete: true, Revision: servers}
	for n := range uint64(servers) {
		d.Records = append(d.Records, server(fmt.Sprint("s", n), n+1, nil))
	}
	m.Apply(d, 1, 0)
	revision := uint64(servers)
	derived := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			revision++
			r := server(fmt.Sprint("s", revision%servers), revision, nil)
			r.Created = revision%servers + 1
			m.Apply(Delta{Since: revision - 1, Revision: revision, Records: []Record{r}}, 1, 0)
		}
	})
	built := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			m.buildSnapshot()
		}
	})
	t.Logf("a change %v, a new snapshot %v", derived.NsPerOp(), built.NsPerOp())
	is.True(derived.NsPerOp()*4 <= built.NsPerOp())
}

// TestStartsAreCounted guards against a start of a server that is not noticed, and against
// other changes that are taken for one.
func TestStartsAreCounted(t *testing.T) {
	is := is.New(t)
	m := NewMirror()
	revision := uint64(0)
	starts := func(started int64, draining bool) uint64 {
		revision++
		r := server("s1", revision, func(s *Server) { s.Started, s.Report, s.Draining = started, revision, draining })
		m.Apply(Delta{Complete: revision == 1, Since: revision - 1, Revision: revision, Records: []Record{r}}, 1, 0)
		return m.Snapshot().Starts
	}
	is.Equal(starts(1000, false), uint64(1))
	is.Equal(starts(1000, true), uint64(1))
	is.Equal(starts(2000, false), uint64(2))
	revision++
	m.Apply(Delta{Since: revision - 1, Revision: revision, Records: []Record{removal("s1", revision)}}, 1, 0)
	is.Equal(starts(2000, false), uint64(2)) // it had only lapsed
	is.Equal(starts(3000, false), uint64(3))
}
