// Package app assembles one instance: it provides the components to an fx container,
// connects them, and starts and stops them in order.
package app

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"balsamfork/internal/settings"
	"balsamfork/internal/telemetry"
)

// Error is the class of errors from building, starting and stopping an instance.
var Error = errs.Class("instance")

// startTimeout bounds the time for starting all components. An instance that still
// waits for a configuration has started, but is not ready. The time for stopping is
// bounded by the caller of Stop.
const startTimeout = 15 * time.Second

// Daemon is one instance: an fx application of its own.
type Daemon struct {
	fx         *fx.App
	sockets    *openSockets
	components components
}

// New builds an instance from its settings and opens its sockets, but starts nothing.
func New(s *settings.Valid, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{sockets: &openSockets{}}
	d.fx = fx.New(
		fx.Supply(s, log, d.sockets),
		fx.NopLogger,
		Module,
		fx.Populate(&d.components.Listeners, &d.components.Forwarder, &d.components.Requests, &d.components.Link, &d.components.Serving,
			&d.components.Admin),
	)
	if err := d.fx.Err(); err != nil {
		d.sockets.close()
		return nil, Error.Wrap(err)
	}
	return d, nil
}

// Start starts all components. The instance serves once Ready returns true. If Start
// fails, all sockets are closed.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fx.Start(ctx); err != nil {
		d.sockets.close()
		return Error.Wrap(err)
	}
	return nil
}

// Stop shuts the instance down gracefully: it announces the departure, waits for the
// requests in progress, hands over flow records, and closes the sockets. It returns when
// this is complete or ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	d.components.Serving.setLeaving()
	return Error.Wrap(d.fx.Stop(ctx))
}

// Kill closes the sockets at once, without announcing the departure, as a crash would.
// The admin listener stays open.
func (d *Daemon) Kill() {
	d.components.abort()
}

// Ready reports whether the instance serves, and if not, the reason.
func (d *Daemon) Ready() (bool, string) { return d.components.Serving.ready() }

// Addresses are the addresses at which an instance can be reached.
type Addresses struct {
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Control  netip.AddrPort
	Admin    netip.AddrPort
}

// Addresses returns the addresses that the instance has bound.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Packets:  d.components.Forwarder.Addr(),
		Requests: d.components.Listeners.requestsAddr(),
		Control:  d.components.Listeners.controlAddr(),
		Admin:    d.components.Admin.Addr(),
	}
}

// Logger returns a logger with the configured level and format that writes to w.
func Logger(s *settings.Valid, w io.Writer) *slog.Logger {
	log := telemetry.NewLogger(w, s.LogLevel, s.LogJSON)
	return log.With(slog.String("instance", string(s.Self.ID)))
}
