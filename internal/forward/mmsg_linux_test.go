package forward

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestInterruptedReadIsRepeated interrupts a read while a packet is waiting: the packet
// is read without another one having to arrive.
func TestInterruptedReadIsRepeated(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.WriteToUDP([]byte("packet"), conn.LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	buffers := make([][]byte, batchSize)
	for i := range buffers {
		buffers[i] = make([]byte, 100)
	}
	r, err := newReader(conn, buffers)
	is.NoErr(err)
	interrupts := 3
	r.recvmmsg = func(fd uintptr, headers *[batchSize]mmsghdr) (int, syscall.Errno) {
		if interrupts > 0 {
			interrupts--
			return 0, unix.EINTR
		}
		return recvmmsg(fd, headers)
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	n, err := r.read()
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(interrupts, 0)
}
