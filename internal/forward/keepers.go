package forward

import (
	"net/netip"
	"sync/atomic"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/fleet"
	"balsamfork/internal/table"
)

// Keepers chooses the instance that remembers the fragments of a packet: the
// first by rendezvous (Thaler and Ravishankar, 1998) among the usable ones.
// Instances with the same view choose the same. It is safe for concurrent use.
type Keepers struct {
	self fleet.ID
	rows atomic.Pointer[[]keeper]
}

type keeper struct {
	seed    uint64
	address netip.AddrPort
	self    bool
}

// NewKeepers returns Keepers that choose this instance until there is a view.
func NewKeepers(self fleet.ID) *Keepers {
	k := &Keepers{self: self}
	k.rows.Store(&[]keeper{})
	return k
}

// SetView takes a newer view of the table of instances.
func (k *Keepers) SetView(v *fleet.View) {
	var rows []keeper
	for _, i := range v.Instances {
		if i.Usable() {
			rows = append(rows, keeper{xxh3.HashString(string(i.ID)), i.Packets, i.ID == k.self})
		}
	}
	k.rows.Store(&rows)
}

// Gather is a Config.Gather.
func (k *Keepers) Gather(hash uint64) (netip.AddrPort, bool) {
	best := keeper{self: true}
	var most uint64
	for _, row := range *k.rows.Load() {
		if score := table.Mix(hash ^ row.seed); score >= most {
			best, most = row, score
		}
	}
	return best.address, !best.self
}
