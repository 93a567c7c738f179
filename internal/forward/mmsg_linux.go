package forward

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// reader reads batches of packets with their source addresses. It calls
// recvmmsg(2) directly because ReadBatch of golang.org/x/net allocates two
// objects for the source address of each packet.
type reader struct {
	conn    syscall.RawConn
	headers [batchSize]mmsghdr
	vectors [batchSize]unix.Iovec
	names   [batchSize]unix.RawSockaddrInet6
	receive func(fd uintptr) bool
	// recvmmsg is recvmmsg(2).
	recvmmsg func(fd uintptr, headers *[batchSize]mmsghdr) (int, syscall.Errno)
	count    int
	errno    syscall.Errno
}

// newReader returns a reader that reads into the given batchSize buffers, one per
// packet.
func newReader(conn *net.UDPConn, buffers [][]byte) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &reader{conn: raw, recvmmsg: recvmmsg}
	for i := range r.headers {
		r.vectors[i].Base = &buffers[i][0]
		r.vectors[i].SetLen(len(buffers[i]))
		header := &r.headers[i].header
		header.Iov = &r.vectors[i]
		header.SetIovlen(1)
		header.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	r.receive = r.tryReceive
	return r, nil
}

func recvmmsg(fd uintptr, headers *[batchSize]mmsghdr) (int, syscall.Errno) {
	n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
		uintptr(unsafe.Pointer(headers)), batchSize, unix.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}

// read waits for packets, reads a batch and returns the number of packets in it.
func (r *reader) read() (int, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := r.conn.Read(r.receive); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.count, nil
}

// tryReceive reports false if no packet is waiting. An interrupted read is repeated:
// packets may be waiting.
func (r *reader) tryReceive(fd uintptr) bool {
	r.count, r.errno = r.recvmmsg(fd, &r.headers)
	for r.errno == unix.EINTR {
		r.count, r.errno = r.recvmmsg(fd, &r.headers)
	}
	return r.errno != unix.EAGAIN
}

// size returns the size of the i-th packet of the last batch, and false if it
// was larger than its buffer.
func (r *reader) size(i int) (int, bool) {
	truncated := r.headers[i].header.Flags&unix.MSG_TRUNC != 0
	return int(r.headers[i].length), !truncated
}

// source returns the sender of the i-th packet of the last batch.
func (r *reader) source(i int) netip.AddrPort {
	name := &r.names[i]
	if name.Family == unix.AF_INET {
		name4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(name4.Addr), fromNetworkOrder(name4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), fromNetworkOrder(name.Port))
}

func fromNetworkOrder(port uint16) uint16 {
	var b [2]byte
	binary.NativeEndian.PutUint16(b[:], port)
	return binary.BigEndian.Uint16(b[:])
}
