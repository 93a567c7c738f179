package flowpath

import (
	"encoding/binary"
	"net/netip"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/table"
)

// Flow identifies a flow by its two ends; the source is the caller.
type Flow struct {
	Source, Destination         netip.Addr
	SourcePort, DestinationPort uint16
}

// Hash returns a hash of the flow that is the same on all instances.
func (f Flow) Hash() uint64 {
	source, destination := f.Source.As4(), f.Destination.As4()
	addresses := uint64(binary.BigEndian.Uint32(source[:]))<<32 | uint64(binary.BigEndian.Uint32(destination[:]))
	ports := uint64(f.SourcePort)<<16 | uint64(f.DestinationPort)
	return table.Mix(addresses ^ table.Mix(ports))
}

// To returns the destination to which the caller sends the flow.
func (f Flow) To() catalogue.Destination {
	return catalogue.Destination{Address: f.Destination, Port: f.DestinationPort}
}

// From returns the caller's address and port.
func (f Flow) From() netip.AddrPort { return netip.AddrPortFrom(f.Source, f.SourcePort) }

// PacketKind is the role of a packet in its flow.
type PacketKind uint8

// The kinds of packets.
const (
	// Opening requests a flow; the caller repeats it until it is answered.
	Opening PacketKind = iota
	// Accepting answers an opening packet. Callers don't send it.
	Accepting
	// Established belongs to a flow that its caller considers open.
	Established
	// Resetting aborts a flow.
	Resetting
)

// Packet is the decoded header of a caller's packet.
type Packet struct {
	Flow Flow
	Kind PacketKind
	// Copy counts the repetitions of an opening packet.
	Copy int
	// Cookie is the last one that the caller has received on the flow.
	Cookie       uint32
	Sequence     uint32
	Acknowledged uint32
	// Data is the length of the payload, in bytes.
	Data   int
	Finish bool
	// Arrived is when the packet arrived, in nanoseconds of the monotonic clock.
	Arrived int64
}

// Codec encodes and decodes packets in a buffer that has room for a server's address
// before the packet.
type Codec interface {
	// Headroom is the space before a packet, in bytes.
	Headroom() int
	// MaxPacket is the size of the largest packet, in bytes.
	MaxPacket() int
	// Decode returns false for a malformed packet.
	Decode(packet []byte) (Packet, bool)
	// EncodeForServer addresses a buffer of headroom and packet to a server.
	EncodeForServer(buffer []byte, number uint64, cookie uint32)
	// EncodeReset writes a reset of p's flow for the caller into a buffer.
	EncodeReset(buffer []byte, p *Packet) []byte
}
