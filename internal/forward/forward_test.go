package forward

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/packet"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/caller"
	"balsamfork/internal/standin/fabric"
	"balsamfork/internal/standin/wire"
	"balsamfork/internal/table"
)

var (
	tcpService    = netip.MustParseAddrPort("203.0.113.1:443")
	udpService    = netip.MustParseAddrPort("203.0.113.2:53")
	callerAddress = netip.MustParseAddrPort("198.51.100.7:40000")
	local         = netip.MustParseAddrPort("127.0.0.1:0")
	discardLog    = slog.New(slog.DiscardHandler)
	seed          = maphash.MakeSeed()
)

// TestMain checks that no goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ownerDecider relays each packet to the owner of its flow, which forwards it to a
// backend server.
type ownerDecider struct {
	self    *int
	peers   *[]netip.AddrPort
	servers map[netip.AddrPort][]netip.AddrPort
}

func (d ownerDecider) Decide(_ int64, p *flow.Packet) flow.Verdict {
	servers := d.servers[p.Key.Destination]
	if len(servers) == 0 {
		return flow.Verdict{Action: flow.Drop, Reason: flow.NoService}
	}
	hash := maphash.Comparable(seed, p.Key)
	owner := int(hash % uint64(len(*d.peers)))
	if p.Origin == flow.FromFabric && owner != *d.self {
		return flow.Verdict{Action: flow.Relay, As: flow.Steered, Address: (*d.peers)[owner]}
	}
	return flow.Verdict{Action: flow.Forward, Address: servers[hash/7%uint64(len(servers))]}
}

// start creates n forwarders that accept steering from one another, each with an
// ownerDecider. It does not start them.
func start(t *testing.T, n int, servers map[netip.AddrPort][]netip.AddrPort) ([]*Forwarder, *fabric.Fabric) {
	f := fabric.New(1)
	var forwarders []*Forwarder
	peers := new([]netip.AddrPort)
	for i := range n {
		isInstance := func(a netip.AddrPort) bool {
			for _, p := range *peers {
				if p == a {
					return true
				}
			}
			return false
		}
		ownerOf := func(hash uint64) (netip.AddrPort, bool) {
			owner := int(hash % uint64(n))
			return (*peers)[owner], owner != i
		}
		c := Config{Listen: local, Workers: 2, FragmentOwner: ownerOf}
		fw, err := New(c, ownerDecider{self: &i, peers: peers, servers: servers}, isInstance, discardLog, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = fw.Close() })
		forwarders = append(forwarders, fw)
		*peers = append(*peers, fw.Addr())
	}
	for i, fw := range forwarders {
		f.Add(fabric.Instance{ID: string(rune('a' + i)), PacketAddr: fw.Addr()})
	}
	return forwarders, f
}

func startBackends(t *testing.T, f *fabric.Fabric, n int, service netip.AddrPort, p config.Protocol) ([]*backend.Server, []netip.AddrPort) {
	var all []*backend.Server
	var addresses []netip.AddrPort
	for i := range n {
		s, err := backend.Start(backend.Config{Name: service.String() + string(rune('a'+i)), Service: service, Protocol: p, CallerSocket: f.SocketOf})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		all = append(all, s)
		addresses = append(addresses, s.PacketAddr())
	}
	return all, addresses
}

// The packets of TCP and UDP flows enter at random instances and are relayed to the
// owner of the flow; each flow stays on one backend server from opening to close.
func TestFlowsKeepTheirBackendServer(t *testing.T) {
	is := is.New(t)
	servers := make(map[netip.AddrPort][]netip.AddrPort)
	forwarders, f := start(t, 3, servers)
	tcpServers, addresses := startBackends(t, f, 4, tcpService, config.TCP)
	servers[tcpService] = addresses
	udpServers, addresses := startBackends(t, f, 2, udpService, config.UDP)
	servers[udpService] = addresses
	for _, fw := range forwarders {
		fw.Start()
	}
	callers, err := caller.Start(caller.Config{
		Seed: 1, Sockets: 2, FirstAddress: callerAddress.Addr(),
		Services: []caller.Service{
			{Name: "desk", Address: tcpService, Protocol: config.TCP, Flows: 300},
			{Name: "sheets", Address: udpService, Protocol: config.UDP, Flows: 100},
		},
		OpenTime: 100 * time.Millisecond, MeanInterval: 40 * time.Millisecond, ShortShare: 1, ShortLife: 200 * time.Millisecond,
	}, f)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(callers.Wait(ctx, func(c map[string]caller.Counts) bool {
		return c["desk"][caller.Closed] >= 600 && c["sheets"][caller.Closed] >= 200
	}))
	callers.Close()
	for name, c := range callers.Counts() {
		t.Logf("%s: %v", name, c)
		is.Equal(c.Broken()+c[caller.OpenFailed]+c[caller.ExpectedBreak], uint64(0))
		is.True(c[caller.Replies] >= 3*c[caller.Closed]) // opened, used, closed
	}
	for _, s := range append(tcpServers, udpServers...) {
		c := s.Counts()
		is.Equal(c.WrongService+c.Unknown, uint64(0))
		is.True(c.Opened > 0)
	}
	for _, fw := range forwarders {
		total := fw.Totals()
		is.True(total.Forwarded > 0)
		is.True(total.Relayed > 0)
		is.Equal(total.Distrusted+total.Failed, uint64(0))
	}
}

// listenUDP opens a loopback socket and returns it with its address.
func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// readPacket reads one packet; the deadline only limits the duration of a failing
// test.
func readPacket(t *testing.T, conn *net.UDPConn) []byte {
	buf := make([]byte, maxPacketSize)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return buf[:n]
}

func synPacket(t *testing.T) []byte {
	data, err := wire.NewCodec().Encode(wire.Segment{From: callerAddress, To: tcpService, Protocol: config.TCP, Flags: wire.SYN})
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte(nil), data...)
}

// udpFragment returns a fragment of a packet to udpService.
func udpFragment(id uint16, offset uint16, all ...gopacket.SerializableLayer) []byte {
	b := gopacket.NewSerializeBuffer()
	ip := &layers.IPv4{Version: 4, TTL: 9, Protocol: layers.IPProtocolUDP, Id: id, FragOffset: offset,
		Flags: layers.IPv4MoreFragments, SrcIP: callerAddress.Addr().AsSlice(), DstIP: udpService.Addr().AsSlice()}
	all = append([]gopacket.SerializableLayer{&layers.GRE{Protocol: layers.EthernetTypeIPv4}, ip}, all...)
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, all...); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// A first and a later fragment reach the same backend server in either order, for
// every pair of instances that receive them.
func TestLaterFragmentsFollowFirst(t *testing.T) {
	is := is.New(t)
	conn, address := listenUDP(t)
	other, otherAddress := listenUDP(t)
	forwarders, _ := start(t, 3, map[netip.AddrPort][]netip.AddrPort{udpService: {address, otherAddress}})
	for _, fw := range forwarders {
		fw.Start()
	}
	caller, _ := listenUDP(t)
	udp := &layers.UDP{SrcPort: layers.UDPPort(callerAddress.Port()), DstPort: layers.UDPPort(udpService.Port())}
	data := gopacket.Payload("sixteen bytes..!")
	send := func(via int, p []byte) {
		_, err := caller.WriteToUDPAddrPort(p, forwarders[via].Addr())
		is.NoErr(err)
	}
	target := conn
	if maphash.Comparable(seed, flow.Key{Source: callerAddress, Destination: udpService, Protocol: config.UDP})/7%2 == 1 {
		target = other
	}
	id := uint16(0)
	for first := range forwarders {
		for later := range forwarders {
			for _, laterFirst := range []bool{false, true} {
				id++
				firstFragment, laterFragment := udpFragment(id, 0, udp, data), udpFragment(id, 3, data)
				if laterFirst {
					send(later, laterFragment)
					send(first, firstFragment)
				} else {
					send(first, firstFragment)
					send(later, laterFragment)
				}
				got := [][]byte{readPacket(t, target), readPacket(t, target)}
				if string(got[0]) != string(firstFragment) {
					got[0], got[1] = got[1], got[0]
				}
				is.Equal(got, [][]byte{firstFragment, laterFragment})
			}
		}
	}
}

// Steering from an address that is not an instance's is ignored, except for its hop
// count.
func TestSteeringFromUnknownAddressIsIgnored(t *testing.T) {
	is := is.New(t)
	conn, address := listenUDP(t)
	forwarders, _ := start(t, 1, map[netip.AddrPort][]netip.AddrPort{tcpService: {address}})
	seen := make(chan flow.Packet, 1)
	forwarders[0].decider = deciderFunc(func(p *flow.Packet) flow.Verdict {
		seen <- *p
		return flow.Verdict{Action: flow.Forward, Address: address}
	})
	forwarders[0].Start()
	unknown, _ := listenUDP(t)
	plain := synPacket(t)
	buf := append(make([]byte, packet.Headroom), plain...)
	var e packet.Encoder
	start, err := e.EncodeSteered(buf, packet.Headroom+4, layers.EthernetTypeIPv4, packet.Steering{Origin: flow.Copied, Hops: 2, Server: 9})
	is.NoErr(err)
	_, err = unknown.WriteToUDPAddrPort(buf[start:], forwarders[0].Addr())
	is.NoErr(err)
	is.Equal(readPacket(t, conn), plain)
	is.Equal(<-seen, flow.Packet{
		Key:   flow.Key{Source: callerAddress, Destination: tcpService, Protocol: config.TCP},
		Flags: flow.Syn, Origin: flow.FromFabric, Hops: 2,
	})
	is.Equal(forwarders[0].Totals().Distrusted, uint64(1))
}

type deciderFunc func(*flow.Packet) flow.Verdict

func (d deciderFunc) Decide(_ int64, p *flow.Packet) flow.Verdict { return d(p) }

// Packets that were received before Close are forwarded, or counted as dropped by
// reason, and the metrics agree with the totals.
func TestCloseForwardsReceivedPackets(t *testing.T) {
	is := is.New(t)
	conn, address := listenUDP(t)
	scope := tally.NewTestScope("", nil)
	servers := map[netip.AddrPort][]netip.AddrPort{tcpService: {address}}
	fw, err := New(Config{Listen: local}, ownerDecider{new(int), &[]netip.AddrPort{address}, servers}, nil, discardLog, scope)
	is.NoErr(err)
	sender, _ := listenUDP(t)
	const packets = 100
	for range packets {
		_, err := sender.WriteToUDPAddrPort(synPacket(t), fw.Addr())
		is.NoErr(err)
	}
	for _, invalid := range [][]byte{{1, 2}, udpFragment(1, 0, gopacket.Payload("cut")), udpFragment(1, 0, &layers.UDP{}), make([]byte, maxPacketSize+1)} {
		_, err := sender.WriteToUDPAddrPort(invalid, fw.Addr())
		is.NoErr(err)
	}
	fw.Start()
	is.NoErr(fw.Close())
	is.NoErr(fw.Close()) // closing twice is harmless
	for range packets {
		is.Equal(readPacket(t, conn), synPacket(t))
	}
	want := Totals{Received: packets + 4, Forwarded: packets}
	want.Dropped[flow.Malformed] = 3
	want.Dropped[flow.NoService] = 1
	is.Equal(fw.Totals(), want)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["packets_forwarded+"].Value(), int64(packets))
	is.Equal(counters["packets_dropped+reason=malformed"].Value(), int64(3))
}

func TestAbortStopsAtOnce(t *testing.T) {
	forwarders, _ := start(t, 1, nil)
	forwarders[0].Start()
	forwarders[0].Abort()
	if _, err := New(Config{Listen: netip.MustParseAddrPort("192.0.2.1:1")}, nil, nil, discardLog, tally.NoopScope); !Error.Has(err) {
		t.Errorf("listening on a non-local address: %v", err)
	}
}

// newTestWorker returns a worker that is not running, so that a test can pass it
// single packets: a SYN, a first and a later fragment. All packets are relayed to
// the returned socket.
func newTestWorker(t testing.TB) (*worker, [][]byte, *net.UDPConn) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	target := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	isInstance := func(netip.AddrPort) bool { return true }
	verdict := flow.Verdict{Action: flow.Relay, As: flow.Copied, Server: 7, Address: target}
	fw, err := New(Config{Listen: local}, deciderFunc(func(*flow.Packet) flow.Verdict { return verdict }), isInstance, discardLog, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fw.Close() })
	withHeadroom := func(p []byte) []byte { return append(make([]byte, packet.Headroom), p...) }
	codec := wire.NewCodec()
	data, err := codec.Encode(wire.Segment{From: callerAddress, To: tcpService, Protocol: config.TCP, Flags: wire.SYN})
	if err != nil {
		t.Fatal(err)
	}
	udp := &layers.UDP{SrcPort: 9, DstPort: layers.UDPPort(udpService.Port())}
	return fw.workers[0], [][]byte{withHeadroom(data), withHeadroom(udpFragment(1, 0, udp)), withHeadroom(udpFragment(1, 1, gopacket.Payload("12345678")))}, conn
}

func BenchmarkHandle(b *testing.B) {
	w, packets, _ := newTestWorker(b)
	buf := make([]byte, maxPacketSize)
	b.ReportAllocs()
	for b.Loop() {
		size := copy(buf, packets[0])
		w.handle(1, buf[:size], local)
		w.writer.count = 0
	}
}

// Instances with the same view choose the same fragment owner and each instance is
// chosen about equally often. When an instance leaves, only its packets get another
// owner.
func TestInstancesAgreeOnFragmentOwner(t *testing.T) {
	is := is.New(t)
	view := &fleet.View{}
	owners := make(map[fleet.ID]*FragmentOwners)
	for i, id := range []fleet.ID{"a", "b", "c", "d"} {
		address := netip.AddrPortFrom(local.Addr(), uint16(i+1))
		view.Instances = append(view.Instances, fleet.Instance{ID: id, State: fleet.Alive, Packets: address})
		owners[id] = NewFragmentOwners(id)
	}
	_, remote := owners["a"].FragmentOwner(1)
	is.True(!remote) // without a view, this instance
	choose := func(hash uint64) netip.AddrPort {
		var chosen netip.AddrPort
		for i, instance := range view.Instances {
			address, remote := owners[instance.ID].FragmentOwner(hash)
			is.Equal(remote, address != instance.Packets)
			is.True(i == 0 || address == chosen) // all agree
			chosen = address
		}
		return chosen
	}
	setViews := func() {
		for _, o := range owners {
			o.SetView(view)
		}
	}
	setViews()
	before := make(map[uint64]netip.AddrPort)
	counts := make(map[netip.AddrPort]int)
	for hash := range uint64(4000) {
		before[hash] = choose(table.Mix(hash))
		counts[before[hash]]++
	}
	for _, n := range counts {
		is.True(n > 900 && n < 1100)
	}
	view.Instances[3].State = fleet.Leaving
	leaving := view.Instances[3].Packets
	setViews()
	for hash, chosen := range before {
		now := choose(table.Mix(hash))
		is.True(now == chosen || chosen == leaving && now != leaving)
	}
}
