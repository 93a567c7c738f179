package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"balsamfork/platform/platformtest"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 0, "seed of the first soak; 0 means the regression seeds")
	soakSeeds = flag.Int("soak.seeds", 1, "number of soaks, with consecutive seeds")
	soakEach  = flag.Int("soak.each", 3, "number of instances in each data centre")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "how long each soak injects faults")
)

// regressionSeeds are the seeds that run by default, with what each is for: the short
// run, or a failure that it once found.
var regressionSeeds = []struct {
	seed    uint64
	purpose string
}{
	{1, "the short run of CI"},
	{138, "an instance resumed after SIGSTOP read an opening packet and its retransmissions together and sent each to another server"},
}

const (
	// recoveryTime is the time after the last fault within which the deployment must
	// serve again: a suspicion lasts 8 s at most.
	recoveryTime = 9 * time.Second
	// undisturbedTime is the time without a disturbance that must precede a drain for
	// its time bound to be checked.
	undisturbedTime = 4 * time.Second
	// drainTimeout bounds the time from the start of a server's drain to its last new
	// flow; schedulingSlack allows for scheduling delays of the machine.
	drainTimeout    = 3 * time.Second
	schedulingSlack = 300 * time.Millisecond
	// warmupTime is how long a returning server stays cold.
	warmupTime = 2 * time.Second
	// meanPause is the mean time between faults. The pauses of callers are an eighth
	// of it.
	meanPause = 400 * time.Millisecond
)

func TestSoak(t *testing.T) {
	if *soakSeed == 0 {
		for _, r := range regressionSeeds {
			t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
				t.Parallel()
				soak(t, r.seed, *soakFor)
			})
		}
		return
	}
	for n := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(*soakSeed+n), func(t *testing.T) { soak(t, *soakSeed+n, *soakFor) })
	}
}

// soakRun is one soak: a deployment under traffic and injected faults.
type soakRun struct {
	*deployment
	seed   uint64
	random *rand.Rand
	// lastDisturbance is the Unix time of the last disturbance, in nanoseconds.
	lastDisturbance atomic.Int64
	// mustServe is set once every request must be answered again.
	mustServe atomic.Bool
	outcomes  [platformtest.WrongAnswer + 1]atomic.Int64
	faults    sync.WaitGroup
	mu        sync.Mutex
	failures  []string
	// losses counts the requests without an answer by what was disturbed.
	losses map[string]int
	// partitionEnded is the Unix time when a partition last ended, in nanoseconds.
	partitionEnded atomic.Int64
	// drainStarts maps the drained servers whose bound is checked to the start of
	// the drain.
	drainStarts map[*platformtest.Server]time.Time
	// replacedSheets holds the replaced servers of the sheets service.
	replacedSheets []*platformtest.Server
	// asked and answered count the requests during a flood by destination.
	asked, answered map[netip.AddrPort]int
}

func soak(t *testing.T, seed uint64, span time.Duration) {
	s := &soakRun{
		deployment:  newDeployment(t, byte(20+seed%200), *soakEach, seed%2 == 0),
		seed:        seed,
		random:      rand.New(rand.NewPCG(seed, 0)),
		drainStarts: map[*platformtest.Server]time.Time{},
		losses:      map[string]int{},
		asked:       map[netip.AddrPort]int{},
		answered:    map[netip.AddrPort]int{},
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	var callers []*platformtest.Caller
	for c := range dataCentres {
		for n := range callersPerDataCentre {
			caller, err := platformtest.NewCaller(netip.AddrPortFrom(s.address(30+c, n), packetPort), s.route(dataCentreName(c)))
			s.must(err)
			defer caller.Close()
			callers = append(callers, caller)
			for k := range 4 {
				traffic.Add(1)
				go func() {
					defer traffic.Done()
					s.generateTraffic(caller, k, stop)
				}()
			}
		}
	}
	s.faults.Add(1)
	go s.injectRestores(span)
	if s.split {
		s.faults.Go(func() { s.injectFlood(callers, span) })
		for _, caller := range callers {
			traffic.Go(func() { s.generateTraffic(caller, floodSource, stop) })
		}
	}
	s.injectFaults(span)
	s.faults.Wait()
	s.checkRecovery(callers)
	s.restartServers()
	close(stop)
	traffic.Wait()
	s.checkDrains()
	s.checkWarmUps()
	s.checkRefusals(callers)
	s.checkFlood()
	s.report(seed)
	s.close()
}

func (s *soakRun) recordDisturbance() { s.lastDisturbance.Store(time.Now().UnixNano()) }

func (s *soakRun) failf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// generateTraffic sends requests until stop is closed. An odd k sends each request on a
// flow of its own, and so does floodSource, which uses the route of the lowest priority; k = 3
// uses the sheets service, and k = 1 the split route if there is one.
func (s *soakRun) generateTraffic(c *platformtest.Caller, k int, stop <-chan struct{}) {
	to, services, requests := deskAddress, []string{"desk"}, 20
	if k%2 == 1 {
		requests = 1
	}
	switch {
	case k == 3:
		to, services = sheetsAddress, []string{"sheets"}
	case k == 1 && s.split:
		to, services = splitAddress, []string{"desk", "sheets"}
	case k == floodSource:
		to, requests = floodAddress, 1
	}
	for {
		flow, outcome := c.Open(to)
		s.count(to, outcome, flow == nil)
		if flow == nil && s.mustServe.Load() {
			s.unservedf("a flow did not open: outcome %d", outcome)
		}
		for n := 0; flow != nil && n < requests; n++ {
			outcome = flow.Request(services...)
			s.count(to, outcome, true)
			s.checkOutcome(flow, outcome)
			if outcome != platformtest.Answered {
				break
			}
			time.Sleep(meanPause / 8)
		}
		if flow != nil {
			flow.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(meanPause / 8):
		}
	}
}

// checkOutcome checks the conditions that every request must meet.
func (s *soakRun) checkOutcome(flow *platformtest.Flow, outcome platformtest.Outcome) {
	switch outcome {
	case platformtest.Lost:
		s.recordLoss(flow)
	case platformtest.WrongAnswer:
		s.failf("flow %v got the answer to a request of another flow", flow.Local)
	case platformtest.Reset:
		if flowServer := s.flowServer(flow.Local); flow.ResetBySystem && flowServer != nil {
			s.failf("flow %v was reset by an instance while open at %s", flow.Local, flowServer.Key())
		}
	}
	if s.mustServe.Load() && outcome != platformtest.Answered {
		s.unservedf("flow %v was not served: outcome %d", flow.Local, outcome)
	}
}

// checkRoutes checks that flows to the route of the last configuration open, and that
// those to the route of the one before, which the last has removed, do not.
func (s *soakRun) checkRoutes(caller *platformtest.Caller) {
	const tries = 5 // flows are spread over the instances by their ports
	for range tries {
		flow, outcome := caller.Open(versionAddress(s.version))
		if flow == nil {
			s.unservedf("the route of version %d is not served: outcome %d", s.version, outcome)
			continue
		}
		flow.Close()
		if flow, _ = caller.Open(versionAddress(s.version - versionStep)); flow != nil {
			s.unservedf("the route of version %d is served after version %d", s.version-versionStep, s.version)
			flow.Close()
		}
	}
}

// checkDrains checks that servers got no new flows later than drainTimeout after the
// start of their drain.
func (s *soakRun) checkDrains() {
	for server, at := range s.drainStarts {
		for _, o := range server.Openings() {
			if o.At.Sub(at) > drainTimeout+schedulingSlack {
				s.failf("%s got flow %v %v after the start of its drain", server.Key(), o.Flow, o.At.Sub(at))
			}
		}
	}
}

// checkRefusals checks that no server had accepted a flow when its caller was refused,
// other than servers that are gone or have started again since.
func (s *soakRun) checkRefusals(callers []*platformtest.Caller) {
	refusals := map[netip.AddrPort]platformtest.Refusal{}
	for _, caller := range callers {
		for _, r := range caller.Refusals() {
			refusals[r.Flow] = r
		}
	}
	for _, server := range s.liveServers() {
		for _, o := range server.Openings() {
			r, refused := refusals[o.Flow]
			if refused && o.At.After(r.From) && o.At.Before(r.Until) && o.At.UnixMilli() >= server.Entry.Born {
				s.failf("flow %v was refused although %s accepted it at %v", o.Flow, server.Key(), o.At)
			}
		}
	}
	s.t.Logf("seed %d: %d refusals checked, route split: %t", s.seed, len(refusals), s.split)
}

func (s *soakRun) report(seed uint64) {
	s.t.Logf("seed %d: answered %d, refused %d, unopened %d, reset %d, lost %d, wrong answer %d", seed,
		s.outcomes[platformtest.Answered].Load(), s.outcomes[platformtest.Refused].Load(), s.outcomes[platformtest.Unopened].Load(),
		s.outcomes[platformtest.Reset].Load(), s.outcomes[platformtest.Lost].Load(), s.outcomes[platformtest.WrongAnswer].Load())
	s.t.Logf("seed %d: lost with %v", seed, s.losses)
	for n, text := range s.failures {
		if n < 5 {
			s.t.Error(text)
		}
	}
	if len(s.failures) > 0 {
		s.saveLogs(seed)
	}
}

// saveLogs copies the logs of a failed soak to a directory that outlives the test.
func (s *soakRun) saveLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	s.must(err)
	for _, i := range s.instances {
		data, err := os.ReadFile(i.log)
		s.must(err)
		s.must(os.WriteFile(dir+"/"+i.name, data, 0o600))
	}
	s.t.Logf("logs are kept in %s", dir)
}

// fault is one fault. What it affects is drawn from its own random numbers, so that the
// seed of the soak fixes it whatever other faults do meanwhile.
type fault struct {
	length time.Duration
	random *rand.Rand
}

// injectFaults starts random faults for the given time. They may overlap.
func (s *soakRun) injectFaults(span time.Duration) {
	kinds := []func(fault){
		s.kill, s.terminate, s.freeze, s.reload, s.disruptStoreConnections, s.disruptStore, s.compact, s.disruptStore,
		s.replaceServer, s.crashServer, s.reconfigure, s.putForeignEntries, s.partitionDataCentres, s.losePackets, s.replaceSheets,
	}
	end := time.Now().Add(span)
	for n := uint64(1); time.Now().Before(end); n++ {
		kind := kinds[s.random.IntN(len(kinds))]
		f := fault{
			length: time.Duration(s.random.Int64N(int64(2 * time.Second))),
			random: rand.New(rand.NewPCG(s.seed, n)),
		}
		s.faults.Add(1)
		go func() {
			defer s.faults.Done()
			kind(f)
		}()
		time.Sleep(meanPause/2 + time.Duration(s.random.Int64N(int64(meanPause))))
	}
}

// lockInstance returns an instance that no other fault affects, with its mutex locked:
// the first such one in an order that the fault's random numbers fix. Kind names the fault.
func (s *soakRun) lockInstance(f fault, kind string) *instance {
	order := f.random.Perm(len(s.instances))
	for {
		for _, n := range order {
			if i := s.instances[n]; i.mu.TryLock() {
				i.fault.Store(&kind)
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *soakRun) kill(f fault) {
	i := s.lockInstance(f, "killed")
	defer i.unlock()
	s.recordDisturbance()
	_ = s.stopProcess(i, syscall.SIGKILL)
	time.Sleep(f.length)
	s.start(i)
	s.recordDisturbance()
}

func (s *soakRun) terminate(f fault) {
	i := s.lockInstance(f, "stopped")
	defer i.unlock()
	if err := s.stopProcess(i, syscall.SIGTERM); err != nil {
		s.failf("%s did not stop gracefully: %v", i.name, err)
	}
	s.start(i)
}

func (s *soakRun) freeze(f fault) {
	i := s.lockInstance(f, "paused")
	defer i.unlock()
	s.recordDisturbance()
	_ = i.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(f.length)
	_ = i.process.Process.Signal(syscall.SIGCONT)
	s.recordDisturbance()
}

func (s *soakRun) reload(f fault) {
	i := s.lockInstance(f, "reloaded")
	defer i.unlock()
	_ = i.process.Process.Signal(syscall.SIGHUP)
}

// disruptStoreConnections silences, delays or resets one instance's connections to the
// store.
func (s *soakRun) disruptStoreConnections(f fault) {
	i := s.lockInstance(f, "without its store")
	defer i.unlock()
	s.recordDisturbance()
	switch f.random.IntN(3) {
	case 0:
		i.proxy.Silence(true)
	case 1:
		i.proxy.Delay(f.length / 4)
	case 2:
		i.proxy.Reset()
	}
	time.Sleep(f.length)
	i.proxy.Silence(false)
	i.proxy.Delay(0)
	i.proxy.Reset()
	s.recordDisturbance()
}

func (s *soakRun) disruptStore(f fault) {
	s.recordDisturbance()
	s.store.SetFailure([]platformtest.Failure{platformtest.Busy, platformtest.Silent, platformtest.Slow, platformtest.MissedEvents}[f.random.IntN(4)])
	time.Sleep(f.length)
	s.store.SetFailure(platformtest.None)
	s.recordDisturbance()
}

func (s *soakRun) compact(fault) {
	s.recordDisturbance()
	s.store.Compact()
}

// startDraining marks the first server of the desk service that is not draining as
// draining, and returns it with the number of its data centre, or nil.
func (s *soakRun) startDraining() (*platformtest.Server, int) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	for n, server := range s.servers {
		if server.Entry.Service == "desk" && !server.Entry.Draining() {
			server.Entry.Drain()
			s.servers = append(s.servers[:n:n], append(s.servers[n+1:], server)...)
			return server, int(server.Entry.Zone[0] - 'a')
		}
	}
	return nil, 0
}

// replaceServer starts a new server, drains an old one a second later, and removes the
// old one after its drain.
func (s *soakRun) replaceServer(fault) {
	server, c := s.startDraining()
	if server == nil {
		return
	}
	s.addServer("desk", c, 0)
	time.Sleep(time.Second)
	s.store.Register(server)
	drainStart := time.Now()
	time.Sleep(drainTimeout + time.Second)
	if drainStart.Add(-undisturbedTime).UnixNano() > s.lastDisturbance.Load() {
		s.mu.Lock()
		s.drainStarts[server] = drainStart
		s.mu.Unlock()
	}
	s.removeServer(server)
}

// crashServer silences a server; its entry in the store is removed 3.6 s later.
func (s *soakRun) crashServer(fault) {
	server, c := s.startDraining()
	if server == nil {
		return
	}
	s.deployment.recordEnd(server)
	server.Blackhole()
	time.Sleep(3600 * time.Millisecond)
	s.removeServer(server)
	s.addServer("desk", c, 0)
}

// partitionDataCentres drops all packets from the instances of a data centre to the
// servers of another one; answers still reach callers directly.
func (s *soakRun) partitionDataCentres(f fault) {
	from := f.random.IntN(dataCentres)
	to := (from + 1 + f.random.IntN(dataCentres-1)) % dataCentres
	s.recordDisturbance()
	s.partitioned[from][to].Store(true)
	time.Sleep(f.length)
	s.partitioned[from][to].Store(false)
	s.partitionEnded.Store(time.Now().UnixNano())
	s.recordDisturbance()
}

// losePackets drops a share of the callers' packets.
func (s *soakRun) losePackets(f fault) {
	s.recordDisturbance()
	s.lossy.Store(true)
	time.Sleep(f.length)
	s.lossy.Store(false)
	s.recordDisturbance()
}

// replaceSheets replaces all servers of the sheets service at once by cold ones.
func (s *soakRun) replaceSheets(fault) {
	s.recordDisturbance()
	for _, server := range s.takeSheets() {
		s.removeServer(server)
	}
	for c := range dataCentres {
		s.addServer("sheets", c, warmupTime)
	}
	time.Sleep(warmupTime)
	s.recordDisturbance()
}

// takeSheets removes the servers of the sheets service from the deployment and returns
// them.
func (s *soakRun) takeSheets() []*platformtest.Server {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	var taken, left []*platformtest.Server
	for _, server := range s.servers {
		if server.Entry.Service == "sheets" {
			taken = append(taken, server)
		} else {
			left = append(left, server)
		}
	}
	s.servers = left
	s.replacedSheets = append(s.replacedSheets, taken...)
	return taken
}

// checkWarmUps checks that cold servers got no more than ColdLimit requests in a second.
func (s *soakRun) checkWarmUps() {
	for _, server := range append(s.liveServers(), s.replacedSheets...) {
		if peak := server.ColdPeak(); peak > platformtest.ColdLimit {
			s.failf("%s got %d requests in a second while it was cold", server.Key(), peak)
		}
	}
}

func (s *soakRun) reconfigure(fault) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	s.configure()
}

func (s *soakRun) putForeignEntries(fault) { s.store.PutForeign() }
