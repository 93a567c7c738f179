package app

import (
	"net/netip"
	"sync/atomic"

	"balsamfork/internal/fleet"
)

// resolveFunc returns the control address of an instance, and false if it is unknown.
type resolveFunc func(fleet.ID) (netip.AddrPort, bool)

// addressResolver resolves instance IDs to control addresses by a function that is set
// later: the link needs the membership's addresses, while the membership is built on the
// link.
type addressResolver struct {
	resolveFunc atomic.Pointer[resolveFunc]
}

func newAddressResolver() *addressResolver { return &addressResolver{} }

func (a *addressResolver) set(r resolveFunc) { a.resolveFunc.Store(&r) }

func (a *addressResolver) resolve(id fleet.ID) (netip.AddrPort, bool) {
	r := a.resolveFunc.Load()
	if r == nil {
		return netip.AddrPort{}, false
	}
	return (*r)(id)
}
