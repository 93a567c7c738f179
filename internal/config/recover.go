package config

import "slices"

// Recover proposes the version on which a store that was restored from a backup and the
// instances agree again, given the version in force at an instance. A store that has only
// lost versions gets the content of the version in force. If others were accepted in the
// store since the restore, their content is kept, under a number that no lost version had.
// Nothing changes if the store is ahead of the instance or has the same version. The
// version in force must not be nil. Errors are Invalid if it is damaged, and Newer if a
// newer release has written it or the stored one.
func Recover(inForce *State) Proposal {
	return func(old *State, change Change) (*State, *Diff, error) {
		if err := inForce.Check(); err != nil {
			return nil, nil, err
		}
		if old == nil || old.Version > inForce.Version || old.VersionID() == inForce.VersionID() {
			return old, &Diff{}, nil
		}
		if max(old.Format, inForce.Format) > StoredFormat {
			return nil, nil, Newer.New("version %d or %d has a format after %d", old.Version, inForce.Version, StoredFormat)
		}
		if inForce.DescendsFrom(old.VersionID()) {
			next := &State{StateHeader: inForce.successor(change.ID), Services: slices.Clone(inForce.Services)}
			return next, Compare(old, next), nil
		}
		next := renumber(old, inForce, change.ID)
		return next, Compare(old, next), nil
	}
}

// renumber returns the content of a stored version as the version after the one in force.
func renumber(old, inForce *State, changeID string) *State {
	h := old.StateHeader
	h.Version = inForce.Version
	h = h.successor(changeID)
	h.NextNumber = max(h.NextNumber, inForce.NextNumber)
	return &State{StateHeader: h, Services: slices.Clone(old.Services)}
}
