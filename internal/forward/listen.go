package forward

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens n sockets on one address with SO_REUSEPORT, so that the kernel
// distributes the packets over them by sender.
func listen(address netip.AddrPort, n int) ([]*net.UDPConn, error) {
	first, err := listenFirst(address)
	if err != nil {
		return nil, err
	}
	conns := []*net.UDPConn{first}
	address = first.LocalAddr().(*net.UDPAddr).AddrPort()
	for len(conns) < n {
		conn, err := listenOne(address, reusePort)
		if err != nil {
			closeAll(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// listenFirst opens the first socket. For port 0 it sets SO_REUSEPORT after
// binding: with the option set, the kernel may choose a port that an unrelated
// socket already uses.
func listenFirst(address netip.AddrPort) (*net.UDPConn, error) {
	if address.Port() != 0 {
		return listenOne(address, reusePort)
	}
	conn, err := listenOne(address, nil)
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err == nil {
		err = reusePort("", "", raw)
	}
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return conn, nil
}

func listenOne(
	address netip.AddrPort, control func(network, address string, raw syscall.RawConn) error,
) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: control}
	conn, err := config.ListenPacket(context.Background(), "udp", address.String())
	if err != nil {
		return nil, Error.New("listen on %s: %v", address, err)
	}
	udp := conn.(*net.UDPConn)
	if err := udp.SetReadBuffer(socketBufferSize); err != nil {
		_ = udp.Close()
		return nil, Error.Wrap(err)
	}
	return udp, nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optErr
}

func closeAll(conns []*net.UDPConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
