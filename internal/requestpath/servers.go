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

// dialFor bounds the time to connect to a backend server.
const dialFor = 500 * time.Millisecond

type dialFunc = func(ctx context.Context, address string) (net.Conn, error)

// pools holds the connections to backend servers. A connection carries one
// request at a time, so that a broken answer harms no other request.
type pools struct {
	ctx   context.Context
	dial  dialFunc
	clock clock
	log   *slog.Logger
	m     metrics

	mu     sync.Mutex
	byNum  map[config.Number]*pool
	cancel map[admission.AttemptID]context.CancelFunc
}

type pool struct {
	address netip.AddrPort
	idle    []*jsonrpc2.Conn
}

func newPools(ctx context.Context, dial dialFunc, c clock, log *slog.Logger, m metrics) *pools {
	return &pools{
		ctx: ctx, dial: dial, clock: c, log: log, m: m,
		byNum:  make(map[config.Number]*pool),
		cancel: make(map[admission.AttemptID]context.CancelFunc),
	}
}

// set tells the address of a backend server.
func (s *pools) set(n config.Number, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byNum[n]; old != nil && old.address == address {
		return
	}
	s.closeIdle(s.byNum[n])
	s.byNum[n] = &pool{address: address}
}

// rest closes the idle connections to a backend server that this instance does not
// admit to.
func (s *pools) rest(n config.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle(s.byNum[n])
}

func (s *pools) closeIdle(p *pool) {
	if p == nil {
		return
	}
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

func (s *pools) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byNum {
		s.closeIdle(p)
	}
}

// take returns an idle connection, or a new one.
func (s *pools) take(ctx context.Context, n config.Number) (*jsonrpc2.Conn, error) {
	s.mu.Lock()
	p := s.byNum[n]
	if p == nil {
		s.mu.Unlock()
		return nil, request.InvalidError.New("backend server %d: no address", n)
	}
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if open(c) {
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
	return newConn(s.ctx, nc, ignore{}, s.log, jsonrpc2.OnRecv(s.countLate)), nil
}

func open(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return false
	default:
		return true
	}
}

// countLate counts answers that nobody waits for.
func (s *pools) countLate(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
	if req == nil && resp != nil {
		s.m.dropped.Inc(1)
	}
}

func (s *pools) put(n config.Number, c *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byNum[n]; p != nil && open(c) && s.ctx.Err() == nil {
		p.idle = append(p.idle, c)
		return
	}
	c.Close()
}

// ignore drops messages that a backend server sends on its own.
type ignore struct{}

func (ignore) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// stop cancels an attempt that is under way.
func (s *pools) stop(id admission.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.cancel[id]; f != nil {
		f()
	}
}

func attemptName(id admission.AttemptID) string {
	return fmt.Sprintf("%s/%x/%x", id.Owner.ID, id.Owner.Incarnation, id.Seq)
}

// run sends an attempt to its backend server and waits until it has ended there,
// at most until margin after its deadline.
func (s *pools) run(ctx context.Context, a admission.Attempt, margin time.Duration) admission.Run {
	ctx, cancelAll := context.WithDeadline(ctx, s.clock.time(a.Deadline))
	defer cancelAll()
	stop, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.cancel[a.ID] = cancel
	s.mu.Unlock()
	defer func() {
		cancel()
		s.mu.Lock()
		delete(s.cancel, a.ID)
		s.mu.Unlock()
	}()
	conn, err := s.take(stop, a.Server)
	if err != nil {
		s.m.broken.Inc(1)
		return admission.Run{Result: request.Refuse(request.NoServer), Ended: true}
	}
	return s.exchange(stop, conn, a, margin)
}

func (s *pools) exchange(stop context.Context, conn *jsonrpc2.Conn, a admission.Attempt, margin time.Duration) admission.Run {
	name := attemptName(a.ID)
	id := jsonrpc2.ID{Str: name, IsString: true}
	params := ServerParams{Attempt: name, Key: a.Request.Key.ID, Deadline: a.Deadline / int64(time.Millisecond), Params: a.Request.Params}
	wait, err := conn.DispatchCall(stop, a.Request.Method, params, jsonrpc2.PickID(id))
	if err != nil {
		return s.broken(conn)
	}
	var raw json.RawMessage
	err = wait.Wait(stop, &raw)
	if stop.Err() != nil && errors.Is(err, stop.Err()) {
		_ = conn.Notify(s.ctx, ServerCancel, CancelServerParams{ID: name})
		end, cancel := context.WithTimeout(s.ctx, margin)
		defer cancel()
		err = wait.Wait(end, &raw)
	}
	return s.ended(conn, a, name, raw, err)
}

// ended says how a run ended by the answer to it.
func (s *pools) ended(conn *jsonrpc2.Conn, a admission.Attempt, name string, raw json.RawMessage, err error) admission.Run {
	var fault *jsonrpc2.Error
	if errors.As(err, &fault) {
		return s.fault(conn, a, name, fault)
	}
	if err != nil {
		return s.broken(conn)
	}
	var r ServerResult
	if json.Unmarshal(raw, &r) != nil || r.Attempt != name {
		s.m.dropped.Inc(1)
		return s.broken(conn)
	}
	s.put(a.Server, conn)
	if r.Value == nil {
		r.Value = json.RawMessage("null")
	}
	return admission.Run{Result: bounded(request.Result{Status: request.Answered, Value: r.Value}), Ended: true}
}

func (s *pools) fault(conn *jsonrpc2.Conn, a admission.Attempt, name string, e *jsonrpc2.Error) admission.Run {
	var d ServerFault
	if e.Data == nil || json.Unmarshal(*e.Data, &d) != nil || d.Attempt != name {
		s.m.dropped.Inc(1)
		return s.broken(conn)
	}
	s.put(a.Server, conn)
	switch e.Code {
	case CodeNotRun:
		return admission.Run{Result: request.Refuse(request.Overloaded), Shed: true, Ended: true}
	case CodeCancelled:
		return admission.Run{Result: request.Unsure(request.Cancelled), Ended: true}
	}
	f := &request.Fault{Code: e.Code, Message: e.Message, Data: d.Data}
	return admission.Run{Result: bounded(request.Result{Status: request.Answered, Fault: f}), Ended: true}
}

// bounded keeps an answer only if it is whole within the limits.
func bounded(r request.Result) request.Result {
	if r.Validate() != nil {
		return request.Unsure(request.Oversized)
	}
	return r
}

// broken gives up a connection whose answer is missing, cut or another's. Whether
// the request still runs is not known.
func (s *pools) broken(conn *jsonrpc2.Conn) admission.Run {
	s.m.broken.Inc(1)
	conn.Close()
	return admission.Run{Result: request.Unsure(request.Lost)}
}
