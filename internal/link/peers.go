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

// remote is the outgoing connection to one instance. turn is held while the
// connection is looked up or dialled; redial and earliest are under the table's
// lock.
type remote struct {
	turn chan struct{}

	conn *jsonrpc2.Conn
	addr netip.AddrPort
	used time.Time

	redial   *backoff.ExponentialBackOff
	earliest time.Time
}

func newRemote() *remote {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstRedial
	b.MaxInterval = lastRedial
	return &remote{turn: make(chan struct{}, 1), redial: b}
}

// remotes is the table of outgoing connections.
type remotes struct {
	mu   sync.Mutex
	byID map[fleet.ID]*remote

	self    keys.Identity
	keys    *keys.Reloader
	resolve func(fleet.ID) (netip.AddrPort, bool)
	count   traffic
}

func (r *remotes) entry(id fleet.ID) *remote {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.byID[id]
	if e == nil {
		e = newRemote()
		r.byID[id] = e
	}
	return e
}

// get returns a connection to the instance, dialling if none stands.
func (r *remotes) get(ctx context.Context, id fleet.ID) (*jsonrpc2.Conn, error) {
	addr, ok := r.resolve(id)
	if !ok {
		return nil, peer.Unreachable.New("instance %q has no known address", id)
	}
	e := r.entry(id)
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, peer.Unreachable.New("instance %q: %v", id, ctx.Err())
	}
	defer func() { <-e.turn }()
	e.used = time.Now()
	if e.standing(addr) {
		return e.conn, nil
	}
	return r.dial(ctx, id, addr, e)
}

func (r *remotes) dial(ctx context.Context, id fleet.ID, addr netip.AddrPort, e *remote) (*jsonrpc2.Conn, error) {
	if r.mustWait(e) && e.addr == addr {
		return nil, peer.Unreachable.New("instance %q at %s: waiting to dial again", id, addr)
	}
	e.drop()
	e.addr = addr
	conn, err := dial(ctx, addr, string(id), r.self, r.keys, r.count)
	if err != nil {
		r.putOff(e)
		return nil, peer.Unreachable.New("instance %q at %s: %v", id, addr, err)
	}
	e.conn = conn
	r.revive(id)
	return conn, nil
}

func (r *remotes) mustWait(e *remote) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(e.earliest)
}

// putOff makes the next dial wait, longer each time.
func (r *remotes) putOff(e *remote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.earliest = time.Now().Add(e.redial.NextBackOff())
}

// revive lets an instance be dialled at once: it was reached, or has called.
func (r *remotes) revive(id fleet.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.byID[id]; e != nil {
		e.redial.Reset()
		e.earliest = time.Time{}
	}
}

// standing reports whether the connection is open and to the given address.
func (e *remote) standing(addr netip.AddrPort) bool {
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

func (e *remote) drop() {
	if e.conn == nil {
		return
	}
	_ = e.conn.Close()
	e.conn = nil
}

// sweep closes the connections that have not been used since the given time.
func (r *remotes) sweep(before time.Time) {
	for id, e := range r.snapshot() {
		e.turn <- struct{}{}
		idle := e.used.Before(before)
		if idle {
			e.drop()
		}
		<-e.turn
		if idle {
			r.forget(id)
		}
	}
}

func (r *remotes) snapshot() map[fleet.ID]*remote {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[fleet.ID]*remote, len(r.byID))
	for id, e := range r.byID {
		out[id] = e
	}
	return out
}

func (r *remotes) forget(id fleet.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}
