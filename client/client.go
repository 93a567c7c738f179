// Package client sends requests through balsamfork. It resends a request with the
// same key through another instance until there is a result or the deadline has
// passed. If it cannot be known whether the request ran, the error says so.
package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"balsamfork/internal/request"
	"balsamfork/internal/retry"
)

// Classes of errors of Do. Refused: the request has not run and will not run; a new
// call uses a new key. Unknown: it may have run, or may still run. Fault: it ran, and
// the backend server answered with an error. Invalid: it violates the rules of the
// interface and was not forwarded to a backend server.
var (
	Refused = errs.Class("refused")
	Unknown = errs.Class("unknown")
	Fault   = errs.Class("fault")
	Invalid = errs.Class("invalid")
)

// Timeouts and retry delays of the client.
const (
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	dialTimeout    = 500 * time.Millisecond
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond
)

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Params holds the parameters, which are encoded as JSON.
	Params any
	// Repeatable means that the request is idempotent: it may run more than once.
	Repeatable bool
}

// Client sends requests through one or more instances. It is safe for concurrent
// use.
type Client struct {
	addresses []string
	// Dial connects to an instance. It must not be changed after the first call of Do.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	closed   bool
	budget   retry.Budget
	retries  int64
	current  int // index into addresses, modulo their number
	sessions map[string]*session
}

// session is a connection to one instance, with its data centre and clock offset.
type session struct {
	conn *jsonrpc2.Conn
	// home is the data centre of the instance.
	home string
	// offset is the instance's clock minus the local clock.
	offset time.Duration
}

// New returns a client of the instances at the given addresses, each host:port.
func New(addresses ...string) *Client {
	return &Client{addresses: slices.Clone(addresses), Dial: dialTCP, budget: retry.NewFullBudget(), sessions: make(map[string]*session)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// errClosed is the error of a request to a client that is closed.
var errClosed = errors.New("the client is closed")

// Close closes all connections. Requests in progress return an error of class Unknown,
// later ones an error of class Refused; none is sent any more.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for a, s := range c.sessions {
		s.conn.Close()
		delete(c.sessions, a)
	}
	return nil
}

// Do sends a request and decodes its answer into value, which may be nil. The error
// is of class Refused, Unknown, Fault or Invalid. A request that was refused because
// its key was not decided, no backend server was available or the instance was stopping
// is retried with a new key, as long as the context is not done and the retry budget, a
// tenth of all requests, is not used up.
func (c *Client) Do(ctx context.Context, r Request, value any) error {
	params, err := json.Marshal(r.Params)
	if err != nil {
		return Invalid.Wrap(err)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	m := request.Request{Service: r.Service, Method: r.Method, Params: params, Repeatable: r.Repeatable}
	c.countRequest()
	for delays := newBackOff(); ; {
		m.Key = request.Key{ID: rand.Text()}
		res, err := c.sendUntilFinal(ctx, &m)
		if err != nil {
			return err
		}
		if !retryable(res) || !c.takeRetry() || !sleep(ctx, delays.NextBackOff()) {
			return decodeResult(res, value)
		}
	}
}

// retryable reports whether a refused request may succeed with a new key.
func retryable(r request.Result) bool {
	if r.Status != request.Refused {
		return false
	}
	return r.Reason == request.KeyUndecided || r.Reason == request.NoServer || r.Reason == request.Stopping
}

// countRequest records a first attempt, which adds a fraction of a retry to the budget.
func (c *Client) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.RecordFirstAttempt()
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (c *Client) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.budget.Take() {
		return false
	}
	c.retries++
	return true
}

// Retries returns the number of retries with a new key after a refusal.
func (c *Client) Retries() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries
}

func newBackOff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minRetryDelay, maxRetryDelay
	return delays
}

// withDefaultTimeout adds DefaultTimeout to a context without a deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// decodeResult decodes the value of a result, or returns its error.
func decodeResult(res request.Result, value any) error {
	switch {
	case res.Status == request.Refused:
		return Refused.New("%s %s", res.Reason, res.Detail)
	case res.Status == request.Unknown:
		return Unknown.New("%s %s", res.Reason, res.Detail)
	case res.Fault != nil:
		return Fault.New("%d: %s", res.Fault.Code, res.Fault.Message)
	case value == nil:
		return nil
	}
	if err := json.Unmarshal(res.Value, value); err != nil {
		return Fault.Wrap(err)
	}
	return nil
}

// sendUntilFinal sends copies of a request, one at a time, failing over between the
// instances, until the result is final or the context is done.
func (c *Client) sendUntilFinal(ctx context.Context, m *request.Request) (request.Result, error) {
	delays := newBackOff()
	sent := false
	for {
		res, delivered, err := c.sendOnce(ctx, m)
		if sent && m.Repeatable && res.Status == request.Refused {
			// The refusal applies only to the last copy; an earlier one may have run.
			res.Status = request.Unknown
		}
		sent = sent || delivered
		if Invalid.Has(err) || err == nil && !resendable(res) {
			return res, err
		}
		if errors.Is(err, errClosed) {
			return timeoutResult(sent, res, err)
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return timeoutResult(sent, res, err)
		}
	}
}

// timeoutResult returns the result of a request that is given up, since its context is
// done or the client is closed. sent means that a copy may have reached an instance.
func timeoutResult(sent bool, res request.Result, err error) (request.Result, error) {
	if err == nil {
		return res, nil
	}
	if sent {
		return res, Unknown.Wrap(err)
	}
	return res, Refused.Wrap(err)
}

// resendable reports whether another copy with the same key may get a final result:
// another instance may accept it, or the owner of the key may have changed.
func resendable(r request.Result) bool {
	if r.Status != request.Unknown {
		return false
	}
	return r.Reason == request.Stopping || r.Reason == request.Unreachable || r.Reason == request.NoService
}

// sleep waits for d and returns false if the context ends first.
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

// sendOnce sends one copy and reports whether it may have reached an instance.
func (c *Client) sendOnce(ctx context.Context, m *request.Request) (request.Result, bool, error) {
	var res request.Result
	address, s, err := c.session(ctx)
	if err != nil {
		return res, false, err
	}
	if m.Key.Created == 0 {
		m.Key.Created = time.Now().Add(s.offset).UnixMilli()
		m.Key.Home = s.home
	}
	deadline, _ := ctx.Deadline()
	m.TimeoutMs = min(time.Until(deadline), request.MaxTimeout).Milliseconds()
	if m.TimeoutMs <= 0 {
		return res, false, context.DeadlineExceeded
	}
	err = s.conn.Call(ctx, "request.do", m, &res)
	var rpc *jsonrpc2.Error
	switch {
	case errors.As(err, &rpc):
		return res, false, Invalid.Wrap(err)
	case ctx.Err() != nil && err != nil:
		_ = s.conn.Notify(context.WithoutCancel(ctx), "request.cancel", map[string]string{"id": m.Key.ID})
		return res, true, err
	case err != nil:
		c.failOver(address, s)
		return res, true, err
	}
	if err := res.Validate(); err != nil {
		c.failOver(address, s)
		return request.Result{}, true, err
	}
	if resendable(res) {
		c.failOver(address, nil)
	}
	return res, true, nil
}

// session returns the session with the current instance, or with the next reachable
// one, and the address of that instance.
func (c *Client) session(ctx context.Context) (string, *session, error) {
	err := error(net.ErrClosed)
	for range c.addresses {
		if c.isClosed() {
			return "", nil, errClosed
		}
		address := c.currentAddress()
		var s *session
		if s, err = c.connect(ctx, address); err == nil {
			return address, s, nil
		}
		c.failOver(address, nil)
	}
	return "", nil, err
}

func (c *Client) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.current%len(c.addresses)]
}

// failOver selects the next instance if address is the current one. It closes failed,
// which may be nil.
func (c *Client) failOver(address string, failed *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.current%len(c.addresses)] == address {
		c.current++
	}
	if failed != nil && c.sessions[address] == failed {
		delete(c.sessions, address)
		failed.conn.Close()
	}
}

// connect returns the session with an instance and dials if there is none.
func (c *Client) connect(ctx context.Context, address string) (*session, error) {
	c.mu.Lock()
	s := c.sessions[address]
	c.mu.Unlock()
	if s != nil {
		return s, nil
	}
	nc, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s = &session{conn: jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(nc), ignoreRequests{}, discardLogs)}
	if err := s.queryHome(ctx); err != nil {
		s.conn.Close()
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		s.conn.Close()
		return nil, errClosed
	}
	if other := c.sessions[address]; other != nil {
		s.conn.Close()
		return other, nil
	}
	c.sessions[address] = s
	return s, nil
}

// queryHome queries the instance for its data centre and its clock.
func (s *session) queryHome(ctx context.Context) error {
	var r struct {
		Home string `json:"home"`
		Now  int64  `json:"now"`
	}
	sent := time.Now()
	if err := s.conn.Call(ctx, "request.home", nil, &r); err != nil {
		return err
	}
	s.home = r.Home
	s.offset = time.UnixMilli(r.Now).Sub(sent)
	return nil
}

// discardLogs disables the logs of the JSON-RPC library: every error is returned to
// the caller.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// ignoreRequests handles the requests that instances send to the client.
type ignoreRequests struct{}

// Handle ignores the request.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
