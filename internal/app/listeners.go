package app

import (
	"net"
	"net/netip"

	"go.uber.org/multierr"

	"balsamfork/internal/settings"
)

// Listeners are the TCP listeners that must be open before the instance can announce
// its addresses to others.
type Listeners struct {
	Requests net.Listener
	Control  net.Listener
}

func newListeners(s *settings.Valid, sockets *openSockets) (*Listeners, error) {
	requests, err := net.Listen("tcp", s.Requests.Listen.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	control, err := net.Listen("tcp", s.Control.Listen.String())
	if err != nil {
		return nil, Error.Wrap(multierr.Append(err, requests.Close()))
	}
	sockets.add(func() { _ = requests.Close() })
	sockets.add(func() { _ = control.Close() })
	return &Listeners{Requests: requests, Control: control}, nil
}

func (l *Listeners) requestsAddr() netip.AddrPort { return addressOf(l.Requests) }

func (l *Listeners) controlAddr() netip.AddrPort { return addressOf(l.Control) }

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
