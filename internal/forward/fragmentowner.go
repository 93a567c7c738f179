package forward

import (
	"net/netip"
	"sync/atomic"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// FragmentOwners chooses the fragment owner of a packet, the instance that handles
// all of its fragments, by rendezvous hashing (Thaler and Ravishankar, 1998) over
// the usable instances. Instances with the same view choose the same owner. It is
// safe for concurrent use.
type FragmentOwners struct {
	self       fleet.ID
	candidates atomic.Pointer[[]ownerCandidate]
}

type ownerCandidate struct {
	seed    uint64
	address netip.AddrPort
	self    bool
}

// NewFragmentOwners returns FragmentOwners that choose the instance self until
// SetView is called.
func NewFragmentOwners(self fleet.ID) *FragmentOwners {
	o := &FragmentOwners{self: self}
	o.candidates.Store(&[]ownerCandidate{})
	return o
}

// SetView replaces the view of the fleet that the choice is based on.
func (o *FragmentOwners) SetView(v *fleet.View) {
	var candidates []ownerCandidate
	for _, i := range v.Instances {
		if i.Usable() {
			candidates = append(candidates, ownerCandidate{xxh3.HashString(string(i.ID)), i.Packets, i.ID == o.self})
		}
	}
	o.candidates.Store(&candidates)
}

// FragmentOwner implements Config.FragmentOwner.
func (o *FragmentOwners) FragmentOwner(hash uint64) (netip.AddrPort, bool) {
	best := ownerCandidate{self: true}
	var highestScore uint64
	for _, candidate := range *o.candidates.Load() {
		if score := table.Mix(hash ^ candidate.seed); score >= highestScore {
			best, highestScore = candidate, score
		}
	}
	return best.address, !best.self
}
