package exchange

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestLargeChangesArePulledFromMany covers a change that does not fit a datagram in data
// centres of several sizes (big_config, and the start of a fleet): however many instances
// pull it, no instance serves more than pullFanOut of them, each gets it from one that is
// nearer to the announcing instance, and a few steps reach all.
func TestLargeChangesArePulledFromMany(t *testing.T) {
	for _, c := range []struct{ instances, depth int }{{2, 1}, {30, 3}, {100, 4}, {300, 5}, {415, 5}, {1000, 5}} {
		is := is.New(t)
		var members []netip.Addr
		for n := range c.instances {
			members = append(members, netip.AddrFrom4([4]byte{10, 1, byte((n * 7919) >> 8), byte(n * 7919)}))
		}
		root := members[c.instances/2]
		served := map[netip.Addr]int{}
		depths := map[netip.Addr]int{root: 0}
		deepest := 0
		for _, self := range members {
			if self != root {
				parent, depth := pullTree(self, root, members)
				served[parent]++
				depths[self] = depth
				deepest = max(deepest, depth)
			}
		}
		for _, self := range members {
			is.True(served[self] <= pullFanOut)
			if self != root {
				parent, depth := pullTree(self, root, members)
				is.Equal(depths[parent], depth-1)
			}
		}
		is.True(deepest <= c.depth)
	}
}
