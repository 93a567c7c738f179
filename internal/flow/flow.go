// Package flow names what the packet path and the decisions about flows share:
// the summary of one packet, and the verdict on it. It does no I/O.
package flow

import (
	"net/netip"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// Key is the 5-tuple of a flow. Source is the caller, Destination the address
// of the service.
type Key struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    config.Protocol
}

// Flags are the parts of a packet's headers that decisions depend on.
type Flags uint8

// The flags of a packet. Syn is set only without ACK. Sessionless marks a
// protocol without an opening or closing packet, such as UDP. Partial marks a
// later fragment, whose ports are unknown.
const (
	Syn Flags = 1 << iota
	Fin
	Rst
	Sessionless
	Partial
)

// Has reports whether all of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Origin says who handed a packet to this instance.
type Origin uint8

// The origins of a packet.
const (
	// FromFabric is a packet straight from a caller.
	FromFabric Origin = iota + 1
	// Steered came from an instance that takes this one for the owner.
	Steered
	// Delegated came from an owner whose records are not complete: the receiver
	// decides if its own are.
	Delegated
	// Copied came from an owner that has placed the flow on the named backend
	// server: the receiver records that, then forwards.
	Copied
	// Gathered came from an instance that hands all fragments of one packet to
	// the same instance. Decisions never see it: to them it is FromFabric.
	Gathered
)

// Packet is the summary of one packet that decisions are made on.
type Packet struct {
	Key    Key
	Flags  Flags
	Origin Origin
	// Hops counts the instances that have relayed the packet.
	Hops uint8
	// Server is the backend server that a Copied packet names.
	Server config.Number
	// Flow is the keyed hash of Key, and Service the index of the service in
	// the configuration that the decision is made by; the decision fills both.
	Flow    uint64
	Service int
}

// Action says what happens to a packet.
type Action uint8

// The actions of a Verdict.
const (
	// Drop discards the packet; Reason says why.
	Drop Action = iota + 1
	// Forward sends it to the backend server.
	Forward
	// Relay sends it to another instance, with As as its new origin.
	Relay
)

// Reason says why a packet was dropped.
type Reason uint8

// The reasons for dropping a packet.
const (
	NoReason Reason = iota
	NoService
	NoServer
	ServerGone
	TooManyHops
	Malformed
)

// Verdict is the outcome of a decision about one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Server is set for Forward, and for Relay with As == Copied.
	Server config.Number
	// Address is where the packet goes next, as GRE in UDP.
	Address netip.AddrPort
	Peer    fleet.ID
	As      Origin
}

// Decider decides about packets. Decide must be safe for concurrent use, must
// not block and must not allocate.
type Decider interface {
	Decide(now int64, p *Packet) Verdict
}
