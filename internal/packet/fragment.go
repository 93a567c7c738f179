package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// FragmentKey names one fragmented packet: what all its fragments share.
type FragmentKey struct {
	Source      netip.Addr
	Destination netip.Addr
	Protocol    uint8
	ID          uint32
}

// Fragment describes one fragment. The zero Fragment means a whole packet.
type Fragment struct {
	Key FragmentKey
	// First is set on the fragment that carries the ports, Later on the others.
	First bool
	Later bool
}

// Hash spreads fragmented packets over instances: it is the same on each.
func (k FragmentKey) Hash() uint64 {
	var b [37]byte
	source, destination := k.Source.As16(), k.Destination.As16()
	copy(b[:16], source[:])
	copy(b[16:32], destination[:])
	b[32] = k.Protocol
	binary.BigEndian.PutUint32(b[33:], k.ID)
	return xxh3.Hash(b[:])
}

func (d *Decoder) fragment(source, destination netip.Addr) flow.Reason {
	key := FragmentKey{Source: source, Destination: destination}
	var offset uint16
	var data []byte
	if d.lastIs(layers.LayerTypeIPv6Fragment) {
		key.Protocol, key.ID = uint8(d.frag6.NextHeader), d.frag6.Identification
		offset, data = d.frag6.FragmentOffset, d.frag6.Payload
	} else {
		key.Protocol, key.ID = uint8(d.ip4.Protocol), uint32(d.ip4.Id)
		offset, data = d.ip4.FragOffset, d.ip4.Payload
	}
	if offset != 0 {
		return d.laterFragment(key)
	}
	return d.firstFragment(key, data)
}

// lastIs reports whether the layer that the fragment's payload follows is want.
func (d *Decoder) lastIs(want gopacket.LayerType) bool {
	n := len(d.decoded)
	return n >= 2 && d.decoded[n-2] == want
}

func (d *Decoder) laterFragment(key FragmentKey) flow.Reason {
	protocol := config.Protocol(key.Protocol)
	if protocol != config.TCP && protocol != config.UDP {
		return flow.NoService
	}
	d.Fragment = Fragment{Key: key, Later: true}
	d.Packet.Flags = flow.Partial
	d.Packet.Key = flow.Key{
		Source:      netip.AddrPortFrom(key.Source, 0),
		Destination: netip.AddrPortFrom(key.Destination, 0),
		Protocol:    protocol,
	}
	return flow.NoReason
}

func (d *Decoder) firstFragment(key FragmentKey, data []byte) flow.Reason {
	var err error
	protocol := config.Protocol(key.Protocol)
	switch protocol {
	case config.TCP:
		err = d.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback)
	case config.UDP:
		err = d.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback)
	default:
		return flow.NoService
	}
	if err != nil {
		return flow.Malformed
	}
	d.Fragment = Fragment{Key: key, First: true}
	return d.transport(key.Source, key.Destination, protocol)
}
