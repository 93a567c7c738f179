// Package memnet is a network and a control link in memory, for tests that run adapters in fake time:
// connections are pipes, addresses are names.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Net is a network. The zero value is ready.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener takes the connections to one address.
type Listener struct {
	net     *Net
	address netip.AddrPort
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen takes connections to an address. A listener that is there already loses it.
func (n *Net) Listen(address string) *Listener {
	l := &Listener{net: n, address: netip.MustParseAddrPort(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*Listener)
	}
	n.listeners[address] = l
	return l
}

// Dial connects to an address. It returns a *net.OpError if nobody listens there.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "mem", Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for a connection. It returns net.ErrClosed once closed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; its connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
