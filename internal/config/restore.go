package config

import (
	"slices"

	"github.com/zeebo/errs"
)

// NothingToRestore is the class of errors for restoring a version to a store that
// already has it or a newer one.
var NothingToRestore = errs.Class("config: nothing to write back")

// Restore proposes to write the version in force on the instances back to a store
// that lost it. The result has the version number after it and the same content, so
// that every instance applies it like any other change. Errors are those of a Proposal:
// NothingToRestore if the version in the store is not older, NeedsForce if it is not
// known to be an ancestor of the version in force, so that its own changes would be
// undone.
func Restore(inForce *State) Proposal {
	return func(old *State, change Change) (*State, *Diff, error) {
		if inForce == nil {
			return nil, nil, Invalid.New("there is no version in force to restore")
		}
		if err := inForce.Check(); err != nil {
			return nil, nil, err
		}
		if inForce.Format > StoredFormat {
			return nil, nil, Newer.New("version %d has format %d; this release writes format %d", inForce.Version, inForce.Format, StoredFormat)
		}
		change.HashKey = [HashKeySize]byte(inForce.HashKey)
		if err := checkPreconditions(old, change); err != nil {
			return nil, nil, err
		}
		return restore(old, inForce, change)
	}
}

func restore(old, inForce *State, change Change) (*State, *Diff, error) {
	if old != nil && old.Version >= inForce.Version {
		return nil, nil, NothingToRestore.New("the store holds version %d, in force is version %d",
			old.Version, inForce.Version)
	}
	next := &State{StateHeader: inForce.successor(change.ID), Services: slices.Clone(inForce.Services)}
	next.Declared = next.Version
	diff := Compare(old, next)
	if old != nil && !change.Force && !inForce.DescendsFrom(old.VersionID()) {
		return nil, diff, NeedsForce.New("version %d in the store is not known to be an ancestor of version %d in force; its differences would be undone",
			old.Version, inForce.Version)
	}
	return next, diff, nil
}
