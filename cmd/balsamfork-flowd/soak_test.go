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
	soakSeeds = flag.Int("soak.seeds", 1, "number of soaks, with seeds that follow on")
	soakEach  = flag.Int("soak.each", 3, "number of instances in each data centre")
	soakFor   = flag.Duration("soak.for", 8*time.Second, "how long each soak injects faults")
)

// regressions are the seeds of a short run, and those that have failed before.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "the short run of CI"},
	{138, "a stopped instance read an opening packet and its copies at once and sent each to another server"},
}

const (
	// calm is how long after the last fault the deployment must serve again: a
	// suspicion lasts 8 s at most.
	calm = 9 * time.Second
	// steady is how long nothing may have been disturbed for the bounds to hold.
	steady = 4 * time.Second
	// drainWithin bounds the time from a server's notice to its last new flow; slack
	// covers this machine's own delays.
	drainWithin = 3 * time.Second
	slack       = 300 * time.Millisecond
	// coldFor is how long a server that comes back stays cold.
	coldFor = 2 * time.Second
	// pause is the mean time between faults and between a flow's requests.
	pause = 400 * time.Millisecond
)

func TestSoak(t *testing.T) {
	if *soakSeed == 0 {
		for _, r := range regressions {
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

// soaked is one soak: a deployment under traffic and faults.
type soaked struct {
	*deployment
	random *rand.Rand
	// disturbed is the Unix time of the last disturbance, in nanoseconds.
	disturbed atomic.Int64
	judging   atomic.Bool
	counts    [platformtest.Mixed + 1]atomic.Int64
	faults    sync.WaitGroup
	mu        sync.Mutex
	broken    []string
	drained   map[*platformtest.Server]time.Time
	// sheets holds the servers of the sheets that were replaced.
	sheets []*platformtest.Server
}

func soak(t *testing.T, seed uint64, span time.Duration) {
	s := &soaked{
		deployment: newDeployment(t, byte(20+seed%200), *soakEach),
		random:     rand.New(rand.NewPCG(seed, 0)),
		drained:    map[*platformtest.Server]time.Time{},
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for c := range dataCentres {
		for n := range callersEach {
			caller, err := platformtest.NewCaller(netip.AddrPortFrom(s.address(30+c, n), packetPort), s.route(centre(c)))
			s.must(err)
			defer caller.Close()
			for k := range 4 {
				traffic.Add(1)
				go func() {
					defer traffic.Done()
					s.call(caller, k, stop)
				}()
			}
		}
	}
	s.inject(span)
	s.faults.Wait()
	s.disturb()
	time.Sleep(calm)
	s.judging.Store(true)
	time.Sleep(2 * time.Second)
	close(stop)
	traffic.Wait()
	s.checkDrains()
	s.checkWarmUps()
	s.report(seed)
	s.close()
}

func (s *soaked) disturb() { s.disturbed.Store(time.Now().UnixNano()) }

func (s *soaked) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// call sends requests until it is stopped, on long flows and on a flow each.
func (s *soaked) call(c *platformtest.Caller, k int, stop <-chan struct{}) {
	to, service, requests := deskAt, "desk", 20
	if k%2 == 1 {
		requests = 1
	}
	if k == 3 {
		to, service = sheetsAt, "sheets"
	}
	for {
		flow, outcome := c.Open(to)
		s.counts[outcome].Add(1)
		if flow == nil && s.judging.Load() {
			s.fail("a flow did not open after the faults: outcome %d", outcome)
		}
		for n := 0; flow != nil && n < requests; n++ {
			outcome = flow.Request(service)
			s.counts[outcome].Add(1)
			s.judge(flow, outcome)
			if outcome != platformtest.Answered {
				break
			}
			time.Sleep(pause / 8)
		}
		if flow != nil {
			flow.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(pause / 8):
		}
	}
}

// judge checks what holds for every request.
func (s *soaked) judge(flow *platformtest.Flow, outcome platformtest.Outcome) {
	switch outcome {
	case platformtest.Mixed:
		s.fail("flow %v got an answer that is not its own", flow.Local)
	case platformtest.Reset:
		if holder := s.holder(flow.Local); flow.ResetBySystem && holder != nil {
			s.fail("flow %v was reset while %s serves", flow.Local, holder.Key())
		}
	}
	if s.judging.Load() && outcome != platformtest.Answered {
		s.fail("flow %v was not served after the faults: outcome %d", flow.Local, outcome)
	}
}

// checkDrains looks for flows that a server got long after its notice.
func (s *soaked) checkDrains() {
	for server, at := range s.drained {
		for _, o := range server.Openings() {
			if o.At.Sub(at) > drainWithin+slack {
				s.fail("%s got flow %v %v after its notice to leave", server.Key(), o.Flow, o.At.Sub(at))
			}
		}
	}
}

func (s *soaked) report(seed uint64) {
	s.t.Logf("seed %d: answered %d, refused %d, unopened %d, reset %d, lost %d, mixed %d", seed,
		s.counts[platformtest.Answered].Load(), s.counts[platformtest.Refused].Load(), s.counts[platformtest.Unopened].Load(),
		s.counts[platformtest.Reset].Load(), s.counts[platformtest.Lost].Load(), s.counts[platformtest.Mixed].Load())
	for n, text := range s.broken {
		if n < 5 {
			s.t.Error(text)
		}
	}
	if len(s.broken) > 0 {
		s.keepLogs(seed)
	}
}

// keepLogs copies the logs of a failed soak to where they outlive the test.
func (s *soaked) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	s.must(err)
	for _, i := range s.instances {
		data, err := os.ReadFile(i.log)
		s.must(err)
		s.must(os.WriteFile(dir+"/"+i.name, data, 0o600))
	}
	s.t.Logf("logs are kept in %s", dir)
}

// inject starts faults for a time. They overlap.
func (s *soaked) inject(span time.Duration) {
	kinds := []func(time.Duration){
		s.kill, s.terminate, s.freeze, s.reload, s.cutFromStore, s.storeTrouble, s.compact, s.storeTrouble,
		s.replaceServer, s.crashServer, s.configureAgain, s.foreignEntries, s.cutDataCentres, s.lose, s.coldReturn,
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		kind := kinds[s.random.IntN(len(kinds))]
		length := time.Duration(s.random.Int64N(int64(2 * time.Second)))
		s.faults.Add(1)
		go func() {
			defer s.faults.Done()
			kind(length)
		}()
		time.Sleep(pause/2 + time.Duration(s.random.Int64N(int64(pause))))
	}
}

// pick returns an instance that no other fault holds, which stays locked.
func (s *soaked) pick() *instance {
	for {
		i := s.instances[rand.IntN(len(s.instances))]
		if i.mu.TryLock() {
			return i
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *soaked) kill(down time.Duration) {
	i := s.pick()
	defer i.mu.Unlock()
	s.disturb()
	_ = s.end(i, syscall.SIGKILL)
	time.Sleep(down)
	s.start(i)
	s.disturb()
}

func (s *soaked) terminate(time.Duration) {
	i := s.pick()
	defer i.mu.Unlock()
	if err := s.end(i, syscall.SIGTERM); err != nil {
		s.fail("%s did not end in order: %v", i.name, err)
	}
	s.start(i)
}

func (s *soaked) freeze(length time.Duration) {
	i := s.pick()
	defer i.mu.Unlock()
	s.disturb()
	_ = i.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = i.process.Process.Signal(syscall.SIGCONT)
	s.disturb()
}

func (s *soaked) reload(time.Duration) {
	i := s.pick()
	defer i.mu.Unlock()
	_ = i.process.Process.Signal(syscall.SIGHUP)
}

// cutFromStore harms one instance's connections to the store.
func (s *soaked) cutFromStore(length time.Duration) {
	i := s.pick()
	defer i.mu.Unlock()
	s.disturb()
	switch rand.IntN(3) {
	case 0:
		i.proxy.Silence(true)
	case 1:
		i.proxy.Delay(length / 4)
	case 2:
		i.proxy.Reset()
	}
	time.Sleep(length)
	i.proxy.Silence(false)
	i.proxy.Delay(0)
	i.proxy.Reset()
	s.disturb()
}

func (s *soaked) storeTrouble(length time.Duration) {
	s.disturb()
	s.store.SetTrouble([]platformtest.Trouble{platformtest.Busy, platformtest.Silent, platformtest.Slow, platformtest.Deaf}[rand.IntN(4)])
	time.Sleep(length)
	s.store.SetTrouble(platformtest.None)
	s.disturb()
}

func (s *soaked) compact(time.Duration) {
	s.disturb()
	s.store.Compact()
}

// leave takes a server of the desk that is to leave.
func (s *soaked) leave() (*platformtest.Server, int) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	for n, server := range s.servers {
		if server.Entry.Service == "desk" && !server.Entry.Leaving() {
			server.Entry.Leave()
			s.servers = append(s.servers[:n:n], append(s.servers[n+1:], server)...)
			return server, int(server.Entry.Zone[0] - 'a')
		}
	}
	return nil, 0
}

// replaceServer drains a server once its successor has started.
func (s *soaked) replaceServer(time.Duration) {
	server, c := s.leave()
	if server == nil {
		return
	}
	s.addServer("desk", c, 0)
	time.Sleep(time.Second)
	s.store.Register(server)
	noticed := time.Now()
	time.Sleep(drainWithin + time.Second)
	if noticed.Add(-steady).UnixNano() > s.disturbed.Load() {
		s.mu.Lock()
		s.drained[server] = noticed
		s.mu.Unlock()
	}
	s.drop(server)
}

// crashServer lets a server fall silent; its entry lapses later.
func (s *soaked) crashServer(time.Duration) {
	server, c := s.leave()
	if server == nil {
		return
	}
	server.Dark()
	time.Sleep(3600 * time.Millisecond)
	s.drop(server)
	s.addServer("desk", c, 0)
}

// cutDataCentres loses all packets from the instances of a data centre to the servers
// of another one; answers still reach callers directly.
func (s *soaked) cutDataCentres(length time.Duration) {
	from := rand.IntN(dataCentres)
	to := (from + 1 + rand.IntN(dataCentres-1)) % dataCentres
	s.disturb()
	s.cut[from][to].Store(true)
	time.Sleep(length)
	s.cut[from][to].Store(false)
	s.disturb()
}

// lose lets the links of callers lose packets.
func (s *soaked) lose(length time.Duration) {
	s.disturb()
	s.lossy.Store(true)
	time.Sleep(length)
	s.lossy.Store(false)
	s.disturb()
}

// coldReturn replaces all servers of the sheets at once by cold ones.
func (s *soaked) coldReturn(time.Duration) {
	s.disturb()
	for _, server := range s.takeSheets() {
		s.drop(server)
	}
	for c := range dataCentres {
		s.addServer("sheets", c, coldFor)
	}
	time.Sleep(coldFor)
	s.disturb()
}

// takeSheets takes the servers of the sheets out of the deployment.
func (s *soaked) takeSheets() []*platformtest.Server {
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
	s.sheets = append(s.sheets, taken...)
	return taken
}

// checkWarmUps looks for cold servers that got too much.
func (s *soaked) checkWarmUps() {
	for _, server := range append(s.live(), s.sheets...) {
		if peak := server.ColdPeak(); peak > platformtest.ColdLimit {
			s.fail("%s got %d requests in a second while it was cold", server.Key(), peak)
		}
	}
}

func (s *soaked) configureAgain(time.Duration) {
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	s.configure()
}

func (s *soaked) foreignEntries(time.Duration) { s.store.PutForeign() }
