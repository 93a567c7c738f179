package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// icmp6Unused is the size in bytes of the field between an ICMPv6 error's
// header and the packet it quotes (RFC 4443): the MTU, a pointer, or nothing.
const icmp6Unused = 4

// quoted decodes the start of the packet that an ICMP error quotes. Such a
// packet may be cut right after its ports.
type quoted struct {
	ip4  layers.IPv4
	ip6  layers.IPv6
	frag layers.IPv6Fragment
}

func (d *Decoder) icmp4Error(destination netip.Addr) flow.Reason {
	switch d.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable,
		layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
	default:
		return flow.NoService
	}
	ip := &d.inner.ip4
	if ip.DecodeFromBytes(d.icmp4.Payload, gopacket.NilDecodeFeedback) != nil {
		return flow.Malformed
	}
	if ip.FragOffset != 0 {
		return flow.NoService
	}
	return d.quotedFlow(destination, address(ip.SrcIP), address(ip.DstIP), ip.Protocol, ip.Payload)
}

func (d *Decoder) icmp6Error(destination netip.Addr) flow.Reason {
	switch d.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded,
		layers.ICMPv6TypeParameterProblem:
	default:
		return flow.NoService
	}
	if len(d.icmp6.Payload) < icmp6Unused {
		return flow.Malformed
	}
	ip := &d.inner.ip6
	if ip.DecodeFromBytes(d.icmp6.Payload[icmp6Unused:], gopacket.NilDecodeFeedback) != nil {
		return flow.Malformed
	}
	protocol, data := ip.NextHeader, ip.Payload
	if protocol == layers.IPProtocolIPv6Fragment {
		frag := &d.inner.frag
		if frag.DecodeFromBytes(data, gopacket.NilDecodeFeedback) != nil {
			return flow.Malformed
		}
		if frag.FragmentOffset != 0 {
			return flow.NoService
		}
		protocol, data = frag.NextHeader, frag.Payload
	}
	return d.quotedFlow(destination, address(ip.SrcIP), address(ip.DstIP), protocol, data)
}

// quotedFlow summarizes an ICMP error as a packet of the flow it is about. The
// quoted packet went from the service to the caller, so its ends are swapped.
func (d *Decoder) quotedFlow(
	destination, source, caller netip.Addr, number layers.IPProtocol, data []byte,
) flow.Reason {
	protocol := config.Protocol(number)
	if protocol != config.TCP && protocol != config.UDP {
		return flow.NoService
	}
	if len(data) < portsSize || source != destination {
		return flow.Malformed
	}
	servicePort, callerPort := ports(data)
	d.Packet.Key = flow.Key{
		Source:      netip.AddrPortFrom(caller, callerPort),
		Destination: netip.AddrPortFrom(source, servicePort),
		Protocol:    protocol,
	}
	if protocol == config.UDP {
		d.Packet.Flags = flow.Sessionless
	}
	return flow.NoReason
}
