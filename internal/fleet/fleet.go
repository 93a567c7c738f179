// Package fleet defines the types of the table of instances that each instance keeps.
// Membership, placement, requests and configuration share them; package member
// maintains the table.
package fleet

import (
	"net/netip"

	"balsamfork/internal/config"
)

// ID identifies an instance. It is unique in the fleet and does not change across
// restarts.
type ID string

// State is the membership state of an instance.
type State uint8

// The states of an instance. A leaving instance still relays packets that it
// receives, but is assigned nothing new.
const (
	Joining State = iota + 1
	Alive
	Suspect
	Leaving
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Instance is one entry of the table.
type Instance struct {
	ID         ID
	DataCentre string
	Region     string
	State      State
	// Incarnation increases with each start of the instance.
	Incarnation uint64
	// LeavesAt is the time, in milliseconds of Unix time, from which an instance that
	// has announced its departure is responsible for no new keys. It is announced, so
	// that all instances use the same time; zero means that no departure is announced.
	LeavesAt uint64
	// Applied is the newest configuration version that the instance has
	// reported as applied.
	Applied config.Version
	// Packets is the address for GRE-in-UDP packets, Control that for JSON-RPC from
	// instances and operators, and Requests that for JSON-RPC from callers.
	Packets  netip.AddrPort
	Control  netip.AddrPort
	Requests netip.AddrPort
}

// View is an immutable snapshot of the table, sorted by ID.
type View struct {
	Self ID
	// Epoch increases whenever an instance is added, removed or changes state.
	Epoch     uint64
	Instances []Instance
}

// Usable reports whether the instance may be assigned new work.
func (i Instance) Usable() bool {
	return i.State == Alive || i.State == Suspect
}

// Reachable reports whether packets may still be relayed through the instance.
func (i Instance) Reachable() bool {
	return i.Usable() || i.State == Leaving
}

// Get returns the instance with the given ID, and false if the table does not contain
// it.
func (v *View) Get(id ID) (Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}

// IsDead reports whether the table has the instance as dead. One that is joining or not
// in the table may be serving already, since each instance learns of it at its own time.
func (v *View) IsDead(id ID) bool {
	i, found := v.Get(id)
	return found && i.State == Dead
}

// UsableIDs returns the IDs of the usable instances, sorted.
func (v *View) UsableIDs() []ID {
	var ids []ID
	for _, i := range v.Instances {
		if i.Usable() {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// AppliedByAll returns the newest version that every reachable instance has
// applied, and false if the table has no reachable instance.
func (v *View) AppliedByAll() (config.Version, bool) {
	var lowest config.Version
	found := false
	for _, i := range v.Instances {
		if !i.Reachable() {
			continue
		}
		if !found || i.Applied < lowest {
			lowest = i.Applied
		}
		found = true
	}
	return lowest, found
}
