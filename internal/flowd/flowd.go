package flowd

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"balsamfork/internal/flowpath"
	"balsamfork/platform"
)

// startTimeout and stopTimeout bound the time for starting and stopping all components.
// stopTimeout doesn't include the time for which Stop waits for the last packets.
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
	sockets  *openSockets
	settings platform.Settings
	log      *slog.Logger
	path     *flowpath.Path
	state    *readiness
	reload   reloader
}

// New builds an instance and opens its sockets for packets and for messages between
// instances, but starts nothing. The instance logs to log.
func New(s platform.Settings, log *slog.Logger) (*Daemon, error) {
	return newDaemon(s, log, fx.Options())
}

func newDaemon(s platform.Settings, log *slog.Logger, extra fx.Option) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With("part", "daemon"), sockets: &openSockets{}}
	d.fx = fx.New(
		fx.NopLogger,
		fx.Supply(s, log, d.sockets),
		Module,
		extra,
		fx.Populate(&d.path, &d.state, &d.reload),
	)
	if err := d.fx.Err(); err != nil {
		d.closeSockets()
		return nil, Error.Wrap(err)
	}
	return d, nil
}

// Start opens the HTTP sockets and starts all components. The instance is ready once it
// has read the catalogue and can reach backend servers. If Start fails, all sockets are
// closed.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fx.Start(ctx); err != nil {
		d.closeSockets()
		return Error.Wrap(err)
	}
	d.log.Info("Instance has started.", "data_centre", d.settings.DataCentre,
		"address", d.settings.Address.String(), "after_ms", float64(processClock.Now())/1e6)
	return nil
}

// closeSockets closes the sockets of an instance that could not be built or started. A
// failed start closes some of them itself.
func (d *Daemon) closeSockets() {
	if err := d.sockets.close(); err != nil {
		d.log.Debug("Failed to close the sockets.", "error", err)
	}
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
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := d.fx.Stop(ctx)
	if err != nil {
		d.closeSockets()
	}
	d.log.Info("Instance has stopped.", "after_ms", time.Since(start).Milliseconds())
	return Error.Wrap(err)
}
