package flowpath

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/serverload"
)

// networkDelay is the one-way delay between all parties of a fleet.
const networkDelay = ms

// The ports of the routes of a split configuration: one that may go to either service, an
// urgent one to service a, and one to service b.
const (
	splitPort  = 443
	urgentPort = 444
	otherPort  = 445
)

// splitConfiguration returns a configuration with a route that is split between the services
// a and b by weights.
func splitConfiguration(version int64, a, b int) *catalogue.Configuration {
	requests := func(priority int) catalogue.Requests {
		return catalogue.Requests{Target: 500 * time.Millisecond, Priority: &priority}
	}
	split, urgent, other := route(splitPort, ""), route(urgentPort, "a"), route(otherPort, "b")
	split.Shares = []catalogue.Share{{Service: "a", Weight: a}, {Service: "b", Weight: b}}
	split.Requests, urgent.Requests, other.Requests = requests(2), requests(1), requests(2)
	return &catalogue.Configuration{Version: version, Routes: []catalogue.Route{split, urgent, other}}
}

// fleet is the instances of data centre a, its servers and those of data centre b, and
// callers, in simulated time.
type fleet struct {
	mirror    *catalogue.Mirror
	instances []*harness
	// started is when the fleet's clock began, and now its time.
	started, now int64
	events       []event
	servers      map[uint32]*simServer
	random       *rand.Rand
	port         uint16
	// lies, if set, replaces the reports of the first instance.
	lies func(*serverload.Report)
	// silent says that reports are lost.
	silent bool
	long   bool
	// counts holds the outcomes of requests by port and outcome, and placed the flows by
	// service.
	counts map[string]int
	placed map[string]int
}

type event struct {
	at int64
	do func()
}

// simServer runs requests in its slots and queues up to 8 of them for each slot.
type simServer struct {
	slots, running            int
	work                      int64
	queue                     []func()
	answered, flows, requests int
}

// newFleet returns a fleet with servers of service a, each with 2 slots and 40 ms of work for
// a request, and a third as many of service b with 5 ms. Instances are added by start.
func newFleet(servers int) *fleet {
	f := &fleet{mirror: catalogue.NewMirror(), started: start, now: start, servers: map[uint32]*simServer{},
		random: rand.New(rand.NewPCG(7, 7)), counts: map[string]int{}, placed: map[string]int{}}
	records := []catalogue.Record{{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1, Configuration: splitConfiguration(1, 90, 10)}}
	add := func(service, dataCentre string, n int) {
		for i := range n {
			records = append(records, record(fmt.Sprint(service, dataCentre, i), uint64(len(records)+1), func(s *catalogue.Server) {
				s.Service, s.DataCentre, s.Slots, s.Started, s.Report = service, dataCentre, 2, 1000, 1
			}))
		}
	}
	add("a", "a", servers)
	add("b", "a", servers/3)
	add("a", "b", servers)
	f.mirror.Apply(catalogue.Delta{Complete: true, Revision: 1000, Records: records}, f.now, 0)
	for b := range f.mirror.Snapshot().Servers() {
		f.servers[b.Cookie] = &simServer{slots: b.Slots, work: map[string]int64{"a": 40 * ms, "b": 5 * ms}[b.Service]}
	}
	return f
}

func (f *fleet) after(delay int64, do func()) {
	e := event{f.now + delay, do}
	at, _ := slices.BinarySearchFunc(f.events, e.at+1, func(e event, at int64) int { return cmp.Compare(e.at, at) })
	f.events = slices.Insert(f.events, at, e)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now + int64(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.do()
	}
	f.now = end
}

// start adds an instance, or starts one again, after a delay.
func (f *fleet) start(i int, delay int64) {
	for len(f.instances) <= i {
		f.instances = append(f.instances, nil)
	}
	f.after(delay, func() {
		h := newHarness(0, nil)
		h.mirror, h.now, h.readAt, h.since = f.mirror, f.now, f.now, f.now
		f.instances[i] = h
		f.tick(h, i)
	})
}

// startAll starts instances within 0.3 s.
func (f *fleet) startAll(n int) {
	for i := range n {
		f.start(i, f.random.Int64N(300*ms))
	}
}

// tick wakes an instance up, like its own timer.
func (f *fleet) tick(h *harness, i int) {
	if f.instances[i] != h {
		return
	}
	f.use(h, i, func() { h.read(); h.RefreshLoad(f.mirror.Snapshot(), f.now) })
	f.after(250*ms, func() { f.tick(h, i) })
}

// use calls an instance at the present time, and delivers the reports that it makes.
func (f *fleet) use(h *harness, i int, do func()) {
	h.now, h.known, h.drainedAt = f.now, f.now, f.now
	h.SetInstances(2*len(f.instances), len(f.instances))
	do()
	for _, data := range h.reports {
		f.after(networkDelay, func() { f.deliver(data, i) })
	}
	h.reports = nil
}

// shareSums tells the instances every second how busy the servers of data centre b are.
func (f *fleet) shareSums() {
	sum := RemoteSum{Service: "a", Age: 500 * time.Millisecond}
	for _, b := range f.mirror.Snapshot().Backends("a") {
		if s := f.servers[b.Cookie]; b.DataCentre == "b" {
			sum.Slots += s.slots
			sum.Load += float64(s.running + len(s.queue))
		}
	}
	sum.Load /= float64(sum.Slots)
	for _, h := range f.instances {
		if h != nil {
			h.RecordRemoteSums("b", []RemoteSum{sum}, f.now)
		}
	}
	f.after(int64(time.Second), f.shareSums)
}

func (f *fleet) deliver(data []byte, from int) {
	r, err := serverload.Decode(data)
	if err != nil {
		panic(err)
	}
	if f.silent {
		return
	}
	if f.lies != nil && from == 0 {
		f.lies(&r)
	}
	for i, h := range f.instances {
		if h != nil && i != from {
			_ = h.PeerLoad(netip.AddrFrom4([4]byte{10, 1, 0, byte(from)}), r, f.now)
		}
	}
}

// request sends a request on a new flow of a caller. An outcome is answered, shed, refused or
// failed.
func (f *fleet) request(caller uint32, port uint16) {
	i := f.random.IntN(len(f.instances))
	h := f.instances[i]
	if h == nil {
		return
	}
	f.port++
	p := Packet{Flow: flow(f.port), Kind: Opening, Sequence: uint32(f.now), Arrived: f.now}
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 100<<24|64<<16|caller)
	p.Flow.Source, p.Flow.DestinationPort = netip.AddrFrom4(source), port
	var v Verdict
	f.use(h, i, func() { v = h.decide(p) })
	if v.Reason == Overloaded {
		f.counts[fmt.Sprint(port, " refused")]++
		return
	}
	if v.Action != Forward {
		f.counts[fmt.Sprint(port, " ", v.Reason)]++
		return
	}
	f.placed[v.Backend.Service]++
	f.placed["at "+v.Backend.DataCentre]++
	f.servers[v.Backend.Cookie].flows++
	p.Kind, p.Cookie, p.Acknowledged, p.Data = Established, v.Backend.Cookie, 1, 100
	f.after(2*networkDelay, func() { f.send(i, p, func(outcome string) { f.counts[fmt.Sprint(port, " ", outcome)]++ }) })
}

// send sends the data of a request, and ends the flow with its response.
func (f *fleet) send(i int, p Packet, done func(outcome string)) {
	h := f.instances[i]
	f.use(h, i, func() { p.Arrived = f.now; h.decide(p) })
	respond := func(outcome string) {
		done(outcome)
		if f.long {
			f.after(2*networkDelay, func() {
				p.Data, p.Acknowledged, p.Arrived = 0, p.Acknowledged+500, f.now
				f.use(f.instances[i], i, func() { f.instances[i].decide(p) })
				f.after(500*ms+f.random.Int64N(1000*ms), func() { p.Data = 100; p.Sequence += 100; f.send(i, p, done) })
			})
			return
		}
		f.after(2*networkDelay, func() {
			p.Data, p.Acknowledged, p.Finish, p.Arrived = 0, p.Acknowledged+500, true, f.now
			f.use(f.instances[i], i, func() { f.instances[i].decide(p) })
		})
	}
	f.servers[p.Cookie].requests++
	f.after(networkDelay, func() { f.serve(f.servers[p.Cookie], respond) })
}

// serve lets a server run a request, queue it, or shed it.
func (f *fleet) serve(s *simServer, respond func(outcome string)) {
	const queuePerSlot = 8
	switch {
	case s.running < s.slots:
		s.running++
		f.after(s.work, func() {
			s.running--
			s.answered++
			respond("answered")
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	case len(s.queue) < queuePerSlot*s.slots:
		s.queue = append(s.queue, func() { f.serve(s, respond) })
	default:
		respond("shed")
	}
}

// load lets callers send requests on a port at a rate, for some time.
func (f *fleet) load(port uint16, perSecond int, d time.Duration) {
	const callers = 400
	for n := range int(int64(perSecond) * int64(d) / int64(time.Second)) {
		f.after(int64(n)*int64(time.Second)/int64(perSecond), func() { f.request(f.random.Uint32N(callers), port) })
	}
}

// outcomes logs and returns the outcomes since the last call.
func (f *fleet) outcomes(t *testing.T, phase string) (counts, placed map[string]int) {
	t.Helper()
	counts, placed = f.counts, f.placed
	t.Log(phase, counts, placed)
	f.counts, f.placed = map[string]int{}, map[string]int{}
	return counts, placed
}
