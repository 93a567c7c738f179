//go:build !race

// Excluded from race builds: the race detector makes sync.Pool drop objects at
// random, which causes allocations that the packet path does not make otherwise.

package forward

import (
	"net"
	"testing"

	"balsamfork/internal/packet"
)

// Reading, deciding, encoding and writing a packet must not allocate.
func TestBoundNoAllocationPerPacket(t *testing.T) {
	w, packets, _ := newTestWorker(t)
	self := w.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	buf := make([]byte, maxPacketSize)
	for i, p := range packets {
		got := testing.AllocsPerRun(200, func() {
			size := copy(buf, p)
			w.handle(1, buf[:size], self)
			w.flush()
		})
		if got != 0 {
			t.Errorf("packet %d: %v allocations", i, got)
		}
	}
	sender, _ := listenUDP(t)
	got := testing.AllocsPerRun(200, func() {
		_, _ = sender.WriteToUDPAddrPort(packets[0][packet.Headroom:], self)
		n, err := w.reader.read()
		if err != nil || n != 1 || !w.f.isInstance(w.reader.source(0)) {
			t.Fatal(n, err)
		}
		w.handleBatch(n)
	})
	if got != 0 {
		t.Errorf("a packet through the sockets: %v allocations", got)
	}
}
