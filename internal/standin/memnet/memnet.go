// Package memnet provides an in-memory network and control link, for tests that
// run adapters in a bubble of testing/synctest: connections are pipes, and
// addresses only identify listeners.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Net is an in-memory network. The zero value is ready to use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// Listener accepts the connections to one address.
type Listener struct {
	net       *Net
	address   netip.AddrPort
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Listen returns a listener for an address. It replaces an earlier listener, which
// gets no new connections.
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

// Dial connects to an address. It returns a *net.OpError if there is no listener
// or it is closed, and the context's error if that ends before the connection is
// accepted.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "mem", Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for a connection. It returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address as a TCP address.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
