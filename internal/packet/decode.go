package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// minGREHeaderSize is the size in bytes of a GRE header without optional fields,
// portPairSize that of the ports at the start of a TCP or UDP header. greRoutingFlag
// is a bit of the first byte of a GRE header, greVersionMask selects the version in
// the second.
const (
	minGREHeaderSize = 4
	greRoutingFlag   = 0x40
	greVersionMask   = 0x07
	portPairSize     = 4
)

// Decoder decodes one packet at a time. Its fields describe the last packet that
// Decode accepted; they refer to the decoded bytes and are valid only as long as
// those are unchanged. A Decoder is not safe for concurrent use.
type Decoder struct {
	// Packet is the summary that the decision is based on.
	Packet flow.Packet
	// HasSteering is set if the GRE header carried steering.
	HasSteering bool
	// Fragment describes the packet if it is a fragment.
	Fragment Fragment
	// Ethertype is the protocol of Inner, the encapsulated IP packet.
	Ethertype layers.EthernetType
	Inner     []byte

	parser4         *gopacket.DecodingLayerParser
	parser6         *gopacket.DecodingLayerParser
	decoded         []gopacket.LayerType
	gre             layers.GRE
	ip4             layers.IPv4
	ip6             layers.IPv6
	skip6           layers.IPv6ExtensionSkipper
	frag6           layers.IPv6Fragment
	tcp             layers.TCP
	udp             layers.UDP
	icmp4           layers.ICMPv4
	icmp6           layers.ICMPv6
	fragmentPayload gopacket.Fragment
	quoted          quotedHeaders
}

// NewDecoder returns a decoder of GRE packets.
func NewDecoder() *Decoder {
	d := &Decoder{decoded: make([]gopacket.LayerType, 0, 16)}
	d.parser4 = newParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp, &d.icmp4, &d.fragmentPayload)
	d.parser6 = newParser(layers.LayerTypeIPv6, &d.skip6, &d.ip6, &d.frag6, &d.tcp, &d.udp, &d.icmp6, &d.fragmentPayload)
	return d
}

// newParser returns a parser for the given layers, of which first is the outermost.
// A later layer replaces an earlier one that decodes the same type.
func newParser(first gopacket.LayerType, all ...gopacket.DecodingLayer) *gopacket.DecodingLayerParser {
	container := gopacket.DecodingLayerContainer(gopacket.DecodingLayerSparse(nil))
	for _, layer := range all {
		container = container.Put(layer)
	}
	parser := gopacket.NewDecodingLayerParser(first)
	parser.SetDecodingLayerContainer(container)
	parser.IgnoreUnsupported = true
	return parser
}

// Decode decodes the payload of one UDP packet. It returns flow.NoReason if
// Packet holds a summary, flow.Malformed if the data is truncated or
// inconsistent, and flow.NoService if the protocol is not one that services
// support.
func (d *Decoder) Decode(data []byte) flow.Reason {
	d.reset()
	if len(data) < minGREHeaderSize {
		return flow.Malformed
	}
	if data[0]&greRoutingFlag != 0 || data[1]&greVersionMask != 0 {
		return flow.Malformed
	}
	if d.gre.DecodeFromBytes(data, gopacket.NilDecodeFeedback) != nil {
		return flow.Malformed
	}
	if reason := d.readSteering(); reason != flow.NoReason {
		return reason
	}
	if reason := d.decodeInner(); reason != flow.NoReason {
		return reason
	}
	return d.summarize()
}

func (d *Decoder) decodeInner() flow.Reason {
	var parser *gopacket.DecodingLayerParser
	switch d.Ethertype {
	case layers.EthernetTypeIPv4:
		parser = d.parser4
	case layers.EthernetTypeIPv6:
		parser = d.parser6
	default:
		return flow.NoService
	}
	err := parser.DecodeLayers(d.Inner, &d.decoded)
	if err != nil || parser.Truncated || d.Inner[0]>>4 != ipVersion(d.Ethertype) {
		return flow.Malformed
	}
	return flow.NoReason
}

// ipVersion returns the IP version that the first 4 bits of a packet must contain.
func ipVersion(ethertype layers.EthernetType) byte {
	if ethertype == layers.EthernetTypeIPv4 {
		return 4
	}
	return 6
}

func (d *Decoder) reset() {
	d.Packet = flow.Packet{Origin: flow.FromFabric}
	d.HasSteering = false
	d.Fragment = Fragment{}
	d.Inner = nil
}

func (d *Decoder) readSteering() flow.Reason {
	d.Inner = d.gre.Payload
	d.Ethertype = d.gre.Protocol
	if !d.gre.KeyPresent {
		return flow.NoReason
	}
	steering, ok := ParseSteering(d.gre.Key)
	if !ok {
		return flow.Malformed
	}
	d.HasSteering = true
	d.Packet.Origin = steering.Origin
	d.Packet.Hops = steering.Hops
	d.Packet.Server = steering.Server
	return flow.NoReason
}

// summarize goes through the decoded layers from the IP header inwards and fills in
// Packet. A packet that contains another IP packet belongs to no service.
func (d *Decoder) summarize() flow.Reason {
	var source, destination netip.Addr
	for i, layer := range d.decoded {
		switch layer {
		case layers.LayerTypeIPv4, layers.LayerTypeIPv6:
			if i > 0 {
				return flow.NoService
			}
			source, destination = d.addresses()
		case layers.LayerTypeTCP:
			return d.summarizeTransport(source, destination, config.TCP)
		case layers.LayerTypeUDP:
			return d.summarizeTransport(source, destination, config.UDP)
		case layers.LayerTypeICMPv4:
			return d.summarizeICMPv4(destination)
		case layers.LayerTypeICMPv6:
			return d.summarizeICMPv6(destination)
		case gopacket.LayerTypeFragment:
			return d.summarizeFragment(source, destination)
		}
	}
	return flow.NoService
}

func (d *Decoder) addresses() (source, destination netip.Addr) {
	if d.Ethertype == layers.EthernetTypeIPv4 {
		return address(d.ip4.SrcIP), address(d.ip4.DstIP)
	}
	return address(d.ip6.SrcIP), address(d.ip6.DstIP)
}

func (d *Decoder) summarizeTransport(source, destination netip.Addr, protocol config.Protocol) flow.Reason {
	var from, to uint16
	switch protocol {
	case config.TCP:
		from, to = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
		d.Packet.Flags = tcpFlags(&d.tcp)
	case config.UDP:
		from, to = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
		d.Packet.Flags = flow.Sessionless
	}
	d.Packet.Key = flow.Key{
		Source:      netip.AddrPortFrom(source, from),
		Destination: netip.AddrPortFrom(destination, to),
		Protocol:    protocol,
	}
	return flow.NoReason
}

func tcpFlags(tcp *layers.TCP) flow.Flags {
	var flags flow.Flags
	if tcp.SYN && !tcp.ACK {
		flags |= flow.Syn
	}
	if tcp.FIN {
		flags |= flow.Fin
	}
	if tcp.RST {
		flags |= flow.Rst
	}
	return flags
}

func ports(data []byte) (source, destination uint16) {
	return binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:])
}

// address converts an address of 4 or 16 bytes from a decoded header.
func address(ip []byte) netip.Addr {
	addr, _ := netip.AddrFromSlice(ip)
	return addr
}
