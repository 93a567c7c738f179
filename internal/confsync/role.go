package confsync

import (
	"slices"

	"balsamfork/internal/fleet"
	"balsamfork/internal/rendezvous"
)

// watchersPerDataCentre is how many instances of a data centre watch the store.
const watchersPerDataCentre = 2

// role is what an instance does for the configuration, by its view of the fleet.
type role struct {
	// watches is set for the instances that watch the store.
	watches bool
	// readers is the number of instances that share the reads of the store with
	// this one, each with the same part.
	readers int
	// tell lists who is told of a new version.
	tell []fleet.ID
}

// decideRole returns the role of view.Self. Largest is the largest number of
// instances that it ever knew: after a partition the others still call the store.
func decideRole(view *fleet.View, largest int) role {
	r := role{readers: 2 * max(largest, 1)}
	self, known := view.Get(view.Self)
	if !known {
		return r
	}
	watchers := watchersByDataCentre(view)
	r.watches = slices.Contains(watchers[self.DataCentre], view.Self)
	if !r.watches {
		return r
	}
	// Half of the reads belongs to the watchers. On the smaller side of a
	// partition there may be watchers beyond the number reckoned with.
	if ReachesMost(view, self.DataCentre) {
		r.readers = 2 * watchersPerDataCentre * DataCentres(view)
	}
	r.tell = audience(view, self.DataCentre, watchers)
	return r
}

// watcher is what an instance is chosen for.
const watcher = "config watcher"

// watchersByDataCentre returns the first usable instances of each data centre.
func watchersByDataCentre(view *fleet.View) map[string][]fleet.ID {
	usable := map[string][]fleet.ID{}
	for _, i := range view.Instances {
		if i.Usable() {
			usable[i.DataCentre] = append(usable[i.DataCentre], i.ID)
		}
	}
	for name, ids := range usable {
		usable[name] = rendezvous.Top(ids, rendezvous.Name(watcher), watchersPerDataCentre)
	}
	return usable
}

// DataCentres returns the number of data centres that a view has instances of.
func DataCentres(view *fleet.View) int {
	names := map[string]bool{}
	for _, i := range view.Instances {
		names[i.DataCentre] = true
	}
	return len(names)
}

// ReachesMost reports whether more than half of the instances of a data centre
// are reachable: at most one side of a partition does.
func ReachesMost(view *fleet.View, dataCentre string) bool {
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

// audience returns whom a watcher tells: everyone reachable in its data centre,
// and the watchers of the others, which may be cut off from the store.
func audience(view *fleet.View, dataCentre string, watchers map[string][]fleet.ID) []fleet.ID {
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
