package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/client"
	"balsamfork/internal/config"
	"balsamfork/internal/demo"
	"balsamfork/internal/localfleet"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/caller"
	"balsamfork/internal/standin/fabric"
	"balsamfork/internal/standin/worker"
	"balsamfork/platform/platformtest"
)

// daemonVariable is the environment variable that makes the test binary run as the
// daemon.
const daemonVariable = "BALSAMFORKD_TEST_AS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(run(os.Args[1:], os.Stderr))
	}
	os.Exit(m.Run())
}

// servingLine is the log line that an instance writes when it starts to serve.
type servingLine struct {
	Msg      string         `json:"msg"`
	Packets  netip.AddrPort `json:"packets"`
	Requests netip.AddrPort `json:"requests"`
	Control  netip.AddrPort `json:"control"`
}

// process is an instance that runs in a separate process.
type process struct {
	id   string
	cmd  *exec.Cmd
	line servingLine
}

// environment is what the instances depend on: the store, the fabric, and the
// authority that issues their certificates.
type environment struct {
	t      *testing.T
	is     *is.I
	ctx    context.Context
	fleet  *localfleet.Fleet
	fabric *fabric.Fabric
	url    string
}

func newEnvironment(t *testing.T) *environment {
	e := &environment{t: t, is: is.New(t), fabric: fabric.New(1)}
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
	return e
}

// start starts an instance and waits until it serves.
func (e *environment) start(id string, peers ...demo.Peer) *process {
	s, err := e.fleet.NewSettings(demo.Instance{ID: id, DataCentre: "a", Region: "r", StoreURL: e.url, Peers: peers})
	e.is.NoErr(err)
	s.Log.Level, s.Log.Format = "info", "json"
	text, err := json.Marshal(s)
	e.is.NoErr(err)
	path := filepath.Join(e.t.TempDir(), "settings.json")
	e.is.NoErr(os.WriteFile(path, text, 0o600))

	p := &process{id: id, cmd: exec.CommandContext(e.ctx, os.Args[0], "-settings", path)}
	p.cmd.Env = append(os.Environ(), daemonVariable+"=1")
	log, err := p.cmd.StderrPipe()
	e.is.NoErr(err)
	e.is.NoErr(p.cmd.Start())
	lines := bufio.NewScanner(log)
	for p.line.Msg != "Instance serves" {
		e.is.True(lines.Scan()) // the instance ended before it served
		p.line = servingLine{}
		_ = json.Unmarshal(lines.Bytes(), &p.line)
	}
	go func() { _, _ = io.Copy(os.Stderr, log) }()
	e.fabric.Add(fabric.Instance{ID: id, PacketAddr: p.line.Packets, RequestAddr: p.line.Requests})
	return p
}

func (p *process) peer() demo.Peer {
	return demo.Peer{ID: p.id, DataCentre: "a", Region: "r", Control: p.line.Control}
}

// stop removes an instance from the fabric, sends it a signal, waits for its end and
// returns the exit code.
func (e *environment) stop(p *process, s syscall.Signal) int {
	e.fabric.Remove(p.id)
	e.is.NoErr(p.cmd.Process.Signal(s))
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// addService starts one backend server and applies a configuration with a service that
// uses it.
func (e *environment) addService(service netip.AddrPort) {
	flows, err := backend.Start(backend.Config{Name: "o1", Service: service, Protocol: config.TCP, CallerSocket: e.fabric.SocketOf})
	e.is.NoErr(err)
	e.t.Cleanup(flows.Close)
	requests, err := worker.Start(worker.Options{Name: "o1", Slots: 4, Time: time.Millisecond})
	e.is.NoErr(err)
	e.t.Cleanup(requests.Close)
	spec := config.ServiceDocument{ServiceSpec: config.ServiceSpec{
		Name: "orders", Address: service, Protocol: config.TCP, Slots: 4,
		Ramp: config.RampSpec{Start: 1, Duration: config.Duration(time.Second)},
	}}
	spec.BackendServers = []config.ServerSpec{{
		Name: "o1", DataCentre: "a", Packets: flows.PacketAddr(), Requests: requests.Addr(),
		Health: flows.HealthURL(), Weight: 1, State: config.Active,
	}}
	doc := config.Document{
		Format:      config.DocumentFormat,
		DataCentres: []config.DataCentreSpec{{Name: "a", Region: "r"}},
		Services:    []config.ServiceDocument{spec},
	}
	_, err = demo.NewPlatform(nil).Operator(e.url, 1).Apply(e.ctx, doc)
	e.is.NoErr(err)
}

// sendRequest sends requests with new keys until one is answered.
func (e *environment) sendRequest(addresses ...string) {
	c := client.New(addresses...)
	defer c.Close()
	for {
		err := c.Do(e.ctx, client.Request{Service: "orders", Method: "order", Params: "almonds"}, nil)
		if err == nil {
			return
		}
		e.is.True(e.ctx.Err() == nil) // no request was answered in time
	}
}

// TestProcesses serves flows and requests through instances in separate processes,
// while one of them shuts down gracefully, one is killed and one joins.
func TestProcesses(t *testing.T) {
	e := newEnvironment(t)
	service := netip.MustParseAddrPort("203.0.113.10:443")
	e.addService(service)
	first := e.start("a-1")
	second := e.start("a-2", first.peer())
	third := e.start("a-3", first.peer(), second.peer())

	callers, err := caller.Start(caller.Config{
		Seed: 1, Sockets: 2, FirstAddress: netip.MustParseAddr("198.51.100.1"),
		Services: []caller.Service{{Name: "orders", Address: service, Protocol: config.TCP, Flows: 200}},
		OpenTime: 100 * time.Millisecond, MeanInterval: 100 * time.Millisecond,
	}, e.fabric)
	e.is.NoErr(err)
	defer callers.Close()
	wait := func(enough func(caller.Counts) bool) {
		e.is.NoErr(callers.Wait(e.ctx, func(all map[string]caller.Counts) bool { return enough(all["orders"]) }))
	}
	wait(func(c caller.Counts) bool { return c.Live() == 200 })
	e.sendRequest(first.line.Requests.String(), second.line.Requests.String())

	e.is.Equal(e.stop(second, syscall.SIGTERM), exitOK)
	e.stop(third, syscall.SIGKILL)
	fourth := e.start("a-4", first.peer())
	answered := callers.Counts()["orders"][caller.Replies]
	wait(func(c caller.Counts) bool { return c[caller.Replies] > answered+2000 })
	e.sendRequest(fourth.line.Requests.String())

	c := callers.Counts()["orders"]
	e.is.Equal(c.Broken(), uint64(0))
	e.is.Equal(c.Live(), uint64(200))
	e.is.Equal(e.stop(first, syscall.SIGTERM), exitOK)
	e.is.Equal(e.stop(fourth, syscall.SIGTERM), exitOK)
}
