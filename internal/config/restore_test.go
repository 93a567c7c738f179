package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestRestore writes a version back into a store that is empty, has a version
// before it, one of another history, and a newer one.
func TestRestore(t *testing.T) {
	is := is.New(t)
	doc := deployment(3, 3)
	backup := must(t, nil, doc, false)
	drained, err := doc.WithServerState("service-0", "s0-1", Draining)
	is.NoErr(err)
	inForce, _ := marked(t, must(t, backup, drained, false), true, Mark{DataCentre: "c"})

	next, _, err := Restore(inForce)(nil, change("restore", 0))
	is.NoErr(err)
	is.NoErr(next.Check())
	is.Equal(next.Version, inForce.Version+1)
	is.Equal(next.Services, inForce.Services)
	is.Equal(next.Marks(), inForce.Marks())
	is.Equal(next.NextNumber, inForce.NextNumber)
	is.True(next.Follows(inForce.Held())) // instances follow by a delta
	delta, err := next.DeltaFrom(inForce.Held()).Apply(inForce)
	is.NoErr(err)
	is.Equal(delta, next)

	next, diff, err := Restore(inForce)(backup, change("restore", 1))
	is.NoErr(err)
	is.Equal(next.Version, inForce.Version+1)
	is.Equal(diff.From, backup.Version)

	fork := must(t, nil, deployment(2), false)
	fork.Recent = []AcceptedChange{{ID: "of another history", Version: 1}}
	_, diff, err = Restore(inForce)(fork, change("restore", 1))
	is.True(NeedsForce.Has(err))
	is.True(!diff.Empty()) // what would be undone
	c := change("restore", 1)
	c.Force = true
	_, _, err = Restore(inForce)(fork, c)
	is.NoErr(err)

	newer := *inForce
	newer.Version++
	newer.Declared++
	_, _, err = Restore(inForce)(&newer, change("restore", newer.Version))
	is.True(NothingLost.Has(err))
	_, _, err = Restore(inForce)(inForce, change("restore", inForce.Version))
	is.True(NothingLost.Has(err))
	_, _, err = Restore(nil)(nil, change("restore", 0))
	is.True(Invalid.Has(err))
	broken := *inForce
	broken.NextNumber = 1
	_, _, err = Restore(&broken)(nil, change("restore", 0))
	is.True(Invalid.Has(err))
}
