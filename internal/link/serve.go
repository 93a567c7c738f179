package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/peer"
)

type method struct {
	handler       peer.Handler
	allowOperator bool
}

// session handles the requests on one accepted connection.
type session struct {
	link  *Link
	slots chan struct{}

	mu         sync.Mutex
	identified bool
	id         keys.Identity
}

func (l *Link) accept(ln net.Listener) {
	defer l.running.Done()
	for {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		if !l.addInbound(raw) {
			_ = raw.Close()
			continue
		}
		go l.serve(raw)
	}
}

// addInbound registers a new connection. It returns false if there are already
// maxInboundConns connections or the Link is closed.
func (l *Link) addInbound(raw net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.inbound) >= maxInboundConns {
		l.refused.Inc(1)
		return false
	}
	l.inbound[raw] = struct{}{}
	l.running.Add(1)
	return true
}

func (l *Link) removeInbound(raw net.Conn) {
	_ = raw.Close()
	l.mu.Lock()
	delete(l.inbound, raw)
	l.mu.Unlock()
	l.running.Done()
}

func (l *Link) serve(raw net.Conn) {
	defer l.removeInbound(raw)
	s := &session{link: l, slots: make(chan struct{}, maxConcurrentRequests)}
	var stream net.Conn = deadlineConn{Conn: raw, traffic: l.peers.traffic}
	if l.options.Keys != nil {
		secure, err := s.secure(stream)
		if err != nil {
			l.refused.Inc(1)
			l.log.Warn("Refused an incoming connection.", "from", raw.RemoteAddr().String(), "error", err)
			return
		}
		stream = secure
	}
	conn := newConn(stream, s)
	<-conn.DisconnectNotify()
}

// secure performs the TLS handshake and takes the peer's identity from its
// certificate.
func (s *session) secure(stream net.Conn) (net.Conn, error) {
	k := s.link.options.Keys
	secure := tls.Server(stream, k.ServerConfig())
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, Refused.Wrap(err)
	}
	id, err := k.Peer(secure.ConnectionState())
	if err != nil {
		return nil, Refused.Wrap(err)
	}
	s.setIdentity(id)
	return secure, nil
}

// Handle runs each request in its own goroutine. When maxConcurrentRequests are
// running, it blocks reading from the connection.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == helloMethod {
		s.handleHello(req)
		return
	}
	s.slots <- struct{}{}
	go func() {
		defer func() { <-s.slots }()
		s.respond(ctx, c, req)
	}()
}

// handleHello takes the identity that a peer states on a plain-text connection. It
// ignores hellos on TLS connections.
func (s *session) handleHello(req *jsonrpc2.Request) {
	if s.link.options.Keys != nil || req.Params == nil {
		return
	}
	var id keys.Identity
	if err := json.Unmarshal(*req.Params, &id); err != nil {
		return
	}
	s.setIdentity(id)
}

// setIdentity records the peer's identity. An instance that has connected is probably
// reachable, so its redial backoff is reset.
func (s *session) setIdentity(id keys.Identity) {
	s.mu.Lock()
	s.id, s.identified = id, true
	s.mu.Unlock()
	if id.Role == keys.Instance {
		s.link.peers.resetBackoff(fleet.ID(id.Name))
	}
}

func (s *session) identity() (keys.Identity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.identified
}

func (s *session) respond(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, failure := s.callHandler(ctx, req)
	if req.Notif {
		return
	}
	if failure != nil {
		_ = c.ReplyWithError(ctx, req.ID, failure)
		return
	}
	if err := c.Reply(ctx, req.ID, result); err != nil {
		s.link.log.Warn("Failed to send a response.", "method", req.Method, "error", err)
	}
}

func (s *session) callHandler(ctx context.Context, req *jsonrpc2.Request) (any, *jsonrpc2.Error) {
	id, identified := s.identity()
	if !identified {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the sender is not known"}
	}
	m, ok := s.link.methods[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	if id.Role != keys.Instance && !m.allowOperator {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "only instances may call " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := m.handler(ctx, fleet.ID(senderName(id)), params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return result, nil
}

// sweepEvery closes idle outgoing connections at the given interval until the Link is
// closed.
func (l *Link) sweepEvery(interval time.Duration) {
	defer l.running.Done()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			return
		case now := <-t.C:
			l.peers.sweep(now.Add(-idleTimeout / 2))
		}
	}
}
