// Package flow defines the types that the packet path shares with the packages that
// decide about flows: the summary of one packet and the verdict on it, and the conditions
// of backend servers and the evidence about them. The package does no I/O.
package flow

import (
	"net/netip"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// Key is the 5-tuple of a flow. Source is the address of the caller, Destination that
// of the service.
type Key struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    config.Protocol
}

// Flags are the properties of a packet that decisions depend on.
type Flags uint8

// The flags of a packet. Syn is set only for a SYN without ACK. Sessionless marks a
// packet of a protocol without opening and closing packets, such as UDP. Partial marks
// a fragment other than the first, whose ports are unknown.
const (
	Syn Flags = 1 << iota
	Fin
	Rst
	Sessionless
	Partial
)

// Has reports whether all flags of want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Origin states where an instance received a packet from.
type Origin uint8

// The origins of a packet.
const (
	// FromFabric is a packet that was received from the network, not from another
	// instance.
	FromFabric Origin = iota + 1
	// Steered was relayed by an instance that considers the receiver the owner of the
	// flow.
	Steered
	// Delegated was relayed by an owner whose records are incomplete; the receiver
	// makes the decision, provided that its own records are complete.
	Delegated
	// Copied was relayed by an owner that has placed the flow on the named backend
	// server; the receiver records the placement and forwards the packet.
	Copied
	// RelayedFragment was relayed by an instance that sends all fragments of a
	// packet to the same instance. It is replaced by FromFabric before a
	// decision is made.
	RelayedFragment
)

// Packet is the summary of one packet that a decision is based on.
type Packet struct {
	Key    Key
	Flags  Flags
	Origin Origin
	// Hops is the number of instances that have relayed the packet.
	Hops uint8
	// Server is the backend server that the flow of a Copied packet was placed on.
	Server config.Number
	// Flow is the keyed hash of Key. Service is the index of the service in the
	// configuration that the decision is based on. The decision sets both.
	Flow    uint64
	Service int
}

// Action states what is done with a packet.
type Action uint8

// The actions of a Verdict.
const (
	// Drop discards the packet for the reason in Reason.
	Drop Action = iota + 1
	// Forward sends the packet to the backend server.
	Forward
	// Relay sends the packet to another instance, with As as its new Origin.
	Relay
)

// Reason states why a packet was dropped.
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
	// Address is the address that the packet is sent to, encapsulated as GRE in UDP.
	Address netip.AddrPort
	Peer    fleet.ID
	As      Origin
}

// Decider decides what is done with packets. Decide must be safe for concurrent use
// and must neither block nor allocate.
type Decider interface {
	Decide(now int64, p *Packet) Verdict
}
