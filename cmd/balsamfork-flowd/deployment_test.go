package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"balsamfork/platform/platformtest"
)

// The ports of all instances; each has an address of its own.
const (
	packetPort    = 8172
	readinessPort = 8167
	firstPort     = 7720
	serverPort    = 8000
	serverSlots   = 4
)

// The places of a deployment, and what is in each.
const (
	dataCentres  = 3
	serversEach  = 4
	callersEach  = 3
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	missesToGo   = 2
	// lossShare is the part of the callers' packets that a lossy link loses.
	lossShare = 0.05
)

// instance is one process.
type instance struct {
	name, dataCentre string
	address          netip.Addr
	settings, log    string
	proxy            *platformtest.Proxy
	process          *exec.Cmd
	exited           chan error
	mu               sync.Mutex
	inRotation       atomic.Bool
}

// deployment is a platform with instances.
type deployment struct {
	t         testing.TB
	network   byte
	store     *platformtest.Store
	server    *http.Server
	instances []*instance
	mu        sync.Mutex
	servers   []*platformtest.Server
	nextID    uint64
	version   int
	// cut holds pairs of data centres, that of instances and that of servers, between
	// which packets are lost.
	cut [dataCentres][dataCentres]atomic.Bool
	// lossy says that a part of the callers' packets is lost.
	lossy atomic.Bool
	done  chan struct{}
}

func centre(n int) string { return string(rune('a' + n)) }

func (d *deployment) address(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(kind), byte(n + 1)})
}

// newDeployment starts a platform and some instances in each data centre.
// Deployments with different networks can run at the same time.
func newDeployment(t testing.TB, network byte, each int) *deployment {
	d := &deployment{t: t, network: network, store: platformtest.NewStore(), nextID: 0xa0, done: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	d.must(err)
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }()
	d.configure()
	for c := range dataCentres {
		for range serversEach {
			d.addServer("desk", c, 0)
		}
		d.addServer("sheets", c, 0)
	}
	for c := range dataCentres {
		for n := range each {
			d.instances = append(d.instances, d.newInstance(c, n, listener.Addr().String()))
		}
	}
	for _, i := range d.instances {
		d.start(i)
		go d.probe(i)
	}
	return d
}

func (d *deployment) must(err error) {
	if err != nil {
		d.t.Helper()
		d.t.Fatal(err)
	}
}

func (d *deployment) close() {
	close(d.done)
	for _, i := range d.instances {
		i.mu.Lock()
		d.end(i, syscall.SIGKILL)
		i.mu.Unlock()
		i.proxy.Close()
	}
	d.store.Close()
	_ = d.server.Close()
	for _, s := range d.live() {
		s.Stop()
	}
}

// The destinations of the two services.
var (
	deskAt   = netip.MustParseAddrPort("198.18.0.1:443")
	sheetsAt = netip.MustParseAddrPort("198.18.0.2:443")
)

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.version += 3
	d.store.Configure(d.version, platformtest.Route{To: deskAt, Service: "desk"}, platformtest.Route{To: sheetsAt, Service: "sheets"})
}

// addServer starts a backend server, which is cold for a time, and registers it.
func (d *deployment) addServer(service string, c int, warmup time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	address := netip.AddrPortFrom(d.address(10+c, int(d.nextID)), serverPort)
	s := &platformtest.Server{
		Number: d.nextID, Port: packetPort, Entry: platformtest.NewEntry(service, centre(c), address, serverSlots),
		Deaf: func(from netip.Addr) bool { return d.isCut(from, c) },
	}
	s.Entry.WarmupMS = int(warmup.Milliseconds())
	d.must(s.Start())
	d.servers = append(d.servers, s)
	d.store.Register(s)
}

// isCut reports whether packets of an instance don't reach the servers of a data centre.
func (d *deployment) isCut(from netip.Addr, c int) bool {
	own := int(from.As4()[2]) - 1
	return own >= 0 && own < dataCentres && d.cut[own][c].Load()
}

// live returns the servers that have not been dropped.
func (d *deployment) live() []*platformtest.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*platformtest.Server(nil), d.servers...)
}

// drop stops a server and removes its entry.
func (d *deployment) drop(s *platformtest.Server) {
	s.Stop()
	d.store.Deregister(s)
}

func (d *deployment) newInstance(c, n int, store string) *instance {
	proxy, err := platformtest.NewProxy(store)
	d.must(err)
	i := &instance{name: fmt.Sprintf("edge-%s-%d", centre(c), n+1), dataCentre: centre(c), address: d.address(1+c, n), proxy: proxy}
	dir := d.t.TempDir()
	i.settings, i.log = filepath.Join(dir, "node.json"), filepath.Join(dir, "log")
	settings := platformtest.Settings{
		Name: i.name, DataCentre: i.dataCentre, Address: i.address,
		Packets: packetPort, Readiness: readinessPort, Internal: firstPort,
		Seeds: []netip.Addr{d.address(1, 0), d.address(2, 1)}, Store: proxy.Address(),
		Grace: grace, DrainWithin: drainWithin, ApplyWithin: drainWithin,
	}
	encoded, err := settings.Encode()
	d.must(err)
	d.must(os.WriteFile(i.settings, encoded, 0o600))
	return i
}

// start starts the process of an instance.
func (d *deployment) start(i *instance) {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.must(err)
	i.process = exec.Command(os.Args[0])
	i.process.Env = append(os.Environ(), asInstance+"=1", platformtest.SettingsVariable+"="+i.settings)
	i.process.Stdout, i.process.Stderr = out, out
	d.must(i.process.Start())
	_ = out.Close()
	i.exited = make(chan error, 1)
	go func(process *exec.Cmd, exited chan<- error) { exited <- process.Wait() }(i.process, i.exited)
}

// errHangs says that a process did not end in its grace period.
var errHangs = errors.New("the process did not end in time")

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// end signals a process, waits for its end and returns how it ended.
func (d *deployment) end(i *instance, s syscall.Signal) error {
	_ = i.process.Process.Signal(s)
	select {
	case err := <-i.exited:
		return err
	case <-time.After(grace):
		_ = i.process.Process.Kill()
		<-i.exited
		return errHangs
	}
}

// probe keeps an instance in and out of rotation as the fabric does.
func (d *deployment) probe(i *instance) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get(fmt.Sprintf("http://%v:%d%s", i.address, readinessPort, platformtest.ReadinessPath))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			i.inRotation.Store(true)
		} else if misses++; misses >= missesToGo {
			i.inRotation.Store(false)
		}
		select {
		case <-d.done:
			return
		case <-time.After(probeEvery):
		}
	}
}

// route picks the instance for a flow of a data centre's caller, as the fabric does.
func (d *deployment) route(dataCentre string) func(netip.AddrPort) (netip.AddrPort, bool) {
	return func(flow netip.AddrPort) (netip.AddrPort, bool) {
		var home, ready, elsewhere []*instance
		for _, i := range d.instances {
			switch in := i.inRotation.Load(); {
			case i.dataCentre == dataCentre && in:
				home, ready = append(home, i), append(ready, i)
			case i.dataCentre == dataCentre:
				home = append(home, i)
			case in:
				elsewhere = append(elsewhere, i)
			}
		}
		if d.lossy.Load() && rand.Float64() < lossShare {
			return netip.AddrPort{}, false
		}
		chosen := ready
		switch {
		case len(ready) == 0 && len(elsewhere) > 0:
			chosen = elsewhere
		case 2*len(ready) < len(home):
			chosen = home
		}
		i := chosen[int(flow.Port())%len(chosen)]
		return netip.AddrPortFrom(i.address, packetPort), true
	}
}

// holder returns the server at which a flow is open, or nil.
func (d *deployment) holder(flow netip.AddrPort) *platformtest.Server {
	for _, s := range d.live() {
		if s.Holds(flow) {
			return s
		}
	}
	return nil
}
