package member

import (
	"cmp"
	"slices"

	"balsamfork/internal/fleet"
)

// ringOrders holds the instances that are not dead, in their order on each ring.
type ringOrders [ringCount][]*row

// ringOrders sorts the instances that are not dead by their ring keys and sets their
// ring indexes.
func (r *rows) ringOrders() *ringOrders {
	var o ringOrders
	for ring := range o {
		for _, x := range r.list {
			if x.State != fleet.Dead {
				o[ring] = append(o[ring], x)
			}
		}
		slices.SortFunc(o[ring], func(a, b *row) int {
			return cmp.Or(cmp.Compare(a.ringKey[ring], b.ringKey[ring]), cmp.Compare(a.ID, b.ID))
		})
		for at, x := range o[ring] {
			x.ringIndex[ring] = at
		}
	}
	return &o
}

// watchers returns the instances that watch x: on each ring the next one that is not
// yet among them, so that x has ringCount watchers if the fleet is large enough.
func (o *ringOrders) watchers(x *row) []*row {
	out := make([]*row, 0, ringCount)
	for ring := range o {
		taken := func(y *row) bool { return y == x || slices.Contains(out, y) }
		if y := o.next(ring, x, taken); y != nil {
			out = append(out, y)
		}
	}
	return out
}

// next returns the first instance after x on a ring for which skip is false, or nil.
func (o *ringOrders) next(ring int, x *row, skip func(*row) bool) *row {
	order := o[ring]
	for step := 1; step <= len(order); step++ {
		y := order[(x.ringIndex[ring]+step)%len(order)]
		if !skip(y) {
			return y
		}
	}
	return nil
}

// watchedBy returns the instances that x watches, in order of ID.
func (o *ringOrders) watchedBy(x *row) []fleet.ID {
	var out []fleet.ID
	for _, y := range o[0] {
		if y != x && slices.Contains(o.watchers(y), x) {
			out = append(out, y.ID)
		}
	}
	slices.Sort(out)
	return out
}

// backupWatchers returns additional watchers of x while any of the given watchers is
// suspected: the next instance on each ring that is neither suspected nor a watcher.
// Other instances may have declared the suspected watcher dead already and watch x in
// its place.
func (o *ringOrders) backupWatchers(x *row, watchers []*row) []fleet.ID {
	if !slices.ContainsFunc(watchers, func(y *row) bool { return y.suspicion != nil }) {
		return nil
	}
	var out []fleet.ID
	for ring := range o {
		skip := func(y *row) bool { return y == x || y.suspicion != nil || slices.Contains(watchers, y) }
		if y := o.next(ring, x, skip); y != nil {
			out = appendNew(out, y.ID)
		}
	}
	return out
}

func appendNew(list []fleet.ID, id fleet.ID) []fleet.ID {
	if slices.Contains(list, id) {
		return list
	}
	return append(list, id)
}
