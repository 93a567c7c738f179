package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamfork/platform/platformtest"
)

// The ports, which are the same on all machines of a day.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	firstPort   = 7720
	storePort   = 8169
)

// heartbeat is the time between two heartbeats of a backend.
const heartbeat = 1200 * time.Millisecond

var zones = []string{"ost-plain-a", "ost-plain-b", "ost-plain-c"}

// node is one machine with a process of balsamfork-flowd.
type node struct {
	name, settings, log string
	zone                int
	addr                netip.Addr
	cmd                 *exec.Cmd
	exited              chan struct{}
	inRotation          atomic.Bool
}

// world is an installation: the platform's store and fabric, and the machines.
type world struct {
	network  byte
	release  func()
	dir      string
	started  time.Time
	record   *os.File
	noteMu   sync.Mutex
	store    *platformtest.Store
	server   *http.Server
	nodes    []*node
	backends []*backend
	done     chan struct{}
	// maxConns is the number of flows that a backend holds.
	maxConns int
	routeTo  netip.AddrPort
	second   netip.AddrPort
}

func (w *world) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(group), byte(n + 1)})
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.noteMu.Lock()
	defer w.noteMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts the store.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{record: file, started: time.Now(), store: platformtest.NewStore(), maxConns: siteMaxConns, done: make(chan struct{})}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if w.network, w.release, err = platformtest.ClaimNetwork(60); err != nil {
		return nil, err
	}
	w.routeTo = netip.AddrPortFrom(w.address(250, 0), 443)
	w.second = netip.AddrPortFrom(w.address(250, 1), 443)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(200, 0), storePort).String())
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// configure writes a configuration with one route to a service, or two.
func (w *world) configure(version int, perSecond float64, services ...string) {
	var routes, list []map[string]any
	for i, to := range []netip.AddrPort{w.routeTo, w.second}[:len(services)] {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": to.Addr().String(), "prefix": fmt.Sprintf("/%d/", to.Port()), "type": "idempotent",
			"timeout_ms": 2500, "target_latency_ms": 250, "priority": 2, "service": services[i], "max_attempts": 2,
		})
		list = append(list, map[string]any{
			"name": services[i], "health_path": "/health", "max_conns": w.maxConns, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": perSecond,
		})
	}
	w.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// siteMaxConns is the max_conns of the site's services.
const siteMaxConns = 4333

// addBackend starts a backend in a zone and registers it.
func (w *world) addBackend(service string, zone int) (*backend, error) {
	n := len(w.backends)
	b := &backend{
		w: w, number: 0x7f3a91c0 + uint64(n), service: service, zone: zones[zone], slots: 4, cap: w.maxConns,
		addr: netip.AddrPortFrom(w.address(10+zone, n), 8367),
	}
	b.id = fmt.Sprintf("i-%x", b.number)
	w.backends = append(w.backends, b)
	if err := b.start(0); err != nil {
		return nil, err
	}
	b.register()
	return b, nil
}

// startNodes starts the given number of machines in each zone, and returns when all are in
// rotation.
func (w *world) startNodes(perZone []int) error {
	var seeds []string
	for z, count := range perZone {
		for n := range count {
			i := &node{name: fmt.Sprintf("edge-%s-%d", zones[z], n+1), zone: z, addr: w.address(1+z, n)}
			i.settings, i.log = filepath.Join(w.dir, i.name+".json"), filepath.Join(w.dir, i.name+".log")
			w.nodes = append(w.nodes, i)
		}
		seeds = append(seeds, netip.AddrPortFrom(w.address(1+z, 0), controlPort).String())
	}
	for _, i := range w.nodes {
		if err := w.writeSettings(i, seeds); err != nil {
			return err
		}
		if err := w.start(i); err != nil {
			return err
		}
		go w.probe(i)
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range w.nodes {
			if i.inRotation.Load() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.note("all %d machines are in rotation", ready)
			return nil
		}
	}
	return fmt.Errorf("machines are not ready in time")
}

func (w *world) writeSettings(i *node, seeds []string) error {
	at := func(port uint16) string { return netip.AddrPortFrom(i.addr, port).String() }
	places := map[string]string{}
	for _, z := range zones {
		places[z] = "ost-plain"
	}
	data, err := json.Marshal(map[string]any{
		"node_name": i.name, "role": "flowd", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": i.addr.String(), "zone": zones[i.zone], "region": "ost-plain", "zones": places,
		"listen":              map[string]string{"datagram_addr": at(packetPort), "ready_addr": at(readyPort), "control": at(controlPort)},
		"internal_port_range": []int{firstPort, firstPort + 15}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.061, "cores": 1, "memory_mb": 206, "max_fds": 2870, "link_mbps": 700.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "announce", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "warmup_burst_factor": 1.5,
			"warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "flow_reorder_ms": 2000, "max_flow_s": 60,
		},
		"hash": "mod", "forwarding_mode": "echo",
		"platform": map[string]any{
			"address": netip.AddrPortFrom(w.address(200, 0), storePort).String(), "forwarding_mode": "kv", "writes_per_s": 400,
			"reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(i *node) error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.cmd = exec.Command("target/balsamfork-flowd")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BALSAMFORK_NODE_FILE=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	// No process outlives this one.
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(i.cmd, i.exited)
	return nil
}

// probe sends the fabric's readiness probes to a machine.
func (w *world) probe(i *node) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + netip.AddrPortFrom(i.addr, readyPort).String() + "/readyz"
	misses := 0
	for {
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ready {
			misses = 0
		} else {
			misses++
		}
		if now := ready || misses < 2 && i.inRotation.Load(); now != i.inRotation.Load() {
			i.inRotation.Store(now)
			w.note("rotation machine=%s in=%v", i.name, now)
		}
		select {
		case <-w.done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// route returns the machine that the fabric selects for a packet.
func (w *world) route(zone int, from, to netip.AddrPort) (netip.Addr, bool) {
	for z := range zones {
		var all, in []*node
		for _, i := range w.nodes {
			if i.zone != (zone+z)%len(zones) {
				continue
			}
			all = append(all, i)
			if i.inRotation.Load() {
				in = append(in, i)
			}
		}
		if len(in) == 0 {
			continue
		}
		if 2*len(in) < len(all) {
			in = all
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(from.String() + to.String()))
		return in[(h.Sum64()>>16)%uint64(len(in))].addr, true
	}
	return netip.Addr{}, false
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.done)
	for _, i := range w.nodes {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Kill()
			<-i.exited
		}
	}
	for _, b := range w.backends {
		w.note("%s", b.counts())
		b.crash()
	}
	w.store.Close()
	_ = w.server.Close()
	w.release()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}
