// Package membertest simulates a fleet of membership tables in one process, with a
// simulated network and clock, for tests and measurements. Runs are deterministic in
// their seed.
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

// Step is the resolution of the simulated clock, and the delay of each message.
const Step = 5 * time.Millisecond

// startTime is the simulated time at which every run begins, in nanoseconds of Unix
// time.
const startTime int64 = 1_773_316_800_000_000_000

// The overhead of an encoded message in bytes: the JSON-RPC envelope with its length
// prefix, the TLS record, the IPv4 and TCP headers with timestamps, and the
// acknowledgement that the receiver sends.
const (
	envelopeBytes = 56
	tlsBytes      = 22
	headerBytes   = 52
	ackBytes      = 52
)

// WireBytes returns the bytes that the sender sends for an encoded message of the
// given size, and those that the receiver sends to acknowledge it.
func WireBytes(encoded int) (sender, receiver int) {
	return (encoded+2)/3*4 + envelopeBytes + tlsBytes + headerBytes, ackBytes
}

// Node is one simulated instance.
type Node struct {
	ID    fleet.ID
	Table *member.Table
	// Down is set while the instance is stopped; Paused while it is suspended and
	// messages to it are held back.
	Down   bool
	Paused bool
	// Sent is the number of bytes sent on the wire, Messages the number of messages.
	Sent     int
	Messages int
	// Out is the result of the last tick.
	Out member.TickResult

	tickOffset int64
	heldBack   []delivery
	starts     uint64
}

type delivery struct {
	from, to fleet.ID
	data     []byte
}

// Network is a simulated fleet with its network and clock.
type Network struct {
	Nodes  []*Node
	Params member.Params
	// DropMessage, if set, reports whether a message is lost.
	DropMessage func(from, to fleet.ID) bool
	// AfterTick, if set, is called after each tick of an instance.
	AfterTick func(*Node)
	// ClockLag is how far the clocks of instances that start from now on are behind.
	ClockLag time.Duration
	// Random is the source of randomness of the simulation.
	Random *rand.Rand

	now      int64
	byID     map[fleet.ID]*Node
	inFlight []delivery
	seed     uint64
}

// New returns a simulation of count instances spread evenly over the data centres. All
// are listed by the platform; none has started.
func New(count, dataCentres int, seed uint64) *Network {
	n := &Network{
		Params: member.DefaultParams(),
		Random: rand.New(rand.NewPCG(seed, 1)),
		now:    startTime,
		byID:   make(map[fleet.ID]*Node, count),
		seed:   seed,
	}
	for at := range count {
		id := fleet.ID(fmt.Sprintf("dc-%c-%03d", 'a'+at%dataCentres, at))
		node := &Node{ID: id, Down: true, tickOffset: n.Random.Int64N(int64(n.Params.TickInterval))}
		n.Nodes = append(n.Nodes, node)
		n.byID[id] = node
	}
	return n
}

// Now returns the simulated time in nanoseconds of Unix time.
func (n *Network) Now() int64 { return n.now }

// Get returns an instance by its ID.
func (n *Network) Get(id fleet.ID) *Node { return n.byID[id] }

// List returns all instances, as the platform lists them.
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

// Start starts or restarts an instance, with configuration version 1 applied.
func (n *Network) Start(at int) {
	node := n.Nodes[at]
	node.starts++
	self := n.instance(at)
	self.Incarnation = uint64((n.now - int64(n.ClockLag) - n.ageAtStart(node)) / int64(time.Millisecond))
	node.Table = member.New(self, n.Params, n.seed+uint64(at)<<16+node.starts, n.now)
	node.Table.Seed(n.List())
	node.Table.SetApplied(n.now, 1)
	node.Down, node.Paused, node.heldBack = false, false, nil
}

// ageAtStart returns how long before the simulation an instance first started, in
// nanoseconds: the instances of a real fleet do not all start at the same time. It is
// zero for a restart.
func (n *Network) ageAtStart(node *Node) int64 {
	if node.starts > 1 {
		return 0
	}
	return n.Random.Int64N(int64(24 * time.Hour))
}

// StartAll starts every instance and runs until all agree, for a minute at most. It
// reports whether they do.
func (n *Network) StartAll() bool {
	for at := range n.Nodes {
		n.Start(at)
	}
	_, ok := n.Until(time.Minute, n.Agreed)
	return ok
}

// Run advances the simulation by d.
func (n *Network) Run(d time.Duration) {
	for end := n.now + int64(d); n.now < end; {
		n.step()
	}
}

// Until advances the simulation until the condition holds or the limit has passed. It
// returns the simulated time that this took and whether the condition holds.
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
	inFlight := n.inFlight
	n.inFlight = nil
	for _, d := range inFlight {
		n.deliver(d)
	}
	for _, node := range n.Nodes {
		if node.Down || node.Paused || !n.tickDue(node) {
			continue
		}
		n.deliverHeldBack(node)
		node.Out = node.Table.Tick(n.now)
		for _, o := range node.Out.Send {
			n.send(node, o)
		}
		if n.AfterTick != nil {
			n.AfterTick(node)
		}
	}
}

func (n *Network) tickDue(node *Node) bool {
	tick := int64(n.Params.TickInterval)
	return (n.now+node.tickOffset)%tick < int64(Step)
}

func (n *Network) deliverHeldBack(node *Node) {
	heldBack := node.heldBack
	node.heldBack = nil
	for _, d := range heldBack {
		n.deliver(d)
	}
}

func (n *Network) send(node *Node, o member.Outgoing) {
	to := n.byID[o.To]
	if _, known := node.Table.Lookup(o.To); to == nil || to.Down || !known {
		return
	}
	data := member.Encode(o.Message)
	sender, receiver := WireBytes(len(data))
	node.Sent += sender
	node.Messages++
	to.Sent += receiver
	if n.DropMessage != nil && n.DropMessage(node.ID, o.To) {
		return
	}
	n.inFlight = append(n.inFlight, delivery{from: node.ID, to: o.To, data: data})
}

func (n *Network) deliver(d delivery) {
	to := n.byID[d.to]
	if to.Down {
		return
	}
	if to.Paused {
		to.heldBack = append(to.heldBack, d)
		return
	}
	m, err := member.Decode(d.data)
	if err != nil {
		panic(err)
	}
	to.Table.Receive(n.now, d.from, m)
}

// Running returns the instances that are not down.
func (n *Network) Running() []*Node {
	var out []*Node
	for _, node := range n.Nodes {
		if !node.Down {
			out = append(out, node)
		}
	}
	return out
}

// Agreed reports whether every running instance considers exactly the running ones
// alive, and all tables have the same digest.
func (n *Network) Agreed() bool { return n.AgreedAmong(n.Running()) }

// AgreedAmong is Agreed restricted to the given instances.
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

// Confirmed reports whether every running instance knows that all have applied v.
func (n *Network) Confirmed(v config.Version) bool {
	for _, node := range n.Running() {
		if low, ok := node.Table.View().AppliedByAll(); !ok || low != v {
			return false
		}
	}
	return true
}

// AllSee reports whether every running instance has the given one in state s.
func (n *Network) AllSee(of fleet.ID, s fleet.State) bool {
	for _, node := range n.Running() {
		if i, _ := node.Table.View().Get(of); i.State != s {
			return false
		}
	}
	return true
}

// AllKnowAnnouncements reports whether every running instance knows exactly count
// announcements.
func (n *Network) AllKnowAnnouncements(count int) bool {
	for _, node := range n.Running() {
		if len(node.Table.Announcements()) != count {
			return false
		}
	}
	return true
}

// ResetCounts sets Sent and Messages of all instances to zero.
func (n *Network) ResetCounts() {
	for _, node := range n.Nodes {
		node.Sent, node.Messages = 0, 0
	}
}
