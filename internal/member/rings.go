package member

import (
	"cmp"
	"slices"

	"balsamfork/internal/fleet"
)

// circles are the instances that are not dead, in their order on each ring.
type circles [rings][]*row

// circles sorts the instances by their places.
func (r *rows) circles() *circles {
	var c circles
	for ring := range c {
		for _, x := range r.list {
			if x.State != fleet.Dead {
				c[ring] = append(c[ring], x)
			}
		}
		slices.SortFunc(c[ring], func(a, b *row) int {
			return cmp.Or(cmp.Compare(a.place[ring], b.place[ring]), cmp.Compare(a.ID, b.ID))
		})
		for at, x := range c[ring] {
			x.index[ring] = at
		}
	}
	return &c
}

// watchers returns who watches an instance: the next on each ring that is not one
// already, so that it has as many as there are rings if the fleet is that large.
func (c *circles) watchers(x *row) []*row {
	out := make([]*row, 0, rings)
	for ring := range c {
		taken := func(y *row) bool { return y == x || slices.Contains(out, y) }
		if y := c.next(ring, x, taken); y != nil {
			out = append(out, y)
		}
	}
	return out
}

// next returns the first instance after x on a ring that is not to be skipped, or nil.
func (c *circles) next(ring int, x *row, skip func(*row) bool) *row {
	circle := c[ring]
	for step := 1; step <= len(circle); step++ {
		y := circle[(x.index[ring]+step)%len(circle)]
		if !skip(y) {
			return y
		}
	}
	return nil
}

// watched returns the instances that x watches, in order of ID.
func (c *circles) watched(x *row) []fleet.ID {
	var out []fleet.ID
	for _, y := range c[0] {
		if y != x && slices.Contains(c.watchers(y), x) {
			out = append(out, y.ID)
		}
	}
	slices.Sort(out)
	return out
}

// standIns returns, for each watcher of x that is suspected, the next on each ring
// that is not: others may have found it dead already.
func (c *circles) standIns(x *row, watchers []*row) []fleet.ID {
	if !slices.ContainsFunc(watchers, func(y *row) bool { return y.suspicion != nil }) {
		return nil
	}
	var out []fleet.ID
	for ring := range c {
		skip := func(y *row) bool { return y == x || y.suspicion != nil || slices.Contains(watchers, y) }
		if y := c.next(ring, x, skip); y != nil {
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
