package forward

import (
	"errors"
	"net"
	"net/netip"
	"os"

	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/flow"
	"balsamfork/internal/packet"
)

// headerRoom is the free space before an IP packet, in bytes: enough for the
// largest GRE header that is written.
const headerRoom = 8

// worker serves one socket. Nothing of it is shared but counters and fragments.
type worker struct {
	f       *Forwarder
	conn    *net.UDPConn
	reader  *reader
	writer  *writer
	decoder *packet.Decoder
	encoder packet.Encoder
	slots   [batchSize][]byte
	waited  waitingFragment
	counters
}

func newWorker(f *Forwarder, conn *net.UDPConn) (*worker, error) {
	w := &worker{f: f, conn: conn, decoder: packet.NewDecoder(), writer: newWriter(conn)}
	buffers := make([][]byte, batchSize)
	for i := range w.slots {
		w.slots[i] = make([]byte, packet.Headroom+maxPacket)
		buffers[i] = w.slots[i][packet.Headroom:]
	}
	reader, err := newReader(conn, buffers)
	w.reader = reader
	return w, err
}

// run serves until the socket's deadline passes or it is closed.
func (w *worker) run() {
	for {
		n, err := w.reader.read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			w.failed.Add(1)
			continue
		}
		w.serve(n)
	}
}

// serve handles the n packets that the reader holds.
func (w *worker) serve(n int) {
	now := w.f.clock()
	w.received.Add(uint64(n))
	for i := range n {
		size, whole := w.reader.size(i)
		if !whole {
			w.dropped[flow.Malformed].Add(1)
			continue
		}
		w.handle(now, w.slots[i][:packet.Headroom+size], w.reader.source(i))
	}
	w.flush()
}

func (w *worker) flush() {
	if refused := w.writer.flush(); refused > 0 {
		w.failed.Add(uint64(refused))
	}
}

// handle decides about one packet. slot holds free space, then the GRE header.
func (w *worker) handle(now int64, slot []byte, source netip.AddrPort) {
	d := w.decoder
	if reason := d.Decode(slot[packet.Headroom:]); reason != flow.NoReason {
		w.dropped[reason].Add(1)
		return
	}
	w.checkOrigin(source)
	switch {
	case d.Fragment.Later:
		w.handleLater(now, slot)
	case d.Fragment.First:
		w.handleFirst(now, slot)
	default:
		w.apply(w.f.decider.Decide(now, &d.Packet), slot)
	}
}

// checkOrigin takes steering from known instances only. The hops of others are
// kept, so that no packet circles between instances that do not know each other.
func (w *worker) checkOrigin(source netip.AddrPort) {
	p := &w.decoder.Packet
	if !w.decoder.Keyed || w.f.known(source) {
		return
	}
	w.distrusted.Add(1)
	p.Origin = flow.FromFabric
	p.Server = 0
}

// apply queues the packet in slot as the verdict says.
func (w *worker) apply(v flow.Verdict, slot []byte) {
	d := w.decoder
	at := len(slot) - len(d.Inner)
	w.send(v, slot, at, d.Ethertype, d.Packet.Hops)
}

// send queues the IP packet buf[at:] as the verdict says.
func (w *worker) send(v flow.Verdict, buf []byte, at int, ethertype layers.EthernetType, hops uint8) {
	var start int
	var err error
	switch v.Action {
	case flow.Forward:
		start, err = w.encoder.Plain(buf, at, ethertype)
		w.forwarded.Add(1)
	case flow.Relay:
		steering := packet.Steering{Origin: v.As, Hops: hops + 1, Server: v.Server}
		start, err = w.encoder.Steered(buf, at, ethertype, steering)
		w.relayed.Add(1)
		w.relayedBytes.Add(uint64(len(buf) - start))
	default:
		w.dropped[v.Reason].Add(1)
		return
	}
	if err != nil {
		panic("forward: " + err.Error())
	}
	w.writer.add(buf[start:], v.Address)
}
