// Package worker simulates the request processing of a backend server, for tests and
// the demonstration: a JSON-RPC server with slots, a cold state and fault injection.
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

// Fault is a fault that the worker injects into its replies.
type Fault uint8

// The faults. Requests run to completion under all of them.
const (
	None Fault = iota
	// DropReply sends no reply, Delay sends it after Options.Delay, DuplicateReply
	// sends it twice, MislabelReply gives it the ID of another attempt, TruncateReply
	// closes the connection in the middle of it, Oversize makes it exceed
	// request.MaxFrameBytes.
	DropReply
	Delay
	DuplicateReply
	MislabelReply
	TruncateReply
	Oversize
)

// Options configure a worker.
type Options struct {
	Name string
	// Slots is the number of requests that run concurrently.
	Slots int
	// Time is how long one request takes; a cold worker takes ColdFactor times as long.
	Time       time.Duration
	ColdFactor int
	// Delay is the time by which the fault Delay delays a reply.
	Delay time.Duration
	// Began and Finished, if set, are called with the params of each request that
	// starts to run and of each that has run to completion.
	Began    func(params json.RawMessage)
	Finished func(params json.RawMessage)
}

// Counts are totals since the start. Exceeded counts requests rejected because all
// slots were taken, Repeated those with the key of an earlier request, Expired those
// that arrived after their deadline.
type Counts struct {
	Started, Finished, Cancelled, Exceeded, Repeated, Expired int
}

// Worker serves requests until it is closed.
type Worker struct {
	opts       Options
	listener   net.Listener
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	fault    Fault
	cold     bool
	closed   bool
	running  int
	counts   Counts
	seenKeys map[string]bool
	cancels  map[string]context.CancelFunc
}

// Start listens on a free port of the loopback address.
func Start(o Options) (*Worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Serve(l, o), nil
}

// Serve starts a worker that serves requests on a listener.
func Serve(l net.Listener, o Options) *Worker {
	w := &Worker{opts: o, listener: l, seenKeys: make(map[string]bool), cancels: make(map[string]context.CancelFunc)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.goroutines.Go(w.accept)
	return w
}

// Addr returns the address that receives requests.
func (w *Worker) Addr() netip.AddrPort { return w.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the worker at once, as a crash does.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.stop()
	w.goroutines.Wait()
}

// SetFault sets the fault that is injected into replies sent from now on.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetCold sets whether the worker is cold, and so slower by ColdFactor.
func (w *Worker) SetCold(cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = cold
}

// Counts returns the current totals.
func (w *Worker) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Running returns the number of running requests.
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
		conn := jsonrpc2.NewConn(w.ctx, jsonrpc2.NewPlainObjectStream(c), &handler{w: w, netConn: c}, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
		w.goroutines.Go(func() { <-conn.DisconnectNotify() })
	}
}

type handler struct {
	w       *Worker
	netConn net.Conn
}

// Handle processes one message: a request, or the cancellation of one.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == requestpath.ServerCancel {
		var p requestpath.CancelServerParams
		if req.Params != nil && json.Unmarshal(*req.Params, &p) == nil {
			h.w.cancel(p.ID)
		}
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
		h.w.goroutines.Go(func() { h.respond(ctx, conn, req, p) })
	}
}

func (h *handler) respond(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, p requestpath.ServerParams) {
	code, message := h.w.run(ctx, p)
	if code != 0 {
		e := &jsonrpc2.Error{Code: code, Message: message}
		e.SetError(requestpath.ServerFault{Attempt: p.Attempt})
		_ = conn.ReplyWithError(ctx, req.ID, e)
		return
	}
	reply := requestpath.ServerResult{Attempt: p.Attempt, Value: h.w.result(p)}
	h.w.mu.Lock()
	fault := h.w.fault
	h.w.mu.Unlock()
	h.sendReply(ctx, conn, req.ID, reply, fault)
}

func (h *handler) sendReply(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, reply requestpath.ServerResult, fault Fault) {
	switch fault {
	case DropReply:
		return
	case Delay:
		sleep(ctx, h.w.opts.Delay)
	case DuplicateReply:
		_ = conn.Reply(ctx, id, reply)
	case MislabelReply:
		reply.Attempt = "other/0/0"
	case TruncateReply:
		fmt.Fprintf(h.netConn, `{"jsonrpc":"2.0","id":%q,"result":{"attempt":%q,"val`, id.Str, reply.Attempt)
		h.netConn.Close()
		return
	case Oversize:
		reply.Value, _ = json.Marshal(strings.Repeat("x", request.MaxFrameBytes))
	}
	_ = conn.Reply(ctx, id, reply)
}

// result returns the encoded Value for a request.
func (w *Worker) result(p requestpath.ServerParams) json.RawMessage {
	v, _ := json.Marshal(Value{Server: w.opts.Name, Key: p.Key, Params: p.Params})
	return v
}

// Value is the result of a request. It echoes the key and params.
type Value struct {
	Server string          `json:"server"`
	Key    string          `json:"key"`
	Params json.RawMessage `json:"params,omitempty"`
}

// run runs one request and returns an error code and message, or zero on success.
func (w *Worker) run(ctx context.Context, p requestpath.ServerParams) (int64, string) {
	deadline := time.UnixMilli(p.Deadline)
	if !time.Now().Before(deadline) {
		w.mu.Lock()
		w.counts.Expired++
		w.mu.Unlock()
		return requestpath.CodeNotRun, "deadline passed"
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	duration, ok := w.acquireSlot(p, cancel)
	if !ok {
		return requestpath.CodeNotRun, "all slots taken"
	}
	notify(w.opts.Began, p)
	finished := sleep(ctx, duration)
	if finished {
		notify(w.opts.Finished, p)
	}
	w.releaseSlot(p, finished)
	if !finished {
		return requestpath.CodeCancelled, "cancelled"
	}
	return 0, ""
}

func notify(callback func(json.RawMessage), p requestpath.ServerParams) {
	if callback != nil {
		callback(p.Params)
	}
}

// acquireSlot takes a slot and returns how long the request runs, or false if all
// slots are taken.
func (w *Worker) acquireSlot(p requestpath.ServerParams, cancel context.CancelFunc) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.opts.Slots {
		w.counts.Exceeded++
		return 0, false
	}
	if w.seenKeys[p.Key] {
		w.counts.Repeated++
	}
	w.seenKeys[p.Key] = true
	w.running++
	w.counts.Started++
	w.cancels[p.Attempt] = cancel
	duration := w.opts.Time
	if w.cold {
		duration *= time.Duration(w.opts.ColdFactor)
	}
	return duration, true
}

func (w *Worker) releaseSlot(p requestpath.ServerParams, finished bool) {
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
	if cancelRun := w.cancels[attempt]; cancelRun != nil {
		cancelRun()
	}
}

// sleep waits until d has elapsed or the context ends, and reports whether d elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
