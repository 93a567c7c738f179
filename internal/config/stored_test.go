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

// readState decodes one stored form kept in testdata.
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

// TestOldestForm reads what the first release stored. Every later one must.
func TestOldestForm(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-1.json")
	c, err := s.Config()
	is.NoErr(err)
	is.Equal(c.Version, Version(3))
	is.Equal(c.ChangeID, "change-2")
	is.Equal(c.Services[0].Servers[1].State, Draining)
	is.Equal(len(c.Services[0].Past), 1)
	next, _, err := Accept(s, s.Document().Clone(), change("same", 3))
	is.NoErr(err)
	is.Equal(next, s)
}

// TestMarkedForm reads what the release that brought marks stored. One before it
// refuses that version, and one without a mark it may serve by.
func TestMarkedForm(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-2.json")
	c, err := s.Config()
	is.NoErr(err)
	is.True(c.DataCentres[1].Out)
	is.True(s.ReadableFrom > 1)
	returned, _, err := RemoveMark(Mark{DataCentre: "b"})(s, change("return", s.Version))
	is.NoErr(err)
	is.Equal(len(returned.Marks()), 0)
	is.Equal(returned.ReadableFrom, 1)
	is.Equal(returned.Format, StoredFormat)
	older := must(t, nil, deployment(3), false)
	older.Format = 1
	marked, _, err := SetMark(Mark{Service: "service-0", Server: "s0-1"})(older, change("drain", 1))
	is.NoErr(err)
	is.Equal([]int{marked.Format, marked.ReadableFrom}, []int{2, 2})
}

// TestNewerForm reads a form with fields of a later release at every level. This
// release serves by it and settles it without losing any of them, but accepts no
// declaration over it. Decoding without keeping them would lose them all.
func TestNewerForm(t *testing.T) {
	is := is.New(t)
	s := readState(t, "state-3.json")
	_, err := s.Config()
	is.NoErr(err)
	unknown := func(v any) int {
		data, err := json.Marshal(v)
		is.NoErr(err)
		return strings.Count(string(data), `"new`)
	}
	is.Equal(unknown(s), 4)
	rebased, err := Rebase(s, "service-0", "rebase")
	is.NoErr(err)
	cleared, err := Clear(rebased, "service-0", "clear")
	is.NoErr(err)
	is.Equal(unknown(cleared), 4)
	cleared.more, cleared.DataCentres[0].more = nil, nil
	cleared.Services[0].more, cleared.Services[0].Servers[0].more = nil, nil
	is.Equal(unknown(cleared), 0)
	_, _, err = Accept(s, s.Document(), change("old tool", s.Version))
	is.True(Newer.Has(err))

	s.ReadableFrom = StoredFormat + 1
	_, err = s.Config()
	is.True(Newer.Has(err))
	_, err = Rebase(s, "service-0", "rebase")
	is.True(Newer.Has(err))
}

// TestDelta follows random versions by deltas from any earlier one.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*State{nil, must(t, nil, deployment(3, 2, 2), false)}
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
				if next := must(t, last, doc, true); next != last {
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
		data, err := json.Marshal(want.DeltaFrom(have.Held()))
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
			t.Fatalf("from %+v: got\n%s\nwant\n%s", have.Held(), a, b)
		}
	})
}

// TestBoundDelta counts the bytes of one change at the planned size.
func TestBoundDelta(t *testing.T) {
	is := is.New(t)
	sizes := make([]int, 250)
	for i := range sizes {
		sizes[i] = 13
	}
	doc := deployment(sizes...)
	old := must(t, nil, doc, false)
	old.Recent = nil
	for i := range maxRecent { // a full list of recent changes, as it is in the long run
		old.Recent = append(old.Recent, AcceptedChange{ID: fmt.Sprintf("rebase service-%d at %d by ost-plain-a-%02d", i, i, i), Version: 1})
	}
	drained, err := doc.WithServerState("service-7", "s7-3", Draining)
	is.NoErr(err)
	next := must(t, old, drained, false)
	data, err := json.Marshal(next.DeltaFrom(old.Held()))
	is.NoErr(err)
	whole, err := json.Marshal(next)
	is.NoErr(err)
	t.Logf("a drain takes %d bytes as a delta, %d as a whole", len(data), len(whole))
	is.True(len(data) < 6_000)
}
