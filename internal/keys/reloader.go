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

// reloadDelay is how long the files must stay unchanged before they are reloaded:
// replacing a certificate writes several of them.
const reloadDelay = 200 * time.Millisecond

// Reloader provides TLS settings that use the certificates of the last successful
// load. It is safe for concurrent use.
type Reloader struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[bundle]
}

// Load loads the files. The error is of one of this package's classes and names
// the file or the certificate.
func Load(files Files) (*Reloader, error) { return LoadAt(files, time.Now) }

// LoadAt is like Load, but checks validity periods against the given clock.
func LoadAt(files Files, now func() time.Time) (*Reloader, error) {
	r := &Reloader{files: files, now: now}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload loads the files again. After an error the previous certificates stay in
// use. Established connections are not affected.
func (r *Reloader) Reload() error {
	b, err := readBundle(r.files, r.now())
	if err != nil {
		return err
	}
	r.current.Store(b)
	return nil
}

// Identity returns the holder of the loaded certificate.
func (r *Reloader) Identity() Identity { return r.current.Load().identity }

// Expires returns the end of the loaded certificate's validity period.
func (r *Reloader) Expires() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

// Watch reloads the files once after it starts and then whenever they change, until
// the context is cancelled.
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
	return r.reloadOnChange(ctx, w, log)
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

func (r *Reloader) reloadOnChange(ctx context.Context, w *fsnotify.Watcher, log *slog.Logger) error {
	timer := time.NewTimer(reloadDelay)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.Events:
			timer.Reset(reloadDelay)
		case err := <-w.Errors:
			log.Warn("Failed to watch the certificate files.", "error", err)
		case <-timer.C:
			r.reloadAndLog(log)
		}
	}
}

func (r *Reloader) reloadAndLog(log *slog.Logger) {
	if err := r.Reload(); err != nil {
		log.Error("Failed to reload the certificates; keeping the current ones.", "error", err)
		return
	}
	log.Info("Reloaded the certificates.", "holder", r.Identity().Name, "expires", r.Expires())
}

// ServerConfig returns the TLS settings of a listener that accepts every holder
// whose certificate a trusted authority has signed.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
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
		// The peer is identified by the URI in its certificate, not by a host
		// name: VerifyConnection checks the chain, validity period and holder.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
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
		return Untrusted.New("peer is %s %q, not an instance", id.Role, id.Name)
	}
	if name != "" && id.Name != name {
		return Untrusted.New("peer is instance %q, not %q", id.Name, name)
	}
	return nil
}

// Peer returns the holder of the peer's certificate on a connection, verified
// against the authorities that are trusted now.
func (r *Reloader) Peer(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, Untrusted.New("the peer presented no certificate")
	}
	certs := s.PeerCertificates
	return verify(certs[0], certs[1:], r.current.Load().roots, r.now())
}
