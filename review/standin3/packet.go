package main

import (
	"encoding/binary"
	"net/netip"
)

// The bits of the flags of a packet, as PROTOCOL.md names them.
const (
	flagFIN = 1
	flagRST = 2
	flagACK = 4
	flagSYN = 32
)

const (
	headerSize = 36
	maxData    = 1200
	// callerSum is the sum of all packets of consumers. A backend's packets carry its number
	// as sum, so that the sender of a reset is known; resets of the system carry 0.
	callerSum = 0xc0ffee
)

// packet is one packet of a flow.
type packet struct {
	src, dst            netip.AddrPort
	flags               byte
	echo, seq, ack, sum uint32
	data                []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	copy(b[2:], dst[:])
	binary.BigEndian.PutUint16(b[6:], p.src.Port())
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	copy(b[10:], src[:])
	binary.BigEndian.PutUint32(b[14:], p.echo)
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	binary.BigEndian.PutUint32(b[26:], p.sum)
	b[30] = p.flags
	copy(b[headerSize:], p.data)
	return b
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b)) != len(b)-headerSize {
		return packet{}, false
	}
	end := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		src: end(10, 6), dst: end(2, 8), flags: b[30],
		echo: binary.BigEndian.Uint32(b[14:]), seq: binary.BigEndian.Uint32(b[18:]),
		ack: binary.BigEndian.Uint32(b[22:]), sum: binary.BigEndian.Uint32(b[26:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}
