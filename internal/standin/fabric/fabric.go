// Package fabric simulates the platform's network: it selects a random live
// instance for each packet and request of a caller, and maps each caller's inner
// address to the socket that receives its replies.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Instance holds the addresses at which an instance receives packets and requests.
type Instance struct {
	ID          string
	PacketAddr  netip.AddrPort
	RequestAddr netip.AddrPort
}

// Fabric holds the live instances and the sockets of callers. It is safe for
// concurrent use.
type Fabric struct {
	seed    uint64
	mu      sync.Mutex
	live    atomic.Pointer[[]Instance]
	sockets sync.Map
}

// New returns a fabric without instances. Its selections are determined by the
// seed.
func New(seed uint64) *Fabric {
	f := &Fabric{seed: seed}
	f.live.Store(&[]Instance{})
	return f
}

// Add adds an instance, or replaces the one with the same ID.
func (f *Fabric) Add(i Instance) {
	f.update(func(live []Instance) []Instance {
		return append(without(live, i.ID), i)
	})
}

// Remove removes an instance. Packets and requests already sent to it may still
// arrive.
func (f *Fabric) Remove(id string) {
	f.update(func(live []Instance) []Instance { return without(live, id) })
}

// Live returns the instances that receive packets and requests.
func (f *Fabric) Live() []Instance { return slices.Clone(*f.live.Load()) }

func (f *Fabric) update(edit func([]Instance) []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := edit(slices.Clone(*f.live.Load()))
	f.live.Store(&next)
}

func without(live []Instance, id string) []Instance {
	return slices.DeleteFunc(live, func(i Instance) bool { return i.ID == id })
}

// Register maps an inner address to a caller's socket.
func (f *Fabric) Register(inner netip.Addr, socket netip.AddrPort) {
	f.sockets.Store(inner, socket)
}

// SocketOf returns the socket of an inner address, and false if none is registered.
func (f *Fabric) SocketOf(inner netip.Addr) (netip.AddrPort, bool) {
	socket, ok := f.sockets.Load(inner)
	if !ok {
		return netip.AddrPort{}, false
	}
	return socket.(netip.AddrPort), true
}

// Picker selects instances with a random stream of its own. It is not safe for
// concurrent use.
type Picker struct {
	fabric *Fabric
	rng    *rand.Rand
}

// Picker returns a picker that uses the random stream of the given number.
func (f *Fabric) Picker(stream uint64) *Picker {
	return &Picker{fabric: f, rng: rand.New(rand.NewPCG(f.seed, stream))}
}

// Pick returns a random live instance, and false if there is none.
func (p *Picker) Pick() (Instance, bool) {
	live := *p.fabric.live.Load()
	if len(live) == 0 {
		return Instance{}, false
	}
	return live[p.rng.IntN(len(live))], true
}
