// Package overload decides what happens to new flows where a service runs out of room:
// which service of a route takes a flow, which flows are refused, and which go to other data
// centres. Decisions are pure: the package does no I/O and reads no clock.
package overload

import (
	"time"

	"balsamfork/internal/catalogue"
)

// Room is what is known of a service's room.
type Room struct {
	// Load is the work in progress per slot, at the servers' speeds; 1 means that all slots
	// are busy.
	Load float64
	// Slots is the number of slots of its usable servers; 0 means that it has none.
	Slots int
	// ServiceTime is the mean response time of an uncontended request; 0 means unknown.
	ServiceTime time.Duration
	// Known is false if nothing recent is known. An unknown service is never full.
	Known bool
	// Age is the age of what is known.
	Age time.Duration
}

// State ranks the room of a service.
type State uint8

// The states of a service.
const (
	Unknown State = iota
	Available
	Busy
	Full
)

// Limits are loads, in work in progress per slot, from which a service is Busy or Full.
type Limits struct{ Busy, Full float64 }

// LimitsFor returns the limits of a service from the target latency of its most urgent
// route and its service time; 0 means unknown.
func LimitsFor(target, serviceTime time.Duration) Limits { return Limits{Busy: 2, Full: 4} }

// State returns the state of a service with the given limits.
func (r Room) State(l Limits) State { return Unknown }

// Selection is the service that takes a flow. Overflow says that it is another one than
// the weights give.
type Selection struct {
	Service  string
	Overflow bool
}

// SelectService returns the service of a route that takes a flow.
func SelectService(shares []catalogue.Share, hash uint64, room func(service string) (Room, Limits)) Selection {
	return Selection{Service: shares[0].Service}
}

// Admission limits the flows to one service by priority. It is not safe for concurrent use.
type Admission struct{}

// Update adapts the admitted part to the service's load.
func (a *Admission) Update(r Room, l Limits, now int64) {}

// Admit reports whether a new flow of a caller may go to the service. Rank is the route's
// priority, 0 the highest.
func (a *Admission) Admit(rank int, caller uint64, now int64) bool { return true }

// Level returns the admitted part of the lowest priority that asks, from 0 to 1.
func (a *Admission) Level() float64 { return 1 }

// Spill decides which part of a service's flows goes to other data centres.
type Spill struct{}

// Share returns the part of the flows that is to go to other data centres, from 0 to 1.
func (s *Spill) Share(local Room, remote []Room) float64 { return 0 }

// RemoteSums holds what other data centres have said of their services' room.
type RemoteSums struct{}

// Record records the room of a service in another data centre, as of an age ago.
func (r *RemoteSums) Record(dataCentre, service string, room Room, age time.Duration, now int64) {}

// Rooms returns the recent rooms of a service in the other data centres.
func (r *RemoteSums) Rooms(service string, now int64) []Room { return nil }
