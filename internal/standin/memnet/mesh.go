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

// Mesh is a control link between instances in memory. The zero value is ready.
type Mesh struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
	dead     map[fleet.ID]bool
	refused  map[string]int
}

// Link is the end of a Mesh at one instance: a peer.Caller and a peer.Registry.
type Link struct {
	mesh *Mesh
	self fleet.ID
}

var (
	_ peer.Caller   = Link{}
	_ peer.Registry = Link{}
)

// Link returns the end at an instance.
func (m *Mesh) Link(self fleet.ID) Link { return Link{mesh: m, self: self} }

// Kill lets the instance neither call nor answer from now on.
func (m *Mesh) Kill(id fleet.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead == nil {
		m.dead = make(map[fleet.ID]bool)
	}
	m.dead[id] = true
}

// Connect refuses a connection to a killed instance, as its host does. To another one
// it waits for the end of the context.
func (m *Mesh) Connect(ctx context.Context, to fleet.ID) error {
	m.mu.Lock()
	dead := m.dead[to]
	m.mu.Unlock()
	if dead {
		return &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	<-ctx.Done()
	return ctx.Err()
}

// Refuse lets the next n calls of a method fail at once.
func (m *Mesh) Refuse(method string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused == nil {
		m.refused = make(map[string]int)
	}
	m.refused[method] = n
}

// refuses reports whether a call is one of those that fail. The caller holds mu.
func (m *Mesh) refuses(method string) bool {
	if m.refused[method] == 0 {
		return false
	}
	m.refused[method]--
	return true
}

// Handle registers a method.
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

// Call calls a method of another instance. To and from a killed one it waits for
// the end of the context and returns peer.Unreachable.
func (l Link) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	m := l.mesh
	m.mu.Lock()
	h, dead := m.handlers[to][method], m.dead[to] || m.dead[l.self]
	refused := m.refuses(method)
	m.mu.Unlock()
	if refused {
		return peer.Unreachable.New("instance %q refused %s", to, method)
	}
	if dead || h == nil {
		<-ctx.Done()
		return peer.Unreachable.Wrap(ctx.Err())
	}
	answer, err := h(ctx, l.self, raw)
	if err != nil || result == nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Notify calls a method and drops the answer.
func (l Link) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	return l.Call(ctx, to, method, params, nil)
}
