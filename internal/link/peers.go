package link

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/peer"
)

// peerConn is the outgoing connection to one instance. lock is a channel of capacity 1
// used as a mutex, so that waiting for it can end with a context; it protects conn,
// addr, used and removed, and is held while the connection is looked up or dialled.
// redialBackoff and nextDialAt are protected by peers.mu.
type peerConn struct {
	lock chan struct{}

	conn *jsonrpc2.Conn
	addr netip.AddrPort
	used time.Time
	// removed is set once the entry is no longer in the table.
	removed bool

	redialBackoff *backoff.ExponentialBackOff
	nextDialAt    time.Time
}

func newPeerConn() *peerConn {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRedialInterval
	b.MaxInterval = maxRedialInterval
	return &peerConn{lock: make(chan struct{}, 1), redialBackoff: b}
}

// peers is the table of outgoing connections by instance.
type peers struct {
	mu     sync.Mutex
	byID   map[fleet.ID]*peerConn
	closed bool

	self    keys.Identity
	keys    *keys.Reloader
	resolve func(fleet.ID) (netip.AddrPort, bool)
	traffic byteCounters
}

// entry returns the entry of the instance, which it adds if there is none.
func (p *peers) entry(id fleet.ID) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, peer.NewNotSent("instance %q: this link is closed", id)
	}
	e := p.byID[id]
	if e == nil {
		e = newPeerConn()
		p.byID[id] = e
	}
	return e, nil
}

// get returns an open connection to the instance, dialling if there is none.
func (p *peers) get(ctx context.Context, id fleet.ID) (*jsonrpc2.Conn, error) {
	addr, ok := p.resolve(id)
	if !ok {
		return nil, peer.NewNotSent("instance %q has no known address", id)
	}
	e, err := p.lockEntry(ctx, id)
	if err != nil {
		return nil, err
	}
	defer func() { <-e.lock }()
	e.used = time.Now()
	if e.isOpenTo(addr) {
		return e.conn, nil
	}
	return p.dial(ctx, id, addr, e)
}

// lockEntry returns the entry of the instance with its lock held.
func (p *peers) lockEntry(ctx context.Context, id fleet.ID) (*peerConn, error) {
	for {
		e, err := p.entry(id)
		if err != nil {
			return nil, err
		}
		select {
		case e.lock <- struct{}{}:
		case <-ctx.Done():
			return nil, peer.NewNotSent("instance %q: %v", id, ctx.Err())
		}
		if !e.removed {
			return e, nil
		}
		<-e.lock
	}
}

// close closes all connections. None is opened afterwards.
func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for id, e := range p.snapshot() {
		e.lock <- struct{}{}
		p.removeLocked(id, e)
		<-e.lock
	}
}

func (p *peers) dial(ctx context.Context, id fleet.ID, addr netip.AddrPort, e *peerConn) (*jsonrpc2.Conn, error) {
	if p.inBackoff(e) && e.addr == addr {
		return nil, peer.NewNotSent("instance %q at %s: redialling is delayed by backoff", id, addr)
	}
	e.closeConn()
	e.addr = addr
	conn, err := dial(ctx, addr, string(id), p.self, p.keys, p.traffic)
	if err != nil {
		p.extendBackoff(e)
		return nil, peer.NewNotSent("instance %q at %s: %v", id, addr, err)
	}
	e.conn = conn
	p.resetBackoff(id)
	return conn, nil
}

func (p *peers) inBackoff(e *peerConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(e.nextDialAt)
}

// extendBackoff delays the next dial; the delay grows with each call up to
// maxRedialInterval.
func (p *peers) extendBackoff(e *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.nextDialAt = time.Now().Add(e.redialBackoff.NextBackOff())
}

// resetBackoff allows an instance to be dialled immediately, since it was reached or
// has connected to this one.
func (p *peers) resetBackoff(id fleet.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byID[id]; e != nil {
		e.redialBackoff.Reset()
		e.nextDialAt = time.Time{}
	}
}

// isOpenTo reports whether there is an open connection to the given address.
func (e *peerConn) isOpenTo(addr netip.AddrPort) bool {
	if e.conn == nil || e.addr != addr {
		return false
	}
	select {
	case <-e.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (e *peerConn) closeConn() {
	if e.conn == nil {
		return
	}
	_ = e.conn.Close()
	e.conn = nil
}

// sweep closes and removes the connections that have not been used since the given
// time.
func (p *peers) sweep(before time.Time) {
	for id, e := range p.snapshot() {
		e.lock <- struct{}{}
		if e.used.Before(before) {
			p.removeLocked(id, e)
		}
		<-e.lock
	}
}

// removeLocked closes the connection of an entry and removes the entry. The caller holds
// the lock of the entry, so that no connection is dialled on it meanwhile.
func (p *peers) removeLocked(id fleet.ID, e *peerConn) {
	e.closeConn()
	e.removed = true
	p.remove(id)
}

func (p *peers) snapshot() map[fleet.ID]*peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.ID]*peerConn, len(p.byID))
	for id, e := range p.byID {
		out[id] = e
	}
	return out
}

func (p *peers) remove(id fleet.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}
