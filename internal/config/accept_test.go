package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func numbers(s Set) []Number {
	var out []Number
	for _, m := range s {
		out = append(out, m.Number)
	}
	return out
}

// TestAccept takes one service through drain, undrain, replacement and settling, and
// checks the numbers, sets and versions after each step.
func TestAccept(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3)
	_, _, err := Accept(nil, doc, Change{ID: "without a key"})
	is.True(Invalid.Has(err))
	one := mustAccept(t, nil, doc, false)
	is.Equal(one.Version, Version(1))
	is.Equal(numbers(one.Services[0].Settled), []Number{1, 2, 3})
	is.Equal(one.Services[0].Current, one.Services[0].Settled)
	same, diff, err := Accept(one, doc, testChange("again", 1))
	is.NoErr(err)
	is.True(same == one && diff.Empty())

	drained, err := doc.WithServerState("service-0", "s0-1", Draining)
	is.NoErr(err)
	two := mustAccept(t, one, drained, false)
	is.Equal(numbers(two.Services[0].Current), []Number{1, 3})
	is.Equal(two.Services[0].Settled, one.Services[0].Settled)
	is.Equal(len(two.Services[0].Past), 0) // the previous target equals the base

	three := mustAccept(t, two, doc, false) // undrained before the drain has settled
	is.Equal(three.Services[0].Current, one.Services[0].Settled)
	is.Equal(three.Services[0].Past, []Set{two.Services[0].Current})
	is.Equal(three.Services[0].Servers[1].Joined, Version(3))

	replaced := drained.Clone()
	replaced.Services[0].BackendServers[1] = testServer(9, 9, "b")
	replaced.Services[0].BackendServers[1].Name = "s0-1"
	four := mustAccept(t, three, replaced, false)
	is.Equal(numbers(four.Services[0].Current), []Number{1, 3, 4})
	c, err := four.Config()
	is.NoErr(err)
	is.Equal(c.Services[0].Servers[1].State, Gone) // the base still refers to it
	is.Equal(c.Services[0].Servers[3].Joined, Version(4))

	five, err := Rebase(four, "service-0", "rebase")
	is.NoErr(err)
	is.Equal(five.Services[0].Settled, four.Services[0].Current)
	is.Equal(five.Services[0].Past, []Set{one.Services[0].Settled, two.Services[0].Current})
	six, err := Clear(five, "service-0", "clear")
	is.NoErr(err)
	is.Equal(len(six.Services[0].Past), 0)
	is.Equal(len(six.Services[0].Servers), 3) // no set refers to the replaced server any more
	is.Equal(six.Declared, Version(4))
	_, _, err = Accept(six, doc, testChange("late", 4)) // settling since then is no conflict
	is.NoErr(err)
	_, _, err = Accept(six, doc, testChange("blind", 3))
	is.True(Conflict.Has(err))
}

func TestNeedsForce(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3, 3)
	one := mustAccept(t, nil, doc, false)
	empty := doc.Clone()
	empty.Services[1].BackendServers = nil
	out := doc.Clone()
	for i := range out.DataCentres {
		out.DataCentres[i].Out = true
	}
	for _, d := range []Document{empty, out} {
		_, diff, err := Accept(one, d, testChange("x", 1))
		is.True(NeedsForce.Has(err))
		is.True(len(diff.Cuts()) > 0)
		two := mustAccept(t, one, d, true)
		mustAccept(t, two, d, false) // the condition held before
		mustAccept(t, two, doc, false)
	}
}

// TestAcceptProperties applies random edits, marks and settlements and checks the
// invariants of every accepted version.
func TestAcceptProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := mustAccept(t, nil, testDocument(4, 3), false)
		owners := map[Number]string{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := state
			name := state.Services[0].Name
			var err error
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 2, 3:
				state = drawMark(t, state)
				if !reflect.DeepEqual(state.Document(), before.Document()) {
					t.Fatalf("a mark changed the declaration from %+v to %+v", before.Document(), state.Document())
				}
			case 0:
				state, err = Rebase(state, name, fmt.Sprint("rebase", step))
			case 1:
				state, err = Clear(state, name, fmt.Sprint("clear", step))
			default:
				doc := drawEdit(t, state.Document(), step)
				if len(doc.Validate()) > 0 {
					continue
				}
				state = mustAccept(t, state, doc, true)
				checkMarks(t, before, state)
				if got, want := declaredServers(state.Document()), declaredServers(doc); !maps.Equal(got, want) {
					t.Fatalf("declared %v, stored %v", want, got)
				}
			}
			if err != nil {
				t.Fatal(err)
			}
			checkVersion(t, before, state, owners)
		}
	})
}

func declaredServers(doc Document) map[string]ServerSpec {
	all := map[string]ServerSpec{}
	for _, s := range doc.Services {
		for _, server := range s.BackendServers {
			all[s.Name+"/"+server.Name] = server
		}
	}
	return all
}

func checkVersion(t *rapid.T, before, state *State, owners map[Number]string) {
	if state == before {
		return
	}
	if err := state.Check(); err != nil {
		t.Fatal(err)
	}
	if state.Version != before.Version+1 || string(state.HashKey) != string(before.HashKey) {
		t.Fatalf("version %d follows %d", state.Version, before.Version)
	}
	data, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var again State
	if err := json.Unmarshal(data, &again); err != nil {
		t.Fatal(err)
	}
	if data2, _ := json.Marshal(again); string(data) != string(data2) {
		t.Fatal("the stored form changes when it is decoded and encoded again")
	}
	c, _ := state.Config()
	for _, s := range c.Services {
		old := before.findService(s.Name)
		if len(s.Past) > MaxPast {
			t.Fatalf("%d past sets", len(s.Past))
		}
		if old != nil && !old.Current.Equal(s.Current) && !mayHaveTarget(s, old.Current) {
			t.Fatalf("previous target %v is in none of the sets: %+v", old.Current, s)
		}
		for _, server := range s.Servers {
			key := fmt.Sprint(s.Name, server.Name, server.Packets)
			if first, used := owners[server.Number]; used && first != key {
				t.Fatalf("number %d belongs to %s and belonged to %s", server.Number, key, first)
			}
			owners[server.Number] = key
			if s.Current.Contains(server.Number) != (server.State == Active) {
				t.Fatalf("state of server %+v does not match current set %v", server, s.Current)
			}
		}
	}
}

// mayHaveTarget reports whether the sets of a service still account for buckets
// whose target was determined by the given set.
func mayHaveTarget(s Service, target Set) bool {
	return s.Settled.Equal(target) || slices.ContainsFunc(s.Past, func(p Set) bool {
		return p.Equal(target) || len(p) == 0
	})
}

// TestBoundPast drains each of many backend servers in turn without settling, so
// that the number of past targets would exceed MaxPast.
func TestBoundPast(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3 * MaxPast)
	state := mustAccept(t, nil, doc, false)
	for i := range 3 * MaxPast {
		drained, err := doc.WithServerState("service-0", doc.Services[0].BackendServers[i].Name, Draining)
		is.NoErr(err)
		before := state.Services[0].Current
		state = mustAccept(t, state, drained, false)
		is.True(len(state.Services[0].Past) <= MaxPast)
		c, _ := state.Config()
		is.True(mayHaveTarget(c.Services[0], before))
	}
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	doc := testDocument(14, 4)
	one := mustAccept(t, nil, doc, false)
	next, err := doc.WithServerState("service-0", "s0-1", Draining)
	is.NoErr(err)
	next, err = next.WithOut("c", true)
	is.NoErr(err)
	share := func(sets ...Set) float64 { return float64(len(sets)) / 10 }
	diff, err := Plan(one, Declare(next), testChange("x", 1), share)
	is.NoErr(err)
	is.Equal(diff.DataCentres, []Step{{Action: TakeOut, Name: "c"}})
	is.Equal(diff.Summary(1000), "take out data centre c, drain service-0/s0-1, take out service-0/s0-2, "+
		"take out service-0/s0-5, take out service-0/s0-8, take out service-0/s0-11, take out service-1/s1-2")
	is.Equal(len(diff.Cuts()), 5)
	is.Equal(diff.Services[0].BucketsUnsettled, 0.2)
	is.True(math.Abs(diff.Services[0].WeightMoved-5.0/14) < 1e-9)
}

// TestCompare checks that a diff lists every changed field by its JSON name.
func TestCompare(t *testing.T) {
	is := is.New(t)
	doc := testDocument(2)
	next := doc.Clone()
	next.Services[0].IdleLimit = Duration(time.Minute)
	next.Services[0].Ramp.Start = 0.5
	next.Services[0].BackendServers[0].Weight = 7
	next.Services[0].BackendServers[1].Health = "http://127.0.0.1/"
	one := mustAccept(t, nil, doc, false)
	diff := Compare(one, mustAccept(t, one, next, false))
	is.Equal(diff.Services[0].Steps, []Step{
		{Action: Modify, Name: "service-0", Detail: "idleLimit 1h0m0s becomes 1m0s, ramp {0.1 1m0s} becomes {0.5 1m0s}"},
		{Action: Reweight, Name: "s0-0", Detail: "weight 100 becomes 7"},
		{Action: Modify, Name: "s0-1", Detail: "health http://60.0.0.1:8081/health becomes http://127.0.0.1/"},
	})
	is.Equal(len(diff.Cuts()), 0)
	moved := doc.Clone()
	moved.Services[0].Address = netip.MustParseAddrPort("203.0.113.99:443")
	is.Equal(len(Compare(one, mustAccept(t, one, moved, false)).Cuts()), 1)
	is.Equal(len(Compare(one, nil).Cuts()), 1)
}
