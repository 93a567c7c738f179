package confsync

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/rendezvous"
)

// watchersPerDataCentre is the number of instances of a data centre that watch
// the store.
const watchersPerDataCentre = 2

// role holds the duties of an instance in distributing the configuration,
// derived from its view of the fleet.
type role struct {
	// watches is set if the instance watches the store.
	watches bool
	// readers is the number of equal shares that the read rate of the store is
	// divided into; the instance gets one.
	readers int
	// notifyPeers lists the instances to notify of a new version.
	notifyPeers []fleet.ID
}

// decideRole returns the role of view.Self. It uses largestFleet, the largest
// number of instances known so far, in place of the current number, since
// instances on the other side of a partition may still read the store.
func decideRole(view *fleet.View, largestFleet int) role {
	r := role{readers: 2 * max(largestFleet, 1)}
	self, known := view.Get(view.Self)
	if !known {
		return r
	}
	watchers := watchersByDataCentre(view)
	r.watches = slices.Contains(watchers[self.DataCentre], view.Self)
	if !r.watches {
		return r
	}
	// The watchers share half of the read rate. The smaller side of a partition
	// may choose watchers in excess of this count, so those get the same share
	// as an instance that does not watch.
	if ReachesMajority(view, self.DataCentre) {
		r.readers = 2 * watchersPerDataCentre * DataCentreCount(view)
	}
	r.notifyPeers = notifyTargets(view, self.DataCentre, watchers)
	return r
}

// watcherRole is the key under which rendezvous hashing chooses the watchers.
const watcherRole = "config watcher"

// watchersByDataCentre returns the watchers of each data centre: its first
// usable instances by rendezvous hashing.
func watchersByDataCentre(view *fleet.View) map[string][]fleet.ID {
	usable := map[string][]fleet.ID{}
	for _, i := range view.Instances {
		if i.Usable() {
			usable[i.DataCentre] = append(usable[i.DataCentre], i.ID)
		}
	}
	for name, ids := range usable {
		usable[name] = rendezvous.Top(ids, rendezvous.KeyOf(watcherRole), watchersPerDataCentre)
	}
	return usable
}

// DataCentreCount returns the number of data centres with instances in a view.
func DataCentreCount(view *fleet.View) int {
	names := map[string]bool{}
	for _, i := range view.Instances {
		names[i.DataCentre] = true
	}
	return len(names)
}

// ReachesMajority reports whether more than half of the instances of a data
// centre are reachable, which holds on at most one side of a partition.
func ReachesMajority(view *fleet.View, dataCentre string) bool {
	reachable, all := 0, 0
	for _, i := range view.Instances {
		if i.DataCentre != dataCentre {
			continue
		}
		all++
		if i.Reachable() {
			reachable++
		}
	}
	return 2*reachable > all
}

// notifyTargets returns the instances that a watcher notifies, of those that are
// reachable or joining: all in its data centre, and the watchers of the other
// data centres, which may be cut off from the store.
func notifyTargets(view *fleet.View, dataCentre string, watchers map[string][]fleet.ID) []fleet.ID {
	var ids []fleet.ID
	for _, i := range view.Instances {
		if i.ID == view.Self || !i.Reachable() && i.State != fleet.Joining {
			continue
		}
		if i.DataCentre == dataCentre || slices.Contains(watchers[i.DataCentre], i.ID) {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
