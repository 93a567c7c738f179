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
	desk      = netip.MustParseAddrPort("203.0.113.1:443")
	catalogue = netip.MustParseAddrPort("203.0.113.2:53")
	from      = netip.MustParseAddrPort("198.51.100.7:40000")
	local     = netip.MustParseAddrPort("127.0.0.1:0")
	quiet     = slog.New(slog.DiscardHandler)
	seed      = maphash.MakeSeed()
)

// TestMain demands that no goroutine of a Forwarder outlives its Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// decider steers each packet to the owner of its flow, which forwards it.
type decider struct {
	self    *int
	peers   *[]netip.AddrPort
	servers map[netip.AddrPort][]netip.AddrPort
}

func (t decider) Decide(_ int64, p *flow.Packet) flow.Verdict {
	servers := t.servers[p.Key.Destination]
	if len(servers) == 0 {
		return flow.Verdict{Action: flow.Drop, Reason: flow.NoService}
	}
	hash := maphash.Comparable(seed, p.Key)
	owner := int(hash % uint64(len(*t.peers)))
	if p.Origin == flow.FromFabric && owner != *t.self {
		return flow.Verdict{Action: flow.Relay, As: flow.Steered, Address: (*t.peers)[owner]}
	}
	return flow.Verdict{Action: flow.Forward, Address: servers[hash/7%uint64(len(servers))]}
}

// start runs n forwarders with a decider each; all trust each other.
func start(t *testing.T, n int, servers map[netip.AddrPort][]netip.AddrPort) ([]*Forwarder, *fabric.Fabric) {
	f := fabric.New(1)
	var all []*Forwarder
	peers := new([]netip.AddrPort)
	for i := range n {
		known := func(a netip.AddrPort) bool {
			for _, p := range *peers {
				if p == a {
					return true
				}
			}
			return false
		}
		gather := func(hash uint64) (netip.AddrPort, bool) {
			keeper := int(hash % uint64(n))
			return (*peers)[keeper], keeper != i
		}
		c := Config{Listen: local, Workers: 2, Gather: gather}
		fw, err := New(c, decider{self: &i, peers: peers, servers: servers}, known, quiet, tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = fw.Close() })
		all = append(all, fw)
		*peers = append(*peers, fw.Addr())
	}
	for i, fw := range all {
		f.Add(fabric.Instance{ID: string(rune('a' + i)), Packets: fw.Addr()})
	}
	return all, f
}

func startBackends(t *testing.T, f *fabric.Fabric, n int, service netip.AddrPort, p config.Protocol) ([]*backend.Server, []netip.AddrPort) {
	var all []*backend.Server
	var addresses []netip.AddrPort
	for i := range n {
		s, err := backend.Start(backend.Config{Name: service.String() + string(rune('a'+i)), Service: service, Protocol: p, Callers: f.Caller})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		all = append(all, s)
		addresses = append(addresses, s.Packets())
	}
	return all, addresses
}

// Flows over TCP and UDP go through random instances, are steered between them,
// and each stays at its backend server from opening to close.
func TestFlowsStayWhereTheyBegan(t *testing.T) {
	is := is.New(t)
	servers := make(map[netip.AddrPort][]netip.AddrPort)
	all, f := start(t, 3, servers)
	deskServers, addresses := startBackends(t, f, 4, desk, config.TCP)
	servers[desk] = addresses
	sheets, addresses := startBackends(t, f, 2, catalogue, config.UDP)
	servers[catalogue] = addresses
	for _, fw := range all {
		fw.Start()
	}
	callers, err := caller.Start(caller.Config{
		Seed: 1, Sockets: 2, FirstAddress: from.Addr(),
		Services: []caller.Service{
			{Name: "desk", Address: desk, Protocol: config.TCP, Flows: 300},
			{Name: "sheets", Address: catalogue, Protocol: config.UDP, Flows: 100},
		},
		OpenTime: 100 * time.Millisecond, Pause: 40 * time.Millisecond, ShortShare: 1, ShortLife: 200 * time.Millisecond,
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
		is.Equal(c.Broken()+c[caller.Unopened]+c[caller.Excused], uint64(0))
		is.True(c[caller.Answers] >= 3*c[caller.Closed]) // opened, used, closed
	}
	for _, s := range append(deskServers, sheets...) {
		c := s.Counts()
		is.Equal(c.WrongService+c.Unknown, uint64(0))
		is.True(c.Opened > 0)
	}
	for _, fw := range all {
		total := fw.Totals()
		is.True(total.Forwarded > 0)
		is.True(total.Relayed > 0)
		is.Equal(total.Distrusted+total.Failed, uint64(0))
	}
}

// sink is a backend server that only takes packets.
func sink(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// next reads one packet; the deadline only bounds a failing test.
func next(t *testing.T, conn *net.UDPConn) []byte {
	buf := make([]byte, maxPacket)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return buf[:n]
}

func opening(t *testing.T) []byte {
	data, err := wire.NewCodec().Build(wire.Segment{From: from, To: desk, Protocol: config.TCP, Flags: wire.SYN})
	if err != nil {
		t.Fatal(err)
	}
	return append([]byte(nil), data...)
}

// piece is a fragment of a UDP packet to the catalogue.
func piece(id uint16, offset uint16, all ...gopacket.SerializableLayer) []byte {
	b := gopacket.NewSerializeBuffer()
	ip := &layers.IPv4{Version: 4, TTL: 9, Protocol: layers.IPProtocolUDP, Id: id, FragOffset: offset,
		Flags: layers.IPv4MoreFragments, SrcIP: from.Addr().AsSlice(), DstIP: catalogue.Addr().AsSlice()}
	all = append([]gopacket.SerializableLayer{&layers.GRE{Protocol: layers.EthernetTypeIPv4}, ip}, all...)
	if err := gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true}, all...); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// Fragments that come in through different instances, in any order, reach the
// backend server of the first one, over every pair of instances.
func TestFragmentsFollowTheFirst(t *testing.T) {
	is := is.New(t)
	conn, address := sink(t)
	other, otherAddress := sink(t)
	all, _ := start(t, 3, map[netip.AddrPort][]netip.AddrPort{catalogue: {address, otherAddress}})
	for _, fw := range all {
		fw.Start()
	}
	caller, _ := sink(t)
	udp := &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: layers.UDPPort(catalogue.Port())}
	data := gopacket.Payload("sixteen bytes..!")
	send := func(via int, p []byte) {
		_, err := caller.WriteToUDPAddrPort(p, all[via].Addr())
		is.NoErr(err)
	}
	target := conn
	if maphash.Comparable(seed, flow.Key{Source: from, Destination: catalogue, Protocol: config.UDP})/7%2 == 1 {
		target = other
	}
	id := uint16(0)
	for first := range all {
		for later := range all {
			for _, swapped := range []bool{false, true} {
				id++
				early, late := piece(id, 0, udp, data), piece(id, 3, data)
				if swapped {
					send(later, late)
					send(first, early)
				} else {
					send(first, early)
					send(later, late)
				}
				got := [][]byte{next(t, target), next(t, target)}
				if string(got[0]) != string(early) {
					got[0], got[1] = got[1], got[0]
				}
				is.Equal(got, [][]byte{early, late})
			}
		}
	}
}

// Steering from an address that is no instance's counts for nothing.
func TestSteeringOfStrangersIsDistrusted(t *testing.T) {
	is := is.New(t)
	conn, address := sink(t)
	all, _ := start(t, 1, map[netip.AddrPort][]netip.AddrPort{desk: {address}})
	seen := make(chan flow.Packet, 1)
	all[0].decider = decide(func(p *flow.Packet) flow.Verdict {
		seen <- *p
		return flow.Verdict{Action: flow.Forward, Address: address}
	})
	all[0].Start()
	stranger, _ := sink(t)
	plain := opening(t)
	buf := append(make([]byte, packet.Headroom), plain...)
	var e packet.Encoder
	start, err := e.Steered(buf, packet.Headroom+4, layers.EthernetTypeIPv4, packet.Steering{Origin: flow.Copied, Hops: 2, Server: 9})
	is.NoErr(err)
	_, err = stranger.WriteToUDPAddrPort(buf[start:], all[0].Addr())
	is.NoErr(err)
	is.Equal(next(t, conn), plain)
	is.Equal(<-seen, flow.Packet{
		Key:   flow.Key{Source: from, Destination: desk, Protocol: config.TCP},
		Flags: flow.Syn, Origin: flow.FromFabric, Hops: 2,
	})
	is.Equal(all[0].Totals().Distrusted, uint64(1))
}

type decide func(*flow.Packet) flow.Verdict

func (d decide) Decide(_ int64, p *flow.Packet) flow.Verdict { return d(p) }

// What has arrived before Close is forwarded, what cannot be is counted by
// reason, and the metrics say the same as the totals.
func TestCloseForwardsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	conn, address := sink(t)
	scope := tally.NewTestScope("", nil)
	servers := map[netip.AddrPort][]netip.AddrPort{desk: {address}}
	fw, err := New(Config{Listen: local}, decider{new(int), &[]netip.AddrPort{address}, servers}, nil, quiet, scope)
	is.NoErr(err)
	sender, _ := sink(t)
	const packets = 100
	for range packets {
		_, err := sender.WriteToUDPAddrPort(opening(t), fw.Addr())
		is.NoErr(err)
	}
	for _, bad := range [][]byte{{1, 2}, piece(1, 0, gopacket.Payload("cut")), piece(1, 0, &layers.UDP{}), make([]byte, maxPacket+1)} {
		_, err := sender.WriteToUDPAddrPort(bad, fw.Addr())
		is.NoErr(err)
	}
	fw.Start()
	is.NoErr(fw.Close())
	is.NoErr(fw.Close()) // closing twice is harmless
	for range packets {
		is.Equal(next(t, conn), opening(t))
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
	all, _ := start(t, 1, nil)
	all[0].Start()
	all[0].Abort()
	if _, err := New(Config{Listen: netip.MustParseAddrPort("192.0.2.1:1")}, nil, nil, quiet, tally.NoopScope); !Error.Has(err) {
		t.Errorf("listening on a foreign address: %v", err)
	}
}

// harness is a worker outside its loop, so that one packet can be handled at a
// time.
func harness(t testing.TB) (*worker, [][]byte, *net.UDPConn) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	target := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	known := func(netip.AddrPort) bool { return true }
	verdict := flow.Verdict{Action: flow.Relay, As: flow.Copied, Server: 7, Address: target}
	fw, err := New(Config{Listen: local}, decide(func(*flow.Packet) flow.Verdict { return verdict }), known, quiet, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fw.Close() })
	build := func(p []byte) []byte { return append(make([]byte, packet.Headroom), p...) }
	codec := wire.NewCodec()
	data, err := codec.Build(wire.Segment{From: from, To: desk, Protocol: config.TCP, Flags: wire.SYN})
	if err != nil {
		t.Fatal(err)
	}
	udp := &layers.UDP{SrcPort: 9, DstPort: layers.UDPPort(catalogue.Port())}
	return fw.workers[0], [][]byte{build(data), build(piece(1, 0, udp)), build(piece(1, 1, gopacket.Payload("12345678")))}, conn
}

func BenchmarkHandle(b *testing.B) {
	w, packets, _ := harness(b)
	work := make([]byte, maxPacket)
	b.ReportAllocs()
	for b.Loop() {
		size := copy(work, packets[0])
		w.handle(1, work[:size], local)
		w.writer.count = 0
	}
}

// Instances with the same view choose the same keeper, each about as often, and
// one that leaves changes only the choices that fell on it.
func TestKeepersAgree(t *testing.T) {
	is := is.New(t)
	view := &fleet.View{}
	all := make(map[fleet.ID]*Keepers)
	for i, id := range []fleet.ID{"a", "b", "c", "d"} {
		address := netip.AddrPortFrom(local.Addr(), uint16(i+1))
		view.Instances = append(view.Instances, fleet.Instance{ID: id, State: fleet.Alive, Packets: address})
		all[id] = NewKeepers(id)
	}
	_, elsewhere := all["a"].Gather(1)
	is.True(!elsewhere) // without a view, this instance
	choose := func(hash uint64) netip.AddrPort {
		var chosen netip.AddrPort
		for i, row := range view.Instances {
			address, elsewhere := all[row.ID].Gather(hash)
			is.Equal(elsewhere, address != row.Packets)
			is.True(i == 0 || address == chosen) // all agree
			chosen = address
		}
		return chosen
	}
	set := func() {
		for _, k := range all {
			k.SetView(view)
		}
	}
	set()
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
	gone := view.Instances[3].Packets
	set()
	for hash, chosen := range before {
		now := choose(table.Mix(hash))
		is.True(now == chosen || chosen == gone && now != gone)
	}
}
