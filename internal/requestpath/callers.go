package requestpath

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
	"balsamfork/internal/peer"
	"balsamfork/internal/request"
)

// Limits on callers.
const (
	// MaxConnections bounds the connections of callers to an instance.
	MaxConnections = 4096
	// MaxInFlight bounds the requests in progress on one connection.
	MaxInFlight = 256
	// maxReplyReserve bounds the part of a caller's timeout that is reserved for
	// sending the reply.
	maxReplyReserve = 20 * time.Millisecond
	// maxOwnerCandidates bounds the instances that a request is forwarded to in turn
	// as the owner of its key.
	maxOwnerCandidates = 3
)

func (p *Path) accept() {
	sem := make(chan struct{}, MaxConnections)
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		select {
		case sem <- struct{}{}:
		default:
			c.Close()
			continue
		}
		p.work.Go(func() {
			p.serve(c)
			<-sem
		})
	}
}

// serve handles the requests of one caller's connection until it is closed.
func (p *Path) serve(c net.Conn) {
	s := &session{path: p, requests: make(map[int]inFlight)}
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	s.ctx = ctx
	conn := newConn(ctx, c, s, p.log)
	<-conn.DisconnectNotify()
	cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.work.Wait()
}

// session is the state of one caller's connection.
type session struct {
	path *Path
	ctx  context.Context
	work sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	count    int
	seq      int
	requests map[int]inFlight
}

// inFlight is a request in progress of a session.
type inFlight struct {
	key    string
	cancel context.CancelCauseFunc
}

// errCancelled is the context cause of a request that its caller has cancelled.
var errCancelled = request.InvalidError.New("cancelled by the caller")

// Handle dispatches one message of the caller by its method.
func (s *session) Handle(_ context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	switch req.Method {
	case methodDo:
		s.do(conn, req)
	case methodCancel:
		s.cancel(req)
	case methodHome:
		home := HomeResult{Home: s.path.opts.DataCentre, Now: s.path.clock.now() / int64(time.Millisecond)}
		s.reply(conn, req, home)
	default:
		s.fail(conn, req, jsonrpc2.CodeMethodNotFound, "no such method")
	}
}

func (s *session) reply(conn *jsonrpc2.Conn, req *jsonrpc2.Request, result any) {
	if !req.Notif {
		_ = conn.Reply(s.ctx, req.ID, result)
	}
}

func (s *session) fail(conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, text string) {
	s.path.m.invalid.Inc(1)
	if !req.Notif {
		_ = conn.ReplyWithError(s.ctx, req.ID, &jsonrpc2.Error{Code: code, Message: text})
	}
}

func (s *session) do(conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Params == nil || req.Notif {
		s.fail(conn, req, jsonrpc2.CodeInvalidParams, "params: missing")
		return
	}
	r, err := request.DecodeRequest(*req.Params)
	if err == nil && r.Deadline != 0 {
		err = request.InvalidError.New("deadline: give timeoutMs in its place")
	}
	if err != nil {
		s.fail(conn, req, jsonrpc2.CodeInvalidParams, err.Error())
		return
	}
	started := s.beginRequest(r.Key.ID, func(ctx context.Context) {
		res := s.path.Do(ctx, &r)
		if ctx.Err() == nil || context.Cause(ctx) == errCancelled {
			s.reply(conn, req, res)
		}
	})
	if !started {
		s.reply(conn, req, noOwnerResult(&r, request.Overloaded))
	}
}

// beginRequest runs a request in a goroutine. It returns false if the session has
// MaxInFlight requests in progress or is closed.
func (s *session) beginRequest(key string, f func(context.Context)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= MaxInFlight || s.closed {
		return false
	}
	s.count++
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.seq++
	id := s.seq
	s.requests[id] = inFlight{key: key, cancel: cancel}
	s.path.beginRequest()
	s.work.Go(func() {
		f(ctx)
		cancel(nil)
		s.removeRequest(id)
		s.path.endRequest()
	})
	return true
}

func (s *session) removeRequest(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	delete(s.requests, id)
}

func (s *session) cancel(req *jsonrpc2.Request) {
	var c CancelParams
	if req.Params == nil || json.Unmarshal(*req.Params, &c) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if r.key == c.ID {
			r.cancel(errCancelled)
		}
	}
}

// noOwnerResult returns the result of a request for which this instance has no
// result from an owner: Refused if the request is Repeatable, otherwise Unknown.
func noOwnerResult(r *request.Request, reason request.Reason) request.Result {
	if r.Repeatable {
		return request.RefusedResult(reason)
	}
	return request.UnknownResult(reason)
}

// Do runs a request of a caller: it forwards the request to the owner of its key
// and waits for the result. The request is cancelled when the context ends.
func (p *Path) Do(ctx context.Context, r *request.Request) request.Result {
	start := time.Now()
	timeout := time.Duration(r.TimeoutMs) * time.Millisecond
	r.Deadline = p.clock.now() + int64(timeout-min(maxReplyReserve, timeout/10))
	r.TimeoutMs = 0
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res := p.do(ctx, r)
	p.m.countResult(res)
	p.m.latency.Record(time.Since(start))
	return res
}

func (p *Path) do(ctx context.Context, r *request.Request) request.Result {
	if reason := p.tryBeginRequest(r); reason != "" {
		return noOwnerResult(r, reason)
	}
	defer p.endRequest()
	if r.Key.Home == "" {
		r.Key.Home = p.opts.DataCentre
	}
	last := noOwnerResult(r, request.Unreachable)
	mayHaveRun := false
	for skip := range maxOwnerCandidates {
		owner, found := p.ownerOf(&r.Key, skip)
		if !found {
			break
		}
		f := p.forward(ctx, owner, r)
		mayHaveRun = mayHaveRun || f.mayHaveRun
		last = f.result
		if f.final {
			break
		}
		if ctx.Err() != nil {
			last = noOwnerResult(r, contextReason(ctx))
			break
		}
	}
	if mayHaveRun && r.Repeatable && last.Status == request.Refused {
		// The refusal covers the last copy only. A request that is not repeatable is
		// refused for all copies, since its key is claimed.
		last.Status = request.Unknown
	}
	return last
}

// forwarded is the outcome of forwarding one copy of a request.
type forwarded struct {
	result request.Result
	// final is unset if the request may be forwarded to another instance as well: the
	// claim on the key decides which of them runs it.
	final bool
	// mayHaveRun is set if the instance may have run the copy, but gave no result.
	mayHaveRun bool
}

// tryBeginRequest counts a request of a caller as in progress, or returns the
// reason why it is rejected.
func (p *Path) tryBeginRequest(r *request.Request) request.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stopping:
		return request.Stopping
	case p.cfg == nil || p.view == nil:
		return request.NoService
	case r.Key.Home == "" && !r.Repeatable:
		return request.Invalid
	}
	p.inProgress++
	return ""
}

func (p *Path) beginRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress++
}

func (p *Path) endRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress--
}

// ownerOf returns the instance that owns a key, skipping the given number of
// highest-ranked instances. It returns false if none is left.
func (p *Path) ownerOf(k *request.Key, skip int) (fleet.ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.First(pair.KeyOf(k.ID), k.Home, "", skip)
}

// forward sends a request to the owner of its key.
func (p *Path) forward(ctx context.Context, owner fleet.ID, r *request.Request) forwarded {
	if owner == p.self.ID {
		return p.forwardLocal(ctx, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := p.trackCall(owner, cancel)
	defer p.untrackCall(id)
	res, err := p.runRemote(ctx, owner, r, false)
	if err == nil {
		return forwarded{result: res, final: res.Reason != request.Stopping}
	}
	return forwarded{result: noOwnerResult(r, request.Unreachable), mayHaveRun: !peer.NotSent.Has(err)}
}

func (p *Path) forwardLocal(ctx context.Context, r *request.Request) forwarded {
	w, ch := p.runOwned(r)
	select {
	case res := <-ch:
		return forwarded{result: res, final: res.Reason != request.Stopping}
	case <-ctx.Done():
		p.abandonWaiter(w, context.Cause(ctx) == errCancelled)
		return forwarded{result: request.UnknownResult(contextReason(ctx)), final: true}
	case <-p.ctx.Done():
		return forwarded{result: request.UnknownResult(request.Stopping), final: true}
	}
}

func contextReason(ctx context.Context) request.Reason {
	if context.Cause(ctx) == errCancelled {
		return request.Cancelled
	}
	return request.DeadlinePassed
}

// sendDrop notifies the owner that the caller of a copy no longer waits for it.
func (p *Path) sendDrop(ctx context.Context, owner fleet.ID, c copyID) {
	params := dropParams{Copy: c, Cancel: context.Cause(ctx) == errCancelled}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.call(owner, peerCallTimeout, func(ctx context.Context) {
		_ = p.peers.Notify(ctx, owner, peerDrop, params)
	})
}

func (p *Path) trackCall(to fleet.ID, cancel context.CancelFunc) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.calls[p.seq] = call{to: to, cancel: cancel}
	return p.seq
}

func (p *Path) untrackCall(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}
