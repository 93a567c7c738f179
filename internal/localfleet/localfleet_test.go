package localfleet_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/cli"
	"balsamfork/internal/config"
	"balsamfork/internal/demo"
	"balsamfork/internal/keys"
	"balsamfork/internal/localfleet"
	"balsamfork/platform/platformtest"
)

const declaration = `{"format":1,"dataCentres":[{"name":"a","region":"r"}],
 "services":[{"name":"orders","address":"203.0.113.10:443","protocol":"tcp","slots":4,
  "ramp":{"start":0.1,"duration":"30s"},
  "backendServers":[{"name":"o1","dataCentre":"a","packets":"127.0.0.1:9001","weight":1}]}]}`

// environment is a store with a configuration, and a fleet whose instances use it.
type environment struct {
	is    *is.I
	ctx   context.Context
	fleet *localfleet.Fleet
	url   string
}

func newEnvironment(t *testing.T) *environment {
	e := &environment{is: is.New(t)}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	e.ctx = ctx
	server := httptest.NewServer(platformtest.NewStore())
	t.Cleanup(server.Close)
	e.url = server.URL
	fleet, err := localfleet.New(io.Discard)
	e.is.NoErr(err)
	t.Cleanup(func() { _ = fleet.Close() })
	e.fleet = fleet
	doc, err := config.ParseDocument([]byte(declaration))
	e.is.NoErr(err)
	_, err = demo.NewPlatform(fleet.Start).Operator(e.url, 1).Apply(ctx, doc)
	e.is.NoErr(err)
	return e
}

func (e *environment) start(id string, peers ...demo.Peer) demo.Daemon {
	d, err := e.fleet.Start(e.ctx, demo.Instance{ID: id, DataCentre: "a", Region: "r", StoreURL: e.url, Peers: peers})
	e.is.NoErr(err)
	return d
}

// runTool runs the command-line tool and returns its exit code and output.
func (e *environment) runTool(args ...string) (int, string) {
	var out bytes.Buffer
	code := cli.Run(e.ctx, cli.Env{In: strings.NewReader(""), Out: &out, Err: &out}, args)
	return code, out.String()
}

func TestOperatorSeesTheFleet(t *testing.T) {
	e := newEnvironment(t)
	first := e.start("a-1")
	control := first.Addresses().Control
	second := e.start("a-2", demo.Peer{ID: "a-1", DataCentre: "a", Region: "r", Control: control})
	files, err := e.fleet.IssueCertificate(keys.Identity{Role: keys.Operator, Name: "anna"})
	e.is.NoErr(err)

	statusArgs := []string{"status", "-instance", control.String(), "-authorities", files.Authorities[0],
		"-certificate", files.Certificate, "-key", files.Key}
	code, out := e.runTool(statusArgs...)
	e.is.Equal(code, 0)
	for _, want := range []string{"a-1, version 1, ready", "a-2", "SERVICE orders", "o1"} {
		e.is.True(strings.Contains(out, want)) // the output of status contains the text
	}

	otherFleet, err := localfleet.New(io.Discard)
	e.is.NoErr(err)
	defer otherFleet.Close()
	otherFiles, err := otherFleet.IssueCertificate(keys.Identity{Role: keys.Operator, Name: "anna"})
	e.is.NoErr(err)
	code, _ = e.runTool("status", "-instance", control.String(), "-authorities", files.Authorities[0],
		"-certificate", otherFiles.Certificate, "-key", otherFiles.Key)
	e.is.True(code != 0) // a certificate of another authority is refused
	code, _ = e.runTool("status", "-instance", control.String(), "-plain-text")
	e.is.True(code != 0) // a connection without TLS is refused

	e.is.NoErr(second.Stop(e.ctx))
	e.is.NoErr(first.Stop(e.ctx))
	e.is.True(!first.Ready())
}

// TestRestore writes the configuration in force at an instance into a store that has
// lost all data.
func TestRestore(t *testing.T) {
	e := newEnvironment(t)
	d := e.start("a-1")
	defer d.Kill()
	files, err := e.fleet.IssueCertificate(keys.Identity{Role: keys.Operator, Name: "anna"})
	e.is.NoErr(err)
	restore := func(url string) (int, string) {
		return e.runTool("restore", "-store", url, "-operator", "anna", "-instance", d.Addresses().Control.String(),
			"-authorities", files.Authorities[0], "-certificate", files.Certificate, "-key", files.Key)
	}
	code, out := restore(e.url)
	e.is.Equal(code, int(cli.ExitRefused))
	e.is.True(strings.Contains(out, "the store holds version 1, in force is version 1"))
	empty := httptest.NewServer(platformtest.NewStore())
	defer empty.Close()
	code, out = restore(empty.URL)
	e.is.Equal(code, 0)
	e.is.True(strings.Contains(out, "Accepted as version 2."))
	code, out = e.runTool("audit", "-store", empty.URL)
	e.is.Equal(code, 0)
	e.is.True(strings.Contains(out, "write back version 1 as a-1 serves by it"))
	code, out = restore(empty.URL)
	e.is.Equal(code, int(cli.ExitRefused))
	e.is.True(strings.Contains(out, "the store holds version 2, in force is version 1"))
}

func TestKilledInstanceFreesItsAddresses(t *testing.T) {
	e := newEnvironment(t)
	d := e.start("a-1")
	addresses := d.Addresses()
	d.Kill()
	for _, a := range []string{addresses.Control.String(), addresses.Requests.String()} {
		l, err := net.Listen("tcp", a)
		e.is.NoErr(err)
		e.is.NoErr(l.Close())
	}
}
