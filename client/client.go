// Package client sends requests through balsamfork. It resends a request under the
// same key, through another instance, until there is a result or the deadline has
// passed; whether it ran is never guessed.
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

// The classes of errors of Do. Refused: the request has not run and will not; a
// new call makes a new key. Unknown: it may have run, or may still. Fault: it ran,
// and the backend server answered with an error. Invalid: it breaks a rule of the
// interface and was not sent on.
var (
	Refused = errs.Class("refused")
	Unknown = errs.Class("unknown")
	Fault   = errs.Class("fault")
	Invalid = errs.Class("invalid")
)

// Settings of the client.
const (
	// DefaultTimeout is the time of a request whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	dialTimeout    = 500 * time.Millisecond
	firstDelay     = 20 * time.Millisecond
	lastDelay      = 500 * time.Millisecond
)

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Params is encoded as JSON.
	Params any
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
}

// Client sends requests through several instances. It is safe for concurrent use.
type Client struct {
	addresses []string
	// Dial connects to an instance. It must not be changed after the first Do.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	budget  retry.Budget
	retries int64
	next    int
	conns   map[string]*session
}

// session is a connection to one instance with what it told of itself.
type session struct {
	conn *jsonrpc2.Conn
	home string
	// offset is the instance's clock less ours.
	offset time.Duration
}

// New returns a client of the instances at the addresses, each host:port.
func New(addresses ...string) *Client {
	return &Client{addresses: slices.Clone(addresses), Dial: dialTCP, budget: retry.Full(), conns: make(map[string]*session)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Close closes all connections. Requests in progress end with Unknown.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, s := range c.conns {
		s.conn.Close()
		delete(c.conns, a)
	}
	return nil
}

// Do sends a request and decodes its answer into value, which may be nil. The
// error is of one of the classes above. A request that was refused because of the
// loss or the change of an instance is made anew under another key, while the
// context lasts and such retries stay below a tenth of all requests.
func (c *Client) Do(ctx context.Context, r Request, value any) error {
	params, err := json.Marshal(r.Params)
	if err != nil {
		return Invalid.Wrap(err)
	}
	ctx, cancel := withDefault(ctx)
	defer cancel()
	m := request.Request{Service: r.Service, Method: r.Method, Params: params, Repeatable: r.Repeatable}
	c.first()
	for delays := newDelays(); ; {
		m.Key = request.Key{ID: rand.Text()}
		res, err := c.resend(ctx, &m)
		if err != nil {
			return err
		}
		if !anew(res) || !c.retry() || !pause(ctx, delays.NextBackOff()) {
			return result(res, value)
		}
	}
}

// anew reports whether a request under another key may fare better.
func anew(r request.Result) bool {
	if r.Status != request.Refused {
		return false
	}
	return r.Reason == request.Undecided || r.Reason == request.NoServer || r.Reason == request.Stopping
}

func (c *Client) first() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.First()
}

// retry takes one retry from the budget, if there is one.
func (c *Client) retry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.budget.Take() {
		return false
	}
	c.retries++
	return true
}

// Retries returns how many requests were made anew after they were refused.
func (c *Client) Retries() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries
}

func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstDelay, lastDelay
	return delays
}

func withDefault(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

func result(res request.Result, value any) error {
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

// resend sends a request through one instance after the other until the result is
// final.
func (c *Client) resend(ctx context.Context, m *request.Request) (request.Result, error) {
	delays := newDelays()
	sent := false
	for {
		res, out, err := c.once(ctx, m)
		if sent && m.Repeatable && res.Status == request.Refused {
			// The refusal is about the last copy alone.
			res.Status = request.Unknown
		}
		sent = sent || out
		if Invalid.Has(err) || err == nil && !again(res) {
			return res, err
		}
		if !pause(ctx, delays.NextBackOff()) {
			return ended(sent, res, err)
		}
	}
}

// ended is the result once the time is up.
func ended(sent bool, res request.Result, err error) (request.Result, error) {
	if err == nil {
		return res, nil
	}
	if sent {
		return res, Unknown.Wrap(err)
	}
	return res, Refused.Wrap(err)
}

// again reports whether a copy may learn more: another instance may take it, or
// the key's owner may have changed.
func again(r request.Result) bool {
	if r.Status != request.Unknown {
		return false
	}
	return r.Reason == request.Stopping || r.Reason == request.Unreachable || r.Reason == request.NoService
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// once sends one copy and reports whether it may have arrived.
func (c *Client) once(ctx context.Context, m *request.Request) (request.Result, bool, error) {
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
		c.forget(address, s)
		return res, true, err
	}
	if err := res.Validate(); err != nil {
		c.forget(address, s)
		return request.Result{}, true, err
	}
	if again(res) {
		c.forget(address, nil)
	}
	return res, true, nil
}

// session returns a connection to the current instance, or to the next one that
// can be reached.
func (c *Client) session(ctx context.Context) (string, *session, error) {
	err := error(net.ErrClosed)
	for range c.addresses {
		address := c.current()
		var s *session
		if s, err = c.connect(ctx, address); err == nil {
			return address, s, nil
		}
		c.forget(address, nil)
	}
	return "", nil, err
}

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.next%len(c.addresses)]
}

// forget goes on to the next instance, and drops the session if it has failed.
func (c *Client) forget(address string, failed *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addresses[c.next%len(c.addresses)] == address {
		c.next++
	}
	if failed != nil && c.conns[address] == failed {
		delete(c.conns, address)
		failed.conn.Close()
	}
}

func (c *Client) connect(ctx context.Context, address string) (*session, error) {
	c.mu.Lock()
	s := c.conns[address]
	c.mu.Unlock()
	if s != nil {
		return s, nil
	}
	nc, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s = &session{conn: jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(nc), nobody{}, quiet)}
	if err := s.greet(ctx); err != nil {
		s.conn.Close()
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		s.conn.Close()
		return other, nil
	}
	c.conns[address] = s
	return s, nil
}

// greet asks the instance for its data centre and its clock.
func (s *session) greet(ctx context.Context) error {
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

// quiet drops what the library logs: the caller gets every error as a result.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

type nobody struct{}

// Handle drops what an instance sends on its own.
func (nobody) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
