package config

// Proposal derives the version that follows old, which is nil before the first,
// and returns old itself if nothing changes. It does not modify old. Errors are
// strictjson.Problems, Conflict, NeedsForce, Newer, AlreadyDeclared,
// NothingToRestore or Invalid.
type Proposal func(old *State, change Change) (*State, *Diff, error)

// Declare proposes a declaration. It keeps the marks on objects that are still
// declared.
func Declare(doc Document) Proposal {
	return func(old *State, change Change) (*State, *Diff, error) { return Accept(old, doc, change) }
}

// SetMark proposes to set a mark. It does not change the declaration.
func SetMark(m Mark) Proposal {
	return (&markChange{Mark: m, set: true}).propose
}

// RemoveMark proposes to remove a mark. It does not change the declaration; if that
// has the same setting as the mark, the error is AlreadyDeclared.
func RemoveMark(m Mark) Proposal {
	return (&markChange{Mark: m}).propose
}

// Plan returns the effect that a proposal would have, with the share of each
// service's buckets that would be unsettled. The errors are those of the proposal;
// with NeedsForce the Diff is returned as well.
func Plan(old *State, propose Proposal, change Change, share ShareFunc) (*Diff, error) {
	next, diff, err := propose(old, change)
	if NeedsForce.Has(err) {
		change.Force = true
		next, diff, _ = propose(old, change)
	}
	if next == nil || share == nil {
		return diff, err
	}
	for i := range diff.Services {
		record := next.Service(diff.Services[i].Name)
		if record != nil {
			diff.Services[i].BucketsUnsettled = share(record.sets()...)
		}
	}
	return diff, err
}
