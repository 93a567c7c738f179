package overload

import "time"

// Limits that hold whatever callers need, in work in progress per slot.
const (
	// maxFull is the highest limit for Full: servers have a queue of a few requests a
	// slot, so a longer queue is shed.
	maxFull = 4.0
	// minFull is the lowest limit for Full. A service with a short target still has all
	// slots busy at 1, which alone is no overload.
	minFull = 1.5
	// busyPart is the limit for Busy as a part of that for Full.
	busyPart = 0.5
)

// maxRoomAge is the age above which what is known of a room no longer counts.
const maxRoomAge = 5 * time.Second

// Room is what is known of a service's room.
type Room struct {
	// Load is the work in progress per slot, at the servers' speeds; 1 means that all slots
	// are busy.
	Load float64
	// Slots is the number of slots of its usable servers; 0 means that it has none. It
	// counts also if Known is false, since it comes from the catalogue.
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
// route and its service time; 0 means unknown. Full is the load at which a request waits
// until it misses the target, from 1.5 to 4, and Busy is half of it. If either argument is
// unknown, Full is 4.
func LimitsFor(target, serviceTime time.Duration) Limits {
	full := maxFull
	if target > 0 && serviceTime > 0 {
		full = min(max(float64(target)/float64(serviceTime), minFull), maxFull)
	}
	return Limits{Busy: full * busyPart, Full: full}
}

// State returns the state of a service with the given limits. It is Unknown if nothing is
// known, if that is more than 5 s old, or if the load is not a number from 0. A known
// service without a usable server is Full.
func (r Room) State(l Limits) State {
	switch {
	case !r.counts():
		return Unknown
	case r.Slots <= 0 || r.Load >= l.Full:
		return Full
	case r.Load >= l.Busy:
		return Busy
	}
	return Available
}

// counts reports whether the load is known, recent and a number from 0.
func (r Room) counts() bool { return r.Known && r.Age <= maxRoomAge && r.Load >= 0 }

// WithPlaced returns the room with the work in progress of flows that have been placed within
// a time since the load became known, as far as it exceeds what all slots complete in that
// time. Loads are up to seconds old: without it, an overflow goes on long after it has filled
// the other service. A service of unknown service time completes nothing.
func (r Room) WithPlaced(work float64, since time.Duration) Room {
	if r.counts() && r.Slots > 0 && work > 0 {
		completed := 0.0
		if r.ServiceTime > 0 {
			completed = float64(max(since, 0)) / float64(r.ServiceTime)
		}
		r.Load += max(work/float64(r.Slots)-completed, 0)
	}
	return r
}
