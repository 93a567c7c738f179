package packet

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/zeebo/errs"
)

// Headroom is the number of free bytes required before a received GRE header, so
// that a header without steering (4 bytes) can be replaced by one with steering
// (8 bytes).
const Headroom = 4

// Error is the class of errors of this package.
var Error = errs.Class("packet")

// Encoder writes GRE headers into the free space before IP packets, without copying
// the packets. It is not safe for concurrent use.
type Encoder struct {
	gre          layers.GRE
	headerBuffer headerBuffer
}

// EncodePlain writes a GRE header without steering, as sent to backend servers, before
// the IP packet buf[ipOffset:]. It returns the offset of the header in buf.
func (e *Encoder) EncodePlain(buf []byte, ipOffset int, ethertype layers.EthernetType) (int, error) {
	e.gre = layers.GRE{Protocol: ethertype}
	return e.encode(buf, ipOffset)
}

// EncodeSteered writes a GRE header with steering, as sent to other instances, before
// the IP packet buf[ipOffset:]. It returns the offset of the header in buf.
func (e *Encoder) EncodeSteered(buf []byte, ipOffset int, ethertype layers.EthernetType, s Steering) (int, error) {
	e.gre = layers.GRE{Protocol: ethertype, KeyPresent: true, Key: s.Key()}
	return e.encode(buf, ipOffset)
}

func (e *Encoder) encode(buf []byte, ipOffset int) (int, error) {
	e.headerBuffer = headerBuffer{buf: buf, start: ipOffset}
	if err := e.gre.SerializeTo(&e.headerBuffer, gopacket.SerializeOptions{}); err != nil {
		return 0, err
	}
	return e.headerBuffer.start, nil
}

// headerBuffer is a gopacket.SerializeBuffer that writes headers into the free space
// before a packet.
type headerBuffer struct {
	buf   []byte
	start int
}

// Bytes returns the headers written so far, followed by the packet.
func (b *headerBuffer) Bytes() []byte { return b.buf[b.start:] }

// PrependBytes returns the n bytes directly before Bytes, or an error if there is not
// enough free space.
func (b *headerBuffer) PrependBytes(n int) ([]byte, error) {
	if n > b.start {
		return nil, Error.New("no space for a header of %d bytes before offset %d", n, b.start)
	}
	b.start -= n
	return b.buf[b.start : b.start+n], nil
}

// AppendBytes is part of gopacket.SerializeBuffer. It always returns an error, since
// headers are only prepended.
func (b *headerBuffer) AppendBytes(n int) ([]byte, error) {
	return nil, Error.New("no space for %d bytes after the packet", n)
}

// Clear is part of gopacket.SerializeBuffer.
func (b *headerBuffer) Clear() error { return nil }

// Layers is part of gopacket.SerializeBuffer.
func (b *headerBuffer) Layers() []gopacket.LayerType { return nil }

// PushLayer is part of gopacket.SerializeBuffer.
func (b *headerBuffer) PushLayer(gopacket.LayerType) {}
