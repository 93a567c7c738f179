package forward

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// writer queues packets and sends them in batches.
type writer struct {
	batch    *ipv4.PacketConn
	messages [batchSize]ipv4.Message
	buffers  [batchSize][1][]byte
	targets  [batchSize]net.UDPAddr
	ips      [batchSize][net.IPv6len]byte
	count    int
}

func newWriter(conn *net.UDPConn) *writer {
	w := &writer{batch: ipv4.NewPacketConn(conn)}
	for i := range w.messages {
		w.messages[i].Buffers = w.buffers[i][:]
		w.messages[i].Addr = &w.targets[i]
	}
	return w
}

// add queues a packet, which must not be modified until flush. At most batchSize
// packets may be added between two calls of flush.
func (w *writer) add(data []byte, to netip.AddrPort) {
	i := w.count
	w.buffers[i][0] = data
	target := &w.targets[i]
	target.Port = int(to.Port())
	if to.Addr().Is4() {
		ip := to.Addr().As4()
		target.IP = append(w.ips[i][:0], ip[:]...)
	} else {
		ip := to.Addr().As16()
		target.IP = append(w.ips[i][:0], ip[:]...)
	}
	w.count++
}

// flush sends the queued packets and returns the number that could not be sent.
func (w *writer) flush() int {
	unsent := 0
	pending := w.messages[:w.count]
	w.count = 0
	for len(pending) > 0 {
		n, err := w.batch.WriteBatch(pending, 0)
		if err != nil && n <= 0 {
			// The error concerns the first pending packet: skip it.
			unsent++
			n = 1
		}
		pending = pending[n:]
	}
	return unsent
}
