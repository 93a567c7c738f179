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

// FragmentKey identifies a fragmented packet: the header fields that are the same in
// all of its fragments.
type FragmentKey struct {
	Source      netip.Addr
	Destination netip.Addr
	Protocol    uint8
	ID          uint32
}

// Fragment describes a fragment. The zero value stands for an unfragmented packet.
type Fragment struct {
	Key FragmentKey
	// First is set for the fragment that carries the ports, Later for all others.
	First bool
	Later bool
}

// Hash returns a hash of the key that is the same on all instances.
func (k FragmentKey) Hash() uint64 {
	var b [37]byte
	source, destination := k.Source.As16(), k.Destination.As16()
	copy(b[:16], source[:])
	copy(b[16:32], destination[:])
	b[32] = k.Protocol
	binary.BigEndian.PutUint32(b[33:], k.ID)
	return xxh3.Hash(b[:])
}

func (d *Decoder) summarizeFragment(source, destination netip.Addr) flow.Reason {
	key := FragmentKey{Source: source, Destination: destination}
	var offset uint16
	var data []byte
	if d.precedingLayerIs(layers.LayerTypeIPv6Fragment) {
		key.Protocol, key.ID = uint8(d.frag6.NextHeader), d.frag6.Identification
		offset, data = d.frag6.FragmentOffset, d.frag6.Payload
	} else {
		key.Protocol, key.ID = uint8(d.ip4.Protocol), uint32(d.ip4.Id)
		offset, data = d.ip4.FragOffset, d.ip4.Payload
	}
	if offset != 0 {
		return d.summarizeLater(key)
	}
	return d.summarizeFirst(key, data)
}

// precedingLayerIs reports whether the layer before the payload of the fragment is
// want.
func (d *Decoder) precedingLayerIs(want gopacket.LayerType) bool {
	n := len(d.decoded)
	return n >= 2 && d.decoded[n-2] == want
}

func (d *Decoder) summarizeLater(key FragmentKey) flow.Reason {
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

func (d *Decoder) summarizeFirst(key FragmentKey, data []byte) flow.Reason {
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
	return d.summarizeTransport(key.Source, key.Destination, protocol)
}
