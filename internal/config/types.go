package config

import (
	"net/netip"
	"slices"
	"time"
)

// Version is the number of an accepted configuration. It grows by one with each
// accepted change and never decreases.
type Version uint64

// Number identifies a backend server for as long as any instance may refer to it.
// Numbers are assigned when a change is accepted and are never reused. Zero is not a
// valid number.
type Number uint32

// MaxNumber is the largest Number: the steering that instances put into the key field
// of the GRE header has 24 bits for it.
const MaxNumber Number = 1<<24 - 1

// HashKeySize is the size of Config.HashKey in bytes.
const HashKeySize = 16

// Protocol is the transport protocol of a service's flows.
type Protocol uint8

// The supported protocols, by their IP protocol numbers.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Config is the validated configuration that every instance applies. It is immutable
// once built.
type Config struct {
	Version  Version
	ChangeID string
	// HashKey keys the hash that assigns flows to buckets. It is set by the first
	// version and never changes.
	HashKey     [HashKeySize]byte
	DataCentres []DataCentre
	Services    []Service
}

// DataCentre is a group of instances and backend servers.
type DataCentre struct {
	Name   string
	Region string
	// Out is set while the data centre is taken out of service.
	Out bool
}

// Service is a load-balanced address and the backend servers behind it.
type Service struct {
	Name     string
	Address  netip.AddrPort
	Protocol Protocol
	// IdleLimit is how long a flow may be idle and still reach the same backend
	// server through a planned change. Zero means no limit.
	IdleLimit time.Duration
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	Ramp  Ramp
	// Servers holds every backend server that is declared or that Settled, Past or
	// Current refers to, in order of Number.
	Servers []Server
	// Settled determines the base of each bucket, Current its target. Past holds the
	// sets that were in use between the two, oldest first: a bucket on which all of
	// them agree needs no owner. An empty set in Past agrees with no other.
	Settled Set
	Past    []Set
	Current Set
}

// Ramp is the slow start of a backend server. Its share of a warm server's load grows
// linearly from Start to 1 over Duration.
type Ramp struct {
	Start    float64
	Duration time.Duration
}

// ServerState is the operational state of a backend server.
type ServerState uint8

// The states of a backend server. Gone means that it was removed or its data centre
// is out: no packets are sent to it.
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
	// Packets receives flows, as GRE in UDP; Requests receives JSON-RPC over TCP;
	// Health is the URL of the health check.
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Health   string
	// Joined is the version that made the server active; its ramp starts when that
	// version takes effect.
	Joined Version
}

// Set holds the backend servers that a table is built from, in order of Number.
type Set []Member

// Member is one backend server of a Set with its weight. Weights are relative.
type Member struct {
	Number Number
	Weight uint32
}

// IsSettled reports whether no change of the service is in progress: every bucket
// has the same base and target.
func (s *Service) IsSettled() bool {
	return len(s.Past) == 0 && slices.Equal(s.Settled, s.Current)
}
