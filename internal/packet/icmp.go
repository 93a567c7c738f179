package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// icmp6FieldSize is the size in bytes of the field between the header of an ICMPv6
// error and the packet that it quotes (RFC 4443): an MTU, a pointer, or unused.
const icmp6FieldSize = 4

// quotedHeaders holds the headers of the packet that an ICMP error quotes. The quoted
// packet may be truncated directly after its ports.
type quotedHeaders struct {
	ip4  layers.IPv4
	ip6  layers.IPv6
	frag layers.IPv6Fragment
}

func (d *Decoder) summarizeICMPv4(destination netip.Addr) flow.Reason {
	switch d.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable,
		layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
	default:
		return flow.NoService
	}
	ip := &d.quoted.ip4
	if ip.DecodeFromBytes(d.icmp4.Payload, gopacket.NilDecodeFeedback) != nil {
		return flow.Malformed
	}
	if ip.FragOffset != 0 {
		return flow.NoService
	}
	return d.summarizeQuoted(destination, address(ip.SrcIP), address(ip.DstIP), ip.Protocol, ip.Payload)
}

func (d *Decoder) summarizeICMPv6(destination netip.Addr) flow.Reason {
	switch d.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded,
		layers.ICMPv6TypeParameterProblem:
	default:
		return flow.NoService
	}
	if len(d.icmp6.Payload) < icmp6FieldSize {
		return flow.Malformed
	}
	ip := &d.quoted.ip6
	if ip.DecodeFromBytes(d.icmp6.Payload[icmp6FieldSize:], gopacket.NilDecodeFeedback) != nil {
		return flow.Malformed
	}
	protocol, data := ip.NextHeader, ip.Payload
	if protocol == layers.IPProtocolIPv6Fragment {
		frag := &d.quoted.frag
		if frag.DecodeFromBytes(data, gopacket.NilDecodeFeedback) != nil {
			return flow.Malformed
		}
		if frag.FragmentOffset != 0 {
			return flow.NoService
		}
		protocol, data = frag.NextHeader, frag.Payload
	}
	return d.summarizeQuoted(destination, address(ip.SrcIP), address(ip.DstIP), protocol, data)
}

// summarizeQuoted summarizes an ICMP error as a packet of the flow that the error
// concerns. The quoted packet was sent by the service to the caller, so its source
// and destination are swapped.
func (d *Decoder) summarizeQuoted(
	destination, service, caller netip.Addr, number layers.IPProtocol, data []byte,
) flow.Reason {
	protocol := config.Protocol(number)
	if protocol != config.TCP && protocol != config.UDP {
		return flow.NoService
	}
	if len(data) < portPairSize || service != destination {
		return flow.Malformed
	}
	servicePort, callerPort := ports(data)
	d.Packet.Key = flow.Key{
		Source:      netip.AddrPortFrom(caller, callerPort),
		Destination: netip.AddrPortFrom(service, servicePort),
		Protocol:    protocol,
	}
	if protocol == config.UDP {
		d.Packet.Flags = flow.Sessionless
	}
	return flow.NoReason
}
