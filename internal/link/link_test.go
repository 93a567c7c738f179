package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/link"
	"balsamfork/internal/peer"
)

var (
	alpha    = keys.Identity{Role: keys.Instance, Name: "alpha"}
	beta     = keys.Identity{Role: keys.Instance, Name: "beta"}
	ann      = keys.Identity{Role: keys.Operator, Name: "ann"}
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// directory maps instances to their addresses. A test can set the address of a
// recordingProxy in place of an instance's own.
type directory struct {
	mu   sync.Mutex
	byID map[fleet.ID]netip.AddrPort
}

func (d *directory) resolve(id fleet.ID) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.byID[id]
	return a, ok
}

func (d *directory) set(id fleet.ID, a netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byID[id] = a
}

func createKeys(t testing.TB) (string, map[keys.Identity]keys.Files) {
	t.Helper()
	dir := t.TempDir()
	now := time.Now()
	set, err := keys.WriteDevelopmentSet(dir, []keys.Identity{alpha, beta, ann}, now.Add(-time.Hour), now.Add(time.Hour))
	is.New(t).NoErr(err)
	return dir, set
}

func loadKeys(t testing.TB, f keys.Files) *keys.Reloader {
	t.Helper()
	r, err := keys.Load(f)
	is.New(t).NoErr(err)
	return r
}

func echo(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	return map[string]any{"from": from, "params": params}, nil
}

// start starts the Link of an instance with the method echo for instances and the
// method status, which also echoes, for operators.
func start(t testing.TB, id fleet.ID, k *keys.Reloader, d *directory, registrations ...func(*link.Link)) *link.Link {
	t.Helper()
	is := is.New(t)
	l, err := link.New(link.Options{Self: id, Listen: loopback, Keys: k, Resolve: d.resolve},
		slog.New(slog.DiscardHandler), tally.NoopScope)
	is.NoErr(err)
	l.Handle("echo", echo)
	l.HandleOperator("status", echo)
	for _, register := range registrations {
		register(l)
	}
	is.NoErr(l.Start())
	d.set(id, l.Addr())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

type echoReply struct {
	From   fleet.ID `json:"from"`
	Params string   `json:"params"`
}

func callEcho(l *link.Link, to fleet.ID, text string) (echoReply, error) {
	var out echoReply
	err := l.Call(context.Background(), to, "echo", text, &out)
	return out, err
}

func TestHandlersReceiveSenderIdentity(t *testing.T) {
	_, set := createKeys(t)
	for name, keysOf := range map[string]func(keys.Identity) *keys.Reloader{
		"mutual TLS": func(id keys.Identity) *keys.Reloader { return loadKeys(t, set[id]) },
		"plain text": func(keys.Identity) *keys.Reloader { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
			a := start(t, "alpha", keysOf(alpha), d)
			start(t, "beta", keysOf(beta), d)
			got, err := callEcho(a, "beta", "hello")
			is.NoErr(err)
			is.Equal(got, echoReply{From: "alpha", Params: "hello"})
			is.True(a.Call(t.Context(), "beta", "absent", nil, nil) != nil)
			_, err = callEcho(a, "gamma", "hello")
			is.True(peer.Unreachable.Has(err) && peer.NotSent.Has(err))

			c, err := link.Dial(t.Context(), a.Addr(), keysOf(ann))
			is.NoErr(err)
			var seen echoReply
			is.NoErr(c.Call(t.Context(), "status", "x", &seen))
			is.Equal(seen.Params, "x")
			is.True(c.Call(t.Context(), "echo", "x", nil) != nil)
			is.NoErr(c.Close())
		})
	}
}

func TestUntrustedPeerIsRefused(t *testing.T) {
	_, set := createKeys(t)
	_, foreign := createKeys(t)
	is := is.New(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(t, "alpha", loadKeys(t, set[alpha]), d)
	cases := map[string]*keys.Reloader{"plain text": nil, "foreign key": loadKeys(t, foreign[beta])}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			b := start(t, "beta", k, d)
			_, err := callEcho(b, "alpha", "hello")
			is.True(peer.Unreachable.Has(err))
			_, err = callEcho(a, "beta", "hello")
			is.True(peer.Unreachable.Has(err))
		})
	}
	_, err := link.New(link.Options{Self: "alpha", Keys: loadKeys(t, set[beta])}, slog.New(slog.DiscardHandler), tally.NoopScope)
	is.True(link.Refused.Has(err))
}

// recordingProxy relays one connection to the given address and records the data in
// seen.
func recordingProxy(t *testing.T, to netip.AddrPort, seen *bytes.Buffer, done chan<- struct{}) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	is.New(t).NoErr(err)
	go func() {
		defer close(done)
		in, err := ln.Accept()
		_ = ln.Close()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		var mu sync.Mutex
		var pipes sync.WaitGroup
		pipe := func(dst, src net.Conn) {
			_, _ = io.Copy(dst, io.TeeReader(src, lockedWriter{&mu, seen}))
			_ = dst.Close()
		}
		pipes.Go(func() { pipe(out, in) })
		pipes.Go(func() { pipe(in, out) })
		pipes.Wait()
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

type lockedWriter struct {
	mu *sync.Mutex
	b  *bytes.Buffer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func TestTrafficIsEncrypted(t *testing.T) {
	_, set := createKeys(t)
	for name, secure := range map[string]bool{"mutual TLS": true, "plain text": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
			var ka, kb *keys.Reloader
			if secure {
				ka, kb = loadKeys(t, set[alpha]), loadKeys(t, set[beta])
			}
			a := start(t, "alpha", ka, d)
			b := start(t, "beta", kb, d)
			var seen bytes.Buffer
			done := make(chan struct{})
			d.set("beta", recordingProxy(t, b.Addr(), &seen, done))
			_, err := callEcho(a, "beta", "almonds to roast")
			is.NoErr(err)
			is.NoErr(a.Close())
			<-done
			is.True(seen.Len() > 0)
			for _, text := range []string{"almonds to roast", "echo", "jsonrpc"} {
				is.Equal(bytes.Contains(seen.Bytes(), []byte(text)), !secure)
			}
		})
	}
}

func TestKeyRotationKeepsConnections(t *testing.T) {
	is := is.New(t)
	dir, set := createKeys(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	ka, kb := loadKeys(t, set[alpha]), loadKeys(t, set[beta])
	a := start(t, "alpha", ka, d)
	held, release := make(chan struct{}), make(chan struct{})
	start(t, "beta", kb, d, func(l *link.Link) {
		l.Handle("hold", func(context.Context, fleet.ID, json.RawMessage) (any, error) {
			held <- struct{}{}
			<-release
			return "done", nil
		})
	})
	_, err := callEcho(a, "beta", "before")
	is.NoErr(err)

	answered := make(chan error, 1)
	go func() { answered <- a.Call(context.Background(), "beta", "hold", nil, nil) }()
	<-held
	now := time.Now()
	_, err = keys.WriteDevelopmentSet(dir, []keys.Identity{alpha, beta, ann}, now.Add(-time.Hour), now.Add(2*time.Hour))
	is.NoErr(err)
	is.NoErr(ka.Reload())
	release <- struct{}{}
	is.NoErr(<-answered)
	// beta still trusts only the old authority: the call uses the open connection.
	_, err = callEcho(a, "beta", "during")
	is.NoErr(err)
	is.NoErr(kb.Reload())
	_, err = callEcho(a, "beta", "after")
	is.NoErr(err)
}

func TestRestartedPeerIsRedialled(t *testing.T) {
	is := is.New(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(t, "alpha", nil, d)
	b := start(t, "beta", nil, d)
	_, err := callEcho(a, "beta", "one")
	is.NoErr(err)
	is.NoErr(b.Close())
	_, err = callEcho(a, "beta", "two")
	is.True(peer.Unreachable.Has(err))
	start(t, "beta", nil, d)
	_, err = callEcho(a, "beta", "three")
	is.NoErr(err)
}

func TestOversizedFrameClosesConnection(t *testing.T) {
	is := is.New(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(t, "alpha", nil, d)
	raw, err := net.Dial("tcp", a.Addr().String())
	is.NoErr(err)
	_, err = raw.Write(binary.AppendUvarint(nil, link.MaxFrame+1))
	is.NoErr(err)
	_, err = raw.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(raw.Close())
}
