// Package peertest carries calls between instances of one test, encoded as on the
// control link but without sockets.
package peertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
)

// Delay is how long a message takes.
const Delay = time.Millisecond

// Bus connects instances. The zero value has none.
type Bus struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
}

// Port is one instance's end of a Bus.
type Port struct {
	bus  *Bus
	self fleet.ID
}

var (
	_ peer.Caller   = Port{}
	_ peer.Registry = Port{}
)

// Port returns the end of an instance.
func (b *Bus) Port(id fleet.ID) Port { return Port{bus: b, self: id} }

// Remove makes an instance unreachable.
func (b *Bus) Remove(id fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.handlers, id)
}

// Handle implements peer.Registry.
func (p Port) Handle(method string, h peer.Handler) {
	p.bus.mu.Lock()
	defer p.bus.mu.Unlock()
	if p.bus.handlers == nil {
		p.bus.handlers = make(map[fleet.ID]map[string]peer.Handler)
	}
	if p.bus.handlers[p.self] == nil {
		p.bus.handlers[p.self] = make(map[string]peer.Handler)
	}
	p.bus.handlers[p.self][method] = h
}

// Call implements peer.Caller.
func (p Port) Call(ctx context.Context, to fleet.ID, method string, params, result any) error {
	answer, err := p.ask(ctx, to, method, params)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify implements peer.Caller.
func (p Port) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	_, err := p.ask(ctx, to, method, params)
	return err
}

func (p Port) ask(ctx context.Context, to fleet.ID, method string, params any) (any, error) {
	p.bus.mu.Lock()
	h := p.bus.handlers[to][method]
	p.bus.mu.Unlock()
	if h == nil {
		return nil, peer.Unreachable.New("%s does not answer %s", to, method)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	time.Sleep(Delay)
	return h(ctx, p.self, data)
}
