package keys_test

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"balsamfork/internal/keys"
)

var (
	alpha = keys.Identity{Role: keys.Instance, Name: "alpha"}
	beta  = keys.Identity{Role: keys.Instance, Name: "beta"}
	ann   = keys.Identity{Role: keys.Operator, Name: "ann"}
	noon  = time.Date(2026, 3, 12, 12, 0, 0, 0, time.UTC)
	day   = 24 * time.Hour
)

func clock() time.Time { return noon }

func writeDevelopmentSet(t *testing.T, from, until time.Time) map[keys.Identity]keys.Files {
	t.Helper()
	set, err := keys.WriteDevelopmentSet(t.TempDir(), []keys.Identity{alpha, beta, ann}, from, until)
	is.New(t).NoErr(err)
	return set
}

// handshake connects client to server and returns the peer that the server saw and
// the error of each end.
func handshake(server, client *keys.Reloader, name string) (seen keys.Identity, serverErr, clientErr error) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	s := tls.Server(a, server.ServerConfig())
	done := make(chan error, 1)
	go func() {
		err := s.Handshake()
		_ = a.SetDeadline(time.Now())
		done <- err
	}()
	c := tls.Client(b, client.ClientConfig(name))
	clientErr = c.Handshake()
	_ = b.Close()
	serverErr = <-done
	seen, _ = server.Peer(s.ConnectionState())
	return seen, serverErr, clientErr
}

func TestLoadRejects(t *testing.T) {
	good := writeDevelopmentSet(t, noon.Add(-day), noon.Add(day))
	other := writeDevelopmentSet(t, noon.Add(-day), noon.Add(day))
	old := writeDevelopmentSet(t, noon.Add(-2*day), noon.Add(-day))
	untrusted := good[alpha]
	untrusted.Authorities = other[alpha].Authorities
	mismatched := good[alpha]
	mismatched.Key = good[beta].Key
	missing := good[alpha]
	missing.Certificate += ".absent"
	empty := good[alpha]
	empty.Authorities = []string{good[alpha].Key}
	cases := []struct {
		name  string
		files keys.Files
		class *errs.Class
	}{
		{"expired certificate", old[alpha], &keys.Expired},
		{"certificate signed by another authority", untrusted, &keys.Untrusted},
		{"key of another certificate", mismatched, &keys.Unreadable},
		{"missing file", missing, &keys.Unreadable},
		{"authority file without a certificate", empty, &keys.Unreadable},
		{"no authority", keys.Files{}, &keys.Unreadable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := keys.LoadAt(c.files, clock)
			is.New(t).True(c.class.Has(err))
		})
	}
}

func TestHandshake(t *testing.T) {
	good := writeDevelopmentSet(t, noon.Add(-day), noon.Add(day))
	foreign := writeDevelopmentSet(t, noon.Add(-day), noon.Add(day))
	load := func(f keys.Files) *keys.Reloader {
		r, err := keys.LoadAt(f, clock)
		is.New(t).NoErr(err)
		return r
	}
	loadThenExpire := func(f keys.Files) *keys.Reloader {
		now := noon
		r, err := keys.LoadAt(f, func() time.Time { return now })
		is.New(t).NoErr(err)
		now = noon.Add(2 * day)
		return r
	}
	server := load(good[alpha])
	cases := []struct {
		name      string
		server    *keys.Reloader
		client    *keys.Reloader
		to        string
		serverErr *errs.Class
		clientErr *errs.Class
	}{
		{"instance to the intended instance", server, load(good[beta]), "alpha", nil, nil},
		{"operator to any instance", server, load(good[ann]), "", nil, nil},
		{"instance to an unintended instance", server, load(good[beta]), "gamma", nil, &keys.Untrusted},
		{"client signed by another authority", server, load(foreign[beta]), "alpha", nil, &keys.Untrusted},
		{"server with an expired certificate", server, loadThenExpire(good[beta]), "alpha", nil, &keys.Expired},
		{"client with an expired certificate", loadThenExpire(good[alpha]), load(good[beta]), "alpha", &keys.Expired, nil},
		{"operator where an instance is expected", load(good[ann]), load(good[beta]), "", nil, &keys.Untrusted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			seen, serverErr, clientErr := handshake(c.server, c.client, c.to)
			is.True(c.clientErr == nil || c.clientErr.Has(clientErr))
			is.True(c.serverErr == nil || c.serverErr.Has(serverErr))
			if c.clientErr == nil && c.serverErr == nil {
				is.NoErr(serverErr)
				is.NoErr(clientErr)
				is.Equal(seen, c.client.Identity())
			}
		})
	}
}

// TestAuthorityRotation replaces an authority in three steps, which the instances
// perform one after the other, and checks that they accept each other each time one
// of them has performed a step.
func TestAuthorityRotation(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	paths := []string{filepath.Join(dir, "1.pem"), filepath.Join(dir, "2.pem")}
	var authorities []*keys.Authority
	for _, p := range paths {
		a, err := keys.NewAuthority(p, noon.Add(-day), noon.Add(day))
		is.NoErr(err)
		is.NoErr(a.Write(p))
		authorities = append(authorities, a)
	}
	both, err := os.ReadFile(paths[0])
	is.NoErr(err)
	second, err := os.ReadFile(paths[1])
	is.NoErr(err)
	first := both
	both = append(append([]byte{}, first...), second...)
	step := func(files keys.Files, id keys.Identity, n int) {
		roots := [][]byte{first, both, both, second}[n]
		is.NoErr(os.WriteFile(files.Authorities[0], roots, 0o600))
		signer := authorities[n/2]
		is.NoErr(signer.Issue(id, noon.Add(-day), noon.Add(day), files.Certificate, files.Key))
	}
	loaded := map[keys.Identity]*keys.Reloader{}
	files := map[keys.Identity]keys.Files{}
	for _, id := range []keys.Identity{alpha, beta} {
		base := filepath.Join(dir, id.Name)
		files[id] = keys.Files{Authorities: []string{base + ".ca"}, Certificate: base + ".pem", Key: base + ".key"}
		step(files[id], id, 0)
		loaded[id], err = keys.LoadAt(files[id], clock)
		is.NoErr(err)
	}
	for n := 1; n < 4; n++ {
		for _, id := range []keys.Identity{alpha, beta} {
			step(files[id], id, n)
			is.NoErr(loaded[id].Reload())
			_, serverErr, clientErr := handshake(loaded[alpha], loaded[beta], "alpha")
			is.NoErr(serverErr)
			is.NoErr(clientErr)
		}
	}
}

func TestWatchReloads(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	dir := t.TempDir()
	files, err := keys.WriteDevelopmentSet(dir, []keys.Identity{alpha}, now.Add(-day), now.Add(day))
	is.NoErr(err)
	r, err := keys.Load(files[alpha])
	is.NoErr(err)
	before := r.Expires()
	ctx, cancel := context.WithCancel(t.Context())
	logged := make(chan struct{}, 16)
	log := slog.New(&signalHandler{Handler: slog.DiscardHandler, seen: logged})
	done := make(chan error, 1)
	go func() { done <- r.Watch(ctx, log) }()
	<-logged
	_, err = keys.WriteDevelopmentSet(dir, []keys.Identity{alpha}, now.Add(-day), now.Add(2*day))
	is.NoErr(err)
	for r.Expires().Equal(before) {
		<-logged
	}
	is.NoErr(os.WriteFile(files[alpha].Certificate, []byte("torn"), 0o600))
	<-logged
	is.Equal(r.Identity(), alpha)
	cancel()
	is.NoErr(<-done)
}

// signalHandler sends on seen for each record that is logged.
type signalHandler struct {
	slog.Handler
	seen chan struct{}
}

func (s *signalHandler) Enabled(context.Context, slog.Level) bool { return true }
func (s *signalHandler) WithAttrs([]slog.Attr) slog.Handler       { return s }
func (s *signalHandler) Handle(context.Context, slog.Record) error {
	s.seen <- struct{}{}
	return nil
}
