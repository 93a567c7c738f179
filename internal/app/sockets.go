package app

import (
	"net"
	"net/netip"

	"go.uber.org/multierr"

	"balsamfork/internal/settings"
)

// Sockets are the TCP listeners that must be open before the instance can tell
// others its addresses.
type Sockets struct {
	Requests net.Listener
	Control  net.Listener
}

func newSockets(s *settings.Valid) (*Sockets, error) {
	requests, err := net.Listen("tcp", s.Requests.Listen.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	control, err := net.Listen("tcp", s.Control.Listen.String())
	if err != nil {
		return nil, Error.Wrap(multierr.Append(err, requests.Close()))
	}
	return &Sockets{Requests: requests, Control: control}, nil
}

func (s *Sockets) requestsAddr() netip.AddrPort { return addressOf(s.Requests) }

func (s *Sockets) controlAddr() netip.AddrPort { return addressOf(s.Control) }

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
