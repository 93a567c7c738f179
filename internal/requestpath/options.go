// Package requestpath does the I/O of the request path: JSON-RPC 2.0 over TCP with
// callers and backend servers, and the control link between instances. Packages
// keyowner and admission make the decisions; this package executes the effects that
// they return.
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
	// Listen is the address that callers connect to.
	Listen netip.AddrPort
	// Timing and Membership must be the same in all instances. Fields that are zero
	// default to the values of DefaultTimings, except that the default of
	// Timing.RenewInterval is at most a third of GrantDuration, and those of
	// Membership.Settle and RecordsAfter follow from Timing.Settle.
	Timing     admission.Timing
	Membership pair.Timing
	// Dial connects to a backend server. If nil, it dials over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialInstance connects to an instance's control address. If nil, it dials over
	// TCP. Only its error is used: a refused connection proves that the process has
	// terminated.
	DialInstance func(ctx context.Context, address string) (net.Conn, error)
	// Evidence, if set, is called from one goroutine with the evidence about backend
	// servers that their answers provide. Evidence that arrives faster than it is
	// consumed is dropped and counted.
	Evidence func(flow.Evidence)
}

// startupContactTime is the time within which a starting instance is usually in
// contact with the others of its data centre.
const startupContactTime = time.Second

// DefaultTimings returns the default values of Options.Timing and Options.Membership.
func DefaultTimings() (admission.Timing, pair.Timing) {
	t := admission.Timing{
		Settle:        2 * time.Second,
		GrantDuration: 2 * time.Second,
		RenewInterval: 700 * time.Millisecond,
		MaxRun:        5 * time.Second,
		Margin:        250 * time.Millisecond,
	}
	return t, pair.Timing{
		Settle:               t.Settle,
		RecordsAfter:         t.Settle + request.MaxClockAhead + startupContactTime,
		UnreachableRetention: 10 * time.Minute,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

func (o *Options) setDefaults() {
	timing, membership := DefaultTimings()
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.DialInstance == nil {
		o.DialInstance = dialTCP
	}
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setDefault(&o.Timing.Settle, timing.Settle)
	setDefault(&o.Timing.GrantDuration, timing.GrantDuration)
	setDefault(&o.Timing.RenewInterval, min(timing.RenewInterval, o.Timing.GrantDuration/3))
	setDefault(&o.Timing.MaxRun, timing.MaxRun)
	setDefault(&o.Timing.Margin, timing.Margin)
	setDefault(&o.Membership.Settle, o.Timing.Settle)
	setDefault(&o.Membership.RecordsAfter, o.Timing.Settle+request.MaxClockAhead+startupContactTime)
	setDefault(&o.Membership.UnreachableRetention, membership.UnreachableRetention)
}
