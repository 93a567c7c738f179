//go:build !race

// The race detector makes sync.Pool drop objects at random, which shows as
// allocations that the packet path does not have otherwise.

package forward

import (
	"net"
	"testing"

	"balsamfork/internal/packet"
)

// The bound of the packet path: reading, deciding, encoding and writing allocate
// nothing per packet.
func TestBoundNoAllocationPerPacket(t *testing.T) {
	w, packets, _ := harness(t)
	self := w.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	work := make([]byte, maxPacket)
	for i, p := range packets {
		got := testing.AllocsPerRun(200, func() {
			size := copy(work, p)
			w.handle(1, work[:size], self)
			w.flush()
		})
		if got != 0 {
			t.Errorf("packet %d: %v allocations", i, got)
		}
	}
	sender, _ := sink(t)
	got := testing.AllocsPerRun(200, func() {
		_, _ = sender.WriteToUDPAddrPort(packets[0][packet.Headroom:], self)
		n, err := w.reader.read()
		if err != nil || n != 1 || !w.f.known(w.reader.source(0)) {
			t.Fatal(n, err)
		}
		w.serve(n)
	})
	if got != 0 {
		t.Errorf("a packet through the sockets: %v allocations", got)
	}
}
