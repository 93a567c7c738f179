package overload

import (
	"math"
	"math/bits"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/table"
)

// overflowKey sets the draws of the overflow apart from the other uses of a flow's hash: the
// choice by weight (hash modulo the weights), the spill (Mix(hash)) and the ranking of
// servers (Mix(hash ^ Mix(number))). With shared bits, the flows that overflow would not be
// a random part of those of the full service.
const overflowKey = 0x6f766572666c6f77

// maxWeight is the largest weight that counts, so that the sum of a route's weights does not
// overflow.
const maxWeight = math.MaxInt32

func weightOf(s catalogue.Share) int { return min(max(s.Weight, 0), maxWeight) }

// Selection is the service that takes a flow. If that is another one than the weights give,
// OverflowFrom is the service that they give, otherwise "".
type Selection struct{ Service, OverflowFrom string }

// SelectService returns the service of a route that takes a flow with the given hash. The
// weights decide unless the service that they give is Full or has no usable server. Then
// another service of the route that is known to be Available, chosen by weight, takes the
// flow with a probability that falls from 1 at no load to 0 at its limit Busy. If the
// service has no usable server and no other one is Available, an Unknown one with a usable
// server takes the flow.
//
// A service with weight 0 or less never gets a flow, and without any other the selection
// is zero. The callback room may be called several times for a service, and not at all if
// the route has only one. SelectService does not allocate.
func SelectService(shares []catalogue.Share, hash uint64, room func(service string) (Room, Limits)) Selection {
	total, services := 0, 0
	for _, s := range shares {
		if weight := weightOf(s); weight > 0 {
			total += weight
			services++
		}
	}
	if services == 0 {
		return Selection{}
	}
	at := int(hash % uint64(total))
	weighted := ""
	for _, s := range shares {
		if at -= weightOf(s); at < 0 {
			weighted = s.Service
			break
		}
	}
	if services == 1 {
		return Selection{Service: weighted}
	}
	r, l := room(weighted)
	if r.Slots > 0 && r.State(l) != Full {
		return Selection{Service: weighted}
	}
	draw := table.Mix(hash ^ overflowKey)
	other := pickInState(shares, weighted, Available, draw, room)
	if other == "" && r.Slots <= 0 {
		other = pickInState(shares, weighted, Unknown, draw, room)
	}
	if other == "" || !takesOverflow(other, draw, room) {
		return Selection{Service: weighted}
	}
	return Selection{Service: other, OverflowFrom: weighted}
}

// pickInState returns one of the services in the given state that have a usable server,
// with a probability in proportion to its weight, or "" if there is none. It uses the lower
// half of the draw.
func pickInState(shares []catalogue.Share, except string, state State, draw uint64, room func(string) (Room, Limits)) string {
	total := 0
	for _, s := range shares {
		if isCandidate(s, except, state, room) {
			total += weightOf(s)
		}
	}
	if total == 0 {
		return ""
	}
	product, _ := bits.Mul64(draw<<32, uint64(total))
	at := int(product)
	for _, s := range shares {
		if !isCandidate(s, except, state, room) {
			continue
		}
		if at -= weightOf(s); at < 0 {
			return s.Service
		}
	}
	return ""
}

func isCandidate(s catalogue.Share, except string, state State, room func(string) (Room, Limits)) bool {
	if s.Weight <= 0 || s.Service == except {
		return false
	}
	r, l := room(s.Service)
	return r.Slots > 0 && r.State(l) == state
}

// takesOverflow draws with the upper half of the draw whether a service takes a flow that
// the weights give to another one. The part falls to 0 at Busy, so that the overflow ends
// before the service's own callers have to wait for it.
func takesOverflow(service string, draw uint64, room func(string) (Room, Limits)) bool {
	r, l := room(service)
	return r.State(l) == Unknown || float64(draw>>32) < (1-r.Load/l.Busy)*(1<<32)
}
