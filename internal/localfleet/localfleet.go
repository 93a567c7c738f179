// Package localfleet starts instances of the daemon in this process, on the loopback
// interface, and issues their certificates. It is used by the demonstration and by
// end-to-end tests.
package localfleet

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/app"
	"balsamfork/internal/demo"
	"balsamfork/internal/keys"
	"balsamfork/internal/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("local fleet")

const (
	// loopbackAddr lets the system choose a free port.
	loopbackAddr = "127.0.0.1:0"
	// readyTimeout bounds the time until a started instance serves.
	readyTimeout      = 10 * time.Second
	readyPollInterval = 5 * time.Millisecond
	// certificateLifetime is the time from the issue of a certificate to its expiry.
	certificateLifetime = time.Hour
	drainTimeout        = 10 * time.Second
)

// Fleet starts instances that trust the same certificate authority.
type Fleet struct {
	dir           string
	authority     *keys.Authority
	authorityFile string
	log           io.Writer
}

// New creates a certificate authority in a temporary directory, which Close removes.
// The instances write log lines of level warn and above to log.
func New(log io.Writer) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "balsamfork-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	now := time.Now()
	authority, err := keys.NewAuthority("balsamfork demonstration", now.Add(-time.Minute), now.Add(certificateLifetime))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f := &Fleet{dir: dir, authority: authority, authorityFile: dir + "/authority.pem", log: log}
	return f, Error.Wrap(authority.Write(f.authorityFile))
}

// Close removes the directory with the certificates. Instances must be stopped
// separately.
func (f *Fleet) Close() error { return Error.Wrap(os.RemoveAll(f.dir)) }

// IssueCertificate issues a certificate for the holder and returns the paths of its
// files.
func (f *Fleet) IssueCertificate(holder keys.Identity) (keys.Files, error) {
	base := f.dir + "/" + holder.Role.String() + "-" + holder.Name
	files := keys.Files{Authorities: []string{f.authorityFile}, Certificate: base + ".pem", Key: base + ".key"}
	now := time.Now()
	err := f.authority.Issue(holder, now.Add(-time.Minute), now.Add(certificateLifetime), files.Certificate, files.Key)
	return files, Error.Wrap(err)
}

// Start starts an instance and waits until it serves. If the instance does not serve in
// time, it keeps running, and Start returns it with the error. Start has the type
// demo.StartDaemon.
func (f *Fleet) Start(ctx context.Context, i demo.Instance) (demo.Daemon, error) {
	raw, err := f.NewSettings(i)
	if err != nil {
		return nil, err
	}
	s, err := raw.Validate()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	daemon, err := app.New(s, app.Logger(s, f.log))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := daemon.Start(ctx); err != nil {
		return nil, Error.Wrap(err)
	}
	return instance{daemon}, awaitReady(ctx, daemon)
}

// NewSettings returns the settings of an instance and issues its certificate.
func (f *Fleet) NewSettings(i demo.Instance) (settings.Settings, error) {
	files, err := f.IssueCertificate(keys.Identity{Role: keys.Instance, Name: i.ID})
	if err != nil {
		return settings.Settings{}, err
	}
	s := settings.Settings{
		ID:           i.ID,
		DataCentre:   i.DataCentre,
		Region:       i.Region,
		Packets:      settings.Packets{Listener: settings.Listener{Listen: loopbackAddr}},
		Requests:     settings.Listener{Listen: loopbackAddr},
		Control:      settings.Control{Listener: settings.Listener{Listen: loopbackAddr}, TLS: tlsSettings(files)},
		Admin:        settings.Admin{Listener: settings.Listener{Listen: loopbackAddr}},
		Store:        settings.Store{URL: i.StoreURL},
		Log:          settings.Log{Level: "warn"},
		DrainTimeout: drainTimeout.String(),
	}
	for _, p := range i.Peers {
		s.Peers = append(s.Peers, settings.Peer{
			ID: p.ID, DataCentre: p.DataCentre, Region: p.Region, Control: p.Control.String(),
		})
	}
	return s, nil
}

func tlsSettings(f keys.Files) *settings.TLS {
	return &settings.TLS{Certificate: f.Certificate, Key: f.Key, Authorities: f.Authorities}
}

func awaitReady(ctx context.Context, d *app.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		ready, reason := d.Ready()
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("instance is not ready: %s", reason)
		case <-ticker.C:
		}
	}
}

// instance adapts a running daemon to demo.Daemon.
type instance struct {
	*app.Daemon
}

// Addresses implements demo.Daemon.
func (i instance) Addresses() demo.Addresses {
	a := i.Daemon.Addresses()
	return demo.Addresses{Packets: a.Packets, Requests: a.Requests, Control: a.Control}
}

// Ready implements demo.Daemon.
func (i instance) Ready() bool {
	ready, _ := i.Daemon.Ready()
	return ready
}
