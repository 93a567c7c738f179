// Package app puts the parts of one instance together: it provides them to an
// fx container, connects what one part learns to those that need it, and starts
// and stops them in order.
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

// Error is the class of errors of starting and stopping an instance.
var Error = errs.Class("instance")

// startTimeout bounds the start of all parts. An instance that waits for a
// configuration has started; it is not ready.
const startTimeout = 15 * time.Second

// Daemon is one instance: an fx application of its own.
type Daemon struct {
	fx    *fx.App
	parts parts
}

// New builds an instance from its settings, opens its sockets and starts nothing.
func New(s *settings.Valid, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{}
	d.fx = fx.New(
		fx.Supply(s, log),
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.DrainTimeout),
		Module,
		fx.Populate(&d.parts.Sockets, &d.parts.Forwarder, &d.parts.Requests, &d.parts.Link, &d.parts.Serving,
			&d.parts.Admin),
	)
	if err := d.fx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return d, nil
}

// Start starts all parts. The instance serves once Ready reports so.
func (d *Daemon) Start(ctx context.Context) error {
	return Error.Wrap(d.fx.Start(ctx))
}

// Stop is the graceful shutdown: it announces the departure, hands over, lets
// requests in progress end, and closes. It returns when all is done or ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	d.parts.Serving.leave()
	return Error.Wrap(d.fx.Stop(ctx))
}

// Kill closes all sockets at once, without a word to anyone.
func (d *Daemon) Kill() {
	d.parts.abort()
}

// Ready reports whether the instance serves, and if not, what it waits for.
func (d *Daemon) Ready() (bool, string) { return d.parts.Serving.ready() }

// Addresses are those an instance is reached by.
type Addresses struct {
	Packets  netip.AddrPort
	Requests netip.AddrPort
	Control  netip.AddrPort
	Admin    netip.AddrPort
}

// Addresses returns the addresses that the instance has bound.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Packets:  d.parts.Forwarder.Addr(),
		Requests: d.parts.Sockets.requestsAddr(),
		Control:  d.parts.Sockets.controlAddr(),
		Admin:    d.parts.Admin.Addr(),
	}
}

// Logger returns the logger that the settings ask for.
func Logger(s *settings.Valid, w io.Writer) *slog.Logger {
	log := telemetry.NewLogger(w, s.LogLevel, s.LogJSON)
	return log.With(slog.String("instance", string(s.Self.ID)))
}
