// Command standin runs a case of the review: it starts instances of balsamfork-flowd as
// processes on loopback addresses, between stand-ins of the platform's store, fabric,
// callers and backend servers that follow the users' pages, and judges the rules by what
// callers and servers see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"balsamfork/platform/platformtest"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// options are the command line of a case.
type options struct {
	scenario, program, record string
	trouble                   bool
	seed                      uint64
	logs                      string
}

func main() {
	var o options
	flag.StringVar(&o.scenario, "scenario", "", "name of the case")
	flag.StringVar(&o.program, "program", "target/balsamfork-flowd", "program of the deploy file")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, run and answered")
	flag.BoolVar(&o.trouble, "trouble", true, "whether the disruption happens")
	flag.Uint64Var(&o.seed, "seed", uint64(os.Getpid()), "seed of the names of the servers")
	flag.StringVar(&o.logs, "logs", "", "folder that keeps the instances' logs; a temporary one if empty")
	flag.Parse()
	os.Exit(run(o))
}

func run(o options) int {
	scenario, found := scenarios[o.scenario]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown scenario:", o.scenario)
		return exitNotRun
	}
	d, err := newDeployment(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		if d != nil {
			d.close()
		}
		return exitNotRun
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
	if !d.waitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the case could not run: instances don't get ready")
		return exitNotRun
	}
	d.judge.note("all instances are in rotation")
	scenario.run(d)
	d.stopTraffic()
	d.judge.check()
	broken := d.judge.finish()
	fmt.Printf("%s: requests sent %d, run %d, answered %d; rule broken %d times; excused %d\n",
		o.scenario, d.judge.sent, d.judge.runs, d.judge.answered, broken, d.judge.excused)
	if d.judge.answered == 0 {
		return exitNotRun
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// The deployment has the zones, machines and backend servers of
// kernhaven-orders: 13 instances and 18 servers in 3 zones.
var (
	zones          = []string{"ost-plain-a", "ost-plain-b", "ost-plain-c"}
	instancesIn    = []int{7, 2, 4}
	deskIn         = []int{5, 5, 4}
	catalogueIn    = []int{2, 1, 1}
	callersIn      = []int{35, 28, 36}
	usersOfCaller  = 3
	feedRoute      = netip.MustParseAddrPort("198.18.0.1:8443")
	orderRoute     = netip.MustParseAddrPort("198.18.0.1:8080")
	sheetRoute     = netip.MustParseAddrPort("198.18.0.2:8443")
	idleRoutes     = 8
	feedWork       = 55 * time.Millisecond
	sheetWork      = 5 * time.Millisecond
	feedDeadline   = 2500 * time.Millisecond
	orderDeadline  = 3 * time.Second
	ordersASecond  = 83.1
	sheetsASecond  = 24.9
	firstUserPort  = uint16(40000)
	portsForOrders = uint16(85)
	storePort      = uint16(8169)
	firstOrderPort = uint16(1024)
)

// deployment is the platform, the instances, the callers and the backend servers.
type deployment struct {
	options
	network   byte
	random    *rand.Rand
	folder    string
	judge     *judge
	store     *platformtest.Store
	listener  net.Listener
	fabric    *fabric
	instances []*instance
	servers   []*server
	callers   []*caller
	nextID    uint64
	ports     ports
	server    uint16
	done      chan struct{}
	traffic   chan struct{}
	users     sync.WaitGroup
	stopOnce  sync.Once
	closeOnce sync.Once
}

// address returns the loopback address of process n of a group.
func (d *deployment) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(group), byte(n + 1)})
}

func newDeployment(o options) (*deployment, error) {
	d := &deployment{
		options: o, random: rand.New(rand.NewPCG(o.seed, uint64(time.Now().UnixNano()))), store: platformtest.NewStore(),
		fabric: &fabric{}, nextID: 0x7f3a9100 + o.seed%251*256, done: make(chan struct{}), traffic: make(chan struct{}),
	}
	var err error
	if d.judge, err = newJudge(o.record, scenarios[o.scenario].rule); err != nil {
		return nil, err
	}
	if d.folder = o.logs; d.folder == "" {
		if d.folder, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	}
	if err := d.chooseNetwork(); err != nil {
		return d, err
	}
	if err := d.choosePorts(); err != nil {
		return d, err
	}
	go func() { _ = (&http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}).Serve(d.listener) }()
	d.configure(7)
	if err := d.startServers(); err != nil {
		return d, err
	}
	if err := d.startCallers(); err != nil {
		return d, err
	}
	go d.checkOften()
	return d, d.startInstances()
}

// chooseNetwork chooses a loopback network that no other run of a case uses, and opens the
// store's socket there.
func (d *deployment) chooseNetwork() (err error) {
	for range 50 {
		d.network = byte(16 + d.random.IntN(200))
		if d.listener, err = net.Listen("tcp4", netip.AddrPortFrom(d.address(200, 0), storePort).String()); err == nil {
			return nil
		}
	}
	return err
}

// choosePorts chooses ports that are free; all instances use the same.
func (d *deployment) choosePorts() error {
	a := d.address(1, 0)
	first, err := freePorts(a, 20, 7700)
	if err != nil {
		return err
	}
	d.ports = ports{internal: first, control: first + 16, ready: first + 17, packets: first + 18}
	d.server = first + 19
	return nil
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int) {
	route := func(name string, to netip.AddrPort, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": to.Addr().String(), "prefix": fmt.Sprintf("/%d/", to.Port()), "type": kind, "timeout_ms": timeout,
			"target_latency_ms": timeout / 10, "priority": 2, "service": service, "max_attempts": 2,
		}
	}
	routes := []map[string]any{
		route("r-feed", feedRoute, "idempotent", "order-desk", 2500),
		route("r-order", orderRoute, "non_idempotent", "order-desk", 3000),
		route("r-sheet", sheetRoute, "download", "roast-catalogue", 5000),
	}
	for n := range idleRoutes {
		to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n)}), 8443)
		routes = append(routes, route(fmt.Sprintf("r-idle-%d", n), to, "idempotent", "order-desk", 2500))
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "health_path": "/health", "max_conns": 4333, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": 0.0,
		}
	}
	d.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{service("order-desk"), service("roast-catalogue")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
}

func (d *deployment) startServers() error {
	for z := range zones {
		for range deskIn[z] {
			if _, err := d.addServer("order-desk", z, feedWork, 0); err != nil {
				return err
			}
		}
		for range catalogueIn[z] {
			if _, err := d.addServer("roast-catalogue", z, sheetWork, 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// addServer starts a backend server and registers it.
func (d *deployment) addServer(service string, z int, work, warmup time.Duration) (*server, error) {
	d.nextID += 1 + d.random.Uint64N(1<<20)
	s := &server{
		name: fmt.Sprintf("i-%08x", d.nextID), number: d.nextID, service: service, zone: zones[z], work: work, judge: d.judge,
		address: netip.AddrPortFrom(d.address(10+z, len(d.servers)), d.server), callerPort: d.ports.packets,
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	d.servers = append(d.servers, s)
	d.store.Put(s.key(), s.entry("ready", 1, warmup))
	return s, nil
}

func (d *deployment) startCallers() error {
	for z, zone := range zones {
		for n := range callersIn[z] {
			c := &caller{local: netip.AddrPortFrom(d.address(30+z, n), d.ports.packets), fabric: d.fabric, zone: zone, judge: d.judge,
				orderPorts: newPortRing(firstOrderPort, portsForOrders)}
			if err := c.start(); err != nil {
				return err
			}
			d.callers = append(d.callers, c)
		}
	}
	return nil
}

func (d *deployment) startInstances() error {
	seeds := []string{}
	for z := range zones {
		seeds = append(seeds, netip.AddrPortFrom(d.address(1+z, 0), d.ports.control).String())
	}
	for z, zone := range zones {
		for n := range instancesIn[z] {
			name := fmt.Sprintf("edge-%s-%d", zone, n+1)
			i := &instance{
				name: name, zone: zone, address: d.address(1+z, n), ports: d.ports, program: d.program,
				settings: inFolder(d.folder, name+".json"), log: inFolder(d.folder, name+".log"),
			}
			if err := i.writeSettings(zones, seeds, d.listener.Addr().String()); err != nil {
				return err
			}
			if err := i.start(); err != nil {
				return err
			}
			d.instances = append(d.instances, i)
			go i.probe(d.done)
		}
	}
	d.fabric.instances = d.instances
	return nil
}

// waitReady waits until all instances are in rotation.
func (d *deployment) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range d.instances {
			if i.inRotation.Load() {
				ready++
			}
		}
		if ready == len(d.instances) {
			return true
		}
	}
	return false
}

func (d *deployment) checkOften() {
	for {
		select {
		case <-d.done:
			return
		case <-time.After(200 * time.Millisecond):
			d.judge.check()
		}
	}
}

// stopTraffic ends the callers' work.
func (d *deployment) stopTraffic() {
	d.stopOnce.Do(func() { close(d.traffic) })
	ended := make(chan struct{})
	go func() { d.users.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(4 * time.Second):
	}
}

// stopped reports whether the traffic is to end.
func (d *deployment) trafficEnded() bool {
	select {
	case <-d.traffic:
		return true
	default:
		return false
	}
}

// close ends all processes.
func (d *deployment) close() {
	d.closeOnce.Do(d.end)
}

func (d *deployment) end() {
	close(d.done)
	for _, i := range d.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	if d.listener != nil {
		_ = d.listener.Close()
	}
	d.store.Close()
	if d.logs == "" {
		_ = os.RemoveAll(d.folder)
	}
}
