package config

import (
	"net/netip"
	"slices"
	"time"
)

// Version numbers accepted configurations. It grows by one with each accepted
// change and is never gone back from.
type Version uint64

// Number identifies a backend server for as long as any instance may name it.
// Numbers are given out when a change is accepted and are never used again.
// Zero names no backend server.
type Number uint32

// MaxNumber is the largest Number: 24 bits, what the steering header carries.
const MaxNumber Number = 1<<24 - 1

// HashKeySize is the size of Config.HashKey in bytes.
const HashKeySize = 16

// Protocol is the transport protocol of a service's flows.
type Protocol uint8

// The protocols that flows may use, by their IP protocol numbers.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Config is a validated configuration: what every instance serves by. It is
// immutable once built.
type Config struct {
	Version  Version
	ChangeID string
	// HashKey keys the hash that spreads flows over buckets. It is drawn when the
	// first configuration is accepted and stays the same from then on.
	HashKey     [HashKeySize]byte
	DataCentres []DataCentre
	Services    []Service
}

// DataCentre is a group of instances and backend servers.
type DataCentre struct {
	Name   string
	Region string
	// Out is set while the operator has taken the data centre out.
	Out bool
}

// Service is one address in front of a set of backend servers.
type Service struct {
	Name     string
	Address  netip.AddrPort
	Protocol Protocol
	// IdleLimit is the longest silence after which a flow must still reach its
	// backend server through a planned change. Zero means without limit.
	IdleLimit time.Duration
	// Slots is how many requests a backend server runs at once.
	Slots int
	Ramp  Ramp
	// Servers holds every backend server that Settled, Past or Current names,
	// in order of Number.
	Servers []Server
	// Settled gives each bucket its base, Current its target. Past holds the
	// targets between the two, oldest first: a bucket on which all of them agree
	// needs no owner. An empty set in Past agrees with no other.
	Settled Set
	Past    []Set
	Current Set
}

// Ramp limits a backend server that has just started. Its share of a warm
// server's load grows linearly from Start to 1 over Duration.
type Ramp struct {
	Start    float64
	Duration time.Duration
}

// ServerState says what the operator wants of a backend server.
type ServerState uint8

// The states of a backend server. Gone is one that was removed or whose data
// centre was taken out: no packet goes there.
const (
	Active ServerState = iota + 1
	Draining
	Gone
)

// Server is a backend server of one service.
type Server struct {
	Number     Number
	Name       string
	DataCentre string
	State      ServerState
	Weight     uint32
	// Packets takes flows, as GRE in UDP; Requests takes JSON-RPC over TCP;
	// Health is the URL that probes ask.
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Health   string
	// Joined is the version that made the server active; its ramp starts when
	// that version comes into force.
	Joined Version
}

// Set is the backend servers that a table is built over, in order of Number.
type Set []Member

// Member is one backend server of a Set with its weight. Weights are relative.
type Member struct {
	Number Number
	Weight uint32
}

// IsSettled reports whether no change of the service is under way: every bucket
// has the same base and target.
func (s *Service) IsSettled() bool {
	return len(s.Past) == 0 && slices.Equal(s.Settled, s.Current)
}
