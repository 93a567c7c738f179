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

// node is an instance whose decisions are made by a placement.Engine.
type node struct {
	*Forwarder
	engine         *placement.Engine
	trusted        map[netip.AddrPort]bool
	fragmentOwners *FragmentOwners
}

// newNodes creates nodes that know one another's addresses, but does not start them.
func newNodes(t *testing.T, ids ...fleet.ID) (map[fleet.ID]*node, *fleet.View) {
	nodes := make(map[fleet.ID]*node)
	view := &fleet.View{}
	for _, id := range ids {
		n := &node{
			engine:         placement.New(placement.Options{Self: id, Records: records.LimitsFor(1 << 12)}),
			trusted:        make(map[netip.AddrPort]bool),
			fragmentOwners: NewFragmentOwners(id),
		}
		isInstance := func(a netip.AddrPort) bool { return n.trusted[a] }
		var err error
		n.Forwarder, err = New(Config{Listen: local, FragmentOwner: n.fragmentOwners.FragmentOwner}, n.engine, isInstance, discardLog, tally.NoopScope)
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
		n.fragmentOwners.SetView(view)
	}
	return nodes, view
}

// applyConfig applies a configuration to all nodes and synchronises their records.
func applyConfig(t *testing.T, nodes map[fleet.ID]*node, view *fleet.View, c *config.Config) {
	now := time.Now().UnixNano()
	for i := range view.Instances {
		view.Instances[i].Applied = c.Version
	}
	for id, n := range nodes {
		ownView := *view
		ownView.Self = id
		n.engine.SetConfig(now, c)
		n.engine.SetView(now, &ownView)
	}
	for round := range 10 {
		at := now + int64(round)*int64(300*time.Millisecond)
		for id, n := range nodes {
			for _, request := range n.engine.Tick(at).Requests {
				reply, err := nodes[request.Peer].engine.Export(id, request.Request)
				if err == nil {
					err = n.engine.Import(at, request.Peer, request.Request, reply)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// arrival is a packet received by a backend server, which is given by its index.
type arrival struct {
	server int
	data   string
}

func receiveAll(conns []*net.UDPConn) <-chan arrival {
	arrivals := make(chan arrival, 64)
	for i, conn := range conns {
		go func() {
			buf := make([]byte, maxPacketSize)
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

// nextArrival returns the next packet; the timeout only limits the duration of a
// failing test.
func nextArrival(t *testing.T, arrivals <-chan arrival) arrival {
	select {
	case a := <-arrivals:
		return a
	case <-time.After(10 * time.Second):
		t.Fatal("a packet did not arrive")
		return arrival{}
	}
}

// serializePacket returns the IP packet with a GRE header.
func serializePacket(ip *layers.IPv4, all ...gopacket.SerializableLayer) []byte {
	ip.Version, ip.TTL = 4, 9
	b := gopacket.NewSerializeBuffer()
	all = append([]gopacket.SerializableLayer{&layers.GRE{Protocol: layers.EthernetTypeIPv4}, ip}, all...)
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, all...); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// fragmentsAndICMPError returns packets of the caller's flow that do not all carry its
// ports in a transport header: two fragments, of which only the first does, and an ICMP
// "fragmentation needed" error that quotes a packet to the caller.
func fragmentsAndICMPError(caller netip.AddrPort, id uint16) [][]byte {
	source, service := caller.Addr().AsSlice(), tcpService.Addr().AsSlice()
	tcp := &layers.TCP{SrcPort: layers.TCPPort(caller.Port()), DstPort: layers.TCPPort(tcpService.Port()), ACK: true}
	data := gopacket.Payload("sixteen bytes..!")
	fragment := func(offset uint16) *layers.IPv4 {
		return &layers.IPv4{SrcIP: source, DstIP: service, Protocol: layers.IPProtocolTCP, Id: id, Flags: layers.IPv4MoreFragments, FragOffset: offset}
	}
	answer, err := wire.NewCodec().Encode(wire.Segment{From: tcpService, To: caller, Protocol: config.TCP, Flags: wire.ACK})
	if err != nil {
		panic(err)
	}
	const needed = layers.ICMPv4CodeFragmentationNeeded
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, needed)}
	const greSize, quoted = 4, 28
	return [][]byte{
		serializePacket(fragment(0), tcp, data),
		serializePacket(fragment(5), data),
		serializePacket(&layers.IPv4{SrcIP: source, DstIP: service, Protocol: layers.IPProtocolICMPv4}, icmp, gopacket.Payload(answer[greSize:greSize+quoted])),
	}
}

// Fragments and ICMP errors reach the backend server of their flow whichever
// instance receives them, for flows opened before and after a backend server
// starts draining.
func TestFragmentsAndICMPErrorsFollowTheirFlow(t *testing.T) {
	is := is.New(t)
	nodes, view := newNodes(t, "a", "b", "c")
	service := config.Service{Name: "desk", Address: tcpService, Protocol: config.TCP}
	var conns []*net.UDPConn
	for n := config.Number(1); n <= 4; n++ {
		conn, address := listenUDP(t)
		conns = append(conns, conn)
		service.Servers = append(service.Servers, config.Server{Number: n, State: config.Active, Weight: 1, Packets: address})
		service.Settled = append(service.Settled, config.Member{Number: n, Weight: 1})
	}
	arrivals := receiveAll(conns)
	service.Current = service.Settled
	applyConfig(t, nodes, view, &config.Config{Version: 1, Services: []config.Service{service}})
	for _, n := range nodes {
		n.Start()
	}
	client, _ := listenUDP(t)
	random := rand.New(rand.NewPCG(1, 1))
	sendToRandomInstance := func(data []byte) {
		instance := view.Instances[random.IntN(len(view.Instances))].Packets
		_, err := client.WriteToUDPAddrPort(data, instance)
		is.NoErr(err)
	}
	open := func(caller netip.AddrPort) int {
		syn, err := wire.NewCodec().Encode(wire.Segment{From: caller, To: tcpService, Protocol: config.TCP, Flags: wire.SYN})
		is.NoErr(err)
		sendToRandomInstance(syn)
		a := nextArrival(t, arrivals)
		is.Equal(a.data, string(syn))
		return a.server
	}
	const flows = 60
	serverOf := make(map[netip.AddrPort]int)
	for port := range uint16(flows) {
		caller := netip.AddrPortFrom(callerAddress.Addr(), 1000+port)
		serverOf[caller] = open(caller)
	}
	drained := service
	drained.Servers = append([]config.Server(nil), service.Servers...)
	drained.Servers[3].State = config.Draining
	drained.Current = service.Settled[:3]
	applyConfig(t, nodes, view, &config.Config{Version: 2, Services: []config.Service{drained}})
	for port := range uint16(flows) {
		caller := netip.AddrPortFrom(callerAddress.Addr(), 2000+port)
		serverOf[caller] = open(caller)
		is.True(serverOf[caller] != 3) // draining
	}
	id := uint16(0)
	for caller, chosen := range serverOf {
		id++
		want := map[string]bool{}
		packets := fragmentsAndICMPError(caller, id)
		random.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
		for _, p := range packets {
			want[string(p)] = true
			sendToRandomInstance(p)
		}
		for range packets {
			a := nextArrival(t, arrivals)
			is.True(want[a.data])
			is.Equal(a.server, chosen) // a packet reached another backend server
		}
	}
}
