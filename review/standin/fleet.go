package main

import (
	"encoding/json"
	"fmt"
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
)

// The platform's probes of an instance: twice a second, out of rotation after two misses.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	maxMisses     = 2
	// grace is the time between SIGTERM and SIGKILL, restartDelay that before a process is
	// started again.
	grace        = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

// ports are the ports of all instances.
type ports struct{ packets, ready, control, internal uint16 }

// instance is one process of the system.
type instance struct {
	name, zone string
	address    netip.Addr
	settings   string
	log        string
	program    string
	ports      ports
	process    *exec.Cmd
	exited     chan error
	inRotation atomic.Bool
}

func (i *instance) start() error {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	i.process = exec.Command(i.program)
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMFORK_NODE_FILE=" + i.settings}
	i.process.Stdout, i.process.Stderr = out, out
	if err := i.process.Start(); err != nil {
		return err
	}
	i.exited = make(chan error, 1)
	go func(p *exec.Cmd, exited chan<- error) { exited <- p.Wait() }(i.process, i.exited)
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.process.Process.Signal(s) }

// end stops the process with a signal, and with SIGKILL once the grace period is over.
func (i *instance) end(s syscall.Signal) {
	i.signal(s)
	select {
	case <-i.exited:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}

// probe keeps the instance's place in the rotation up to date.
func (i *instance) probe(done <-chan struct{}) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get(fmt.Sprintf("http://%v:%d/readyz", i.address, i.ports.ready))
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			i.inRotation.Store(true)
		} else if misses++; misses >= maxMisses {
			i.inRotation.Store(false)
		}
		select {
		case <-done:
			return
		case <-time.After(probeInterval):
		}
	}
}

// fabric routes packets of callers to instances by a hash modulo the instances in rotation.
type fabric struct {
	mu        sync.Mutex
	instances []*instance
}

func (f *fabric) route(k flowKey, zone string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, ready, remote []*instance
	for _, i := range f.instances {
		in := i.inRotation.Load()
		switch {
		case i.zone == zone:
			all = append(all, i)
			if in {
				ready = append(ready, i)
			}
		case in:
			remote = append(remote, i)
		}
	}
	chosen := ready
	switch {
	case len(ready) == 0:
		chosen = remote
	case 2*len(ready) < len(all):
		chosen = all
	}
	if len(chosen) == 0 {
		return netip.AddrPort{}, false
	}
	i := chosen[k.hash()%uint64(len(chosen))]
	return netip.AddrPortFrom(i.address, i.ports.packets), true
}

// settings returns the settings file of DEPLOY.md for an instance.
func (i *instance) writeSettings(zones []string, seeds []string, store string) error {
	at := func(port uint16) string { return netip.AddrPortFrom(i.address, port).String() }
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "ost-plain"
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": i.name, "role": "flowd", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": i.address.String(), "zone": i.zone, "region": "ost-plain", "zones": regions,
		"listen":              map[string]any{"datagram_addr": at(i.ports.packets), "ready_addr": at(i.ports.ready), "control": at(i.ports.control)},
		"internal_port_range": []uint16{i.ports.internal, i.ports.internal + 15},
		"seeds":               seeds, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.061, "cores": 1, "memory_mb": 206, "max_fds": 2870, "link_mbps": 700.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "announce", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000,
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
			"warmup_burst_factor": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "flow_reorder_ms": 2000, "max_flow_s": 60,
		},
		"hash": "mod", "forwarding_mode": "echo",
		"platform": map[string]any{
			"address": store, "forwarding_mode": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(i.settings, data, 0o600)
}

// freePort returns a port that is free on an address for TCP and for UDP, as are the next
// n-1 ports.
func freePorts(a netip.Addr, n uint16, from uint16) (uint16, error) {
	for port := from; port < 60000; port += n {
		free := true
		for p := port; p < port+n && free; p++ {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(a, p).String())
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
			u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, p)))
			if err != nil {
				free = false
				continue
			}
			_ = u.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %v", a)
}

func inFolder(folder, name string) string { return filepath.Join(folder, name) }
