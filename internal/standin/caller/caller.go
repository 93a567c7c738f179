// Package caller simulates callers: many flows over a few sockets. A flow opens,
// sends packets at intervals, expects every reply from the same backend server and,
// if it is short-lived, closes. Broken flows are counted here, as a caller sees them.
package caller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/fabric"
)

// Error is the class of errors of this package.
var Error = errs.Class("caller stand-in")

const (
	tickInterval = 10 * time.Millisecond
	// firstRetransmitDelay is the delay before the first retransmission; it doubles up
	// to maxRetransmitDelay.
	firstRetransmitDelay = 250 * time.Millisecond
	maxRetransmitDelay   = time.Second
	// maxAttempts is how many times a packet is sent before its flow fails.
	maxAttempts     = 10
	readBufferBytes = 4 << 20
	maxPacketBytes  = 9216
	firstPort       = 1024
	numPorts        = 64000
)

// Service is one destination of flows.
type Service struct {
	Name     string
	Address  netip.AddrPort
	Protocol config.Protocol
	// Flows is the number of flows kept open.
	Flows int
}

// Config describes the traffic that Start generates.
type Config struct {
	Seed     uint64
	Sockets  int
	Services []Service
	// FirstAddress is the inner source address of the first socket; each further
	// socket uses the next address.
	FirstAddress netip.Addr
	// OpenTime is the period over which the flows are started.
	OpenTime time.Duration
	// MeanInterval is the mean interval between a reply and the flow's next packet.
	MeanInterval time.Duration
	// ShortShare is the fraction of flows that close after about ShortLife and are
	// replaced by new ones; the others stay open.
	ShortShare float64
	ShortLife  time.Duration
	// ExpectedBreak reports whether a flow that the given backend server opened at the
	// given time is expected to break. If nil, no flow is.
	ExpectedBreak func(server string, opened time.Time) bool
}

// Callers generates traffic until it is closed.
type Callers struct {
	config     Config
	endpoints  []*endpoint
	goroutines sync.WaitGroup
	stop       context.CancelFunc
}

// Start opens the sockets and starts the traffic.
func Start(c Config, f *fabric.Fabric) (*Callers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := &Callers{config: c, stop: cancel}
	address := c.FirstAddress
	for i := range c.Sockets {
		ep, err := newEndpoint(c, i, address, f)
		if err != nil {
			callers.Close()
			return nil, err
		}
		callers.endpoints = append(callers.endpoints, ep)
		address = address.Next()
	}
	for _, ep := range callers.endpoints {
		callers.goroutines.Go(ep.receive)
		callers.goroutines.Go(func() { ep.run(ctx) })
	}
	return callers, nil
}

// Close stops the traffic without closing the flows.
func (c *Callers) Close() {
	c.stop()
	for _, ep := range c.endpoints {
		_ = ep.conn.Close()
	}
	c.goroutines.Wait()
}

// Wait blocks until done returns true for the counts by service. It returns the
// context's error if that ends first.
func (c *Callers) Wait(ctx context.Context, done func(map[string]Counts) bool) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !done(c.Counts()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
