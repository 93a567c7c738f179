package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestRestore restores a version to a store that is empty, or that has an ancestor,
// a version of another history, a newer version or the same one.
func TestRestore(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3, 3)
	backup := mustAccept(t, nil, doc, false)
	drained, err := doc.WithServerState("service-0", "s0-1", Draining)
	is.NoErr(err)
	inForce, _ := setMarks(t, mustAccept(t, backup, drained, false), true, Mark{DataCentre: "c"})

	next, _, err := Restore(inForce)(nil, testChange("restore", 0))
	is.NoErr(err)
	is.NoErr(next.Check())
	is.Equal(next.Version, inForce.Version+1)
	is.Equal(next.Services, inForce.Services)
	is.Equal(next.Marks(), inForce.Marks())
	is.Equal(next.NextNumber, inForce.NextNumber)
	is.True(next.DescendsFrom(inForce.VersionID())) // instances apply it as a delta
	applied, err := next.DeltaFrom(inForce.VersionID()).Apply(inForce)
	is.NoErr(err)
	is.Equal(applied, next)

	next, diff, err := Restore(inForce)(backup, testChange("restore", 1))
	is.NoErr(err)
	is.Equal(next.Version, inForce.Version+1)
	is.Equal(diff.From, backup.Version)

	fork := mustAccept(t, nil, testDocument(2), false)
	fork.Recent = []AcceptedChange{{ID: "of another history", Version: 1}}
	_, diff, err = Restore(inForce)(fork, testChange("restore", 1))
	is.True(NeedsForce.Has(err))
	is.True(!diff.Empty()) // the diff shows what would be undone
	c := testChange("restore", 1)
	c.Force = true
	_, _, err = Restore(inForce)(fork, c)
	is.NoErr(err)

	newer := *inForce
	newer.Version++
	newer.Declared++
	_, _, err = Restore(inForce)(&newer, testChange("restore", newer.Version))
	is.True(NothingToRestore.Has(err))
	_, _, err = Restore(inForce)(inForce, testChange("restore", inForce.Version))
	is.True(NothingToRestore.Has(err))
	_, _, err = Restore(nil)(nil, testChange("restore", 0))
	is.True(Invalid.Has(err))
	broken := *inForce
	broken.NextNumber = 1
	_, _, err = Restore(&broken)(nil, testChange("restore", 0))
	is.True(Invalid.Has(err))
}
