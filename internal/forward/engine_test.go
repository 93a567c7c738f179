package forward

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/placement"
	"balsamfork/internal/records"
	"balsamfork/internal/standin/wire"
)

// node is one instance with the real decisions.
type node struct {
	*Forwarder
	engine  *placement.Engine
	trusted map[netip.AddrPort]bool
	keepers *Keepers
}

func startNodes(t *testing.T, ids ...fleet.ID) (map[fleet.ID]*node, *fleet.View) {
	nodes := make(map[fleet.ID]*node)
	view := &fleet.View{}
	for _, id := range ids {
		n := &node{
			engine:  placement.New(placement.Options{Self: id, Records: records.LimitsFor(1 << 12)}),
			trusted: make(map[netip.AddrPort]bool),
			keepers: NewKeepers(id),
		}
		known := func(a netip.AddrPort) bool { return n.trusted[a] }
		var err error
		n.Forwarder, err = New(Config{Listen: local, Gather: n.keepers.Gather}, n.engine, known, quiet, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		nodes[id] = n
		view.Instances = append(view.Instances, fleet.Instance{
			ID: id, DataCentre: "d", Region: "r", State: fleet.Alive, Incarnation: 1, Packets: n.Addr(),
		})
	}
	for _, n := range nodes {
		for _, i := range view.Instances {
			n.trusted[i.Packets] = true
		}
		n.keepers.SetView(view)
	}
	return nodes, view
}

// use brings a configuration into force everywhere and lets all agree on it.
func use(t *testing.T, nodes map[fleet.ID]*node, view *fleet.View, c *config.Config) {
	now := time.Now().UnixNano()
	for i := range view.Instances {
		view.Instances[i].Applied = c.Version
	}
	for id, n := range nodes {
		own := *view
		own.Self = id
		n.engine.SetConfig(now, c)
		n.engine.SetView(now, &own)
	}
	for round := range 10 {
		at := now + int64(round)*int64(300*time.Millisecond)
		for id, n := range nodes {
			for _, ask := range n.engine.Tick(at).Asks {
				reply, err := nodes[ask.Peer].engine.Export(id, ask.Request)
				if err == nil {
					err = n.engine.Import(at, ask.Peer, ask.Request, reply)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// arrival is one packet at one of the backend servers.
type arrival struct {
	server int
	data   string
}

func receiveAll(conns []*net.UDPConn) <-chan arrival {
	arrivals := make(chan arrival, 64)
	for i, conn := range conns {
		go func() {
			buf := make([]byte, maxPacket)
			for {
				n, err := conn.Read(buf)
				if err != nil {
					return
				}
				arrivals <- arrival{i, string(buf[:n])}
			}
		}()
	}
	return arrivals
}

// take returns the next packet; the timeout only bounds a failing test.
func take(t *testing.T, arrivals <-chan arrival) arrival {
	select {
	case a := <-arrivals:
		return a
	case <-time.After(10 * time.Second):
		t.Fatal("a packet did not arrive")
		return arrival{}
	}
}

// serialize is a packet of a flow to the desk.
func serialize(ip *layers.IPv4, all ...gopacket.SerializableLayer) []byte {
	ip.Version, ip.TTL = 4, 9
	b := gopacket.NewSerializeBuffer()
	all = append([]gopacket.SerializableLayer{&layers.GRE{Protocol: layers.EthernetTypeIPv4}, ip}, all...)
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, all...); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// extras are the packets of a flow that do not carry its ports in the usual
// place: two fragments, and a "fragmentation needed" about a packet to the caller.
func extras(caller netip.AddrPort, id uint16) [][]byte {
	source, service := caller.Addr().AsSlice(), desk.Addr().AsSlice()
	tcp := &layers.TCP{SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(desk.Port()), ACK: true}
	data := gopacket.Payload("sixteen bytes..!")
	part := func(offset uint16) *layers.IPv4 {
		return &layers.IPv4{SrcIP: source, DstIP: service, Protocol: layers.IPProtocolTCP, Id: id, Flags: layers.IPv4MoreFragments, FragOffset: offset}
	}
	answer, err := wire.NewCodec().Build(wire.Segment{From: desk, To: caller, Protocol: config.TCP, Flags: wire.ACK})
	if err != nil {
		panic(err)
	}
	const needed = layers.ICMPv4CodeFragmentationNeeded
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, needed)}
	const greSize, quoted = 4, 28
	return [][]byte{
		serialize(part(0), tcp, data),
		serialize(part(5), data),
		serialize(&layers.IPv4{SrcIP: source, DstIP: service, Protocol: layers.IPProtocolICMPv4}, icmp, gopacket.Payload(answer[greSize:greSize+quoted])),
	}
}

// With the real decisions and a backend server that drains, fragments and ICMP
// errors of older and newer flows reach the flow's backend server, whichever
// instances they come in through.
func TestExtraPacketsFollowTheirFlow(t *testing.T) {
	is := is.New(t)
	nodes, view := startNodes(t, "a", "b", "c")
	service := config.Service{Name: "desk", Address: desk, Protocol: config.TCP}
	var conns []*net.UDPConn
	for n := config.Number(1); n <= 4; n++ {
		conn, address := sink(t)
		conns = append(conns, conn)
		service.Servers = append(service.Servers, config.Server{Number: n, State: config.Active, Weight: 1, Packets: address})
		service.Settled = append(service.Settled, config.Member{Number: n, Weight: 1})
	}
	arrivals := receiveAll(conns)
	service.Current = service.Settled
	use(t, nodes, view, &config.Config{Version: 1, Services: []config.Service{service}})
	for _, n := range nodes {
		n.Start()
	}
	client, _ := sink(t)
	random := rand.New(rand.NewPCG(1, 1))
	through := func(data []byte) {
		via := view.Instances[random.IntN(len(view.Instances))].Packets
		_, err := client.WriteToUDPAddrPort(data, via)
		is.NoErr(err)
	}
	open := func(caller netip.AddrPort) int {
		syn, err := wire.NewCodec().Build(wire.Segment{From: caller, To: desk, Protocol: config.TCP, Flags: wire.SYN})
		is.NoErr(err)
		through(syn)
		a := take(t, arrivals)
		is.Equal(a.data, string(syn))
		return a.server
	}
	const flows = 60
	homes := make(map[netip.AddrPort]int)
	for port := range uint16(flows) {
		caller := netip.AddrPortFrom(from.Addr(), 1000+port)
		homes[caller] = open(caller)
	}
	drained := service
	drained.Servers = append([]config.Server(nil), service.Servers...)
	drained.Servers[3].State = config.Draining
	drained.Current = service.Settled[:3]
	use(t, nodes, view, &config.Config{Version: 2, Services: []config.Service{drained}})
	for port := range uint16(flows) {
		caller := netip.AddrPortFrom(from.Addr(), 2000+port)
		homes[caller] = open(caller)
		is.True(homes[caller] != 3) // it drains
	}
	id := uint16(0)
	for caller, home := range homes {
		id++
		want := map[string]bool{}
		packets := extras(caller, id)
		random.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
		for _, p := range packets {
			want[string(p)] = true
			through(p)
		}
		for range packets {
			a := take(t, arrivals)
			is.True(want[a.data])
			is.Equal(a.server, home) // a packet left its flow
		}
	}
}
