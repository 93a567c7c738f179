package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"balsamfork/platform/platformtest"
)

// The ports of all instances, as DEPLOY.md lets the platform choose them.
const (
	packetPort   = 8172
	readyPort    = 8167
	controlPort  = 8166
	internalPort = 7720
	storePort    = 8169
)

// callerDelay is the time of a packet on the way between a consumer and the platform, one way.
const callerDelay = time.Millisecond

// delayLine sends packets in order, each callerDelay after it was handed over.
type delayLine struct{ queue chan delayed }

type delayed struct {
	at   time.Time
	data []byte
	to   netip.AddrPort
}

func newDelayLine(conn *net.UDPConn) *delayLine {
	l := &delayLine{queue: make(chan delayed, 1<<16)}
	go func() {
		for d := range l.queue {
			time.Sleep(time.Until(d.at))
			if _, err := conn.WriteToUDPAddrPort(d.data, d.to); errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	return l
}

func (l *delayLine) send(data []byte, to netip.AddrPort) {
	select {
	case l.queue <- delayed{at: time.Now().Add(callerDelay), data: data, to: to}:
	default: // the link is full
	}
}

// world is a small deployment on the loopback interface, with what was seen in it.
type world struct {
	network      byte
	zones        []string
	store        *platformtest.Store
	storeServer  *http.Server
	instances    []*instance
	backends     []*backend
	responseSize int
	maxConns     int
	warmupRate   float64 // warmup_per_s
	// loss is the share of datagrams between callers and backends that is lost.
	loss     float64
	dir      string
	record   *os.File
	recordMu sync.Mutex
	// starting is held while a process is started; closed says that no more are.
	starting sync.Mutex
	closed   bool
	began    time.Time

	mu       sync.Mutex
	flows    map[netip.AddrPort]*seenFlow
	runs     map[string]int
	outcomes map[string]int
	openings map[uint64]int
	doubled  int
	// stalledAt is when the stand-ins were last held up by the machine.
	stalledAt time.Time
	// aftermath is how much longer than the stability window a delay may show.
	aftermath time.Duration
}

// seenFlow is what the backends and the consumer have seen of a flow.
type seenFlow struct {
	backend  *backend
	sent     time.Time
	openedAt time.Time
	offered  []uint64 // backends that took an opening packet of the flow
	arrivals []arrival
	closed   bool
	judged   bool
}

type arrival struct {
	at  time.Time
	to  uint64
	own bool
}

func newWorld(network byte, zones []string, recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "balsamfork-review-")
	if err != nil {
		return nil, err
	}
	return &world{
		network: network, zones: zones, dir: dir, record: record, began: time.Now(), responseSize: responseSize, maxConns: 4333, warmupRate: 4,
		store: platformtest.NewStore(),
		flows: map[netip.AddrPort]*seenFlow{}, runs: map[string]int{}, outcomes: map[string]int{}, openings: map[uint64]int{},
	}, nil
}

func (w *world) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(third), byte(fourth)})
}

func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) startStore() error {
	w.store.SetDelay(4 * time.Millisecond)
	l, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(1, 1), storePort).String())
	if err != nil {
		return err
	}
	w.storeServer = &http.Server{Handler: w.store}
	go func() { _ = w.storeServer.Serve(l) }()
	return nil
}

// stallLimit is the delay of the stand-ins from which they count as disturbed, and
// stabilityWindow the stability_window_ms of the settings.
const (
	stallLimit      = 60 * time.Millisecond
	stabilityWindow = 4 * time.Second
)

// watchStalls records when the machine has held up the stand-ins: backends then answered late.
func (w *world) watchStalls(stop <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		if late := time.Since(last) - interval; late > stallLimit {
			w.logf("the stand-ins were held up for %d ms", late.Milliseconds())
			w.mu.Lock()
			w.stalledAt = time.Now()
			w.mu.Unlock()
		}
	}
}

// calm reports whether the stand-ins have run without delay for the stability window.
func (w *world) calm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.stalledAt) > stabilityWindow+w.aftermath
}

func (w *world) loses() bool { return w.loss > 0 && rand.Float64() < w.loss }

func (w *world) flow(key netip.AddrPort) *seenFlow {
	f := w.flows[key]
	if f == nil {
		f = &seenFlow{}
		w.flows[key] = f
	}
	return f
}

// opening is a flow whose opening packet a backend took: when the consumer first sent it, and
// when it arrived.
type opening struct{ sent, arrived time.Time }

// recordSent records when the consumer sent the first opening packet of a flow.
func (w *world) recordSent(key netip.AddrPort, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flow(key).sent = at
}

// recordOpening records that a backend took the opening packet of a flow, and returns when it
// was sent first.
func (w *world) recordOpening(key netip.AddrPort, b *backend) (sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	f.offered = append(f.offered, b.number)
	w.openings[b.number]++
	if len(f.offered) == 2 && f.offered[0] != f.offered[1] {
		w.doubled++
		w.logf("flow %v was offered to two backends: %x", key, f.offered)
	}
	return f.sent
}

// opened records that a backend has the end of the handshake of a flow.
func (w *world) opened(key netip.AddrPort, b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	f.backend, f.openedAt = b, time.Now()
}

// arrived records a packet of a flow, other than an opening one, at a backend.
func (w *world) arrived(key netip.AddrPort, number uint64, own bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	if f.backend == nil || f.closed {
		return
	}
	now := time.Now()
	f.arrivals = append(f.arrivals, arrival{at: now, to: number, own: own})
	for len(f.arrivals) > 64 {
		f.arrivals = f.arrivals[1:]
	}
}

// strays reports whether for two seconds (flow_reorder_ms) up to now three or more packets
// of a flow have reached other backends and none its own.
func (f *seenFlow) strays(now time.Time) bool {
	if f.backend == nil || now.Sub(f.openedAt) < 2*time.Second {
		return false
	}
	others := 0
	for _, a := range f.arrivals {
		if now.Sub(a.at) > 2*time.Second {
			continue
		}
		if a.own {
			return false
		}
		others++
	}
	return others >= 3
}

func (w *world) ran(request string, b *backend) {
	w.mu.Lock()
	w.runs[request]++
	n := w.runs[request]
	w.mu.Unlock()
	if n > 1 {
		w.logf("ran again: %s at %s", request, b.key())
	}
}

func (w *world) count(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
}

// summary writes the counts to the record.
func (w *world) summary() {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.outcomes))
	for name := range w.outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%d", name, w.outcomes[name])
	}
	w.logf("counts:%s; different requests run %d; flows offered to two backends %d", out.String(), len(w.runs), w.doubled)
}

// route is a route of the configuration.
type route struct {
	to      netip.AddrPort
	service string
}

func (w *world) configure(version int, routes ...route) {
	var list, services []map[string]any
	seen := map[string]bool{}
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.to.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.to.Port()), "service": r.service,
			"type": "idempotent", "timeout_ms": 2500, "target_latency_ms": 250, "priority": 2, "max_attempts": 2,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "health_path": "/health", "max_conns": w.maxConns, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": w.warmupRate,
			})
		}
	}
	w.store.Put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// settings returns the settings file of an instance.
func (w *world) settings(i *instance) ([]byte, error) {
	at := func(port uint16) string { return netip.AddrPortFrom(i.address, port).String() }
	zones := map[string]string{}
	for _, z := range w.zones {
		zones[z] = "region"
	}
	seeds := []string{}
	for _, other := range w.instances {
		if len(seeds) < 3 && (len(seeds) == 0 || other.zone != w.instances[len(seeds)-1].zone) {
			seeds = append(seeds, netip.AddrPortFrom(other.address, controlPort).String())
		}
	}
	return json.Marshal(map[string]any{
		"node_name": i.name, "role": "flowd", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": i.address.String(), "zone": i.zone, "region": "region", "zones": zones,
		"listen":              map[string]any{"datagram_addr": at(packetPort), "ready_addr": at(readyPort), "control": at(controlPort)},
		"internal_port_range": []int{internalPort, internalPort + 15},
		"seeds":               seeds, "bootstrap": i.starts == 0, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.5, "cores": 1, "memory_mb": 206, "max_fds": 2870, "link_mbps": 700.0, "disk_mb": 0},
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
			"address": netip.AddrPortFrom(w.address(1, 1), storePort).String(), "forwarding_mode": "kv", "writes_per_s": 400,
			"reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	})
}
