// Package peertest provides an in-memory control link between the instances of a
// test. Parameters and results are encoded as JSON.
package peertest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
)

// Latency is the simulated latency of a message.
const Latency = time.Millisecond

// Bus connects instances. Its zero value is ready to use and has no instances.
type Bus struct {
	mu       sync.Mutex
	handlers map[fleet.ID]map[string]peer.Handler
}

// Port is the connection of one instance to a Bus.
type Port struct {
	bus  *Bus
	self fleet.ID
}

var (
	_ peer.Caller   = Port{}
	_ peer.Registry = Port{}
)

// Port returns the connection of an instance.
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
	response, err := p.send(ctx, to, method, params)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify implements peer.Caller.
func (p Port) Notify(ctx context.Context, to fleet.ID, method string, params any) error {
	_, err := p.send(ctx, to, method, params)
	return err
}

func (p Port) send(ctx context.Context, to fleet.ID, method string, params any) (any, error) {
	p.bus.mu.Lock()
	h := p.bus.handlers[to][method]
	p.bus.mu.Unlock()
	if h == nil {
		return nil, peer.Unreachable.New("%s has no handler for %s", to, method)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	time.Sleep(Latency)
	return h(ctx, p.self, data)
}
