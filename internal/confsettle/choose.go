package confsettle

import (
	"github.com/zeebo/xxh3"

	"balsamfork/internal/confsync"
	"balsamfork/internal/fleet"
)

// choose returns the instance that writes: the first of the usable ones by
// rendezvous hashing (Thaler and Ravishankar, 1998), or the own one if there is
// none.
func choose(view *fleet.View) fleet.ID {
	best, top := view.Self, uint64(0)
	for _, i := range view.Instances {
		if !i.Usable() {
			continue
		}
		if rank := xxh3.HashString("config writer " + string(i.ID)); rank >= top {
			best, top = i.ID, rank
		}
	}
	return best
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
