package config

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// readState decodes a stored form from testdata.
func readState(t *testing.T, name string) *State {
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// TestReadFormat1 reads the stored form of the first release, which every later
// release must accept.
func TestReadFormat1(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-1.json")
	c, err := s.Config()
	is.NoErr(err)
	is.Equal(c.Version, Version(3))
	is.Equal(c.ChangeID, "change-2")
	is.Equal(c.Services[0].Servers[1].State, Draining)
	is.Equal(len(c.Services[0].Past), 1)
	next, _, err := Accept(s, s.Document().Clone(), testChange("same", 3))
	is.NoErr(err)
	is.Equal(next, s)
}

// TestReadFormat2WithMarks reads a stored form with marks, which format 2 introduced.
// Releases of format 1 must reject it, but may apply a version without marks.
func TestReadFormat2WithMarks(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-2.json")
	c, err := s.Config()
	is.NoErr(err)
	is.True(c.DataCentres[1].Out)
	is.True(s.ReadableFrom > 1)
	returned, _, err := RemoveMark(Mark{DataCentre: "b"})(s, testChange("return", s.Version))
	is.NoErr(err)
	is.Equal(len(returned.Marks()), 0)
	is.Equal(returned.ReadableFrom, 1)
	is.Equal(returned.Format, StoredFormat)
	older := mustAccept(t, nil, testDocument(3), false)
	older.Format = 1
	marked, _, err := SetMark(Mark{Service: "service-0", Server: "s0-1"})(older, testChange("drain", 1))
	is.NoErr(err)
	is.Equal([]int{marked.Format, marked.ReadableFrom}, []int{2, 2})
}

// TestNewerFormatKeepsUnknownFields reads a stored form with fields of a later release
// at every level. This release applies and settles it and must keep all of those
// fields, but accepts no declaration on top of it.
func TestNewerFormatKeepsUnknownFields(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-3.json")
	_, err := s.Config()
	is.NoErr(err)
	countUnknown := func(v any) int {
		data, err := json.Marshal(v)
		is.NoErr(err)
		return strings.Count(string(data), `"new`)
	}
	is.Equal(countUnknown(s), 4)
	rebased, err := Rebase(s, "service-0", "rebase")
	is.NoErr(err)
	cleared, err := Clear(rebased, "service-0", "clear")
	is.NoErr(err)
	is.Equal(countUnknown(cleared), 4)
	cleared.unknown, cleared.DataCentres[0].unknown = nil, nil
	cleared.Services[0].unknown, cleared.Services[0].Servers[0].unknown = nil, nil
	is.Equal(countUnknown(cleared), 0)
	_, _, err = Accept(s, s.Document(), testChange("old tool", s.Version))
	is.True(Newer.Has(err))

	s.ReadableFrom = StoredFormat + 1
	_, err = s.Config()
	is.True(Newer.Has(err))
	_, err = Rebase(s, "service-0", "rebase")
	is.True(Newer.Has(err))
}

// TestDelta applies the delta from a random version, also of another history, to the
// latest one and compares the result.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*State{nil, mustAccept(t, nil, testDocument(3, 2, 2), false)}
		for step := range rapid.IntRange(1, 15).Draw(t, "steps") {
			last := versions[len(versions)-1]
			doc := drawEdit(t, last.Document(), step)
			if rapid.IntRange(0, 5).Draw(t, "reorder") == 0 {
				doc.Services = append(doc.Services[1:], doc.Services[0])
			}
			if rapid.IntRange(0, 9).Draw(t, "remove") == 0 && len(doc.Services) > 1 {
				doc.Services = doc.Services[1:]
			}
			if step%3 == 0 {
				if next := drawMark(t, last); next != last {
					versions = append(versions, next)
				}
			} else if len(doc.Validate()) == 0 {
				if next := mustAccept(t, last, doc, true); next != last {
					versions = append(versions, next)
				}
			}
		}
		have := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "have")]
		want := versions[len(versions)-1]
		if rapid.IntRange(0, 4).Draw(t, "fork") == 0 && have != nil { // another history of the same length
			fork := *have
			fork.Recent = []AcceptedChange{{ID: "fork", Version: have.Version}}
			fork.Services = nil
			have = &fork
		}
		data, err := json.Marshal(want.DeltaFrom(have.VersionID()))
		if err != nil {
			t.Fatal(err)
		}
		var d Delta
		if err := json.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		got, err := d.Apply(have)
		if err != nil {
			t.Fatal(err)
		}
		a, _ := json.Marshal(got)
		b, _ := json.Marshal(want)
		if string(a) != string(b) {
			t.Fatalf("from %+v: got\n%s\nwant\n%s", have.VersionID(), a, b)
		}
	})
}

// TestBoundDelta checks the encoded size of the delta for one drain in a large
// configuration.
func TestBoundDelta(t *testing.T) {
	is := is.New(t)
	sizes := make([]int, 250)
	for i := range sizes {
		sizes[i] = 13
	}
	doc := testDocument(sizes...)
	old := mustAccept(t, nil, doc, false)
	old.Recent = nil
	for i := range maxRecentChanges { // a full list of recent changes, as in a long-running system
		old.Recent = append(old.Recent, AcceptedChange{ID: fmt.Sprintf("rebase service-%d at %d by ost-plain-a-%02d", i, i, i), Version: 1})
	}
	drained, err := doc.WithServerState("service-7", "s7-3", Draining)
	is.NoErr(err)
	next := mustAccept(t, old, drained, false)
	data, err := json.Marshal(next.DeltaFrom(old.VersionID()))
	is.NoErr(err)
	full, err := json.Marshal(next)
	is.NoErr(err)
	t.Logf("a drain takes %d bytes as a delta, %d as a full copy", len(data), len(full))
	is.True(len(data) < 6_000)
}
