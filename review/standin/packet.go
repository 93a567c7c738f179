package main

import (
	"encoding/binary"
	"net/netip"
)

// The bits of a packet's flags.
const (
	flagFinish = 1
	flagReset  = 2
	flagAck    = 4
	flagOpen   = 32
)

const (
	headerSize  = 36
	maxData     = 1200
	maxDatagram = 8 + headerSize + maxData
	// sumOfStandIn is the sum in packets of callers and servers; a reset of the system has
	// the sum 0.
	sumOfStandIn = 0x5eed
)

// packet is a packet of PROTOCOL.md, "Packets".
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	echo, seq, ack, sum uint32
	data                []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	copy(b[2:], destination[:])
	binary.BigEndian.PutUint16(b[6:], p.source.Port())
	binary.BigEndian.PutUint16(b[8:], p.destination.Port())
	copy(b[10:], source[:])
	binary.BigEndian.PutUint32(b[14:], p.echo)
	binary.BigEndian.PutUint32(b[18:], p.seq)
	binary.BigEndian.PutUint32(b[22:], p.ack)
	binary.BigEndian.PutUint32(b[26:], p.sum)
	b[30] = p.flags
	copy(b[headerSize:], p.data)
	return b
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b)) != len(b)-headerSize {
		return p, false
	}
	end := func(address, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[address:address+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		source: end(10, 6), destination: end(2, 8), flags: b[30],
		echo: binary.BigEndian.Uint32(b[14:]), seq: binary.BigEndian.Uint32(b[18:]),
		ack: binary.BigEndian.Uint32(b[22:]), sum: binary.BigEndian.Uint32(b[26:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}

// flowKey identifies a flow by its caller's end and the address that it is sent to.
type flowKey struct{ source, destination netip.AddrPort }

// hash is the hash by which the fabric spreads flows over instances.
func (k flowKey) hash() uint64 {
	h := uint64(14695981039346656037)
	for _, end := range []netip.AddrPort{k.source, k.destination} {
		a := end.Addr().As4()
		for _, c := range []byte{a[0], a[1], a[2], a[3], byte(end.Port() >> 8), byte(end.Port())} {
			h = (h ^ uint64(c)) * 1099511628211
		}
	}
	return h ^ h>>29
}
