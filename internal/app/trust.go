package app

import (
	"net/netip"
	"sync/atomic"

	"balsamfork/internal/fleet"
)

// trust is the set of packet addresses that steered packets are taken from. The
// packet path reads it without a lock.
type trust struct {
	addresses atomic.Pointer[map[netip.AddrPort]struct{}]
}

func newTrust() *trust {
	t := &trust{}
	t.addresses.Store(&map[netip.AddrPort]struct{}{})
	return t
}

// setView replaces the set by the addresses of the reachable instances.
func (t *trust) setView(v *fleet.View) {
	next := make(map[netip.AddrPort]struct{}, len(v.Instances))
	for _, i := range v.Instances {
		if i.Reachable() {
			next[i.Packets] = struct{}{}
		}
	}
	t.addresses.Store(&next)
}

// has reports whether an address belongs to a reachable instance.
func (t *trust) has(a netip.AddrPort) bool {
	_, found := (*t.addresses.Load())[a]
	return found
}
