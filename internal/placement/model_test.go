package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// decider is what the model needs of an instance: an Engine, or a baseline that
// it is compared with.
type decider interface {
	flow.Decider
	SetConfig(int64, *config.Config)
	SetView(int64, *fleet.View)
	SetAnnouncements(int64, []flow.Announcement)
}

// node is one instance of the model with its own view of the others.
type node struct {
	id      fleet.ID
	decider decider
	engine  *Engine
	up      bool
	ready   bool
	leaving bool
	rows    map[fleet.ID]fleet.Instance
	epoch   uint64
}

// client is one flow of the model.
type client struct {
	key     flow.Key
	service int
	server  config.Number
	open    bool
	closing bool
	ended   bool
	broken  bool
	// lost is set once the flow's backend server was removed or taken out.
	lost bool
}

// model simulates a fleet of deciders with a fabric, links and a source of
// configurations between them. It is deterministic for a given seed.
type model struct {
	rng           *rand.Rand
	now           int64
	queue         events
	order         int
	nodes         []*node
	config        *config.Config
	lastNumber    config.Number
	announcements []flow.Announcement
	clients       []*client
	make          func(fleet.ID) (decider, *Engine)
	// maxConfigDelay limits how late an instance learns of a configuration. loss is
	// the share of relayed packets that are lost or duplicated.
	maxConfigDelay time.Duration
	loss           float64
	maxSilence     time.Duration
	// partitioned reports that no message passes between two instances, hidden that
	// none passes between the caller of a flow and an instance.
	partitioned func(a, b *node) bool
	hidden      func(c *client, n *node) bool
	// flags are set on every packet; Sessionless marks flows without opening
	// packets.
	flags flow.Flags
	// Counters of the run: relays counts every relay, relayed the packets relayed at
	// least once.
	packets, relays, relayed, messages, bytes, wrongService, dropped int
	placed                                                           map[config.Number]int
}

func newEngineNode(id fleet.ID) (decider, *Engine) {
	e := New(Options{Self: id, Records: testLimits})
	return e, e
}

func newModel(seed uint64, instances int, c *config.Config, build func(fleet.ID) (decider, *Engine)) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 7)), now: 1000 * second, config: c, lastNumber: 100, make: build,
		maxConfigDelay: 10 * time.Second, maxSilence: 4 * time.Second, placed: map[config.Number]int{},
		partitioned: func(a, b *node) bool { return false },
		hidden:      func(c *client, n *node) bool { return false },
	}
	for i := range instances {
		m.nodes = append(m.nodes, m.build(i, 1))
	}
	for _, n := range m.nodes {
		for _, o := range m.nodes {
			n.rows[o.id] = m.row(o, fleet.Alive, 1, c.Version)
		}
		m.publishView(n)
		n.decider.SetConfig(m.now, c)
		n.ready = true
		m.scheduleTicks(n, 200*time.Millisecond)
	}
	return m
}

func (m *model) build(i int, incarnation uint64) *node {
	n := &node{id: fleet.ID(fmt.Sprintf("i%02d", i)), up: true, rows: map[fleet.ID]fleet.Instance{}}
	n.decider, n.engine = m.make(n.id)
	return n
}

func (m *model) row(n *node, s fleet.State, incarnation uint64, applied config.Version) fleet.Instance {
	dc := string(rune('a' + slices.Index([]byte("0123456789"), n.id[2])%3))
	return fleet.Instance{ID: n.id, DataCentre: dc, Region: "r", State: s, Incarnation: incarnation, Applied: applied}
}

func (m *model) schedule(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, event{m.now + int64(d), m.order, do})
}

func (m *model) randomDelay(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
}

func (m *model) run(d time.Duration) {
	end := m.now + int64(d)
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	m.now = end
}

func (m *model) publishView(n *node) {
	n.epoch++
	v := &fleet.View{Self: n.id, Epoch: n.epoch}
	for _, r := range n.rows {
		v.Instances = append(v.Instances, r)
	}
	slices.SortFunc(v.Instances, func(a, b fleet.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	n.decider.SetView(m.now, v)
}

// spreadRow sends a row of the table: at once to the instance itself, and to
// each other one after a random delay.
func (m *model) spreadRow(row fleet.Instance, minDelay, maxDelay time.Duration) {
	for _, n := range m.nodes {
		d := minDelay + m.randomDelay(maxDelay-minDelay)
		if n.id == row.ID {
			d = 0
		}
		m.schedule(d, func() { m.receiveRow(n, row) })
	}
}

// receiveRow gives an instance a row of the table, which it stores if it is
// newer.
func (m *model) receiveRow(n *node, row fleet.Instance) {
	old, known := n.rows[row.ID]
	newer := row.Incarnation > old.Incarnation || row.Incarnation == old.Incarnation &&
		(row.State > old.State || row.State == old.State && row.Applied > old.Applied)
	if n.up && (!known || newer) {
		row.Applied = max(row.Applied, old.Applied)
		n.rows[row.ID] = row
		m.publishView(n)
	}
}

// syncRows gives an instance all rows of another one.
func (m *model) syncRows(n, from *node) {
	for _, row := range from.rows {
		if row.ID != n.id && from.up {
			m.receiveRow(n, row)
		}
	}
}

// commitConfig makes a configuration the newest one. Each instance receives it
// after a random delay.
func (m *model) commitConfig(c config.Config) {
	c.Version = m.config.Version + 1
	m.config = &c
	for _, f := range m.clients {
		s := m.server(f.server)
		f.lost = f.lost || f.open && (s == nil || s.State == config.Gone)
	}
	for _, n := range m.nodes {
		m.schedule(m.randomDelay(m.maxConfigDelay), func() { m.applyConfig(n, &c) })
	}
}

func (m *model) applyConfig(n *node, c *config.Config) {
	if !n.up {
		return
	}
	n.decider.SetConfig(m.now, c)
	n.ready = true
	row := n.rows[n.id]
	if row.Applied < c.Version {
		row.Applied = c.Version
		n.rows[n.id] = row
		m.spreadRow(row, 0, time.Second)
	}
}

// scheduleTicks runs the ticks of an instance at intervals of d, and sends the
// requests that they return.
func (m *model) scheduleTicks(n *node, d time.Duration) {
	m.schedule(d, func() {
		if !n.up || n.engine == nil {
			return
		}
		for _, request := range n.engine.Tick(m.now).Requests {
			m.request(n, request)
		}
		if n.leaving && n.engine.HandedOver() {
			n.up = false
			m.spreadRow(m.row(n, fleet.Dead, n.rows[n.id].Incarnation, 0), 0, time.Second)
		}
		m.scheduleTicks(n, d)
	})
}

func (m *model) request(n *node, r PeerRequest) {
	m.schedule(m.randomDelay(5*time.Millisecond), func() {
		peer := m.node(r.Peer)
		if peer == nil || !peer.up || m.partitioned(n, peer) || m.rng.Float64() < m.loss {
			return
		}
		reply, err := peer.engine.Export(n.id, r.Request)
		if err != nil {
			panic(err)
		}
		m.messages++
		m.bytes += 60 + len(r.Request.Buckets) + len(reply.Records)
		m.schedule(m.randomDelay(5*time.Millisecond), func() {
			if n.up && m.rng.Float64() >= m.loss {
				if err := n.engine.Import(m.now, peer.id, r.Request, reply); err != nil {
					panic(err)
				}
			}
		})
	})
}

func (m *model) node(id fleet.ID) *node {
	for i := len(m.nodes) - 1; i >= 0; i-- {
		if m.nodes[i].id == id {
			return m.nodes[i]
		}
	}
	return nil
}

// send passes a packet of a flow to a random instance that is up, ready and
// reachable for the caller.
func (m *model) send(c *client, flags flow.Flags) {
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	for !n.up || !n.ready || m.hidden(c, n) {
		n = m.nodes[m.rng.IntN(len(m.nodes))]
	}
	m.packets++
	m.decide(n, c, flow.Packet{Key: c.key, Flags: flags | m.flags, Origin: flow.FromFabric})
}

func (m *model) decide(n *node, c *client, p flow.Packet) {
	if !n.up {
		return
	}
	v := n.decider.Decide(m.now, &p)
	switch v.Action {
	case flow.Forward:
		m.deliver(c, v.Server, p.Flags)
	case flow.Relay:
		m.relays++
		if p.Hops == 0 {
			m.relayed++
		}
		p.Origin, p.Server, p.Hops = v.As, v.Server, p.Hops+1
		peer := m.node(v.Peer)
		copies := 1
		if m.partitioned(n, peer) {
			copies = 0
		} else if m.rng.Float64() < m.loss {
			copies = 2 * m.rng.IntN(2)
		}
		for range copies {
			m.schedule(m.randomDelay(3*time.Millisecond), func() { m.decide(peer, c, p) })
		}
	default:
		if n.ready && c.open && !c.closing && !c.lost {
			m.dropped++
		}
	}
}

func (m *model) server(n config.Number) *config.Server {
	for i := range m.config.Services {
		for j := range m.config.Services[i].Servers {
			if s := &m.config.Services[i].Servers[j]; s.Number == n {
				return s
			}
		}
	}
	return nil
}

// deliver handles a packet that has reached a backend server.
func (m *model) deliver(c *client, n config.Number, flags flow.Flags) {
	s := m.server(n)
	if s != nil && !slices.ContainsFunc(m.config.Services[c.service].Servers, func(b config.Server) bool { return b.Number == n }) {
		m.wrongService++
	}
	if flags.Has(flow.Syn) || flags.Has(flow.Sessionless) && !c.open {
		if !c.open {
			c.open, c.server = true, n
			c.lost = s == nil || s.State == config.Gone
			m.placed[n]++
			m.schedule(2*time.Millisecond, func() { m.sendPackets(c, 0) })
		}
		return
	}
	if n != c.server && !c.closing && !c.lost {
		c.broken = true
	}
}

// openFlow opens a flow now, and repeats the opening packet until it is
// answered.
func (m *model) openFlow(service int, lifetime time.Duration) *client {
	c := &client{key: testKey(service+1, len(m.clients)), service: service}
	c.key.Protocol = m.config.Services[service].Protocol
	m.clients = append(m.clients, c)
	m.schedule(lifetime, func() { c.ended = true })
	m.sendOpening(c)
	return c
}

func (m *model) sendOpening(c *client) {
	if c.open || c.ended {
		return
	}
	first := flow.Syn
	if m.flags.Has(flow.Sessionless) {
		first = 0
	}
	m.send(c, first)
	m.schedule(time.Second, func() { m.sendOpening(c) })
}

// sendPackets sends the packets of an established flow, at intervals of at most
// m.maxSilence, and its closing packet.
func (m *model) sendPackets(c *client, wait time.Duration) {
	m.schedule(wait, func() {
		if c.ended {
			c.closing = true
			if !m.flags.Has(flow.Sessionless) {
				m.send(c, flow.Fin)
			}
			return
		}
		m.send(c, 0)
		m.sendPackets(c, m.randomDelay(m.maxSilence))
	})
}

// broken counts the flows whose packets reached another backend server, except
// those in buckets for which excluded returns true.
func (m *model) broken(excluded func(bucket int) bool) int {
	n := 0
	h := table.NewHasher(hashKey)
	for _, c := range m.clients {
		if c.broken && !excluded(table.Bucket(h.Flow(&c.key))) {
			n++
		}
	}
	return n
}
