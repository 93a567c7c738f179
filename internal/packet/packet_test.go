package packet

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

var (
	caller4  = netip.MustParseAddrPort("198.51.100.7:40000")
	service4 = netip.MustParseAddrPort("203.0.113.1:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8::1]:443")
)

// build serializes layers and fills in their lengths.
func build(all ...gopacket.SerializableLayer) []byte {
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true}
	if err := gopacket.SerializeLayers(b, options, all...); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func gre4() *layers.GRE { return &layers.GRE{Protocol: layers.EthernetTypeIPv4} }
func gre6() *layers.GRE { return &layers.GRE{Protocol: layers.EthernetTypeIPv6} }

func ip4(from, to netip.AddrPort, p layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{Version: 4, TTL: 9, Protocol: p, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
}

func ip6(from, to netip.AddrPort, p layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{Version: 6, HopLimit: 9, NextHeader: p, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
}

func tcp(from, to netip.AddrPort) *layers.TCP {
	return &layers.TCP{SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port())}
}

func udp(from, to netip.AddrPort) *layers.UDP {
	return &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: layers.UDPPort(to.Port())}
}

func syn(from, to netip.AddrPort) *layers.TCP {
	t := tcp(from, to)
	t.SYN = true
	return t
}

func icmp4(t uint8, code uint8) *layers.ICMPv4 {
	return &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(t, code)}
}

func icmp6(t uint8) *layers.ICMPv6 {
	return &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(t, 0)}
}

// quotePrefix returns the first size bytes of a packet from the service, as quoted
// by an ICMP error.
func quotePrefix(size int, all ...gopacket.SerializableLayer) gopacket.Payload {
	return gopacket.Payload(build(all...)[:size])
}

func asFragment(ip *layers.IPv4, offset uint16, id uint16) *layers.IPv4 {
	ip.Flags, ip.FragOffset, ip.Id = layers.IPv4MoreFragments, offset, id
	return ip
}

func fragment6(offset uint16) *layers.IPv6Fragment {
	return &layers.IPv6Fragment{NextHeader: layers.IPProtocolTCP, FragmentOffset: offset, MoreFragments: true, Identification: 77}
}

func key(from, to netip.AddrPort, p config.Protocol) flow.Key {
	return flow.Key{Source: from, Destination: to, Protocol: p}
}

func withoutPort(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr(), 0) }

// testCase is a packet and the expected result of decoding it.
type testCase struct {
	name   string
	data   []byte
	reason flow.Reason
	key    flow.Key
	flags  flow.Flags
	first  bool
	later  bool
}

func testCases() []testCase {
	tcp4, tcp6 := key(caller4, service4, config.TCP), key(caller6, service6, config.TCP)
	udp4 := key(caller4, service4, config.UDP)
	const TCP, UDP, ICMP4, ICMP6 = layers.IPProtocolTCP, layers.IPProtocolUDP, layers.IPProtocolICMPv4, layers.IPProtocolICMPv6
	const frag6 = layers.IPProtocolIPv6Fragment
	fin := tcp(caller4, service4)
	fin.FIN, fin.ACK = true, true
	rst := tcp(caller4, service4)
	rst.RST = true
	synAck := syn(caller4, service4)
	synAck.ACK = true
	data := gopacket.Payload("some data in it.")
	mtu := gopacket.Payload([]byte{0, 0, 5, 0})
	reply4 := []gopacket.SerializableLayer{ip4(service4, caller4, TCP), tcp(service4, caller4)}
	reply6 := []gopacket.SerializableLayer{ip6(service6, caller6, TCP), tcp(service6, caller6)}
	whole := build(gre4(), ip4(caller4, service4, TCP), syn(caller4, service4), data)
	sourceRouted := append([]byte{0x40}, whole[1:]...)
	otherVersion := append([]byte{0, 1}, whole[2:]...)
	return []testCase{
		{name: "SYN", data: whole, key: tcp4, flags: flow.Syn},
		{name: "SYN with ACK", data: build(gre4(), ip4(caller4, service4, TCP), synAck), key: tcp4},
		{name: "FIN", data: build(gre4(), ip4(caller4, service4, TCP), fin), key: tcp4, flags: flow.Fin},
		{name: "RST", data: build(gre4(), ip4(caller4, service4, TCP), rst), key: tcp4, flags: flow.Rst},
		{name: "UDP", data: build(gre4(), ip4(caller4, service4, UDP), udp(caller4, service4), data), key: udp4, flags: flow.Sessionless},
		{name: "IPv6", data: build(gre6(), ip6(caller6, service6, TCP), syn(caller6, service6)), key: tcp6, flags: flow.Syn},
		{name: "first fragment", data: build(gre4(), asFragment(ip4(caller4, service4, TCP), 0, 9), tcp(caller4, service4), data), key: tcp4, first: true},
		{name: "later fragment", data: build(gre4(), asFragment(ip4(caller4, service4, UDP), 2, 9), data), key: key(withoutPort(caller4), withoutPort(service4), config.UDP), flags: flow.Partial, later: true},
		{name: "IPv6 first fragment", data: build(gre6(), ip6(caller6, service6, frag6), fragment6(0), syn(caller6, service6)), key: tcp6, flags: flow.Syn, first: true},
		{name: "IPv6 later fragment", data: build(gre6(), ip6(caller6, service6, frag6), fragment6(3), data), key: key(withoutPort(caller6), withoutPort(service6), config.TCP), flags: flow.Partial, later: true},
		{name: "fragmentation needed", data: build(gre4(), ip4(caller4, service4, ICMP4), icmp4(3, 4), quotePrefix(28, reply4...)), key: tcp4},
		{name: "time exceeded for UDP", data: build(gre4(), ip4(caller4, service4, ICMP4), icmp4(11, 0), quotePrefix(28, ip4(service4, caller4, UDP), udp(service4, caller4))), key: udp4, flags: flow.Sessionless},
		{name: "IPv6 packet too big", data: build(gre6(), ip6(caller6, service6, ICMP6), icmp6(2), mtu, quotePrefix(48, reply6...)), key: tcp6},
		{name: "IPv6 packet too big, quoting a first fragment", data: build(gre6(), ip6(caller6, service6, ICMP6), icmp6(2), mtu, quotePrefix(56, ip6(service6, caller6, frag6), fragment6(0), tcp(service6, caller6))), key: tcp6},
		{name: "ICMP quoting a later fragment", data: build(gre4(), ip4(caller4, service4, ICMP4), icmp4(3, 4), quotePrefix(28, asFragment(ip4(service4, caller4, TCP), 2, 1), data)), reason: flow.NoService},
		{name: "ICMP quoting another address", data: build(gre4(), ip4(caller4, caller4, ICMP4), icmp4(3, 4), quotePrefix(28, reply4...)), reason: flow.Malformed},
		{name: "ICMP quoting no ports", data: build(gre4(), ip4(caller4, service4, ICMP4), icmp4(3, 4), quotePrefix(22, reply4...)), reason: flow.Malformed},
		{name: "echo request", data: build(gre4(), ip4(caller4, service4, ICMP4), icmp4(8, 0)), reason: flow.NoService},
		{name: "IP in IP", data: build(gre4(), ip4(caller4, service4, layers.IPProtocolIPv4), ip4(caller4, service4, TCP), tcp(caller4, service4)), reason: flow.NoService},
		{name: "another protocol", data: build(gre4(), ip4(caller4, service4, layers.IPProtocolOSPF), data), reason: flow.NoService},
		{name: "ARP packet", data: build(&layers.GRE{Protocol: layers.EthernetTypeARP}, data), reason: flow.NoService},
		{name: "IPv6 with the ethertype of IPv4", data: build(gre4(), ip6(caller6, service6, TCP), tcp(caller6, service6)), reason: flow.Malformed},
		{name: "source routing", data: sourceRouted, reason: flow.Malformed},
		{name: "another GRE version", data: otherVersion, reason: flow.Malformed},
		{name: "empty", reason: flow.Malformed},
	}
}

func TestDecode(t *testing.T) {
	d := NewDecoder()
	for _, tc := range testCases() {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(d.Decode(tc.data), tc.reason)
			if tc.reason != flow.NoReason {
				return
			}
			is.Equal(d.Packet, flow.Packet{Key: tc.key, Flags: tc.flags, Origin: flow.FromFabric})
			is.Equal(d.Fragment.First, tc.first)
			is.Equal(d.Fragment.Later, tc.later)
			is.Equal(d.Inner, tc.data[minGREHeaderSize:])
		})
	}
}

// TestTruncatedPacketsAreRejected truncates valid packets at every offset: none is
// accepted.
func TestTruncatedPacketsAreRejected(t *testing.T) {
	is := is.New(t)
	d := NewDecoder()
	for _, tc := range testCases() {
		if tc.reason != flow.NoReason {
			continue
		}
		for size := range len(tc.data) {
			is.True(d.Decode(tc.data[:size]) != flow.NoReason) // truncated packet accepted
		}
	}
}

func TestFragmentsOfOnePacketHaveTheSameHash(t *testing.T) {
	is := is.New(t)
	hash := func(data []byte) uint64 {
		d := NewDecoder()
		is.Equal(d.Decode(data), flow.NoReason)
		return d.Fragment.Key.Hash()
	}
	first := hash(build(gre4(), asFragment(ip4(caller4, service4, layers.IPProtocolTCP), 0, 9), tcp(caller4, service4)))
	later := hash(build(gre4(), asFragment(ip4(caller4, service4, layers.IPProtocolTCP), 5, 9), gopacket.Payload("12345678")))
	other := hash(build(gre4(), asFragment(ip4(caller4, service4, layers.IPProtocolTCP), 5, 10), gopacket.Payload("12345678")))
	is.Equal(first, later)
	is.True(first != other)
}

func TestSteeringRoundTrip(t *testing.T) {
	is := is.New(t)
	whole := testCases()[0]
	var e Encoder
	d := NewDecoder()
	for origin := flow.FromFabric; origin <= flow.RelayedFragment; origin++ {
		for _, hops := range []uint8{0, 3, MaxHops, MaxHops + 1} {
			for _, server := range []config.Number{0, 1, config.MaxNumber} {
				buf := append(make([]byte, Headroom), whole.data...)
				sent := Steering{Origin: origin, Hops: hops, Server: server}
				start, err := e.EncodeSteered(buf, Headroom+minGREHeaderSize, layers.EthernetTypeIPv4, sent)
				is.NoErr(err)
				is.Equal(d.Decode(buf[start:]), flow.NoReason)
				is.True(d.HasSteering)
				is.Equal(Steering{d.Packet.Origin, d.Packet.Hops, d.Packet.Server}, Steering{origin, min(hops, MaxHops), server})
				is.Equal(d.Packet.Key, whole.key)
				start, err = e.EncodePlain(buf, len(buf)-len(d.Inner), d.Ethertype)
				is.NoErr(err)
				is.Equal(buf[start:], whole.data)
			}
		}
	}
	_, err := e.EncodeSteered(make([]byte, 40), Headroom, layers.EthernetTypeIPv4, Steering{})
	is.True(Error.Has(err)) // no space for the header
	_, ok := ParseSteering(0)
	is.True(!ok) // no valid origin
}

func TestBoundDecodeAllocatesNothing(t *testing.T) {
	d := NewDecoder()
	for _, tc := range testCases() {
		if tc.reason != flow.NoReason {
			continue
		}
		d.Decode(tc.data)
		got := testing.AllocsPerRun(100, func() { d.Decode(tc.data) })
		if got != 0 {
			t.Errorf("%s: %v allocations per packet", tc.name, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, tc := range testCases() {
		f.Add(tc.data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := NewDecoder()
		reason := d.Decode(data)
		if reason != flow.NoReason {
			return
		}
		p := d.Packet
		if !p.Key.Source.Addr().IsValid() || !p.Key.Destination.Addr().IsValid() {
			t.Fatalf("accepted without addresses: %+v", p)
		}
		if d.Fragment.Later != p.Flags.Has(flow.Partial) {
			t.Fatalf("fragment %+v, flags %v", d.Fragment, p.Flags)
		}
		checkRelay(t, d, data)
	})
}

// checkRelay checks that the packet decodes to the same summary after being relayed.
func checkRelay(t *testing.T, d *Decoder, data []byte) {
	var e Encoder
	buf := append(make([]byte, Headroom), data...)
	ipOffset := len(buf) - len(d.Inner)
	start, err := e.EncodeSteered(buf, ipOffset, d.Ethertype, Steering{Origin: flow.Steered, Hops: 1})
	if err != nil {
		t.Fatal(err)
	}
	next := NewDecoder()
	if reason := next.Decode(buf[start:]); reason != flow.NoReason {
		t.Fatalf("relayed packet rejected: %v", reason)
	}
	if next.Packet.Key != d.Packet.Key || next.Packet.Flags != d.Packet.Flags || next.Fragment != d.Fragment {
		t.Fatalf("decoded as %+v, after relaying as %+v", d.Packet, next.Packet)
	}
}

func FuzzParseSteering(f *testing.F) {
	f.Add(uint32(0))
	f.Add(Steering{Origin: flow.Copied, Hops: 2, Server: 7}.Key())
	f.Fuzz(func(t *testing.T, key uint32) {
		s, ok := ParseSteering(key)
		if ok && s.Key() != key {
			t.Fatalf("%#x parsed as %+v", key, s)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	d := NewDecoder()
	data := testCases()[0].data
	b.ReportAllocs()
	for b.Loop() {
		d.Decode(data)
	}
}
