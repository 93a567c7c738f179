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
	handler  peer.Handler
	operator bool
}

// session answers the calls on one accepted connection.
type session struct {
	link *Link
	busy chan struct{}

	mu    sync.Mutex
	known bool
	id    keys.Identity
}

func (l *Link) accept(ln net.Listener) {
	defer l.running.Done()
	for {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		if !l.admit(raw) {
			_ = raw.Close()
			continue
		}
		go l.serve(raw)
	}
}

// admit counts a new connection, unless there are too many or the link is closed.
func (l *Link) admit(raw net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.inbound) >= maxInbound {
		l.refused.Inc(1)
		return false
	}
	l.inbound[raw] = struct{}{}
	l.running.Add(1)
	return true
}

func (l *Link) release(raw net.Conn) {
	_ = raw.Close()
	l.mu.Lock()
	delete(l.inbound, raw)
	l.mu.Unlock()
	l.running.Done()
}

func (l *Link) serve(raw net.Conn) {
	defer l.release(raw)
	s := &session{link: l, busy: make(chan struct{}, maxConcurrent)}
	var stream net.Conn = guarded{Conn: raw, count: l.remotes.count}
	if l.options.Keys != nil {
		secure, err := s.secure(stream)
		if err != nil {
			l.refused.Inc(1)
			l.log.Warn("Connection refused.", "from", raw.RemoteAddr().String(), "error", err)
			return
		}
		stream = secure
	}
	conn := newConn(stream, s)
	<-conn.DisconnectNotify()
}

// secure completes the TLS handshake and takes the peer's identity from it.
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
	s.know(id)
	return secure, nil
}

// Handle runs each request in a goroutine of its own, up to a bound; over it,
// reading waits.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == helloMethod {
		s.hello(req)
		return
	}
	s.busy <- struct{}{}
	go func() {
		defer func() { <-s.busy }()
		s.run(ctx, c, req)
	}()
}

// hello takes the identity that a peer in plain text gives of itself.
func (s *session) hello(req *jsonrpc2.Request) {
	if s.link.options.Keys != nil || req.Params == nil {
		return
	}
	var id keys.Identity
	if err := json.Unmarshal(*req.Params, &id); err != nil {
		return
	}
	s.know(id)
}

// know takes the peer's identity; an instance that calls can be called.
func (s *session) know(id keys.Identity) {
	s.mu.Lock()
	s.id, s.known = id, true
	s.mu.Unlock()
	if id.Role == keys.Instance {
		s.link.remotes.revive(fleet.ID(id.Name))
	}
}

func (s *session) identity() (keys.Identity, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.known
}

func (s *session) run(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, failure := s.answer(ctx, req)
	if req.Notif {
		return
	}
	if failure != nil {
		_ = c.ReplyWithError(ctx, req.ID, failure)
		return
	}
	if err := c.Reply(ctx, req.ID, result); err != nil {
		s.link.log.Warn("Answer not sent.", "method", req.Method, "error", err)
	}
}

func (s *session) answer(ctx context.Context, req *jsonrpc2.Request) (any, *jsonrpc2.Error) {
	id, known := s.identity()
	if !known {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the sender is not known"}
	}
	m, ok := s.link.methods[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	if id.Role != keys.Instance && !m.operator {
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

// sweepEvery closes idle outgoing connections until stop is closed.
func (l *Link) sweepEvery(interval time.Duration) {
	defer l.running.Done()
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-l.stop:
			return
		case now := <-t.C:
			l.remotes.sweep(now.Add(-idleTimeout / 2))
		}
	}
}
