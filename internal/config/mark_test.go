package config

import (
	"testing"

	"github.com/matryer/is"
)

// setMarks sets the marks in turn, or removes them if set is false.
func setMarks(t *testing.T, s *State, set bool, marks ...Mark) (*State, *Diff) {
	var diff *Diff
	for _, m := range marks {
		propose := RemoveMark(m)
		if set {
			propose = SetMark(m)
		}
		var err error
		if s, diff, err = propose(s, testChange("mark "+m.String(), s.Version)); err != nil {
			t.Fatal(err)
		}
	}
	return s, diff
}

// TestMarks sets and removes marks and checks their effect, also across declarations
// that repeat a mark or remove the marked objects.
func TestMarks(t *testing.T) {
	is := is.New(t)
	drain, out := Mark{Service: "service-0", Server: "s0-1"}, Mark{DataCentre: "c"}
	doc := testDocument(4, 4)
	one := mustAccept(t, nil, doc, false)
	two, diff := setMarks(t, one, true, drain, out)
	is.Equal(two.Document(), one.Document()) // the declaration is unchanged
	is.Equal(two.Marks(), []Mark{out, drain})
	is.Equal(diff.Marks, two.Marks())
	is.Equal(numbers(two.Services[0].Current), []Number{1, 4}) // 2 drains, 3 is out
	is.Equal(numbers(two.Services[1].Current), []Number{5, 6, 8})
	is.Equal(diff.Cuts(), []string{"service service-0: the flows of backend server s0-2 in c end",
		"service service-1: the flows of backend server s1-2 in c end"})
	c, err := two.Config()
	is.NoErr(err)
	is.True(c.DataCentres[2].Out)
	is.Equal(c.Services[0].Servers[1].State, Draining)
	is.Equal(c.Services[0].Servers[2].State, Gone)
	is.Equal(diff.Summary(1000), "set mark: take out data centre c; marks in effect: take out data centre c, drain service-0/s0-1")
	same, diff := setMarks(t, two, true, drain)
	is.True(same == two && diff.Empty()) // setting a mark again changes nothing

	// A declaration keeps the marks, even if it has the same settings itself for a while.
	doc.Services[0].BackendServers[0].Weight = 7
	three := mustAccept(t, two, doc, false)
	is.Equal(three.Marks(), two.Marks())
	same, diff, err = Accept(three, doc, testChange("same", three.Version))
	is.NoErr(err)
	is.True(same == three)
	is.Equal(diff.Summary(1000), "nothing; marks in effect: take out data centre c, drain service-0/s0-1")
	both, err := doc.WithServerState("service-0", "s0-1", Draining)
	is.NoErr(err)
	both, err = both.WithOut("c", true)
	is.NoErr(err)
	four := mustAccept(t, three, both, false)
	for _, m := range four.Marks() {
		_, _, err = RemoveMark(m)(four, testChange("remove", four.Version))
		is.True(AlreadyDeclared.Has(err)) // the declaration has the same setting
	}
	diff = Compare(three, four)
	is.Equal(diff.DataCentres, []Step{{Action: Modify, Name: "c", Detail: "out false becomes true"}})
	is.Equal(diff.Services[0].Steps, []Step{{Action: Modify, Name: "s0-1", Detail: "state active becomes draining"}})
	five := mustAccept(t, four, doc, false)
	is.Equal(five.Marks(), two.Marks())

	// Without the marks, the backend servers get new Joined versions.
	six, diff := setMarks(t, five, false, drain, out)
	is.Equal(len(six.Marks()), 0)
	is.Equal(len(diff.Marks), 0)
	is.Equal(six.Services[0].Servers[1].Joined, six.Version-1)
	is.Equal(six.Services[0].Servers[2].Joined, six.Version)
	is.Equal(six.Services[0].Current, mustAccept(t, one, doc, false).Services[0].Current)

	// A mark is removed with its object and does not return with an object of that name.
	seven, _ := setMarks(t, six, true, drain, out)
	fewer := doc.Clone()
	fewer.DataCentres = fewer.DataCentres[:2]
	fewer.Services[0].BackendServers[1].Packets = testServer(9, 9, "b").Packets
	for i := range fewer.Services {
		for j := range fewer.Services[i].BackendServers {
			if fewer.Services[i].BackendServers[j].DataCentre == "c" {
				fewer.Services[i].BackendServers[j].DataCentre = "a"
			}
		}
	}
	eight := mustAccept(t, seven, fewer, false)
	is.Equal(len(eight.Marks()), 0)
	is.Equal(len(mustAccept(t, eight, doc, false).Marks()), 0)
}

// TestRejectedMarks checks marks on unknown objects, marks that need force, and
// conflicts.
func TestRejectedMarks(t *testing.T) {
	is := is.New(t)
	one := mustAccept(t, nil, testDocument(1, 3), false)
	for _, m := range []Mark{{DataCentre: "z"}, {Service: "z", Server: "s0-0"}, {Service: "service-0", Server: "z"}, {}} {
		_, _, err := SetMark(m)(one, testChange("x", 1))
		is.True(Invalid.Has(err))
	}
	last := Mark{Service: "service-0", Server: "s0-0"}
	_, _, err := SetMark(last)(nil, testChange("x", 0))
	is.True(Invalid.Has(err)) // no configuration
	_, diff, err := SetMark(last)(one, testChange("x", 1))
	is.True(NeedsForce.Has(err))
	is.Equal(diff.Services[0].Steps, []Step{{Action: Drain, Name: "s0-0"}})
	two, _ := setMarks(t, one, true, Mark{Service: "service-1", Server: "s1-0"})
	_, _, err = SetMark(last)(two, testChange("x", 1))
	is.True(Conflict.Has(err)) // based on the version before the other mark
	_, _, err = Accept(two, testDocument(2, 3), testChange("x", 1))
	is.True(Conflict.Has(err)) // the same for a declaration
}
