package flowd

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"balsamfork/internal/flowpath"
	"balsamfork/platform"
)

// startTimeout and stopTimeout are the fx application's timeouts for starting and
// stopping all components. fx applies them only in App.Run, which a Daemon doesn't call:
// its Start and Stop pass the caller's context to fx. stopTimeout doesn't include the
// time for which Stop waits for the last packets.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = time.Second
)

const (
	// withdrawalDelay is how long the fabric may still send packets to an instance that
	// reports that it is not ready: the time for two failed probes at 2 probes per second,
	// and for packets in flight.
	withdrawalDelay = 1200 * time.Millisecond
	// idleTime is the time without packets after which an instance stops before the end
	// of its grace period.
	idleTime = 500 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for stopping the
	// components.
	stopReserve = 1500 * time.Millisecond
	// idleCheckInterval is the time between checks for idleTime.
	idleCheckInterval = 100 * time.Millisecond
)

// Daemon is one instance, built as an fx application.
type Daemon struct {
	fx       *fx.App
	settings platform.Settings
	log      *slog.Logger
	path     *flowpath.Path
	state    *readiness
	reload   reloader
}

// New builds an instance and opens its sockets for packets and for messages between
// instances, but starts nothing. The instance logs to log.
func New(s platform.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With("part", "daemon")}
	d.fx = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(s, log),
		Module,
		fx.Populate(&d.path, &d.state, &d.reload),
	)
	if err := d.fx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return d, nil
}

// Start opens the HTTP sockets and starts all components. The instance is ready once it
// has read the catalogue and can reach backend servers.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.fx.Start(ctx); err != nil {
		return Error.Wrap(err)
	}
	d.log.Info("Instance has started.", "data_centre", d.settings.DataCentre,
		"address", d.settings.Address.String(), "after_ms", float64(processClock.Now())/1e6)
	return nil
}

// Reload applies new settings. Only the seeds can change while an instance runs; other
// changes are ignored.
func (d *Daemon) Reload(s platform.Settings) {
	d.reload(s)
	d.log.Info("Settings were reloaded.", "seeds", len(s.Seeds))
}

// Stop shuts the instance down gracefully: it reports that it is not ready, forwards
// the packets that still arrive, and stops once none has arrived for idleTime, or
// stopReserve before the grace period ends.
func (d *Daemon) Stop(ctx context.Context) error {
	start := time.Now()
	d.state.setLeaving()
	d.log.Info("Instance is shutting down.")
	time.Sleep(withdrawalDelay)
	for time.Since(start) < d.settings.Grace-stopReserve && d.path.IdleTime() < idleTime {
		time.Sleep(idleCheckInterval)
	}
	err := d.fx.Stop(ctx)
	d.log.Info("Instance has stopped.", "after_ms", time.Since(start).Milliseconds())
	return Error.Wrap(err)
}
