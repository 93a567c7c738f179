package demo

import (
	"context"
	"net/netip"
	"time"

	"balsamfork/internal/config"
)

// Instance is what one instance of the daemon is started with.
type Instance struct {
	ID         string
	DataCentre string
	Region     string
	// StoreURL is the base of the platform's key-value service.
	StoreURL string
	// Peers are instances that run already.
	Peers []Peer
}

// Peer is a running instance that another one may ask.
type Peer struct {
	ID         string
	DataCentre string
	Region     string
	Control    netip.AddrPort
}

// Addresses are where a running instance listens.
type Addresses struct {
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Control  netip.AddrPort
}

// Daemon is a running instance.
type Daemon interface {
	Addresses() Addresses
	// Ready reports whether the instance may be handed packets and requests.
	Ready() bool
	// Stop shuts down gracefully: it announces leaving, hands over and finishes.
	Stop(ctx context.Context) error
	// Kill closes the sockets at once, without a goodbye.
	Kill()
}

// StartDaemon starts an instance that listens on free ports of 127.0.0.1.
type StartDaemon func(ctx context.Context, i Instance) (Daemon, error)

// Operator applies configurations.
type Operator interface {
	// Apply makes the document the newest configuration and returns its version
	// once it is accepted.
	Apply(ctx context.Context, doc config.Document) (config.Version, error)
}

// Platform is what a demonstration runs on.
type Platform struct {
	Start StartDaemon
	// Operator returns an operator of the configuration in a store. The seed
	// decides the key by which flows are spread.
	Operator func(storeURL string, seed uint64) Operator
	// Worker starts the request side of a backend server.
	Worker func(o WorkerOptions) (Worker, error)
	// Sender returns a sender of requests through the given instances.
	Sender func(addresses []netip.AddrPort) Sender
}

// WorkerOptions describe the request side of a backend server.
type WorkerOptions struct {
	Name  string
	Slots int
	// Time is how long one request takes.
	Time time.Duration
	// Late is how much later than that its answers are sent; Double has each of
	// them sent twice.
	Late   time.Duration
	Double bool
	// Began and Finished are told the ID of each request that begins to run and
	// of each that has run to its end.
	Began    func(id string)
	Finished func(id string)
}

// Worker is the running request side of a backend server.
type Worker interface {
	Addr() netip.AddrPort
	Close()
}

// Outcome is what a caller is told of a request.
type Outcome uint8

// The outcomes of a request. Refused says that it has not run, Unknown that it
// may have.
const (
	Answered Outcome = iota + 1
	Refused
	Unknown
)

// Request is one request of a caller.
type Request struct {
	Service string
	// ID is the only parameter; the answer repeats it.
	ID         string
	Repeatable bool
}

// Sender sends requests through instances. It is safe for concurrent use.
type Sender interface {
	// Send returns the outcome, and the ID in the answer if there is one.
	Send(ctx context.Context, r Request) (Outcome, string)
	Close() error
}
