package flowpath

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reader reads packets and records when the socket was empty, which net.UDPConn.Read
// does not report.
type reader struct {
	conn  syscall.RawConn
	clock func() int64
	// drained is when the socket was last found empty, and emptyUntil the last time up to
	// which it was so: the packet for which a read has waited arrived then, unless the
	// process was paused while the read waited.
	drained, emptyUntil int64
	// blocked is set if the read in progress has found the socket empty.
	blocked bool
	buffer  []byte
	size    int
	err     error
	receive func(fd uintptr) bool
	// readSocket is read(2).
	readSocket func(fd int, buffer []byte) (int, error)
}

func newReader(conn *net.UDPConn, clock func() int64) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &reader{conn: raw, clock: clock, readSocket: unix.Read}
	r.receive = r.tryReceive
	return r, nil
}

// read waits for a packet and returns its size. A packet that is larger than the
// buffer is truncated.
func (r *reader) read(buffer []byte) (int, error) {
	r.buffer, r.blocked = buffer, false
	if err := r.conn.Read(r.receive); err != nil {
		return 0, err
	}
	if r.blocked {
		r.emptyUntil = r.clock()
	}
	return r.size, r.err
}

// tryReceive reports false if no packet is waiting. An interrupted read is repeated: it
// does not show that the socket is empty.
func (r *reader) tryReceive(fd uintptr) bool {
	r.size, r.err = r.readSocket(int(fd), r.buffer)
	for r.err == unix.EINTR {
		r.size, r.err = r.readSocket(int(fd), r.buffer)
	}
	if r.err == unix.EAGAIN {
		r.drained = r.clock()
		r.emptyUntil, r.blocked = r.drained, true
		return false
	}
	return true
}
