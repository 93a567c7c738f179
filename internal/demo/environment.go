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
	// requestStream is the number of the fabric's random stream for requests. The
	// streams for packets have the numbers of the callers' sockets.
	requestStream = 1 << 20
	callerSockets = 8
	stopTimeout   = 15 * time.Second
	readyTimeout  = 10 * time.Second
	readyInterval = 10 * time.Millisecond
	// fabricDelay is how long the fabric continues to send to an instance that has
	// begun to shut down or was killed.
	fabricDelay = 300 * time.Millisecond
)

// callerAddress is the inner address of the first caller socket.
var callerAddress = netip.MustParseAddr("198.51.100.1")

// environment holds all components of a demonstration.
type environment struct {
	options    Options
	platform   Platform
	deployment Deployment

	store         *platformtest.Store
	storeServer   *http.Server
	storeURL      string
	operator      Operator
	fabric        *fabric.Fabric
	prober        *prober
	requestLog    *requestLog
	callers       *caller.Callers
	loadGenerator *loadGenerator

	servers       []*server
	probedServers []*backend.Server
	// probedService is the address of the newest probed service.
	probedService netip.AddrPort
	scenario      scenario
	// started counts the backend servers started, by service, and the instances
	// started, by data centre.
	started map[string]int

	mu      sync.Mutex
	daemons []runningInstance
	outages map[string]outage
}

// runningInstance is a running instance with its ID and data centre.
type runningInstance struct {
	Daemon
	id         string
	dataCentre string
}

// outage is when a data centre was taken out and when it was returned to service,
// which is zero until then.
type outage struct{ takenOut, returned time.Time }

func newEnvironment(o Options, p Platform) (*environment, error) {
	env := &environment{
		options:    o,
		platform:   p,
		deployment: o.Deployment,
		scenario:   newScenario(o.Seed, o.Deployment),
		store:      platformtest.NewStore(),
		fabric:     fabric.New(o.Seed),
		requestLog: newRequestLog(),
		started:    make(map[string]int),
		outages:    make(map[string]outage),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	env.storeServer = &http.Server{Handler: env.store, ReadHeaderTimeout: time.Second}
	go func() { _ = env.storeServer.Serve(listener) }()
	env.storeURL = "http://" + listener.Addr().String()
	env.operator = p.Operator(env.storeURL, o.Seed)
	env.prober, err = newProber(env.fabric)
	return env, err
}

// close stops everything; the instances shut down gracefully.
func (env *environment) close(ctx context.Context) error {
	if env.loadGenerator != nil {
		env.loadGenerator.close()
	}
	if env.callers != nil {
		env.callers.Close()
	}
	err := env.stopAll(ctx)
	if env.prober != nil {
		env.prober.close()
	}
	for _, s := range env.servers {
		s.close()
	}
	for _, probed := range env.probedServers {
		probed.Close()
	}
	_ = env.storeServer.Close()
	return err
}

func (env *environment) stopAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	stopErrs := make([]error, len(env.daemons))
	for i, d := range env.daemons {
		wg.Go(func() { stopErrs[i] = d.Stop(ctx) })
	}
	wg.Wait()
	return errors.Join(stopErrs...)
}

// startInstance starts the next instance of a data centre. The fabric does not send
// to it until addWhenReady.
func (env *environment) startInstance(ctx context.Context, dataCentre string) (runningInstance, error) {
	env.started[dataCentre]++
	id := instanceID(dataCentre, env.started[dataCentre])
	d, err := env.platform.Start(ctx, Instance{
		ID: id, DataCentre: dataCentre, Region: env.deployment.Region, StoreURL: env.storeURL, Peers: env.peers(),
	})
	if err != nil {
		return runningInstance{}, Error.New("instance %s did not start: %v", id, err)
	}
	r := runningInstance{Daemon: d, id: id, dataCentre: dataCentre}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.daemons = append(env.daemons, r)
	return r, nil
}

// addWhenReady waits until an instance is ready and adds it to the fabric.
func (env *environment) addWhenReady(ctx context.Context, r runningInstance) error {
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
	env.fabric.Add(fabric.Instance{ID: r.id, PacketAddr: a.Packets, RequestAddr: a.Requests})
	return nil
}

func (env *environment) peers() []Peer {
	env.mu.Lock()
	defer env.mu.Unlock()
	var peers []Peer
	for _, d := range env.daemons {
		peers = append(peers, Peer{
			ID: d.id, DataCentre: d.dataCentre, Region: env.deployment.Region, Control: d.Addresses().Control,
		})
	}
	return peers
}

// removeInstance removes the first instance of a data centre from the list and
// returns it.
func (env *environment) removeInstance(dataCentre string) runningInstance {
	env.mu.Lock()
	defer env.mu.Unlock()
	i := slices.IndexFunc(env.daemons, func(r runningInstance) bool { return r.dataCentre == dataCentre })
	r := env.daemons[i]
	env.daemons = slices.Delete(env.daemons, i, i+1)
	return r
}

// document returns the current target configuration, with a new probed service whose
// replies show that the configuration is in force.
func (env *environment) document() (config.Document, error) {
	doc := env.deployment.document()
	for i := range doc.DataCentres {
		o, found := env.outages[doc.DataCentres[i].Name]
		doc.DataCentres[i].Out = found && o.returned.IsZero()
	}
	for i := range doc.Services {
		for _, s := range env.servers {
			if s.service.Name == doc.Services[i].Name {
				doc.Services[i].BackendServers = append(doc.Services[i].BackendServers, s.spec())
			}
		}
	}
	probedService, err := env.addProbedService()
	doc.Services = append(doc.Services, probedService)
	return doc, err
}

func (env *environment) addProbedService() (config.ServiceDocument, error) {
	n := len(env.probedServers) + 1
	name := fmt.Sprintf("check-%d", n)
	env.probedService = netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(100 + n)}), 9)
	backend, err := startProbedServer(name, env.probedService, env.fabric)
	if err != nil {
		return config.ServiceDocument{}, err
	}
	env.probedServers = append(env.probedServers, backend)
	return config.ServiceDocument{
		ServiceSpec: config.ServiceSpec{Name: name, Address: env.probedService, Protocol: config.TCP, Slots: 1},
		BackendServers: []config.ServerSpec{{
			Name: name, DataCentre: env.scenario.joining, Packets: backend.PacketAddr(),
			Health: backend.HealthURL(), Weight: serverWeight, State: config.Active,
		}},
	}, nil
}

// apply applies the current target configuration and returns the time at which it was
// accepted.
func (env *environment) apply(ctx context.Context) (time.Time, error) {
	doc, err := env.document()
	if err != nil {
		return time.Time{}, err
	}
	_, err = env.operator.Apply(ctx, doc)
	return time.Now(), err
}

// waitInForce waits until the newest configuration is in force at each live instance
// of the fabric, and returns the time since it was accepted.
func (env *environment) waitInForce(ctx context.Context, accepted time.Time) (time.Duration, error) {
	err := env.prober.wait(ctx, env.probedService, env.fabric.Live())
	return time.Since(accepted), err
}

// breakExpected reports whether a flow is expected to break at a backend server,
// because the server's data centre was taken out and not returned before the flow
// opened.
func (env *environment) breakExpected(name string, opened time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, s := range env.servers {
		if s.name != name {
			continue
		}
		o, found := env.outages[s.dataCentre]
		return found && (o.returned.IsZero() || opened.Before(o.returned))
	}
	return false
}
