package app

import (
	"net/netip"
	"sync/atomic"

	"balsamfork/internal/fleet"
)

// resolver returns the control address of an instance.
type resolver func(fleet.ID) (netip.AddrPort, bool)

// book lets the link look up addresses in the membership, which itself needs the
// link to exist first.
type book struct {
	resolver atomic.Pointer[resolver]
}

func newBook() *book { return &book{} }

func (b *book) use(r resolver) { b.resolver.Store(&r) }

func (b *book) resolve(id fleet.ID) (netip.AddrPort, bool) {
	r := b.resolver.Load()
	if r == nil {
		return netip.AddrPort{}, false
	}
	return (*r)(id)
}
