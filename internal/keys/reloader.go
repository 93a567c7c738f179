package keys

import (
	"context"
	"crypto/tls"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fsnotify/fsnotify"
)

// settle is how long the files must be quiet before they are read again: a
// replacement touches several of them.
const settle = 200 * time.Millisecond

// Reloader serves TLS with the newest certificates that could be read. It may be
// used from several goroutines.
type Reloader struct {
	files Files
	now   func() time.Time
	held  atomic.Pointer[set]
}

// Load reads the files. The error is of one of this package's classes and names
// the file or the certificate.
func Load(files Files) (*Reloader, error) { return LoadAt(files, time.Now) }

// LoadAt is Load with the clock that validity is judged by.
func LoadAt(files Files, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: files, now: now}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again. After an error the certificates read before
// stay in use. Connections that stand are not touched.
func (r *Reloader) Reload() error {
	s, err := read(r.files, r.now())
	if err != nil {
		return err
	}
	r.held.Store(s)
	return nil
}

// Identity returns the holder of the own certificate.
func (r *Reloader) Identity() Identity { return r.held.Load().id }

// Expires returns the end of the own certificate's validity.
func (r *Reloader) Expires() time.Time { return r.held.Load().own.Leaf.NotAfter }

// Watch reads the files again whenever they change, until the context ends.
func (r *Reloader) Watch(ctx context.Context, log *slog.Logger) error {
	log = log.With("part", "keys")
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return Unreadable.Wrap(err)
	}
	defer func() { _ = w.Close() }()
	for dir := range r.directories() {
		if err := w.Add(dir); err != nil {
			return Unreadable.New("watch %s: %v", dir, err)
		}
	}
	return r.follow(ctx, w, log)
}

func (r *Reloader) directories() map[string]bool {
	dirs := map[string]bool{
		filepath.Dir(r.files.Certificate): true,
		filepath.Dir(r.files.Key):         true,
	}
	for _, a := range r.files.Authorities {
		dirs[filepath.Dir(a)] = true
	}
	return dirs
}

func (r *Reloader) follow(ctx context.Context, w *fsnotify.Watcher, log *slog.Logger) error {
	quiet := time.NewTimer(settle)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.Events:
			quiet.Reset(settle)
		case err := <-w.Errors:
			log.Warn("Watching the files failed.", "error", err)
		case <-quiet.C:
			r.reloadLogged(log)
		}
	}
}

func (r *Reloader) reloadLogged(log *slog.Logger) {
	if err := r.Reload(); err != nil {
		log.Error("Certificates kept: the new ones cannot be used.", "error", err)
		return
	}
	log.Info("Certificates read.", "holder", r.Identity().Name, "expires", r.Expires())
}

// ServerConfig returns the TLS settings of a listener that accepts every holder
// whom the trusted authorities vouch for.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.held.Load().own, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := r.Peer(s)
			return err
		},
	}
}

// ClientConfig returns the TLS settings of a connection to an instance. An empty
// name accepts any instance.
func (r *Reloader) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The peer is known by the URI in its certificate, not by a host name:
		// VerifyConnection checks chain, dates and holder.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.held.Load().own, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return r.verifyInstance(s, name)
		},
	}
}

func (r *Reloader) verifyInstance(s tls.ConnectionState, name string) error {
	id, err := r.Peer(s)
	if err != nil {
		return err
	}
	if id.Role != Instance {
		return Foreign.New("%s %q answers in place of an instance", id.Role, id.Name)
	}
	if name != "" && id.Name != name {
		return Foreign.New("instance %q answers in place of %q", id.Name, name)
	}
	return nil
}

// Peer returns the holder at the other end of a connection, if the authorities
// that are trusted now vouch for it.
func (r *Reloader) Peer(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, Foreign.New("the peer showed no certificate")
	}
	certs := s.PeerCertificates
	return verify(certs[0], certs[1:], r.held.Load().roots, r.now())
}
