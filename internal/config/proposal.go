package config

// Proposal derives the version that follows old, which is nil before the first,
// and returns old itself if nothing changes. It changes neither. Errors are
// strictjson.Problems, Conflict, NeedsForce, Newer, DeclaredSo or Invalid.
type Proposal func(old *State, change Change) (*State, *Diff, error)

// Declare proposes a declaration. Marks stay, but for those on what it no longer has.
func Declare(doc Document) Proposal {
	return func(old *State, change Change) (*State, *Diff, error) { return Accept(old, doc, change) }
}

// SetMark proposes to set a mark. The declaration stays as it is.
func SetMark(m Mark) Proposal {
	return (&marking{Mark: m, set: true}).propose
}

// RemoveMark proposes to remove a mark. The declaration stays as it is; if it
// says the same as the mark the error is DeclaredSo.
func RemoveMark(m Mark) Proposal {
	return (&marking{Mark: m}).propose
}

// Plan returns what a proposal would do, with the share of the buckets of each
// service that are unsettled afterwards. The errors are those of the proposal;
// with NeedsForce the Diff is there as well.
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
