// Package worker is a stand-in for the request side of a backend server, for tests
// and the demo: a JSON-RPC server with slots, a cold start, and faults on demand.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/request"
	"balsamfork/internal/requestpath"
)

// Fault is what the worker does to an answer.
type Fault uint8

// The faults. The work is done under all of them.
const (
	None Fault = iota
	// Lose sends no answer, Delay sends it after Options.Delay, Double twice, Cross
	// as the answer to another attempt, Cut breaks off in its middle, Oversize makes
	// it larger than any frame.
	Lose
	Delay
	Double
	Cross
	Cut
	Oversize
)

// Options set up a worker.
type Options struct {
	Name  string
	Slots int
	// Time is how long one request takes; a cold worker takes ColdFactor times that.
	Time       time.Duration
	ColdFactor int
	Delay      time.Duration
	// Began and Finished, if set, are told the params of each request that begins
	// to run and of each that has run to its end.
	Began    func(params json.RawMessage)
	Finished func(params json.RawMessage)
}

// Counts are totals since the start. Exceeded counts requests that came while all
// slots were taken, Twice those whose key had been run before.
type Counts struct {
	Started, Finished, Cancelled, Exceeded, Twice, Expired int
}

// Worker serves requests until it is closed.
type Worker struct {
	opts     Options
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	cold    bool
	closed  bool
	running int
	counts  Counts
	keys    map[string]bool
	cancels map[string]context.CancelFunc
}

// Start listens on a free port of the loopback address.
func Start(o Options) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return StartOn(l, o), nil
}

// StartOn takes requests from a listener.
func StartOn(l net.Listener, o Options) *Worker {
	w := &Worker{opts: o, listener: l, keys: make(map[string]bool), cancels: make(map[string]context.CancelFunc)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.done.Go(w.accept)
	return w
}

// Addr returns where the worker takes requests.
func (w *Worker) Addr() netip.AddrPort { return w.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the worker at once, as a crash does.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.stop()
	w.done.Wait()
}

// SetFault sets what happens to the answers from now on.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetCold makes the worker slow, or fast again.
func (w *Worker) SetCold(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = cold
}

// Counts returns the totals.
func (w *Worker) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Running returns how many requests run now.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		conn := jsonrpc2.NewConn(w.ctx, jsonrpc2.NewPlainObjectStream(c), &handler{w: w, raw: c}, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
		w.done.Go(func() { <-conn.DisconnectNotify() })
	}
}

type handler struct {
	w   *Worker
	raw net.Conn
}

// Handle takes in one message: a request, or the order to cancel one.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == requestpath.ServerCancel {
		var p requestpath.CancelServerParams
		_ = json.Unmarshal(*req.Params, &p)
		h.w.cancel(p.ID)
		return
	}
	var p requestpath.ServerParams
	if req.Params == nil || json.Unmarshal(*req.Params, &p) != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params"})
		return
	}
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if !h.w.closed {
		h.w.done.Go(func() { h.answer(ctx, conn, req, p) })
	}
}

func (h *handler) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, p requestpath.ServerParams) {
	code, text := h.w.do(ctx, p)
	if code != 0 {
		e := &jsonrpc2.Error{Code: code, Message: text}
		e.SetError(requestpath.ServerFault{Attempt: p.Attempt})
		_ = conn.ReplyWithError(ctx, req.ID, e)
		return
	}
	result := requestpath.ServerResult{Attempt: p.Attempt, Value: h.w.value(p)}
	h.w.mu.Lock()
	fault := h.w.fault
	h.w.mu.Unlock()
	h.send(ctx, conn, req.ID, result, fault)
}

func (h *handler) send(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, r requestpath.ServerResult, f Fault) {
	switch f {
	case Lose:
		return
	case Delay:
		wait(ctx, h.w.opts.Delay)
	case Double:
		_ = conn.Reply(ctx, id, r)
	case Cross:
		r.Attempt = "other/0/0"
	case Cut:
		fmt.Fprintf(h.raw, `{"jsonrpc":"2.0","id":%q,"result":{"attempt":%q,"val`, id.Str, r.Attempt)
		h.raw.Close()
		return
	case Oversize:
		r.Value, _ = json.Marshal(strings.Repeat("x", request.MaxFrameBytes))
	}
	_ = conn.Reply(ctx, id, r)
}

// value is the answer to a request: it names the worker and the key.
func (w *Worker) value(p requestpath.ServerParams) json.RawMessage {
	v, _ := json.Marshal(Value{Server: w.opts.Name, Key: p.Key, Params: p.Params})
	return v
}

// Value is the answer to a request.
type Value struct {
	Server string          `json:"server"`
	Key    string          `json:"key"`
	Params json.RawMessage `json:"params,omitempty"`
}

// do runs one request and returns the code of its error, or zero.
func (w *Worker) do(ctx context.Context, p requestpath.ServerParams) (int64, string) {
	deadline := time.UnixMilli(p.Deadline)
	if !time.Now().Before(deadline) {
		w.mu.Lock()
		w.counts.Expired++
		w.mu.Unlock()
		return requestpath.CodeNotRun, "deadline passed"
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	took, ok := w.begin(p, cancel)
	if !ok {
		return requestpath.CodeNotRun, "all slots taken"
	}
	tell(w.opts.Began, p)
	finished := wait(ctx, took)
	if finished {
		tell(w.opts.Finished, p)
	}
	w.end(p, finished)
	if !finished {
		return requestpath.CodeCancelled, "cancelled"
	}
	return 0, ""
}

func tell(observe func(json.RawMessage), p requestpath.ServerParams) {
	if observe != nil {
		observe(p.Params)
	}
}

func (w *Worker) begin(p requestpath.ServerParams, cancel context.CancelFunc) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.opts.Slots {
		w.counts.Exceeded++
		return 0, false
	}
	if w.keys[p.Key] {
		w.counts.Twice++
	}
	w.keys[p.Key] = true
	w.running++
	w.counts.Started++
	w.cancels[p.Attempt] = cancel
	took := w.opts.Time
	if w.cold {
		took *= time.Duration(w.opts.ColdFactor)
	}
	return took, true
}

func (w *Worker) end(p requestpath.ServerParams, finished bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	delete(w.cancels, p.Attempt)
	if finished {
		w.counts.Finished++
		return
	}
	w.counts.Cancelled++
}

func (w *Worker) cancel(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.cancels[attempt]; f != nil {
		f()
	}
}

// wait reports whether the time passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
