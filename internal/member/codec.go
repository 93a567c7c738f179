package member

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/config"
	"balsamfork/internal/deflate"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
)

// Malformed is the class of errors for data that does not decode to a message.
var Malformed = errs.Class("member: malformed message")

const (
	maxListEntries = 1 << 14
	maxTextBytes   = 255
	digestBytes    = 8
	finalFlag      = 0x80
	maxAddrBytes   = 64
	// compressFromBytes is the encoded length from which a message is compressed.
	compressFromBytes = 256
	// maxInflatedBytes limits the size of a message after decompression.
	maxInflatedBytes = 2 << 20
	// maxUnixMillis is the latest time whose nanoseconds fit an int64.
	maxUnixMillis = uint64(math.MaxInt64 / time.Millisecond)
)

// Encode returns the binary encoding of the message: integers are varints, texts
// and addresses are length-prefixed, and long messages are compressed with DEFLATE
// (RFC 1951).
func Encode(m Message) []byte {
	plain := appendMessage(nil, m)
	if len(plain) < compressFromBytes {
		return plain
	}
	return deflate.Pack(plain)
}

func appendMessage(b []byte, m Message) []byte {
	b = append(b, byte(m.Kind))
	b = binary.AppendUvarint(b, m.Incarnation)
	b = binary.AppendUvarint(b, uint64(m.Applied))
	if m.Kind == Heartbeat {
		b = binary.BigEndian.AppendUint64(b, m.Digest)
	}
	if m.Kind.hasSubject() {
		b = appendText(b, string(m.Subject))
	}
	b = binary.AppendUvarint(b, uint64(len(m.Updates)))
	for _, u := range m.Updates {
		b = appendUpdate(b, u)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Announcements)))
	for _, a := range m.Announcements {
		b = appendAnnouncement(b, a)
	}
	return b
}

func (k Kind) hasSubject() bool {
	return k == Ping || k == Ack || k == PingRequest || k == IndirectAck
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextBytes)]
	b = append(b, byte(len(s)))
	return append(b, s...)
}

func appendUpdate(b []byte, u Update) []byte {
	kind := byte(u.Kind)
	if u.Final {
		kind |= finalFlag
	}
	i := u.Instance
	b = append(b, kind)
	b = appendText(b, string(i.ID))
	b = binary.AppendUvarint(b, i.Incarnation)
	if u.Kind == SuspicionUpdate {
		return appendText(b, string(u.By))
	}
	b = append(b, byte(i.State))
	if i.State >= fleet.Leaving {
		b = binary.AppendUvarint(b, i.LeavesAt)
	}
	b = binary.AppendUvarint(b, uint64(i.Applied))
	if u.Kind == StatusUpdate {
		return b
	}
	b = appendText(b, i.DataCentre)
	b = appendText(b, i.Region)
	for _, a := range []netip.AddrPort{i.Packets, i.Control, i.Requests} {
		b = appendAddr(b, a)
	}
	return b
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	// MarshalBinary of an AddrPort never fails.
	data, _ := a.MarshalBinary()
	b = append(b, byte(len(data)))
	return append(b, data...)
}

func appendAnnouncement(b []byte, a flow.Announcement) []byte {
	b = binary.AppendUvarint(b, uint64(a.Server))
	b = append(b, byte(a.Condition))
	b = binary.AppendUvarint(b, a.Sequence)
	return binary.AppendVarint(b, a.Since)
}

// Decode decodes a message, or returns Malformed. Trailing bytes are an error.
func Decode(data []byte) (Message, error) {
	plain, err := deflate.Unpack(data, maxInflatedBytes)
	if err != nil {
		return Message{}, Malformed.Wrap(err)
	}
	d := decoder{rest: plain}
	m := Message{Kind: Kind(d.byte())}
	m.Incarnation = d.uint()
	m.Applied = config.Version(d.uint())
	if m.Kind == Heartbeat {
		m.Digest = d.fixed64()
	}
	if m.Kind.hasSubject() {
		m.Subject = fleet.ID(d.text())
	}
	for range d.listLength() {
		m.Updates = append(m.Updates, d.update())
	}
	for range d.listLength() {
		m.Announcements = append(m.Announcements, d.announcement())
	}
	if m.Kind < Gossip || m.Kind > SyncReply {
		d.fail("unknown message kind %d", m.Kind)
	}
	if len(d.rest) > 0 {
		d.fail("%d trailing bytes", len(d.rest))
	}
	if d.err != nil {
		return Message{}, d.err
	}
	return m, nil
}

// decoder reads fields from the front of rest. After an error every field decodes
// to its zero value.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = Malformed.New(format, args...)
	}
	d.rest = nil
}

func (d *decoder) read(n int) []byte {
	if n > len(d.rest) {
		d.fail("truncated: need %d bytes, have %d", n, len(d.rest))
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) byte() byte {
	b := d.read(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail("malformed varint")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) int() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.fail("malformed varint")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// unixMillis reads a time in milliseconds that can be converted to nanoseconds.
func (d *decoder) unixMillis() uint64 {
	v := d.uint()
	if v > maxUnixMillis {
		d.fail("time %d out of range", v)
		return 0
	}
	return v
}

func (d *decoder) fixed64() uint64 {
	b := d.read(digestBytes)
	if b == nil {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func (d *decoder) text() string { return string(d.read(int(d.byte()))) }

// listLength reads the length of a list. Each entry takes at least one byte, so a
// length beyond the remaining bytes is malformed.
func (d *decoder) listLength() int {
	n := d.uint()
	if n > maxListEntries || n > uint64(len(d.rest)) {
		d.fail("list length %d out of range", n)
		return 0
	}
	return int(n)
}

func (d *decoder) update() Update {
	kind := d.byte()
	u := Update{Kind: UpdateKind(kind &^ finalFlag), Final: kind&finalFlag != 0}
	u.Instance.ID = fleet.ID(d.text())
	u.Instance.Incarnation = d.uint()
	if u.Kind < FullUpdate || u.Kind > SuspicionUpdate {
		d.fail("unknown update kind %d", u.Kind)
	}
	if u.Kind == SuspicionUpdate {
		u.By = fleet.ID(d.text())
		return u
	}
	u.Instance.State = fleet.State(d.byte())
	if u.Instance.State < fleet.Joining || u.Instance.State > fleet.Dead {
		d.fail("unknown state %d", u.Instance.State)
	}
	if u.Instance.State >= fleet.Leaving {
		u.Instance.LeavesAt = d.unixMillis()
	}
	u.Instance.Applied = config.Version(d.uint())
	if u.Kind == StatusUpdate {
		return u
	}
	u.Instance.DataCentre = d.text()
	u.Instance.Region = d.text()
	u.Instance.Packets = d.addr()
	u.Instance.Control = d.addr()
	u.Instance.Requests = d.addr()
	return u
}

func (d *decoder) addr() netip.AddrPort {
	size := int(d.byte())
	if size > maxAddrBytes {
		d.fail("address of %d bytes exceeds the limit", size)
	}
	var a netip.AddrPort
	if err := a.UnmarshalBinary(d.read(size)); err != nil {
		d.fail("invalid address: %v", err)
	}
	return a
}

func (d *decoder) announcement() flow.Announcement {
	server := d.uint()
	if server > uint64(config.MaxNumber) {
		d.fail("backend server number %d out of range", server)
	}
	condition := flow.Condition(d.byte())
	if condition > flow.Recovering {
		d.fail("unknown condition %d", condition)
	}
	return flow.Announcement{
		Server:    config.Number(server),
		Condition: condition,
		Sequence:  d.uint(),
		Since:     d.int(),
	}
}
