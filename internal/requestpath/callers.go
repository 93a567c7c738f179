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
	"balsamfork/internal/request"
)

// Limits on callers.
const (
	// MaxConnections bounds the connections of callers to an instance.
	MaxConnections = 4096
	// MaxInFlight bounds the requests in progress on one connection.
	MaxInFlight = 256
	// replyTime is the most that is kept from a caller's time for the way back.
	replyTime = 20 * time.Millisecond
	// maxOwners is how many instances are asked as the owner of a key.
	maxOwners = 3
)

func (p *Path) accept() {
	free := make(chan struct{}, MaxConnections)
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		select {
		case free <- struct{}{}:
		default:
			c.Close()
			continue
		}
		p.work.Go(func() {
			p.serve(c)
			<-free
		})
	}
}

// serve answers one caller's connection until it ends.
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

// session is one caller's connection.
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

// inFlight is a request of a session in progress.
type inFlight struct {
	key    string
	cancel context.CancelCauseFunc
}

// errCancelled is the cause of a request that its caller has cancelled.
var errCancelled = request.InvalidError.New("cancelled by the caller")

// Handle takes in one message of the caller.
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
	started := s.begin(r.Key.ID, func(ctx context.Context) {
		res := s.path.Do(ctx, &r)
		if ctx.Err() == nil || context.Cause(ctx) == errCancelled {
			s.reply(conn, req, res)
		}
	})
	if !started {
		s.reply(conn, req, declined(&r, request.Overloaded))
	}
}

// begin runs a request in a goroutine, unless there are too many.
func (s *session) begin(key string, f func(context.Context)) bool {
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
	s.path.begin()
	s.work.Go(func() {
		f(ctx)
		cancel(nil)
		s.end(id)
		s.path.leave()
	})
	return true
}

func (s *session) end(id int) {
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

// declined is the result of a request that this instance has not passed on.
func declined(r *request.Request, why request.Reason) request.Result {
	if r.Repeatable {
		return request.Refuse(why)
	}
	return request.Unsure(why)
}

// Do runs a request of a caller: it passes it to the owner of its key and waits
// for the result. When the context ends the request is cancelled.
func (p *Path) Do(ctx context.Context, r *request.Request) request.Result {
	start := time.Now()
	timeout := time.Duration(r.TimeoutMs) * time.Millisecond
	r.Deadline = p.clock.now() + int64(timeout-min(replyTime, timeout/10))
	r.TimeoutMs = 0
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res := p.do(ctx, r)
	p.m.result(res)
	p.m.latency.Record(time.Since(start))
	return res
}

func (p *Path) do(ctx context.Context, r *request.Request) request.Result {
	if reason := p.enter(r); reason != "" {
		return declined(r, reason)
	}
	defer p.leave()
	if r.Key.Home == "" {
		r.Key.Home = p.opts.DataCentre
	}
	last := declined(r, request.Unreachable)
	for skip := range maxOwners {
		owner, found := p.ownerOf(&r.Key, skip)
		if !found {
			break
		}
		res, passed := p.pass(ctx, owner, r)
		if passed {
			return res
		}
		last = res
		if ctx.Err() != nil {
			return declined(r, request.TooLate)
		}
	}
	return last
}

// enter counts a request of a caller in, or says why it is not taken.
func (p *Path) enter(r *request.Request) request.Reason {
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
	p.busy++
	return ""
}

func (p *Path) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy++
}

func (p *Path) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
}

// ownerOf returns the instance that owns a key, leaving out the first few.
func (p *Path) ownerOf(k *request.Key, skip int) (fleet.ID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.First(pair.Name(k.ID), k.Home, "", skip)
}

// pass hands a request to the owner of its key. It returns false if another
// instance may be asked: the claim of the key decides which one runs it.
func (p *Path) pass(ctx context.Context, owner fleet.ID, r *request.Request) (request.Result, bool) {
	if owner == p.self.ID {
		return p.passHere(ctx, r)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := p.track(owner, cancel)
	defer p.untrack(id)
	res, err := p.remoteRun(ctx, owner, r, false)
	if err == nil {
		return res, res.Reason != request.Stopping
	}
	return declined(r, request.Unreachable), false
}

func (p *Path) passHere(ctx context.Context, r *request.Request) (request.Result, bool) {
	w, ch := p.own(r)
	select {
	case res := <-ch:
		return res, res.Reason != request.Stopping
	case <-ctx.Done():
		p.abandon(w, context.Cause(ctx) == errCancelled)
		return request.Unsure(reasonOf(ctx)), true
	case <-p.ctx.Done():
		return request.Unsure(request.Stopping), true
	}
}

func reasonOf(ctx context.Context) request.Reason {
	if context.Cause(ctx) == errCancelled {
		return request.Cancelled
	}
	return request.TooLate
}

// drop tells the owner that the caller of a copy has gone.
func (p *Path) drop(ctx context.Context, owner fleet.ID, c copyID) {
	params := dropParams{Copy: c, Cancel: context.Cause(ctx) == errCancelled}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.call(owner, callFor, func(ctx context.Context) {
		_ = p.peers.Notify(ctx, owner, peerDrop, params)
	})
}

func (p *Path) track(to fleet.ID, cancel context.CancelFunc) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seq++
	p.calls[p.seq] = call{to: to, cancel: cancel}
	return p.seq
}

func (p *Path) untrack(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}
