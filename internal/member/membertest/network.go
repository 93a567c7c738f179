// Package membertest runs many membership tables in one process, over a network
// and a clock of its own, for tests and measurements. One seed gives one run.
package membertest

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/member"
)

// Step is the resolution of time, and the delay of a message.
const Step = 5 * time.Millisecond

// start is the time at which every run begins, in nanoseconds of Unix time.
const start int64 = 1_773_316_800_000_000_000

// The bytes around an encoded message: the JSON-RPC envelope and its length, a
// TLS record, headers of IPv4 and TCP with timestamps, and the acknowledgement
// that the receiver sends.
const (
	envelopeBytes = 56
	tlsBytes      = 22
	headerBytes   = 52
	ackBytes      = 52
)

// WireBytes returns what an encoded message of the given size costs its sender,
// and what it costs its receiver in acknowledgement, in bytes.
func WireBytes(encoded int) (sender, receiver int) {
	return (encoded+2)/3*4 + envelopeBytes + tlsBytes + headerBytes, ackBytes
}

// Node is one instance of a run.
type Node struct {
	ID    fleet.ID
	Table *member.Table
	// Down is set while the instance does not run; Paused while it stands still
	// and what it is sent waits.
	Down   bool
	Paused bool
	// Sent counts bytes on the wire, Messages messages.
	Sent     int
	Messages int
	// Out collects what the last tick decided.
	Out member.Outcome

	phase   int64
	waiting []delivery
	life    uint64
}

type delivery struct {
	from, to fleet.ID
	data     []byte
}

// Network is a run.
type Network struct {
	Nodes  []*Node
	Params member.Params
	// Lose, if set, says whether a message is lost.
	Lose func(from, to fleet.ID) bool
	// Each, if set, is called after each tick of an instance.
	Each func(*Node)
	// Behind is how far the clock is behind of instances that start from now on.
	Behind time.Duration
	// Random is the source of all chance in the run.
	Random *rand.Rand

	now    int64
	byID   map[fleet.ID]*Node
	flight []delivery
	seed   uint64
}

// New makes a run of instances spread evenly over data centres. All are listed by
// the platform; none has started.
func New(count, dataCentres int, seed uint64) *Network {
	n := &Network{
		Params: member.Default(),
		Random: rand.New(rand.NewPCG(seed, 1)),
		now:    start,
		byID:   make(map[fleet.ID]*Node, count),
		seed:   seed,
	}
	for at := range count {
		id := fleet.ID(fmt.Sprintf("dc-%c-%03d", 'a'+at%dataCentres, at))
		node := &Node{ID: id, Down: true, phase: n.Random.Int64N(int64(n.Params.Tick))}
		n.Nodes = append(n.Nodes, node)
		n.byID[id] = node
	}
	return n
}

// Now returns the time of the run in nanoseconds of Unix time.
func (n *Network) Now() int64 { return n.now }

// Get returns an instance by its ID.
func (n *Network) Get(id fleet.ID) *Node { return n.byID[id] }

// List returns the platform's list.
func (n *Network) List() []fleet.Instance {
	out := make([]fleet.Instance, len(n.Nodes))
	for at := range n.Nodes {
		out[at] = n.instance(at)
	}
	return out
}

func (n *Network) instance(at int) fleet.Instance {
	addr := netip.AddrFrom4([4]byte{10, 1, byte(at >> 8), byte(at)})
	node := n.Nodes[at]
	return fleet.Instance{
		ID:         node.ID,
		DataCentre: string(node.ID[:4]),
		Region:     "ost-plain",
		Packets:    netip.AddrPortFrom(addr, 4754),
		Control:    netip.AddrPortFrom(addr, 7000),
		Requests:   netip.AddrPortFrom(addr, 7001),
	}
}

// Start starts an instance, or starts it anew, serving by version 1.
func (n *Network) Start(at int) {
	node := n.Nodes[at]
	node.life++
	self := n.instance(at)
	self.Incarnation = uint64((n.now - int64(n.Behind) - n.age(node)) / int64(time.Millisecond))
	node.Table = member.New(self, n.Params, n.seed+uint64(at)<<16+node.life, n.now)
	node.Table.Seed(n.List())
	node.Table.SetApplied(n.now, 1)
	node.Down, node.Paused, node.waiting = false, false, nil
}

// age is how long before the run an instance first started, in nanoseconds: a
// real fleet was not started in one moment.
func (n *Network) age(node *Node) int64 {
	if node.life > 1 {
		return 0
	}
	return n.Random.Int64N(int64(24 * time.Hour))
}

// StartAll starts every instance and runs until they know each other, for a
// minute at most. It reports whether they do.
func (n *Network) StartAll() bool {
	for at := range n.Nodes {
		n.Start(at)
	}
	_, ok := n.Until(time.Minute, n.Agreed)
	return ok
}

// Run lets time pass.
func (n *Network) Run(d time.Duration) {
	for end := n.now + int64(d); n.now < end; {
		n.step()
	}
}

// Until lets time pass until the condition holds or the limit is over. It
// returns how long that took and whether the condition holds.
func (n *Network) Until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	from := n.now
	for n.now-from < int64(limit) {
		if condition() {
			return time.Duration(n.now - from), true
		}
		n.step()
	}
	return limit, condition()
}

func (n *Network) step() {
	n.now += int64(Step)
	flight := n.flight
	n.flight = nil
	for _, d := range flight {
		n.deliver(d)
	}
	for _, node := range n.Nodes {
		if node.Down || node.Paused || !n.dueTick(node) {
			continue
		}
		n.resume(node)
		node.Out = node.Table.Tick(n.now)
		for _, o := range node.Out.Send {
			n.send(node, o)
		}
		if n.Each != nil {
			n.Each(node)
		}
	}
}

func (n *Network) dueTick(node *Node) bool {
	tick := int64(n.Params.Tick)
	return (n.now+node.phase)%tick < int64(Step)
}

func (n *Network) resume(node *Node) {
	waiting := node.waiting
	node.waiting = nil
	for _, d := range waiting {
		n.deliver(d)
	}
}

func (n *Network) send(node *Node, o member.Outgoing) {
	to := n.byID[o.To]
	if _, known := node.Table.Address(o.To); to == nil || to.Down || !known {
		return
	}
	data := member.Encode(o.Message)
	sender, receiver := WireBytes(len(data))
	node.Sent += sender
	node.Messages++
	to.Sent += receiver
	if n.Lose != nil && n.Lose(node.ID, o.To) {
		return
	}
	n.flight = append(n.flight, delivery{from: node.ID, to: o.To, data: data})
}

func (n *Network) deliver(d delivery) {
	to := n.byID[d.to]
	if to.Down {
		return
	}
	if to.Paused {
		to.waiting = append(to.waiting, d)
		return
	}
	m, err := member.Decode(d.data)
	if err != nil {
		panic(err)
	}
	to.Table.Receive(n.now, d.from, m)
}

// Running returns the instances that run.
func (n *Network) Running() []*Node {
	var out []*Node
	for _, node := range n.Nodes {
		if !node.Down {
			out = append(out, node)
		}
	}
	return out
}

// Agreed reports whether every running instance takes exactly the running ones
// for alive, and all tables agree.
func (n *Network) Agreed() bool { return n.AgreedAmong(n.Running()) }

// AgreedAmong is Agreed among some of the instances.
func (n *Network) AgreedAmong(nodes []*Node) bool {
	first := nodes[0].Table.Digest()
	for _, node := range nodes {
		if node.Table.Digest() != first {
			return false
		}
	}
	expected := make(map[fleet.ID]bool, len(nodes))
	for _, node := range nodes {
		expected[node.ID] = true
	}
	for _, node := range nodes {
		if !sameAlive(node.Table.View(), expected) {
			return false
		}
	}
	return true
}

func sameAlive(v *fleet.View, expected map[fleet.ID]bool) bool {
	alive := 0
	for _, i := range v.Instances {
		if i.State != fleet.Alive {
			continue
		}
		if !expected[i.ID] {
			return false
		}
		alive++
	}
	return alive == len(expected)
}

// Confirmed reports whether every running instance knows that all serve by v.
func (n *Network) Confirmed(v config.Version) bool {
	for _, node := range n.Running() {
		if low, ok := node.Table.View().Confirmed(); !ok || low != v {
			return false
		}
	}
	return true
}

// AllTake reports whether every running instance takes one to be in a state.
func (n *Network) AllTake(of fleet.ID, s fleet.State) bool {
	for _, node := range n.Running() {
		if i, _ := node.Table.View().Get(of); i.State != s {
			return false
		}
	}
	return true
}

// Announced reports whether every running instance knows so many announcements.
func (n *Network) Announced(count int) bool {
	for _, node := range n.Running() {
		if len(node.Table.Announcements()) != count {
			return false
		}
	}
	return true
}

// ResetCounts sets the counters of all instances to zero.
func (n *Network) ResetCounts() {
	for _, node := range n.Nodes {
		node.Sent, node.Messages = 0, 0
	}
}
