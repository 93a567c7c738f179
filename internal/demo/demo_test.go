package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
	"balsamfork/internal/forward"
)

// fakeInstances is a fake of all instances together. They share one table of flows,
// so that no promise is broken unless a fault is set.
type fakeInstances struct {
	fault fault

	mu      sync.Mutex
	version config.Version
	doc     config.Document
	flows   map[flow.Key]netip.AddrPort
	next    map[netip.AddrPort]int
	workers []*fakeWorker
}

// fault is the set of faults of the fake.
type fault struct{ forgetFlows, mixServices, ignoreTakeout, runTwice, refuseAfterRun, cross, lose bool }

func (f *fakeInstances) platform() Platform {
	return Platform{
		Start:    f.start,
		Operator: func(string, uint64) Operator { return f },
		Worker:   f.worker,
		Sender:   func([]netip.AddrPort) Sender { return f },
	}
}

func (f *fakeInstances) Apply(_ context.Context, doc config.Document) (config.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doc = doc
	f.version++
	return f.version, doc.Validate().Err()
}

// fakeDaemon is the real forwarder with the fake's decisions.
type fakeDaemon struct{ *forward.Forwarder }

func (f *fakeInstances) start(context.Context, Instance) (Daemon, error) {
	known := func(netip.AddrPort) bool { return false }
	c := forward.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	fw, err := forward.New(c, f, known, slog.New(slog.DiscardHandler), tally.NoopScope)
	if err != nil {
		return nil, err
	}
	fw.Start()
	return fakeDaemon{fw}, nil
}

func (d fakeDaemon) Addresses() Addresses       { return Addresses{Packets: d.Addr(), Requests: d.Addr()} }
func (d fakeDaemon) Ready() bool                { return true }
func (d fakeDaemon) Stop(context.Context) error { return d.Close() }
func (d fakeDaemon) Kill()                      { d.Abort() }

func (f *fakeInstances) Decide(_ int64, p *flow.Packet) flow.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers, active := f.servers(p.Key.Destination)
	if f.flows == nil {
		f.flows = make(map[flow.Key]netip.AddrPort)
		f.next = make(map[netip.AddrPort]int)
	}
	server, known := f.flows[p.Key]
	if known && !f.fault.forgetFlows && (f.fault.ignoreTakeout || slices.Contains(servers, server)) {
		return flow.Verdict{Action: flow.Forward, Address: server}
	}
	if len(active) == 0 || !p.Flags.Has(flow.Syn) && !f.fault.forgetFlows {
		return flow.Verdict{Action: flow.Drop, Reason: flow.NoServer}
	}
	f.next[p.Key.Destination]++
	server = active[f.next[p.Key.Destination]%len(active)]
	f.flows[p.Key] = server
	return flow.Verdict{Action: flow.Forward, Address: server}
}

// servers returns the backend servers of an address, and the active ones among them,
// which take new flows.
func (f *fakeInstances) servers(address netip.AddrPort) (all, active []netip.AddrPort) {
	takenOut := make(map[string]bool)
	for _, dc := range f.doc.DataCentres {
		takenOut[dc.Name] = dc.Out
	}
	for _, s := range f.doc.Services {
		if s.Address != address && !(f.fault.mixServices && address.Port() == 443) {
			continue
		}
		for _, b := range s.BackendServers {
			if takenOut[b.DataCentre] {
				continue
			}
			all = append(all, b.Packets)
			if b.State == config.Active {
				active = append(active, b.Packets)
			}
		}
	}
	return all, active
}

type fakeWorker struct{ options WorkerOptions }

func (f *fakeInstances) worker(o WorkerOptions) (Worker, error) {
	w := &fakeWorker{options: o}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	return w, nil
}

func (w *fakeWorker) Addr() netip.AddrPort { return netip.AddrPort{} }
func (w *fakeWorker) Close()               {}

func (f *fakeInstances) Send(_ context.Context, r Request) (Outcome, string) {
	f.mu.Lock()
	w := f.workers[0]
	f.mu.Unlock()
	w.options.Began(r.ID)
	if f.fault.runTwice {
		w.options.Began(r.ID)
	}
	w.options.Finished(r.ID)
	switch {
	case f.fault.refuseAfterRun:
		return Refused, ""
	case f.fault.cross:
		return Answered, "of-another"
	case f.fault.lose:
		return Unknown, ""
	}
	return Answered, r.ID
}

func (f *fakeInstances) Close() error { return nil }

func runDemo(t *testing.T, f *fakeInstances, d Deployment, progress io.Writer) *Result {
	o := Options{Deployment: d, Seed: 1, FlowsPerServer: 15, RequestsPerSecond: 100, Scale: 0.05, Progress: progress}
	r, err := Run(t.Context(), o, f.platform())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Without faults, the demonstration reports no violation, and its result shows that
// each phase ran and generated traffic.
func TestRunWithoutFaults(t *testing.T) {
	is := is.New(t)
	var progress, table bytes.Buffer
	r := runDemo(t, &fakeInstances{}, Kernhaven(), &progress)
	is.Equal(r.Violations, []string{})
	is.Equal(len(r.Phases), 10)
	var flows, packets uint64
	var requests int
	for _, p := range r.Phases {
		flows, packets, requests = flows+p.Flows, packets+p.Packets, requests+p.Requests
	}
	is.True(flows >= 18*15)
	is.True(packets > flows)
	is.True(requests > 0)
	is.True(strings.Contains(progress.String(), "data centre out"))
	r.Text(&table)
	is.True(strings.Contains(table.String(), "Every promise was kept."))
	encoded, err := json.Marshal(r)
	is.NoErr(err)
	for _, field := range []string{
		"broken_flows", "wrong_service", "imbalance", "takeout_seconds", "config_seconds", "non_repeatable_run_twice",
		"false_refusals", "lost_answers", "crossed_answers", "unanswered", "phases",
	} {
		is.True(bytes.Contains(encoded, []byte(`"`+field+`":`))) // the field is missing
	}
}

// The demonstration reports each broken promise from the counts of the callers and
// the backend servers.
func TestRunDetectsViolations(t *testing.T) {
	f := &fakeInstances{fault: fault{forgetFlows: true, mixServices: true, runTwice: true, refuseAfterRun: true}}
	g := &fakeInstances{fault: fault{ignoreTakeout: true, cross: true}}
	h := &fakeInstances{fault: fault{lose: true}}
	for _, c := range []struct {
		fakeInstances *fakeInstances
		want          []string
	}{
		{f, []string{"broken flows", "packets at a wrong service", "requests run twice", "false refusals"}},
		{g, []string{"crossed answers"}},
		{h, []string{"lost answers", "unanswered requests"}},
	} {
		r := runDemo(t, c.fakeInstances, Vitols(), nil)
		for _, want := range c.want {
			if !strings.Contains(strings.Join(r.Violations, "\n"), want+":") {
				t.Errorf("%+v: %q is not among %q", c.fakeInstances.fault, want, r.Violations)
			}
		}
		if len(r.SuspectRequests) == 0 {
			t.Errorf("%+v: no suspect request is described", c.fakeInstances.fault)
		}
		if c.fakeInstances.fault.ignoreTakeout && r.TakeoutSeconds == 0 {
			t.Error("packets sent to the data centre after its takeout were not detected")
		}
	}
}

func TestCheckBounds(t *testing.T) {
	is := is.New(t)
	r := &Result{
		BrokenFlows: 1, UnopenedFlows: 1, WrongService: 1, NonRepeatableRunTwice: 1, FalseRefusals: 1, LostAnswers: 1,
		CrossedAnswers: 1, Unanswered: 1, Imbalance: map[string]float64{"desk": maxImbalance + 0.01},
		TakeoutSeconds: maxTakeoutSeconds + 0.01, ConfigSeconds: maxChangeSeconds + 1, DrainSeconds: maxChangeSeconds + 1, FreshShare: 1,
	}
	r.checkBounds()
	is.Equal(len(r.Violations), 13)
	inBounds := &Result{Imbalance: map[string]float64{"desk": maxImbalance}, TakeoutSeconds: maxTakeoutSeconds, FreshShare: maxFreshShare}
	inBounds.checkBounds()
	is.Equal(len(inBounds.Violations), 0)
}

func TestFind(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"kernhaven", "vitols"} {
		d, err := Find(name)
		is.NoErr(err)
		is.Equal(d.Name, name)
		is.Equal(len(d.DataCentres), 3)
		is.Equal(d.Instances, 13)
		is.Equal([]int{d.Services[0].Servers, d.Services[1].Servers}, []int{14, 4})
	}
	_, err := Find("elsewhere")
	is.True(Error.Has(err))
}
