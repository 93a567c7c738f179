package confsettle

import (
	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
	"balsamfork/internal/rendezvous"
)

// role is what an instance is chosen for.
const role = "config writer"

// choose returns the instance that writes: the first of the usable ones, or the
// own one if there is none.
func choose(view *fleet.View) fleet.ID {
	if first, found := rendezvous.First(view, rendezvous.Name(role)); found {
		return first
	}
	return view.Self
}

// writers returns the number of instances that share the rate of writes with
// this one. Half of it belongs to those that write, of which a partition makes
// one in each data centre at most; the other half to all the others together.
func writers(view *fleet.View, chosen fleet.ID, largest int) int {
	self, _ := view.Get(view.Self)
	if chosen != view.Self || !confsync.ReachesMost(view, self.DataCentre) {
		return 2 * max(largest, 1)
	}
	return 2 * confsync.DataCentres(view)
}
