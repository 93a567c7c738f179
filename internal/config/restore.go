package config

import (
	"slices"

	"github.com/zeebo/errs"
)

// NothingLost is the class of errors for writing back a version that the store
// holds, or has a newer one than.
var NothingLost = errs.Class("config: nothing to write back")

// Restore proposes to write a version that instances serve by back into a store
// that lost it. The next version is the one after it, with the same content, so
// that every instance takes it as any other change. Errors are those of a
// Proposal: NothingLost if the store holds a version that is not older, NeedsForce if
// the store's version is not known to be one before it, so that changes accepted
// since would be undone.
func Restore(inForce *State) Proposal {
	return func(old *State, change Change) (*State, *Diff, error) {
		if inForce == nil {
			return nil, nil, Invalid.New("there is no version in force to write back")
		}
		if err := inForce.Check(); err != nil {
			return nil, nil, err
		}
		if inForce.Format > StoredFormat {
			return nil, nil, Newer.New("version %d has format %d, this release writes %d", inForce.Version, inForce.Format, StoredFormat)
		}
		change.HashKey = [HashKeySize]byte(inForce.HashKey)
		if err := admissible(old, change); err != nil {
			return nil, nil, err
		}
		return restore(old, inForce, change)
	}
}

func restore(old, inForce *State, change Change) (*State, *Diff, error) {
	if old != nil && old.Version >= inForce.Version {
		return nil, nil, NothingLost.New("the store holds version %d, in force is version %d",
			old.Version, inForce.Version)
	}
	next := &State{StateHeader: inForce.following(change.ID), Services: slices.Clone(inForce.Services)}
	next.Declared = next.Version
	diff := Compare(old, next)
	if old != nil && !change.Force && !inForce.Follows(old.Held()) {
		return nil, diff, NeedsForce.New("version %d in the store is not known to come before version %d in force; what differs would be undone",
			old.Version, inForce.Version)
	}
	return next, diff, nil
}
