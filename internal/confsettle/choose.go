package confsettle

import (
	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/rendezvous"
)

// writerRole is the key under which rendezvous hashing chooses the writer.
const writerRole = "config writer"

// chooseWriter returns the instance that writes settlements: the first usable
// one by rendezvous hashing, or view.Self if none is usable.
func chooseWriter(view *fleet.View) fleet.ID {
	if first, found := rendezvous.First(view, rendezvous.KeyOf(writerRole)); found {
		return first
	}
	return view.Self
}

// writeShares returns the number of equal shares that the write rate of the
// store is divided into; view.Self gets one. Each side of a partition chooses a
// writer. Those that reach the majority of their data centre, at most one in
// each, share half of the rate, and all other instances share the other half.
func writeShares(view *fleet.View, writerID fleet.ID, largestFleet int) int {
	self, _ := view.Get(view.Self)
	if writerID != view.Self || !confsync.ReachesMajority(view, self.DataCentre) {
		return 2 * max(largestFleet, 1)
	}
	return 2 * confsync.DataCentreCount(view)
}
