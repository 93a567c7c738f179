package catalogue

import "cmp"

// Position is a point in the history of the store. Positions are ordered by epoch, then
// by revision: a store that has been restored from a backup begins a new epoch, in which
// revisions that were given out after the backup are given out again.
type Position struct {
	Epoch    uint64
	Revision uint64
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a
// positive number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}
