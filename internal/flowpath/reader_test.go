package flowpath

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestInterruptedReadIsRepeated interrupts a read while a packet is waiting: the packet
// is read, and the socket is not taken to be empty.
func TestInterruptedReadIsRepeated(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer conn.Close()
	_, err = conn.WriteToUDP([]byte("packet"), conn.LocalAddr().(*net.UDPAddr))
	is.NoErr(err)
	r, err := newReader(conn, func() int64 { return 1 })
	is.NoErr(err)
	interrupts := 3
	r.readSocket = func(fd int, buffer []byte) (int, error) {
		if interrupts > 0 {
			interrupts--
			return 0, unix.EINTR
		}
		return unix.Read(fd, buffer)
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	n, err := r.read(make([]byte, 100))
	is.NoErr(err)
	is.Equal(n, len("packet"))
	is.Equal(interrupts, 0)
	is.Equal(r.drained, int64(0))
}

// TestReadThatWaitsShowsAnEmptySocket guards against packets that are taken to have waited
// since the one before, although the read had to wait for the first of them.
func TestReadThatWaitsShowsAnEmptySocket(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer conn.Close()
	now := int64(0)
	r, err := newReader(conn, func() int64 { now++; return now })
	is.NoErr(err)
	blocked := false
	r.readSocket = func(fd int, buffer []byte) (int, error) {
		if blocked {
			return unix.Read(fd, buffer)
		}
		blocked = true
		for range 2 {
			_, err := conn.WriteToUDP([]byte("packet"), conn.LocalAddr().(*net.UDPAddr))
			is.NoErr(err)
		}
		return 0, unix.EAGAIN
	}
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	for range 2 { // the second packet was there when the first was read
		_, err := r.read(make([]byte, 100))
		is.NoErr(err)
		is.Equal(r.drained, int64(1))
		is.Equal(r.emptyUntil, int64(2))
	}
}
