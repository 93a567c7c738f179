package demo

import (
	"context"
	"net/netip"
	"time"

	"balsamfork/internal/config"
)

// Instance is the configuration that one instance of the daemon is started with.
type Instance struct {
	ID         string
	DataCentre string
	Region     string
	// StoreURL is the base URL of the platform's key-value service.
	StoreURL string
	// Peers are the instances that are already running.
	Peers []Peer
}

// Peer is a running instance that a new instance can contact.
type Peer struct {
	ID         string
	DataCentre string
	Region     string
	Control    netip.AddrPort
}

// Addresses are the listen addresses of a running instance.
type Addresses struct {
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Control  netip.AddrPort
}

// Daemon is a running instance.
type Daemon interface {
	Addresses() Addresses
	// Ready reports whether the instance accepts packets and requests.
	Ready() bool
	// Stop shuts down gracefully: it announces that the instance leaves, hands its
	// records over and lets requests in progress end.
	Stop(ctx context.Context) error
	// Kill closes the sockets at once, without announcing that the instance leaves.
	Kill()
}

// StartDaemon starts an instance that listens on free ports of 127.0.0.1.
type StartDaemon func(ctx context.Context, i Instance) (Daemon, error)

// Operator applies configurations.
type Operator interface {
	// Apply stores the document as the newest configuration and returns its version
	// once it is accepted.
	Apply(ctx context.Context, doc config.Document) (config.Version, error)
}

// Platform provides the components that a demonstration runs on.
type Platform struct {
	Start StartDaemon
	// Operator returns an operator that applies configurations to the store at
	// storeURL. The seed determines the hash key that distributes flows.
	Operator func(storeURL string, seed uint64) Operator
	// Worker starts the request processing of a backend server.
	Worker func(o WorkerOptions) (Worker, error)
	// Sender returns a sender that sends requests through the given instances.
	Sender func(addresses []netip.AddrPort) Sender
}

// WorkerOptions configure the request processing of a backend server.
type WorkerOptions struct {
	Name  string
	Slots int
	// Time is how long one request takes.
	Time time.Duration
	// ReplyDelay is an additional delay before the reply is sent; DuplicateReply sends
	// each reply twice.
	ReplyDelay     time.Duration
	DuplicateReply bool
	// Began and Finished are called with the ID of each request that starts to run
	// and of each that has run to completion.
	Began    func(id string)
	Finished func(id string)
}

// Worker is the running request processing of a backend server.
type Worker interface {
	Addr() netip.AddrPort
	Close()
}

// Outcome is the result of a request as its caller sees it.
type Outcome uint8

// The outcomes of a request. Refused means that it has not run, Unknown that it may
// have run.
const (
	Answered Outcome = iota + 1
	Refused
	Unknown
)

// Request is one request of a caller.
type Request struct {
	Service string
	// ID is the only parameter; the answer echoes it.
	ID         string
	Repeatable bool
}

// Sender sends requests through instances. It is safe for concurrent use.
type Sender interface {
	// Send returns the outcome and the ID in the answer, or the text of the error if
	// there is no answer.
	Send(ctx context.Context, r Request) (Outcome, string)
	Close() error
}
