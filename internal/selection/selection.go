// Package selection selects the backend server of a new flow. Candidates are ranked
// by rendezvous hashing (Thaler and Ravishankar, 1998), so that instances with the
// same view mostly agree; of the few that rank first, the least loaded is selected
// (the power of two choices: Mitzenmacher, 2001). The package does no I/O and reads
// no clock.
package selection

import (
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/table"
)

const (
	// choices is the number of candidates with the highest scores whose loads are
	// compared.
	choices = 3
	// RemovedGracePeriod is how long a server is still used after its record was removed:
	// entries that expired while the store was unavailable are registered again about
	// 2 s after its return.
	RemovedGracePeriod = 2200 * time.Millisecond
)

// Tier ranks how suitable a server is. The lowest tier that has a server is used.
type Tier uint8

// The tiers, in order of preference.
const (
	Local Tier = iota
	Remote
	Cold
	Suspected
	Unusable
)

var tierNames = [...]string{"local", "remote", "cold", "suspected", "unusable"}

// String returns the tier's name for logs and metrics.
func (t Tier) String() string { return tierNames[t] }

// swapped exchanges Local and Remote, and returns other tiers unchanged.
func (t Tier) swapped() Tier {
	switch t {
	case Local:
		return Remote
	case Remote:
		return Local
	}
	return t
}

// View is the state, other than the snapshot, that a choice depends on.
type View interface {
	// Suspected reports whether a server or its data centre is suspected of not
	// answering.
	Suspected(b *catalogue.Backend, now int64) bool
	// Load returns the load of a server as a fraction of its slots.
	Load(b *catalogue.Backend) float64
	// Cold reports whether a server is still in its warm-up, or may be.
	Cold(b *catalogue.Backend, now int64) bool
	// AdmitCold reports whether a cold server may get one more flow now. It is called
	// at most once for a flow, with the chosen server.
	AdmitCold(b *catalogue.Backend, now int64) bool
}

// Choice is the chosen server of a flow. Backend is nil if no server is usable, with
// Tier Unusable, or if the chosen server is cold and not admitted, with its Tier.
type Choice struct {
	Backend *catalogue.Backend
	Tier    Tier
}

// Selector chooses servers for the instances of one data centre.
type Selector struct {
	DataCentre string
}

// Request describes the flow to choose a server for.
type Request struct {
	Service string
	// Hash is the hash of the flow.
	Hash uint64
	// Exclude is the cookie of a server that must not be chosen, if any.
	Exclude uint32
	// Spill prefers servers in other data centres to those in this one.
	Spill bool
}

// LocalLoad returns the load of a service's Local servers as a fraction of their
// slots, counting only the load from this instance.
func (s Selector) LocalLoad(snap *catalogue.Snapshot, service string, v View, now int64) float64 {
	used, slots := 0.0, 0
	for _, b := range snap.Backends(service) {
		if b.DataCentre == s.DataCentre && s.Tier(snap, b, v, now) == Local {
			used += v.Load(b) * float64(b.Slots)
			slots += b.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return used / float64(slots)
}

// Choose returns the server for a flow.
func (s Selector) Choose(snap *catalogue.Snapshot, r Request, v View, now int64) Choice {
	var best [choices]candidate
	found, tier := 0, Unusable
	for _, b := range snap.Backends(r.Service) {
		t := s.Tier(snap, b, v, now)
		if r.Spill {
			t = t.swapped()
		}
		if t == Unusable || t > tier || b.Cookie == r.Exclude {
			continue
		}
		if t < tier {
			found, tier = 0, t
		}
		found = insert(&best, found, candidate{b, table.Mix(r.Hash ^ table.Mix(b.Number))})
	}
	if found == 0 {
		return Choice{Tier: Unusable}
	}
	if r.Spill {
		tier = tier.swapped()
	}
	chosen := leastLoaded(best[:found], v)
	if v.Cold(chosen, now) && !v.AdmitCold(chosen, now) {
		return Choice{Tier: tier}
	}
	return Choice{Backend: chosen, Tier: tier}
}

// BestTier returns the lowest tier in which a service has a server.
func (s Selector) BestTier(snap *catalogue.Snapshot, service string, v View, now int64) Tier {
	best := Unusable
	for _, b := range snap.Backends(service) {
		if best = min(best, s.Tier(snap, b, v, now)); best == Local {
			break
		}
	}
	return best
}

// Accepts reports whether a server may get the copy of an opening packet that it has got
// before: unlike for a new flow, it must not have left the catalogue.
func (s Selector) Accepts(snap *catalogue.Snapshot, b *catalogue.Backend, now int64) bool {
	return b.Removed == 0 && !excluded(snap, b, now)
}

// excluded reports whether the operator or the server itself has taken the server out of
// use for new flows.
func excluded(snap *catalogue.Snapshot, b *catalogue.Backend, now int64) bool {
	return b.Draining || b.Ambiguous || b.Unreadable || snap.Evacuated(b.DataCentre, now)
}

// Tier returns how suitable a server is for a new flow.
func (s Selector) Tier(snap *catalogue.Snapshot, b *catalogue.Backend, v View, now int64) Tier {
	switch {
	case excluded(snap, b, now):
		return Unusable
	case b.Removed != 0 && now-b.Removed > int64(RemovedGracePeriod):
		return Unusable
	case v.Suspected(b, now):
		return Suspected
	case v.Cold(b, now):
		return Cold
	case b.DataCentre == s.DataCentre:
		return Local
	}
	return Remote
}

type candidate struct {
	backend *catalogue.Backend
	score   uint64
}

// insert adds a candidate to the first found entries of best, which holds the
// candidates with the highest scores in descending order, and returns their new
// number.
func insert(best *[choices]candidate, found int, c candidate) int {
	at := found
	for at > 0 && best[at-1].score < c.score {
		at--
	}
	if at == choices {
		return found
	}
	copy(best[at+1:], best[at:])
	best[at] = c
	return min(found+1, choices)
}

func leastLoaded(candidates []candidate, v View) *catalogue.Backend {
	chosen := candidates[0].backend
	least := v.Load(chosen)
	for _, c := range candidates[1:] {
		if load := v.Load(c.backend); load < least {
			chosen, least = c.backend, load
		}
	}
	return chosen
}
