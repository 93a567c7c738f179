// Package fleet holds the table of instances as one instance sees it. It is the
// vocabulary that membership, placement, requests and configuration share; the
// rules that fill it are in package member.
package fleet

import (
	"net/netip"

	"balsamfork/internal/config"
)

// ID names an instance. It is unique in the fleet and survives a restart.
type ID string

// State is what is known of an instance.
type State uint8

// The states of an instance. A leaving instance still relays what it is sent,
// but owns nothing new.
const (
	Joining State = iota + 1
	Alive
	Suspect
	Leaving
	Dead
)

// String returns the state in lower case.
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

// Instance is one row of the table.
type Instance struct {
	ID         ID
	DataCentre string
	Region     string
	State      State
	// Incarnation grows with each start of the same instance.
	Incarnation uint64
	// Applied is the newest configuration version that the instance has
	// confirmed to serve by.
	Applied config.Version
	// Packets takes GRE in UDP, Control takes JSON-RPC from instances and
	// operators, Requests takes JSON-RPC from callers.
	Packets  netip.AddrPort
	Control  netip.AddrPort
	Requests netip.AddrPort
}

// View is an immutable snapshot of the table, in order of ID.
type View struct {
	Self ID
	// Epoch grows whenever an instance enters, leaves or changes state.
	Epoch     uint64
	Instances []Instance
}

// Usable reports whether the instance may be given new responsibility.
func (i Instance) Usable() bool {
	return i.State == Alive || i.State == Suspect
}

// Reachable reports whether packets may still be relayed through the instance.
func (i Instance) Reachable() bool {
	return i.Usable() || i.State == Leaving
}

// Get returns the instance with the given ID, and false if the table has none.
func (v *View) Get(id ID) (Instance, bool) {
	for _, i := range v.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}

// Usable returns the IDs of the usable instances, in order.
func (v *View) Usable() []ID {
	var ids []ID
	for _, i := range v.Instances {
		if i.Usable() {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// Confirmed returns the newest version that every reachable instance has
// applied, and false if the table has no reachable instance.
func (v *View) Confirmed() (config.Version, bool) {
	var low config.Version
	found := false
	for _, i := range v.Instances {
		if !i.Reachable() {
			continue
		}
		if !found || i.Applied < low {
			low = i.Applied
		}
		found = true
	}
	return low, found
}
