package memnet

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"syscall"

	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
)

// Mesh is an in-memory control link between instances. The zero value is ready to
// use.
type Mesh struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
	killed   map[fleet.ID]bool
	failures map[string]int
}

// Link is one instance's endpoint of a Mesh: a peer.Caller and a peer.Registry.
type Link struct {
	mesh *Mesh
	self fleet.ID
}

var (
	_ peer.Caller   = Link{}
	_ peer.Registry = Link{}
)

// Link returns the endpoint of an instance.
func (m *Mesh) Link(self fleet.ID) Link { return Link{mesh: m, self: self} }

// Kill makes all further calls from and to the instance time out.
func (m *Mesh) Kill(id fleet.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killed == nil {
		m.killed = make(map[fleet.ID]bool)
	}
	m.killed[id] = true
}

// Connect returns ECONNREFUSED for a killed instance, as the host of a stopped
// process does. For any other instance it waits for the end of the context and
// returns its error.
func (m *Mesh) Connect(ctx context.Context, to fleet.ID) error {
	m.mu.Lock()
	killed := m.killed[to]
	m.mu.Unlock()
	if killed {
		return &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	<-ctx.Done()
	return ctx.Err()
}

// FailNext makes the next n calls of a method fail at once with peer.Unreachable.
func (m *Mesh) FailNext(method string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures == nil {
		m.failures = make(map[string]int)
	}
	m.failures[method] = n
}

// takeFailure reports whether a call must fail, and uses up one of the failures set
// by FailNext. The caller holds mu.
func (m *Mesh) takeFailure(method string) bool {
	if m.failures[method] == 0 {
		return false
	}
	m.failures[method]--
	return true
}

// Handle registers the handler of a method at this instance.
func (l Link) Handle(method string, h peer.Handler) {
	m := l.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers == nil {
		m.handlers = make(map[fleet.ID]map[string]peer.Handler)
	}
	if m.handlers[l.self] == nil {
		m.handlers[l.self] = make(map[string]peer.Handler)
	}
	m.handlers[l.self][method] = h
}

// Call calls a method of another instance. If either instance is killed, or the
// method has no handler, it waits for the end of the context and returns
// peer.Unreachable.
func (l Link) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	m := l.mesh
	m.mu.Lock()
	h, killed := m.handlers[to][method], m.killed[to] || m.killed[l.self]
	fail := m.takeFailure(method)
	m.mu.Unlock()
	if fail {
		return peer.Unreachable.New("instance %q: injected failure of %s", to, method)
	}
	if killed || h == nil {
		<-ctx.Done()
		return peer.Unreachable.Wrap(ctx.Err())
	}
	reply, err := h(ctx, l.self, data)
	if err != nil || result == nil {
		return err
	}
	if data, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify calls a method and discards the result.
func (l Link) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	return l.Call(ctx, to, method, params, nil)
}
