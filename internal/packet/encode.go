package packet

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/zeebo/errs"
)

// Headroom is how many bytes before a received GRE header must be free, so that
// a header with steering can take the place of one without: 4 bytes of GRE
// become 8.
const Headroom = 4

// Error is the class of errors of this package.
var Error = errs.Class("packet")

// Encoder writes GRE headers in front of IP packets that lie in a larger
// buffer, so that nothing is copied. It is not safe for concurrent use.
type Encoder struct {
	gre  layers.GRE
	room room
}

// Plain writes the header that a backend server expects in front of buf[at:],
// the IP packet, and returns where the header starts.
func (e *Encoder) Plain(buf []byte, at int, ethertype layers.EthernetType) (int, error) {
	e.gre = layers.GRE{Protocol: ethertype}
	return e.encode(buf, at)
}

// Steered writes the header that another instance expects in front of buf[at:],
// the IP packet, and returns where the header starts.
func (e *Encoder) Steered(buf []byte, at int, ethertype layers.EthernetType, s Steering) (int, error) {
	e.gre = layers.GRE{Protocol: ethertype, KeyPresent: true, Key: s.Key()}
	return e.encode(buf, at)
}

func (e *Encoder) encode(buf []byte, at int) (int, error) {
	e.room = room{buf: buf, start: at}
	if err := e.gre.SerializeTo(&e.room, gopacket.SerializeOptions{}); err != nil {
		return 0, err
	}
	return e.room.start, nil
}

// room is a gopacket.SerializeBuffer over a packet with free space before it.
type room struct {
	buf   []byte
	start int
}

// Bytes returns what has been serialized so far.
func (r *room) Bytes() []byte { return r.buf[r.start:] }

// PrependBytes returns n bytes right before what has been serialized so far.
func (r *room) PrependBytes(n int) ([]byte, error) {
	if n > r.start {
		return nil, Error.New("no room for a header of %d bytes before offset %d", n, r.start)
	}
	r.start -= n
	return r.buf[r.start : r.start+n], nil
}

// AppendBytes is part of gopacket.SerializeBuffer; headers never need it.
func (r *room) AppendBytes(n int) ([]byte, error) {
	return nil, Error.New("no room for %d bytes after the packet", n)
}

// Clear is part of gopacket.SerializeBuffer.
func (r *room) Clear() error { return nil }

// Layers is part of gopacket.SerializeBuffer.
func (r *room) Layers() []gopacket.LayerType { return nil }

// PushLayer is part of gopacket.SerializeBuffer.
func (r *room) PushLayer(gopacket.LayerType) {}
