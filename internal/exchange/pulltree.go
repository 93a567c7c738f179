package exchange

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// pullFanOut is how many instances pull a large change from one instance.
	pullFanOut = 4
	// pullStep is the time that one level of the tree takes to pull a change of some
	// 100 kB on the smallest machines: 4 transfers over a link of 10 to 20 Mbit/s, and
	// the processor time to decode it.
	pullStep = 150 * time.Millisecond
)

// pullTree returns the instance from which one instance of a data centre pulls a large
// change that another one there has announced, and its depth in the tree of pulls. The
// tree is rooted at the announcing instance and has pullFanOut branches; instances are
// in the order of their addresses. The announcing instance must be one of members, which
// are the addresses of the data centre's instances in any order.
func pullTree(self, root netip.Addr, members []netip.Addr) (parent netip.Addr, depth int) {
	order := slices.Clone(members)
	slices.SortFunc(order, netip.Addr.Compare)
	order = slices.Compact(order)
	first := slices.Index(order, root)
	position := (slices.Index(order, self) - first + len(order)) % len(order)
	at := func(position int) netip.Addr { return order[(first+position)%len(order)] }
	parentPosition := max(0, position-1) / pullFanOut
	for p := position; p > 0; p = (p - 1) / pullFanOut {
		depth++
	}
	return at(parentPosition), depth
}
