// Package requestpath is the adapter of the request path: JSON-RPC 2.0 over TCP
// towards callers and backend servers, and the control link between instances.
// The decisions are in packages keyowner and admission; this package carries out
// what they say.
package requestpath

import (
	"context"
	"net"
	"net/netip"
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Options are the settings of the request path.
type Options struct {
	Self fleet.ID
	// Incarnation is when the instance started, in milliseconds of Unix time.
	Incarnation uint64
	DataCentre  string
	Region      string
	// Listen is where callers connect.
	Listen netip.AddrPort
	// Timing and Membership must be the same in all instances. Zero fields take
	// their value from Defaults.
	Timing     admission.Timing
	Membership pair.Timing
	// Dial connects to a backend server; if nil, over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialInstance connects to an instance's control address; if nil, over TCP. Only
	// its error is of interest: a refused connection proves that the process ended.
	DialInstance func(ctx context.Context, address string) (net.Conn, error)
	// Evidence, if set, is called with what answers show of backend servers, by one
	// goroutine. What it is too slow for is dropped and counted.
	Evidence func(flow.Evidence)
}

// contactTime is how long an instance that starts takes to be in contact with the
// others of its data centre, as a rule.
const contactTime = time.Second

// Defaults returns the usual timing.
func Defaults() (admission.Timing, pair.Timing) {
	t := admission.Timing{
		Settle: 2 * time.Second,
		Hold:   2 * time.Second,
		Renew:  700 * time.Millisecond,
		MaxRun: 5 * time.Second,
		Margin: 250 * time.Millisecond,
	}
	return t, pair.Timing{
		Settle:       t.Settle,
		NotesAfter:   t.Settle + request.MaxAhead + contactTime,
		SilentMemory: 10 * time.Minute,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialFor}
	return d.DialContext(ctx, "tcp", address)
}

func (o *Options) fill() {
	t, q := Defaults()
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.DialInstance == nil {
		o.DialInstance = dialTCP
	}
	or := func(d *time.Duration, usual time.Duration) {
		if *d == 0 {
			*d = usual
		}
	}
	or(&o.Timing.Settle, t.Settle)
	or(&o.Timing.Hold, t.Hold)
	or(&o.Timing.Renew, min(t.Renew, o.Timing.Hold/3))
	or(&o.Timing.MaxRun, t.MaxRun)
	or(&o.Timing.Margin, t.Margin)
	or(&o.Membership.Settle, o.Timing.Settle)
	or(&o.Membership.NotesAfter, o.Timing.Settle+request.MaxAhead+contactTime)
	or(&o.Membership.SilentMemory, q.SilentMemory)
}
