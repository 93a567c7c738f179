package capacity_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/capacity"
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/gossip"
	"balsamfork/internal/health"
	"balsamfork/internal/member/membertest"
	"balsamfork/internal/placement"
	"balsamfork/internal/records"
)

// headerBytes is the size in bytes of the IPv4 and TCP headers with timestamps. A request
// and an acknowledgement are one packet each.
const headerBytes = 52

func dataCentreName(n, of int) string { return "dc-" + string(rune('a'+n%of)) }

func view(s capacity.Size, v config.Version) *fleet.View {
	out := &fleet.View{Self: "i000", Epoch: 1}
	for n := range s.Instances {
		out.Instances = append(out.Instances, fleet.Instance{
			ID: fleet.ID(fmt.Sprintf("i%03d", n)), DataCentre: dataCentreName(n, s.DataCentres), Region: "ost-plain",
			State: fleet.Alive, Applied: v, Incarnation: 1,
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 4754),
		})
	}
	return out
}

// document declares the services of a size, with its backend servers evenly distributed
// over them.
func document(s capacity.Size) config.Document {
	d := config.Document{Format: config.DocumentFormat}
	for n := range s.DataCentres {
		d.DataCentres = append(d.DataCentres, config.DataCentreSpec{Name: dataCentreName(n, s.DataCentres), Region: "ost-plain"})
	}
	number := 0
	for n := range s.Services {
		service := config.ServiceDocument{ServiceSpec: config.ServiceSpec{
			Name:     fmt.Sprintf("service-%03d", n),
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(n >> 8), byte(n)}), 443),
			Protocol: config.TCP,
			Slots:    4,
		}}
		for end := s.Servers * (n + 1) / s.Services; number < end; number++ {
			addr := netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)})
			service.BackendServers = append(service.BackendServers, config.ServerSpec{
				Name: fmt.Sprintf("server-%04d", number), DataCentre: dataCentreName(number, s.DataCentres), Weight: 100,
				Packets: netip.AddrPortFrom(addr, 4754), Requests: netip.AddrPortFrom(addr, 7001),
				Health: "http://" + addr.String() + ":8080/health",
			})
		}
		d.Services = append(d.Services, service)
	}
	return d
}

func accept(t *testing.T, old *config.State, d config.Document) *config.State {
	t.Helper()
	change := config.Change{ID: fmt.Sprintf("change-%d", time.Now().UnixNano()), Who: "ann", When: time.Unix(1_773_316_800, 0), HashKey: [config.HashKeySize]byte{1}}
	if old != nil {
		change.BaseVersion = old.Version
	}
	next, _, err := config.Accept(old, d, change)
	is.New(t).NoErr(err)
	return next
}

// configCosts are the costs of the configuration for one instance.
type configCosts struct {
	delta, whole float64 // bytes of JSON
	memory       float64 // bytes
}

func measureConfig(t *testing.T, s capacity.Size) (configCosts, *config.Config) {
	t.Helper()
	is := is.New(t)
	before := liveHeap()
	state := accept(t, nil, document(s))
	c, err := state.Config()
	is.NoErr(err)
	costs := configCosts{memory: liveHeap() - before}
	whole, err := json.Marshal(state.DeltaFrom(config.VersionID{}))
	is.NoErr(err)
	drained, err := state.Document().WithServerState("service-000", "server-0001", config.Draining)
	is.NoErr(err)
	next := accept(t, state, drained)
	delta, err := json.Marshal(next.DeltaFrom(state.VersionID()))
	is.NoErr(err)
	costs.whole, costs.delta = float64(len(whole)), float64(len(delta))
	return costs, c
}

// healthCosts are the costs of health checks for one instance.
type healthCosts struct {
	perServer float64       // probes of one server per second, by all instances together
	probe     float64       // bytes sent per probe
	core      float64       // share of a core, without HTTP
	memory    float64       // bytes
	assign    time.Duration // time to choose the probers
}

func measureHealth(t *testing.T, s capacity.Size, c *config.Config) healthCosts {
	t.Helper()
	const period = 10 * time.Second
	v := view(s, c.Version)
	before := liveHeap()
	table := health.New("i000", health.Default(), 1)
	table.SetView(0, v)
	start := time.Now()
	table.Configure(0, health.Servers(c))
	costs := healthCosts{assign: time.Since(start), memory: liveHeap() - before}
	probes := 0
	start = time.Now()
	for now := int64(0); now < int64(period); now += int64(50 * time.Millisecond) {
		for _, p := range table.Tick(now).Probes {
			probes++
			table.Observe(now, p.Server, true)
		}
	}
	costs.core = time.Since(start).Seconds() / period.Seconds()
	costs.perServer = 2 / health.Default().Period.Seconds() // each server has two probers
	costs.probe = probeBytes(t)
	expected := costs.perServer * float64(s.Servers) / float64(s.Instances)
	t.Logf("probes a second of one instance: %.1f, expected %.1f", float64(probes)/period.Seconds(), expected)
	return costs
}

// probeBytes returns the bytes sent for a GET request on an open connection and for the
// acknowledgement of its response.
func probeBytes(t *testing.T) float64 {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://10.1.255.255:8080/health", nil)
	is.New(t).NoErr(err)
	req.Header.Set("User-Agent", "balsamfork")
	dump, err := httputil.DumpRequestOut(req, false)
	is.New(t).NoErr(err)
	return float64(len(dump) + 2*headerBytes)
}

// TestEnvelopeSizeIsNotUnderestimated checks that the simulated network, on whose counts
// the measured costs rest, counts no fewer bytes for a message than its sender sends.
func TestEnvelopeSizeIsNotUnderestimated(t *testing.T) {
	is := is.New(t)
	encoded := make([]byte, 300)
	req := jsonrpc2.Request{Method: gossip.Method, Notif: true}
	is.NoErr(req.SetParams(encoded))
	data, err := json.Marshal(&req)
	is.NoErr(err)
	const tlsRecordAndHeaders = 22 + 52
	sender, _ := membertest.WireBytes(len(encoded))
	is.True(len(binary.AppendUvarint(nil, uint64(len(data))))+len(data)+tlsRecordAndHeaders <= sender)
}

// flowCosts are the costs of flows for one instance.
type flowCosts struct {
	memory float64       // bytes of tables
	build  time.Duration // time to build the tables
	settle float64       // bytes of one summary with its envelope, on the wire
}

func measureFlows(t *testing.T, s capacity.Size, c *config.Config) flowCosts {
	t.Helper()
	before := liveHeap()
	e := placement.New(placement.Options{Self: "i000", Records: records.LimitsFor(1 << 19)})
	e.SetView(0, view(s, c.Version))
	start := time.Now()
	e.SetConfig(0, c)
	costs := flowCosts{build: time.Since(start), memory: liveHeap() - before}
	summary, err := json.Marshal(placement.Summary{Service: "service-000", Version: c.Version, Complete: true, Away: []placement.DisplacedFlows{{Base: 1, Flows: 1000}}})
	is.New(t).NoErr(err)
	wire, _ := membertest.WireBytes(0)
	costs.settle = float64(wire + len(summary))
	p := flow.Packet{Origin: flow.FromFabric}
	e.Decide(0, &p)
	return costs
}

// measureRecords returns the mean size in bytes of a flow record, and the mean time to
// insert one, when the given number of them is inserted.
func measureRecords(count int) (bytes float64, put time.Duration) {
	before := liveHeap()
	table := records.NewTable(records.LimitsFor(2 * count))
	start := time.Now()
	for n := range count {
		hash := uint64(n+1) * 0x9e3779b97f4a7c15
		b := table.Lock(int(hash & 4095))
		b.Put(records.New(hash, 1, records.Placed, 1))
		b.Unlock()
	}
	put = time.Since(start) / time.Duration(count)
	bytes = (liveHeap() - before) / float64(table.Total())
	return bytes, put
}
