package flowd

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"balsamfork/internal/flowpath"
	"balsamfork/platform"
)

// startTimeout and stopTimeout bound starting and stopping all parts, the
// connection draining before the stop not included.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = time.Second
)

const (
	// fabricNotices is how long the fabric may still send packets to an instance
	// that reports not to be ready: two probes at two a second, and packets under way.
	fabricNotices = 1200 * time.Millisecond
	// quietFor is how long no packet must have come for an instance to end early.
	quietFor = 500 * time.Millisecond
	// stopReserve is what is kept of the grace period for stopping.
	stopReserve = 1500 * time.Millisecond
	// quietCheck is how often a leaving instance looks whether it is quiet.
	quietCheck = 100 * time.Millisecond
)

// Daemon is one instance: an fx application of its own.
type Daemon struct {
	fx       *fx.App
	settings platform.Settings
	log      *slog.Logger
	path     *flowpath.Path
	state    *readiness
	reload   reloader
}

// New builds an instance and opens its sockets, and starts nothing. Lines of the
// log go to log.
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

// Start starts all parts. The instance is ready once it knows the catalogue.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.fx.Start(ctx); err != nil {
		return Error.Wrap(err)
	}
	d.log.Info("Instance has started.", "data_centre", d.settings.DataCentre,
		"address", d.settings.Address.String(), "after_ms", float64(steady.Now())/1e6)
	return nil
}

// Reload takes new settings. Only the seeds may change while an instance runs.
func (d *Daemon) Reload(s platform.Settings) {
	d.reload(s)
	d.log.Info("Settings are reloaded.", "seeds", len(s.Seeds))
}

// Stop is the graceful shutdown: the instance reports not to be ready, forwards
// what still comes, and ends once nothing does.
func (d *Daemon) Stop(ctx context.Context) error {
	began := time.Now()
	d.state.leave()
	d.log.Info("Instance leaves.")
	time.Sleep(fabricNotices)
	for time.Since(began) < d.settings.Grace-stopReserve && d.path.Quiet() < quietFor {
		time.Sleep(quietCheck)
	}
	err := d.fx.Stop(ctx)
	d.log.Info("Instance has stopped.", "after_ms", time.Since(began).Milliseconds())
	return Error.Wrap(err)
}
