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

// The ports of instances and backend servers, which are the same on all of them: each
// process has an IP address of its own. serverSlots is the number of slots of a backend
// server.
const (
	packetPort    = 8172
	readinessPort = 8167
	internalPort  = 7720
	serverPort    = 8000
	serverSlots   = 4
)

// The size of a deployment, and how the fabric probes instances: an instance leaves
// rotation after failuresToRemove failed probes in a row.
const (
	dataCentres          = 3
	serversPerDataCentre = 4
	callersPerDataCentre = 3
	probeInterval        = 500 * time.Millisecond
	probeTimeout         = 400 * time.Millisecond
	failuresToRemove     = 2
	// lossRate is the share of the callers' packets that a lossy link loses.
	lossRate = 0.05
)

// instance is one process of the daemon. Its mutex is held while a fault affects it.
type instance struct {
	name, dataCentre string
	address          netip.Addr
	// settings and log are the paths of the settings file and of the log file.
	settings, log string
	proxy         *platformtest.Proxy
	process       *exec.Cmd
	exited        chan error
	mu            sync.Mutex
	// fault is the kind of the last fault, and disturbedUntil the Unix time of its end, in
	// nanoseconds.
	fault          atomic.Pointer[string]
	disturbedUntil atomic.Int64
	inRotation     atomic.Bool
}

// unlock ends a fault of the instance.
func (i *instance) unlock() {
	i.disturbedUntil.Store(time.Now().UnixNano())
	i.mu.Unlock()
}

// disturbedSince reports whether a fault has affected the instance since a time.
func (i *instance) disturbedSince(at time.Time) bool {
	if !i.mu.TryLock() {
		return true
	}
	i.mu.Unlock()
	return i.disturbedUntil.Load() > at.UnixNano()
}

// deployment is a simulated platform with backend servers, and instances as processes.
type deployment struct {
	t         testing.TB
	network   byte
	store     *platformtest.Store
	server    *http.Server
	instances []*instance
	mu        sync.Mutex
	servers   []*platformtest.Server
	// ended holds the servers that were silenced or stopped.
	ended   []*platformtest.Server
	nextID  uint64
	version int
	// split says that the configuration has a route over two services, and describes the
	// requests of its routes.
	split bool
	// partitioned is indexed by the data centre of instances and that of servers; it
	// says that packets from the former to the latter are lost.
	partitioned [dataCentres][dataCentres]atomic.Bool
	// work is how long a slot of a backend server works on a request, in nanoseconds.
	work atomic.Int64
	// lossy says that a share of the callers' packets is lost.
	lossy atomic.Bool
	done  chan struct{}
}

func dataCentreName(n int) string { return string(rune('a' + n)) }

// address returns the loopback address of process n of a group. The instances, backend
// servers and callers of data centre c are the groups 1+c, 10+c and 30+c.
func (d *deployment) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(group), byte(n + 1)})
}

// newDeployment starts a platform and the given number of instances in each data
// centre, on the loopback network of the given number or the next one that is not claimed.
func newDeployment(t testing.TB, network byte, each int, split bool) *deployment {
	network, release, err := platformtest.ClaimNetwork(network)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	d := &deployment{t: t, network: network, split: split, store: platformtest.NewStore(), nextID: 0xa0, done: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	d.must(err)
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }()
	d.configure()
	for c := range dataCentres {
		for range serversPerDataCentre {
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
		d.stopProcess(i, syscall.SIGKILL)
		i.mu.Unlock()
		i.proxy.Close()
	}
	d.store.Close()
	_ = d.server.Close()
	for _, s := range d.liveServers() {
		s.Stop()
	}
}

// The addresses of the two services, that of the route that is split over them, and that of
// the desk service's route of the lowest priority.
var (
	deskAddress   = netip.MustParseAddrPort("198.18.0.1:443")
	sheetsAddress = netip.MustParseAddrPort("198.18.0.2:443")
	splitAddress  = netip.MustParseAddrPort("198.18.0.3:443")
	floodAddress  = netip.MustParseAddrPort("198.18.0.4:443")
)

// versionStep is the difference between the versions of two configurations.
const versionStep = 3

// configure writes the next version of the configuration. It adds a route of its own and
// removes that of the version before.
func (d *deployment) configure() {
	d.version += versionStep
	routes := []platformtest.Route{{To: deskAddress, Service: "desk"}, {To: sheetsAddress, Service: "sheets"}, {To: versionAddress(d.version), Service: "desk"}}
	if d.split {
		weight := 10 + 40*(d.version/versionStep%3) // 10, 50 or 90 percent
		routes = append(routes, platformtest.Route{To: splitAddress, Service: "desk", Second: "sheets", SecondWeight: weight, Priority: 2},
			platformtest.Route{To: floodAddress, Service: "desk", Priority: 3})
		routes[0].Priority, routes[1].Priority = 1, 2
	}
	d.store.Configure(d.version, routes...)
}

// versionAddress returns the address of the route that only one version of the
// configuration has.
func versionAddress(version int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(1 + version>>8), byte(version)}), 443)
}

// addServer starts a backend server, which is cold for the warm-up time, and registers
// it.
func (d *deployment) addServer(service string, c int, warmup time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	address := netip.AddrPortFrom(d.address(10+c, int(d.nextID)), serverPort)
	s := &platformtest.Server{
		Number: d.nextID, Port: packetPort, Entry: platformtest.NewEntry(service, dataCentreName(c), address, serverSlots),
		Work: &d.work, DropFrom: func(from netip.Addr) bool { return d.isPartitioned(from, c) },
	}
	s.Entry.WarmupMS = int(warmup.Milliseconds())
	d.must(s.Start())
	d.servers = append(d.servers, s)
	d.store.Register(s)
}

// isPartitioned reports whether packets from an instance's address are lost on the way
// to the servers of data centre c.
func (d *deployment) isPartitioned(from netip.Addr, c int) bool {
	source := int(from.As4()[2]) - 1
	return source >= 0 && source < dataCentres && d.partitioned[source][c].Load()
}

// liveServers returns a copy of the list of servers in the deployment.
func (d *deployment) liveServers() []*platformtest.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*platformtest.Server(nil), d.servers...)
}

// removeServer stops a server and removes its entry from the store.
func (d *deployment) removeServer(s *platformtest.Server) {
	d.recordEnd(s)
	s.Stop()
	d.store.Deregister(s)
}

// recordEnd records that a server stops responding.
func (d *deployment) recordEnd(s *platformtest.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = append(d.ended, s)
}

func (d *deployment) newInstance(c, n int, store string) *instance {
	proxy, err := platformtest.NewProxy(store)
	d.must(err)
	i := &instance{name: fmt.Sprintf("edge-%s-%d", dataCentreName(c), n+1), dataCentre: dataCentreName(c), address: d.address(1+c, n), proxy: proxy}
	dir := d.t.TempDir()
	i.settings, i.log = filepath.Join(dir, "node.json"), filepath.Join(dir, "log")
	settings := platformtest.Settings{
		Name: i.name, DataCentre: i.dataCentre, Address: i.address,
		Packets: packetPort, Readiness: readinessPort, Internal: internalPort,
		Seeds: []netip.Addr{d.address(1, 0), d.address(2, 1)}, Store: proxy.Address(),
		Grace: gracePeriod, DrainTimeout: drainTimeout, ConfigApplyTimeout: drainTimeout,
	}
	encoded, err := settings.Encode()
	d.must(err)
	d.must(os.WriteFile(i.settings, encoded, 0o600))
	return i
}

// start starts the process of an instance and appends its output to the log file.
func (d *deployment) start(i *instance) {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	d.must(err)
	i.process = exec.Command(os.Args[0])
	i.process.Env = append(os.Environ(), instanceVariable+"=1", platformtest.SettingsVariable+"="+i.settings)
	i.process.Stdout, i.process.Stderr = out, out
	d.must(i.process.Start())
	_ = out.Close()
	i.exited = make(chan error, 1)
	go func(process *exec.Cmd, exited chan<- error) { exited <- process.Wait() }(i.process, i.exited)
}

// errStopTimeout means that a process did not end within gracePeriod.
var errStopTimeout = errors.New("process did not end within the grace period")

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 6 * time.Second

// stopProcess signals a process and waits for its end. It returns the error of the
// process, or errStopTimeout if it had to be killed.
func (d *deployment) stopProcess(i *instance, s syscall.Signal) error {
	_ = i.process.Process.Signal(s)
	select {
	case err := <-i.exited:
		return err
	case <-time.After(gracePeriod):
		_ = i.process.Process.Kill()
		<-i.exited
		return errStopTimeout
	}
}

// probe polls the readiness of an instance, and adds it to the rotation or removes it,
// as the fabric does.
func (d *deployment) probe(i *instance) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	failures := 0
	for {
		response, err := client.Get(fmt.Sprintf("http://%v:%d%s", i.address, readinessPort, platformtest.ReadinessPath))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
			i.inRotation.Store(true)
		} else if failures++; failures >= failuresToRemove {
			i.inRotation.Store(false)
		}
		select {
		case <-d.done:
			return
		case <-time.After(probeInterval):
		}
	}
}

// route returns a function that chooses the instance for a flow of a caller in the
// data centre, as the fabric does.
func (d *deployment) route(dataCentre string) func(netip.AddrPort) (netip.AddrPort, bool) {
	return func(flow netip.AddrPort) (netip.AddrPort, bool) {
		var local, ready, remote []*instance
		for _, i := range d.instances {
			switch in := i.inRotation.Load(); {
			case i.dataCentre == dataCentre && in:
				local, ready = append(local, i), append(ready, i)
			case i.dataCentre == dataCentre:
				local = append(local, i)
			case in:
				remote = append(remote, i)
			}
		}
		if d.lossy.Load() && rand.Float64() < lossRate {
			return netip.AddrPort{}, false
		}
		chosen := ready
		switch {
		case len(ready) == 0 && len(remote) > 0:
			chosen = remote
		case 2*len(ready) < len(local):
			chosen = local
		}
		i := chosen[int(flow.Port())%len(chosen)]
		return netip.AddrPortFrom(i.address, packetPort), true
	}
}

// flowServer returns the server at which a flow is open, or nil.
func (d *deployment) flowServer(flow netip.AddrPort) *platformtest.Server {
	for _, s := range d.liveServers() {
		if s.HasOpenFlow(flow) {
			return s
		}
	}
	return nil
}
