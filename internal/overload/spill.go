package overload

import (
	"slices"
	"strings"
	"time"
)

// Bounds of the spill between data centres, in work in progress per slot.
const (
	// spillAbove is the local load up to which nothing spills: a slot is still free.
	spillAbove = 1.0
	// spillStart and spillEnd are the differences between the local load and that of the
	// other data centres at which spilling starts and below which it ends. They differ,
	// since sums are up to 5 s old and two data centres would else send flows to and fro.
	spillStart = 0.5
	spillEnd   = 0.25
)

// Spill decides which part of a service's flows goes to other data centres. The zero value
// does not spill. It is not safe for concurrent use.
type Spill struct{ spilling bool }

// Share returns the part of the flows that is to go to other data centres, from 0 to 1,
// from the rooms of the service here and in the other data centres. It is 0 if nothing
// recent is known here or elsewhere, or if no server here is usable: then the rules that
// hold without sums decide.
func (s *Spill) Share(local Room, remote []Room) float64 {
	work, slots := 0.0, 0.0
	for _, r := range remote {
		if r.counts() && r.Slots > 0 {
			work += r.Load * float64(r.Slots)
			slots += float64(r.Slots)
		}
	}
	if slots == 0 || !local.counts() || local.Slots <= 0 || local.Load <= spillAbove {
		s.spilling = false
		return 0
	}
	difference := local.Load - work/slots
	s.spilling = difference >= spillStart || s.spilling && difference >= spillEnd
	if !s.spilling {
		return 0
	}
	here := float64(local.Slots)
	mean := (work + local.Load*here) / (slots + here)
	return 1 - max(spillAbove, mean)/local.Load
}

// RemoteSums holds what other data centres have sent about their services' room. The zero
// value is empty. It is not safe for concurrent use.
type RemoteSums struct{ services map[string][]remoteSum }

// remoteSum is the room of a service in a data centre at a time in nanoseconds.
type remoteSum struct {
	dataCentre string
	room       Room
	at         int64
}

func (s *remoteSum) expired(now int64) bool { return now-s.at > int64(maxRoomAge) }

// Record records the room of a service in another data centre, as of an age ago; now is in
// nanoseconds. It ignores what is older than 5 s or than what is recorded, and a load or
// number of slots below 0. A negative age counts as 0.
func (r *RemoteSums) Record(dataCentre, service string, room Room, age time.Duration, now int64) {
	age = max(age, 0)
	if age > maxRoomAge || !(room.Load >= 0) || room.Slots < 0 {
		return
	}
	sums, known := r.services[service]
	if !known {
		r.removeExpired(now)
	}
	if r.services == nil {
		r.services = make(map[string][]remoteSum)
	}
	sum := remoteSum{dataCentre, room, now - int64(age)}
	at, found := slices.BinarySearchFunc(sums, dataCentre, func(s remoteSum, name string) int {
		return strings.Compare(s.dataCentre, name)
	})
	switch {
	case !found:
		sums = slices.Insert(sums, at, sum)
		r.services[service] = slices.DeleteFunc(sums, func(s remoteSum) bool { return s.expired(now) })
	case sums[at].at <= sum.at:
		sums[at] = sum
	}
}

// removeExpired removes the services of which nothing recent is known, so that services that
// no longer exist take no memory.
func (r *RemoteSums) removeExpired(now int64) {
	for service, sums := range r.services {
		if !slices.ContainsFunc(sums, func(s remoteSum) bool { return !s.expired(now) }) {
			delete(r.services, service)
		}
	}
}

// Rooms returns the rooms of a service in the other data centres that are up to 5 s old at
// now, in nanoseconds, in the order of the data centres' names. They are Known and have
// their age.
func (r *RemoteSums) Rooms(service string, now int64) []Room {
	var rooms []Room
	for _, s := range r.services[service] {
		if s.expired(now) {
			continue
		}
		room := s.room
		room.Known, room.Age = true, max(time.Duration(now-s.at), 0)
		rooms = append(rooms, room)
	}
	return rooms
}
