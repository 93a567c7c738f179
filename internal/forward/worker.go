package forward

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/gopacket/gopacket/layers"

	"balsamfork/internal/flow"
	"balsamfork/internal/packet"
)

// maxHeaderSize is the size of the largest GRE header that is written, in bytes:
// one with a key.
const maxHeaderSize = 8

// worker handles the packets of one socket. Workers share only the fragment table
// of the Forwarder; the counters of a worker are read by Totals.
type worker struct {
	f             *Forwarder
	conn          *net.UDPConn
	reader        *reader
	writer        *writer
	decoder       *packet.Decoder
	encoder       packet.Encoder
	packetBuffers [batchSize][]byte
	waitingBuf    waitingFragment
	counters
}

func newWorker(f *Forwarder, conn *net.UDPConn) (*worker, error) {
	w := &worker{f: f, conn: conn, decoder: packet.NewDecoder(), writer: newWriter(conn)}
	buffers := make([][]byte, batchSize)
	for i := range w.packetBuffers {
		w.packetBuffers[i] = make([]byte, packet.Headroom+maxPacketSize)
		buffers[i] = w.packetBuffers[i][packet.Headroom:]
	}
	reader, err := newReader(conn, buffers)
	w.reader = reader
	return w, err
}

// readErrorDelay is the pause after a failed read of a socket, so that a lasting error
// does not take up the processor.
const readErrorDelay = 10 * time.Millisecond

// run handles packets until the read deadline of the socket expires or the socket
// is closed.
func (w *worker) run() {
	for {
		n, err := w.reader.read()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			w.failed.Add(1)
			time.Sleep(readErrorDelay)
			continue
		}
		w.handleBatch(n)
	}
}

// handleBatch handles the n packets of the last read.
func (w *worker) handleBatch(n int) {
	now := w.f.clock()
	w.received.Add(uint64(n))
	for i := range n {
		size, complete := w.reader.size(i)
		if !complete {
			w.dropped[flow.Malformed].Add(1)
			continue
		}
		w.handle(now, w.packetBuffers[i][:packet.Headroom+size], w.reader.source(i))
	}
	w.flush()
}

func (w *worker) flush() {
	if unsent := w.writer.flush(); unsent > 0 {
		w.failed.Add(uint64(unsent))
	}
}

// handle decides about one packet. buf holds packet.Headroom free bytes, then the
// GRE packet.
func (w *worker) handle(now int64, buf []byte, source netip.AddrPort) {
	d := w.decoder
	if reason := d.Decode(buf[packet.Headroom:]); reason != flow.NoReason {
		w.dropped[reason].Add(1)
		return
	}
	w.checkOrigin(source)
	switch {
	case d.Fragment.Later:
		w.handleLater(now, buf)
	case d.Fragment.First:
		w.handleFirst(now, buf)
	default:
		w.applyVerdict(w.f.decider.Decide(now, &d.Packet), buf)
	}
}

// checkOrigin discards steering that does not come from an instance, except for
// the hop count, which prevents loops between instances that do not know each
// other.
func (w *worker) checkOrigin(source netip.AddrPort) {
	p := &w.decoder.Packet
	if !w.decoder.HasSteering || w.f.isInstance(source) {
		return
	}
	w.distrusted.Add(1)
	p.Origin = flow.FromFabric
	p.Server = 0
}

// applyVerdict sends or drops the packet in buf according to the verdict.
func (w *worker) applyVerdict(v flow.Verdict, buf []byte) {
	d := w.decoder
	ipOffset := len(buf) - len(d.Inner)
	w.queue(v, buf, ipOffset, d.Ethertype, d.Packet.Hops)
}

// queue adds the IP packet buf[ipOffset:] to the writer with the header that the
// verdict requires, or counts it as dropped.
func (w *worker) queue(v flow.Verdict, buf []byte, ipOffset int, ethertype layers.EthernetType, hops uint8) {
	var start int
	var err error
	switch v.Action {
	case flow.Forward:
		start, err = w.encoder.EncodePlain(buf, ipOffset, ethertype)
		w.forwarded.Add(1)
	case flow.Relay:
		steering := packet.Steering{Origin: v.As, Hops: hops + 1, Server: v.Server}
		start, err = w.encoder.EncodeSteered(buf, ipOffset, ethertype, steering)
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
