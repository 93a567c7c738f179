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

// fleet is a fake of all instances together: they share one table of flows, so
// that nothing can break unless a fault is set.
type fleet struct {
	fault fault

	mu      sync.Mutex
	version config.Version
	doc     config.Document
	flows   map[flow.Key]netip.AddrPort
	next    map[netip.AddrPort]int
	workers []*fakeWorker
}

// fault is what the fake does wrong.
type fault struct{ forgetFlows, mixServices, keepOut, runTwice, refuseAfterRun, cross, lose bool }

func (f *fleet) platform() Platform {
	return Platform{
		Start:    f.start,
		Operator: func(string, uint64) Operator { return f },
		Worker:   f.worker,
		Sender:   func([]netip.AddrPort) Sender { return f },
	}
}

func (f *fleet) Apply(_ context.Context, doc config.Document) (config.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doc = doc
	f.version++
	return f.version, doc.Validate().Err()
}

// fakeDaemon is the real packet path with the fake's decisions.
type fakeDaemon struct{ *forward.Forwarder }

func (f *fleet) start(context.Context, Instance) (Daemon, error) {
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

func (f *fleet) Decide(_ int64, p *flow.Packet) flow.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers, fresh := f.servers(p.Key.Destination)
	if f.flows == nil {
		f.flows = make(map[flow.Key]netip.AddrPort)
		f.next = make(map[netip.AddrPort]int)
	}
	at, known := f.flows[p.Key]
	if known && !f.fault.forgetFlows && (f.fault.keepOut || slices.Contains(servers, at)) {
		return flow.Verdict{Action: flow.Forward, Address: at}
	}
	if len(fresh) == 0 || !p.Flags.Has(flow.Syn) && !f.fault.forgetFlows {
		return flow.Verdict{Action: flow.Drop, Reason: flow.NoServer}
	}
	f.next[p.Key.Destination]++
	at = fresh[f.next[p.Key.Destination]%len(fresh)]
	f.flows[p.Key] = at
	return flow.Verdict{Action: flow.Forward, Address: at}
}

// servers returns the backend servers of an address, and those for new flows.
func (f *fleet) servers(address netip.AddrPort) (all, fresh []netip.AddrPort) {
	out := make(map[string]bool)
	for _, dc := range f.doc.DataCentres {
		out[dc.Name] = dc.Out
	}
	for _, s := range f.doc.Services {
		if s.Address != address && !(f.fault.mixServices && address.Port() == 443) {
			continue
		}
		for _, b := range s.BackendServers {
			if out[b.DataCentre] {
				continue
			}
			all = append(all, b.Packets)
			if b.State == config.Active {
				fresh = append(fresh, b.Packets)
			}
		}
	}
	return all, fresh
}

type fakeWorker struct{ options WorkerOptions }

func (f *fleet) worker(o WorkerOptions) (Worker, error) {
	w := &fakeWorker{options: o}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	return w, nil
}

func (w *fakeWorker) Addr() netip.AddrPort { return netip.AddrPort{} }
func (w *fakeWorker) Close()               {}

func (f *fleet) Send(_ context.Context, r Request) (Outcome, string) {
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

func (f *fleet) Close() error { return nil }

func play(t *testing.T, f *fleet, d Deployment, progress io.Writer) *Result {
	o := Options{Deployment: d, Seed: 1, FlowsPerServer: 15, RequestsPerSecond: 100, Scale: 0.05, Progress: progress}
	r, err := Run(t.Context(), o, f.platform())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// With instances that keep every promise, the demonstration finds nothing, and
// shows that it has tried everything.
func TestRunKeepsItsPromises(t *testing.T) {
	is := is.New(t)
	var progress, table bytes.Buffer
	r := play(t, &fleet{}, Kernhaven(), &progress)
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
		is.True(bytes.Contains(encoded, []byte(`"`+field+`":`))) // a figure is missing
	}
}

// Each broken promise is found, by what the callers and the backend servers see.
func TestRunFindsBrokenPromises(t *testing.T) {
	f := &fleet{fault: fault{forgetFlows: true, mixServices: true, runTwice: true, refuseAfterRun: true}}
	g := &fleet{fault: fault{keepOut: true, cross: true}}
	h := &fleet{fault: fault{lose: true}}
	for _, c := range []struct {
		fleet *fleet
		want  []string
	}{
		{f, []string{"broken flows", "packets at a wrong service", "requests run twice", "false refusals"}},
		{g, []string{"crossed answers"}},
		{h, []string{"lost answers", "unanswered requests"}},
	} {
		r := play(t, c.fleet, Vitols(), nil)
		for _, want := range c.want {
			if !strings.Contains(strings.Join(r.Violations, "\n"), want+":") {
				t.Errorf("%+v: %q is not among %q", c.fleet.fault, want, r.Violations)
			}
		}
		if len(r.Doubtful) == 0 {
			t.Errorf("%+v: no request is described", c.fleet.fault)
		}
		if c.fleet.fault.keepOut && r.TakeoutSeconds == 0 {
			t.Error("packets that went on to the data centre were not seen")
		}
	}
}

func TestJudgeHoldsTheBounds(t *testing.T) {
	is := is.New(t)
	r := &Result{
		BrokenFlows: 1, UnopenedFlows: 1, WrongService: 1, NonRepeatableRunTwice: 1, FalseRefusals: 1, LostAnswers: 1,
		CrossedAnswers: 1, Unanswered: 1, Imbalance: map[string]float64{"desk": maxImbalance + 0.01},
		TakeoutSeconds: maxTakeout + 0.01, ConfigSeconds: maxSeconds + 1, DrainSeconds: maxSeconds + 1, FreshShare: 1,
	}
	r.judge()
	is.Equal(len(r.Violations), 13)
	good := &Result{Imbalance: map[string]float64{"desk": maxImbalance}, TakeoutSeconds: maxTakeout, FreshShare: maxFreshShare}
	good.judge()
	is.Equal(len(good.Violations), 0)
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
