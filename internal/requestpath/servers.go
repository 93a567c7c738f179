package requestpath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/admission"
	"balsamfork/internal/config"
	"balsamfork/internal/request"
)

// dialTimeout bounds the time to connect to a backend server.
const dialTimeout = 500 * time.Millisecond

type dialFunc = func(ctx context.Context, address string) (net.Conn, error)

// serverPools holds the connections to backend servers. A connection carries one
// request at a time, so that a malformed response affects no other request.
type serverPools struct {
	ctx   context.Context
	dial  dialFunc
	clock clock
	log   *slog.Logger
	m     metrics

	mu       sync.Mutex
	byNumber map[config.Number]*pool
	cancel   map[admission.AttemptID]context.CancelFunc
}

// pool holds the address of one backend server and the idle connections to it. It is
// closed once the server has another address or is removed.
type pool struct {
	address netip.AddrPort
	idle    []*serverConn
	closed  bool
}

// serverConn is a connection to a backend server and the pool that it belongs to.
type serverConn struct {
	*jsonrpc2.Conn
	pool *pool
}

func newServerPools(ctx context.Context, dial dialFunc, c clock, log *slog.Logger, m metrics) *serverPools {
	return &serverPools{
		ctx: ctx, dial: dial, clock: c, log: log, m: m,
		byNumber: make(map[config.Number]*pool),
		cancel:   make(map[admission.AttemptID]context.CancelFunc),
	}
}

// setAddress sets the address of a backend server. If the address changes, the
// connections to the old one are closed, those in use when they are returned.
func (s *serverPools) setAddress(n config.Number, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byNumber[n]; old != nil && old.address == address {
		return
	}
	s.closePoolLocked(s.byNumber[n])
	s.byNumber[n] = &pool{address: address}
}

// retain closes the pools of all backend servers except the given ones.
func (s *serverPools) retain(servers map[config.Number]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, p := range s.byNumber {
		if !servers[n] {
			s.closePoolLocked(p)
			delete(s.byNumber, n)
		}
	}
}

func (s *serverPools) closePoolLocked(p *pool) {
	s.closeIdleLocked(p)
	if p != nil {
		p.closed = true
	}
}

// closeIdle closes the idle connections to a backend server that this instance does
// not admit to.
func (s *serverPools) closeIdle(n config.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked(s.byNumber[n])
}

func (s *serverPools) closeIdleLocked(p *pool) {
	if p == nil {
		return
	}
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

func (s *serverPools) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byNumber {
		s.closePoolLocked(p)
	}
}

// get returns an idle connection to a backend server, or dials a new one.
func (s *serverPools) get(ctx context.Context, n config.Number) (*serverConn, error) {
	s.mu.Lock()
	p := s.byNumber[n]
	if p == nil {
		s.mu.Unlock()
		return nil, request.InvalidError.New("backend server %d: no address", n)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.isOpen() {
			s.mu.Unlock()
			return c, nil
		}
	}
	address := p.address
	s.mu.Unlock()
	nc, err := s.dial(ctx, address.String())
	if err != nil {
		return nil, err
	}
	conn := newConn(s.ctx, nc, discardHandler{}, s.log, jsonrpc2.OnRecv(s.countLate))
	return &serverConn{Conn: conn, pool: p}, nil
}

func (c *serverConn) isOpen() bool {
	select {
	case <-c.DisconnectNotify():
		return false
	default:
		return true
	}
}

// countLate counts responses without a pending request.
func (s *serverPools) countLate(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req == nil && resp != nil {
		s.m.answersDropped.Inc(1)
	}
}

// put returns a connection to its pool, or closes it if the pool is closed.
func (s *serverPools) put(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.pool.closed && c.isOpen() && s.ctx.Err() == nil {
		c.pool.idle = append(c.pool.idle, c)
		return
	}
	c.Close()
}

// discardHandler ignores requests and notifications sent by a backend server.
type discardHandler struct{}

func (discardHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// cancelAttempt cancels an attempt in progress.
func (s *serverPools) cancelAttempt(id admission.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.cancel[id]; f != nil {
		f()
	}
}

func attemptName(id admission.AttemptID) string {
	return fmt.Sprintf("%s/%x/%x", id.Owner.ID, id.Owner.Incarnation, id.Seq)
}

// runAttempt sends an attempt to its backend server and waits until it has ended
// there. It cancels the attempt at its deadline, and then waits at most margin.
func (s *serverPools) runAttempt(ctx context.Context, a admission.Attempt, margin time.Duration) admission.Run {
	ctx, cancelDeadline := context.WithDeadline(ctx, s.clock.time(a.Deadline))
	defer cancelDeadline()
	runCtx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel[a.ID] = cancel
	s.mu.Unlock()
	defer func() {
		cancel()
		s.mu.Lock()
		delete(s.cancel, a.ID)
		s.mu.Unlock()
	}()
	conn, err := s.get(runCtx, a.Server)
	if err != nil {
		s.m.brokenConnection.Inc(1)
		return admission.Run{Result: request.RefusedResult(request.NoServer), Ended: true}
	}
	return s.exchange(runCtx, conn, a, margin)
}

func (s *serverPools) exchange(runCtx context.Context, conn *serverConn, a admission.Attempt, margin time.Duration) admission.Run {
	name := attemptName(a.ID)
	id := jsonrpc2.ID{Str: name, IsString: true}
	params := ServerParams{Attempt: name, Key: a.Request.Key.ID, Deadline: a.Deadline / int64(time.Millisecond), Params: a.Request.Params}
	wait, err := conn.DispatchCall(runCtx, a.Request.Method, params, jsonrpc2.PickID(id))
	if err != nil {
		return s.brokenConnection(conn)
	}
	var raw json.RawMessage
	err = wait.Wait(runCtx, &raw)
	if runCtx.Err() != nil && errors.Is(err, runCtx.Err()) {
		_ = conn.Notify(s.ctx, ServerCancel, CancelServerParams{ID: name})
		cancelCtx, cancel := context.WithTimeout(s.ctx, margin)
		defer cancel()
		err = wait.Wait(cancelCtx, &raw)
	}
	return s.parseAnswer(conn, a, name, raw, err)
}

// parseAnswer returns how a run ended, by the response to it or the error of the
// call.
func (s *serverPools) parseAnswer(conn *serverConn, a admission.Attempt, name string, raw json.RawMessage, err error) admission.Run {
	var fault *jsonrpc2.Error
	if errors.As(err, &fault) {
		return s.fault(conn, a, name, fault)
	}
	if err != nil {
		return s.brokenConnection(conn)
	}
	var r ServerResult
	if json.Unmarshal(raw, &r) != nil || r.Attempt != name {
		s.m.answersDropped.Inc(1)
		return s.brokenConnection(conn)
	}
	s.put(conn)
	if r.Value == nil {
		r.Value = json.RawMessage("null")
	}
	return admission.Run{Result: checkLimits(request.Result{Status: request.Answered, Value: r.Value}), Ended: true}
}

// fault returns how a run ended, by the error response to it.
func (s *serverPools) fault(conn *serverConn, a admission.Attempt, name string, e *jsonrpc2.Error) admission.Run {
	var d ServerFault
	if e.Data == nil || json.Unmarshal(*e.Data, &d) != nil || d.Attempt != name {
		s.m.answersDropped.Inc(1)
		return s.brokenConnection(conn)
	}
	s.put(conn)
	switch e.Code {
	case CodeNotRun:
		return admission.Run{Result: request.RefusedResult(request.Overloaded), Shed: true, Ended: true}
	case CodeCancelled:
		return admission.Run{Result: request.UnknownResult(request.Cancelled), Ended: true}
	}
	f := &request.Fault{Code: e.Code, Message: e.Message, Data: d.Data}
	return admission.Run{Result: checkLimits(request.Result{Status: request.Answered, Fault: f}), Ended: true}
}

// checkLimits returns the result, or Unknown with Oversized if it exceeds the limits.
func checkLimits(r request.Result) request.Result {
	if r.Validate() != nil {
		return request.UnknownResult(request.Oversized)
	}
	return r
}

// brokenConnection closes a connection whose response is missing, truncated or of
// another attempt, and returns a Run with an Unknown result: the request may still be
// running.
func (s *serverPools) brokenConnection(conn *serverConn) admission.Run {
	s.m.brokenConnection.Inc(1)
	conn.Close()
	return admission.Run{Result: request.UnknownResult(request.AnswerLost)}
}
