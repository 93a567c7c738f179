package confsync

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
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

// watchersByDataCentre returns the first usable instances of each data centre by
// rendezvous hashing (Thaler and Ravishankar, 1998).
func watchersByDataCentre(view *fleet.View) map[string][]fleet.ID {
	first := map[string][]ranked{}
	for _, i := range view.Instances {
		if i.Usable() {
			first[i.DataCentre] = insert(first[i.DataCentre], ranked{i.ID, rank(i.ID)})
		}
	}
	ids := make(map[string][]fleet.ID, len(first))
	for name, list := range first {
		for _, r := range list {
			ids[name] = append(ids[name], r.id)
		}
	}
	return ids
}

type ranked struct {
	id   fleet.ID
	rank uint64
}

// insert keeps the list in order of rank, and no longer than there are watchers.
func insert(list []ranked, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(list, r, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id))
	})
	list = slices.Insert(list, at, r)
	return list[:min(len(list), watchersPerDataCentre)]
}

func rank(id fleet.ID) uint64 {
	return xxh3.HashString("config watcher " + string(id))
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
