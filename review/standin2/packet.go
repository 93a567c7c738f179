package main

import (
	"encoding/binary"
	"net/netip"
)

// The bits of a packet's flags.
const (
	flagFIN = 1
	flagRST = 2
	flagACK = 4
	flagSYN = 32
)

const (
	headSize = 36
	// ownSum marks packets of consumers and backends: the system's own resets have 0.
	ownSum = 0x5eed
)

// packet is a packet as PROTOCOL.md lays it out.
type packet struct {
	src, dst            netip.AddrPort
	echo, seq, ack, sum uint32
	flags               byte
	data                []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	copy(b[2:], dst[:])
	binary.BigEndian.PutUint16(b[6:], p.src.Port())
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	copy(b[10:], src[:])
	binary.BigEndian.PutUint32(b[14:], p.echo)
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	binary.BigEndian.PutUint32(b[26:], p.sum)
	b[30] = p.flags
	copy(b[headSize:], p.data)
	return b
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b)) != len(b)-headSize {
		return packet{}, false
	}
	return packet{
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[6:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[2:6])), binary.BigEndian.Uint16(b[8:])),
		echo: binary.BigEndian.Uint32(b[14:]), seq: binary.BigEndian.Uint32(b[18:]),
		ack: binary.BigEndian.Uint32(b[22:]), sum: binary.BigEndian.Uint32(b[26:]),
		flags: b[30], data: append([]byte(nil), b[headSize:]...),
	}, true
}
