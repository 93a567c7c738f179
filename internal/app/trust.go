package app

import (
	"net/netip"
	"sync/atomic"

	"balsamfork/internal/fleet"
)

// trustedAddresses is the set of packet addresses from which steered packets are
// accepted. The packet path reads it without a lock.
type trustedAddresses struct {
	addresses atomic.Pointer[map[netip.AddrPort]struct{}]
}

func newTrustedAddresses() *trustedAddresses {
	t := &trustedAddresses{}
	t.addresses.Store(&map[netip.AddrPort]struct{}{})
	return t
}

// setView replaces the set by the packet addresses of the reachable instances.
func (t *trustedAddresses) setView(v *fleet.View) {
	next := make(map[netip.AddrPort]struct{}, len(v.Instances))
	for _, i := range v.Instances {
		if i.Reachable() {
			next[i.Packets] = struct{}{}
		}
	}
	t.addresses.Store(&next)
}

// contains reports whether an address belongs to a reachable instance.
func (t *trustedAddresses) contains(a netip.AddrPort) bool {
	_, found := (*t.addresses.Load())[a]
	return found
}
