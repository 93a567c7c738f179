// Package fabric stands in for the platform's network: it hands each packet and
// request of a caller to a random live instance, and knows at which socket each
// caller's inner address takes its answers.
package fabric

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
)

// Instance is where one instance takes packets and requests.
type Instance struct {
	ID       string
	Packets  netip.AddrPort
	Requests netip.AddrPort
}

// Fabric is safe for concurrent use.
type Fabric struct {
	seed    uint64
	mu      sync.Mutex
	live    atomic.Pointer[[]Instance]
	callers sync.Map
}

// New returns a fabric without instances. Its choices repeat with the seed.
func New(seed uint64) *Fabric {
	f := &Fabric{seed: seed}
	f.live.Store(&[]Instance{})
	return f
}

// Add puts an instance in, or replaces the one with the same ID.
func (f *Fabric) Add(i Instance) {
	f.change(func(live []Instance) []Instance {
		return append(without(live, i.ID), i)
	})
}

// Remove takes an instance out. What was handed to it before may still arrive.
func (f *Fabric) Remove(id string) {
	f.change(func(live []Instance) []Instance { return without(live, id) })
}

// Live returns the instances that packets and requests go to.
func (f *Fabric) Live() []Instance { return slices.Clone(*f.live.Load()) }

func (f *Fabric) change(edit func([]Instance) []Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := edit(slices.Clone(*f.live.Load()))
	f.live.Store(&next)
}

func without(live []Instance, id string) []Instance {
	return slices.DeleteFunc(live, func(i Instance) bool { return i.ID == id })
}

// Register says that packets to an inner address go to a caller's socket.
func (f *Fabric) Register(inner netip.Addr, socket netip.AddrPort) {
	f.callers.Store(inner, socket)
}

// Caller returns the socket of an inner address, and false if it has none.
func (f *Fabric) Caller(inner netip.Addr) (netip.AddrPort, bool) {
	socket, ok := f.callers.Load(inner)
	if !ok {
		return netip.AddrPort{}, false
	}
	return socket.(netip.AddrPort), true
}

// Picker makes the fabric's choices for one user. It is not safe for concurrent
// use.
type Picker struct {
	fabric *Fabric
	random *rand.Rand
}

// Picker returns the stream of choices with the given number.
func (f *Fabric) Picker(stream uint64) *Picker {
	return &Picker{fabric: f, random: rand.New(rand.NewPCG(f.seed, stream))}
}

// Pick returns a random live instance, and false if there is none.
func (p *Picker) Pick() (Instance, bool) {
	live := *p.fabric.live.Load()
	if len(live) == 0 {
		return Instance{}, false
	}
	return live[p.random.IntN(len(live))], true
}
