// Package caller stands in for the callers: many flows over a few sockets, that
// open, send now and then, expect each answer from the same backend server, and
// close. What breaks is counted here, where it hurts.
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
	// firstRetransmit is the wait before the first retransmission. It doubles up
	// to maxRetransmit.
	firstRetransmit = 250 * time.Millisecond
	maxRetransmit   = time.Second
	// maxAttempts is how often a packet is sent before the flow counts as broken.
	maxAttempts = 10
	socketSize  = 4 << 20
	maxPacket   = 9216
	firstPort   = 1024
	portRange   = 64000
)

// Service is one address that flows go to.
type Service struct {
	Name     string
	Address  netip.AddrPort
	Protocol config.Protocol
	// Flows is how many flows are kept open.
	Flows int
}

// Config describes the traffic.
type Config struct {
	Seed     uint64
	Sockets  int
	Services []Service
	// FirstAddress is the inner address of the first socket's callers; each
	// further socket takes the next one.
	FirstAddress netip.Addr
	// OpenTime is how long it takes to begin all flows.
	OpenTime time.Duration
	// Pause is the mean time between two packets of a flow.
	Pause time.Duration
	// ShortShare is the share of flows that close after about ShortLife and are
	// begun anew; the others stay open.
	ShortShare float64
	ShortLife  time.Duration
	// Excused reports whether a flow that was opened at that time may break at a
	// backend server. Nil excuses none.
	Excused func(server string, opened time.Time) bool
}

// Callers is the running traffic.
type Callers struct {
	config Config
	lines  []*line
	done   sync.WaitGroup
	stop   context.CancelFunc
}

// Start opens the sockets and begins the traffic.
func Start(c Config, f *fabric.Fabric) (*Callers, error) {
	ctx, cancel := context.WithCancel(context.Background())
	callers := &Callers{config: c, stop: cancel}
	address := c.FirstAddress
	for i := range c.Sockets {
		l, err := newLine(c, i, address, f)
		if err != nil {
			callers.Close()
			return nil, err
		}
		callers.lines = append(callers.lines, l)
		address = address.Next()
	}
	for _, l := range callers.lines {
		callers.done.Go(l.receive)
		callers.done.Go(func() { l.run(ctx) })
	}
	return callers, nil
}

// Close ends the traffic at once.
func (c *Callers) Close() {
	c.stop()
	for _, l := range c.lines {
		_ = l.conn.Close()
	}
	c.done.Wait()
}

// Wait returns when the counts satisfy enough, or with the context's error.
func (c *Callers) Wait(ctx context.Context, enough func(map[string]Counts) bool) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !enough(c.Counts()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
