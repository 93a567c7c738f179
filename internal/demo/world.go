package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/standin/backend"
	"balsamfork/internal/standin/caller"
	"balsamfork/internal/standin/fabric"
	"balsamfork/platform/platformtest"
)

const (
	// requestStream numbers the fabric's choices for requests; packets use the
	// numbers of the callers' sockets.
	requestStream = 1 << 20
	sockets       = 8
	stopTimeout   = 15 * time.Second
	readyTimeout  = 10 * time.Second
	readyInterval = 10 * time.Millisecond
	// fabricLag is how long the fabric goes on sending to an instance that has
	// begun to leave or has died.
	fabricLag = 300 * time.Millisecond
)

// callerAddress is the inner address of the first caller.
var callerAddress = netip.MustParseAddr("198.51.100.1")

// world is everything that runs.
type world struct {
	options    Options
	platform   Platform
	deployment Deployment

	store    *platformtest.Store
	web      *http.Server
	storeURL string
	operator Operator
	fabric   *fabric.Fabric
	prober   *prober
	ledger   *ledger
	callers  *caller.Callers
	buyers   *buyers

	servers []*server
	checks  []*backend.Server
	check   netip.AddrPort
	choices choices
	// started counts what was ever started, by service and by data centre.
	started map[string]int

	mu      sync.Mutex
	daemons []running
	outages map[string]outage
}

// running is one instance.
type running struct {
	Daemon
	id         string
	dataCentre string
}

// outage is when a data centre was taken out and, unless zero, returned.
type outage struct{ out, back time.Time }

func newWorld(o Options, p Platform) (*world, error) {
	w := &world{
		options:    o,
		platform:   p,
		deployment: o.Deployment,
		choices:    choose(o.Seed, o.Deployment),
		store:      platformtest.NewStore(),
		fabric:     fabric.New(o.Seed),
		ledger:     newLedger(),
		started:    make(map[string]int),
		outages:    make(map[string]outage),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	w.web = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.web.Serve(listener) }()
	w.storeURL = "http://" + listener.Addr().String()
	w.operator = p.Operator(w.storeURL, o.Seed)
	w.prober, err = newProber(w.fabric)
	return w, err
}

// close stops everything; the instances shut down gracefully.
func (w *world) close(ctx context.Context) error {
	if w.buyers != nil {
		w.buyers.close()
	}
	if w.callers != nil {
		w.callers.Close()
	}
	err := w.stopAll(ctx)
	if w.prober != nil {
		w.prober.close()
	}
	for _, s := range w.servers {
		s.close()
	}
	for _, c := range w.checks {
		c.Close()
	}
	_ = w.web.Close()
	return err
}

func (w *world) stopAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var all sync.WaitGroup
	failures := make([]error, len(w.daemons))
	for i, d := range w.daemons {
		all.Go(func() { failures[i] = d.Stop(ctx) })
	}
	all.Wait()
	return errors.Join(failures...)
}

// startInstance starts the next instance of a data centre. The fabric uses it
// once it is ready.
func (w *world) startInstance(ctx context.Context, dataCentre string) (running, error) {
	w.started[dataCentre]++
	id := instanceID(dataCentre, w.started[dataCentre])
	d, err := w.platform.Start(ctx, Instance{
		ID: id, DataCentre: dataCentre, Region: w.deployment.Region, StoreURL: w.storeURL, Peers: w.peers(),
	})
	if err != nil {
		return running{}, Error.New("instance %s did not start: %v", id, err)
	}
	r := running{Daemon: d, id: id, dataCentre: dataCentre}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = append(w.daemons, r)
	return r, nil
}

// admit waits until an instance is ready and hands it to the fabric.
func (w *world) admit(ctx context.Context, r running) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !r.Ready() {
		select {
		case <-ctx.Done():
			return Error.New("instance %s is not ready after %s", r.id, readyTimeout)
		case <-ticker.C:
		}
	}
	a := r.Addresses()
	w.fabric.Add(fabric.Instance{ID: r.id, Packets: a.Packets, Requests: a.Requests})
	return nil
}

func (w *world) peers() []Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	var peers []Peer
	for _, d := range w.daemons {
		peers = append(peers, Peer{
			ID: d.id, DataCentre: d.dataCentre, Region: w.deployment.Region, Control: d.Addresses().Control,
		})
	}
	return peers
}

// take removes the first instance of a data centre from the list and returns it.
func (w *world) take(dataCentre string) running {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.daemons, func(r running) bool { return r.dataCentre == dataCentre })
	r := w.daemons[i]
	w.daemons = slices.Delete(w.daemons, i, i+1)
	return r
}

// document returns the configuration that the operator wants now, with a new
// service whose answers show that it is in force.
func (w *world) document() (config.Document, error) {
	doc := w.deployment.document()
	for i := range doc.DataCentres {
		o, ever := w.outages[doc.DataCentres[i].Name]
		doc.DataCentres[i].Out = ever && o.back.IsZero()
	}
	for i := range doc.Services {
		for _, s := range w.servers {
			if s.service.Name == doc.Services[i].Name {
				doc.Services[i].BackendServers = append(doc.Services[i].BackendServers, s.spec())
			}
		}
	}
	check, err := w.nextCheck()
	doc.Services = append(doc.Services, check)
	return doc, err
}

func (w *world) nextCheck() (config.ServiceDocument, error) {
	n := len(w.checks) + 1
	name := fmt.Sprintf("check-%d", n)
	w.check = netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(100 + n)}), 9)
	backend, err := startCheck(name, w.check, w.fabric)
	if err != nil {
		return config.ServiceDocument{}, err
	}
	w.checks = append(w.checks, backend)
	return config.ServiceDocument{
		ServiceSpec: config.ServiceSpec{Name: name, Address: w.check, Protocol: config.TCP, Slots: 1},
		BackendServers: []config.ServerSpec{{
			Name: name, DataCentre: w.choices.joins, Packets: backend.Packets(),
			Health: backend.HealthURL(), Weight: serverWeight, State: config.Active,
		}},
	}, nil
}

// apply makes the wanted configuration the newest and returns when it was
// accepted.
func (w *world) apply(ctx context.Context) (time.Time, error) {
	doc, err := w.document()
	if err != nil {
		return time.Time{}, err
	}
	_, err = w.operator.Apply(ctx, doc)
	return time.Now(), err
}

// inForce waits until the newest configuration is in force at each instance
// that the fabric knows, and returns how long that took since it was accepted.
func (w *world) inForce(ctx context.Context, accepted time.Time) (time.Duration, error) {
	err := w.prober.wait(ctx, w.check, w.fabric.Live())
	return time.Since(accepted), err
}

// excused reports whether a flow may break at a backend server: its data centre
// was taken out after the flow had been opened.
func (w *world) excused(name string, opened time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.name != name {
			continue
		}
		o, ever := w.outages[s.dataCentre]
		return ever && (o.back.IsZero() || opened.Before(o.back))
	}
	return false
}
