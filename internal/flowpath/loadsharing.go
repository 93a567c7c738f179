package flowpath

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/overload"
	"balsamfork/internal/serverload"
)

const (
	// minReportInterval and reportIntervalPerInstance give the time between two load
	// reports: an instance sends and receives at most 50 reports a second.
	minReportInterval         = 500 * time.Millisecond
	reportIntervalPerInstance = 20 * time.Millisecond
	// settlingTime is how long sums must have counted before flows are refused by them: two
	// intervals between reports of a data centre of 50 instances.
	settlingTime = 2 * time.Second
	// recentFlow is the time since its last packet up to which a flow counts as held by
	// its server: several times the usual pause between two requests, about 1 s.
	recentFlow = 4 * time.Second
)

// LoadObserver is notified of what load sharing finds. No method may block.
type LoadObserver interface {
	// ShareLoad is called with each encoded report of this instance, for the other
	// instances of the data centre. The bytes are valid during the call only.
	ShareLoad(report []byte)
	// RoomChanged is called when the state of a service has changed. Senders is the
	// number of instances whose reports count.
	RoomChanged(service string, s overload.State, r overload.Room, senders int)
	// SpeedChanged is called when a server has become slow or normal again.
	SpeedChanged(b *catalogue.Backend, s serverload.Server)
	// RoomMeasured is called whenever the room of a service has been computed, with the
	// admitted part of its lowest priority that asks, from 0 to 1.
	RoomMeasured(service string, r overload.Room, admittedPart float64)
	// SumsMeasured is called whenever the sums have been computed, with the number of
	// instances whose reports count and the greatest age of a service's sums.
	SumsMeasured(senders int, age time.Duration)
}

// loadSharing is what a Decider knows of the load of its data centre's servers: its own
// samples, and the reports of all instances. It does nothing unless the configuration calls
// for it.
type loadSharing struct {
	on bool
	// configuration is the one that on and split follow from; split says that it has routes
	// with several services.
	configuration *catalogue.Configuration
	split         bool

	random  *rand.Rand
	sampler *serverload.Sampler
	table   *serverload.Table
	remote  *overload.RemoteSums
	// freshSince is the time from which the sums have counted without interruption.
	freshSince int64
	// fresh says that the table's sums counted when they were last computed.
	fresh      bool
	reportedAt int64
	// origin is the Unix time at which the decider's clock was zero, in nanoseconds: turns of
	// callers are the same at all instances.
	origin int64
	// estimateFlows counts the flows placed in the data centre while there were no sums.
	estimateFlows int
	// placed counts this instance's placements since its last report, by cookie.
	placed map[uint32]int
	// flows holds the flows of this instance at each server, by cookie.
	flows map[uint32]heldFlows
	// inProgress counts the handshakes and requests in progress at each server, by cookie,
	// without the requests whose responses have probably passed through another instance.
	inProgress map[uint32]int
	// members is the snapshot from which the table has its members, and targets the
	// target latency of each service in its configuration.
	members  *catalogue.Snapshot
	targets  map[string]time.Duration
	services map[string]*serviceLoad
	// slow holds the cookies of the servers that were found slow.
	slow   map[uint32]bool
	buffer []byte
	// sums is published for other goroutines; nil if nothing is known.
	sums sumsPointer
}

// heldFlows is the number of flows that a start of a server holds.
type heldFlows struct {
	started int64
	flows   int
}

func newLoadSharing(random *rand.Rand) *loadSharing {
	return &loadSharing{random: random}
}

// configure switches load sharing on or off, as the configuration calls for it: by routes with
// several services, or routes of one service with different priorities. What was known before
// is discarded. It returns true if load sharing has been switched.
func (s *loadSharing) configure(c *catalogue.Configuration, localInstances int) bool {
	if c == s.configuration {
		return false
	}
	s.configuration, s.split = c, c != nil && c.HasSplitRoutes()
	on := s.split || c != nil && c.RanksRequests()
	if on == s.on {
		return false
	}
	s.on, s.fresh, s.reportedAt, s.members = on, false, 0, nil
	s.sums.Store(nil)
	s.placed, s.inProgress, s.slow = map[uint32]int{}, map[uint32]int{}, map[uint32]bool{}
	s.flows, s.services = map[uint32]heldFlows{}, map[string]*serviceLoad{}
	if !on {
		s.sampler, s.table, s.remote = nil, nil, nil
		return true
	}
	// With another run, the others take the first report for newer than those from before.
	s.sampler, s.table, s.remote = serverload.NewSampler(s.random.Uint64()), serverload.NewTable(), &overload.RemoteSums{}
	s.table.SetInstances(localInstances)
	return true
}

// begin records that a request begins on a flow.
func (s *loadSharing) begin(e *flowtable.Entry, now int64) {
	if s.on {
		e.Sampled = true
		s.sampler.Begin(e.Cookie, e.Started, now)
	}
}

// end records that the response to the request on a flow begins.
func (s *loadSharing) end(e *flowtable.Entry, now int64) {
	if e.Sampled && s.on {
		s.sampler.End(e.Cookie, e.Started, time.Duration(now-e.RequestSent), now)
	}
	e.Sampled = false
}

// abandon records that the request on a flow, if there is one, gets no response that this
// instance could measure.
func (s *loadSharing) abandon(e *flowtable.Entry, now int64) {
	if e.Sampled && s.on {
		s.sampler.Abandon(e.Cookie, e.Started, now)
	}
	e.Sampled = false
}

// discard records that the request on a flow does not count.
func (s *loadSharing) discard(e *flowtable.Entry, now int64) {
	s.sampler.Discard(e.Cookie, e.Started, e.RequestSent, now)
	e.Sampled = false
}

// overdue reports whether the response to the request on a flow has probably passed through
// another instance.
func (s *loadSharing) overdue(e *flowtable.Entry, now int64) bool {
	return s.on && s.sampler.Overdue(e.Cookie, e.RequestSent, now)
}

// resume discards the samples of a time in which the instance was paused, and the reports from
// before: servers have had other work since.
func (s *loadSharing) resume(at int64) {
	if s.on {
		s.sampler.Report(at)
		s.table.Resume(at)
		s.fresh = false
	}
}

// remove discards what is known of a server that has started again or has left.
func (s *loadSharing) remove(cookie uint32) {
	if s.on {
		s.sampler.Remove(cookie)
		delete(s.placed, cookie)
		delete(s.flows, cookie)
		delete(s.inProgress, cookie)
		delete(s.slow, cookie)
	}
}

// clearFlows begins a count of the flows and requests at each server. Servers that had no flows
// in the last count are forgotten.
func (s *loadSharing) clearFlows() {
	clear(s.inProgress)
	for cookie, held := range s.flows {
		if held.flows == 0 {
			delete(s.flows, cookie)
			continue
		}
		s.flows[cookie] = heldFlows{started: held.started}
	}
}

// countFlow adds a flow to the count.
func (s *loadSharing) countFlow(e *flowtable.Entry) {
	held := s.flows[e.Cookie]
	s.flows[e.Cookie] = heldFlows{started: e.Started, flows: held.flows + 1}
}

// reportInterval returns the time between two reports of an instance.
func reportInterval(localInstances int) time.Duration {
	return max(minReportInterval, time.Duration(localInstances)*reportIntervalPerInstance)
}

// report makes the report that is due and applies it to the table. It returns nil if none is
// due: the first one is due an interval after the first call.
func (s *loadSharing) report(localInstances int, now int64) []byte {
	if s.reportedAt == 0 {
		s.reportedAt = now
	}
	if now-s.reportedAt < int64(reportInterval(localInstances)) {
		return nil
	}
	s.reportedAt = now
	clear(s.placed)
	for _, service := range s.services {
		service.placed = 0
	}
	r := s.sampler.Report(now)
	// An error means that the table is full of other senders; the report is sent all the same.
	_ = s.table.Apply(netip.Addr{}, r, now)
	s.buffer = r.Append(s.buffer[:0])
	return s.buffer
}

// sampleRequest records that the first data of a request is forwarded. Packets that waited
// do not show when the request began.
func (d *Decider) sampleRequest(e *flowtable.Entry, b *catalogue.Backend, now int64) {
	if d.isCurrent() && b.DataCentre == d.selector.DataCentre {
		d.load.begin(e, now)
	}
}

// sampleResponse records that the caller has received the first data of a response. A
// response that waited here, or whose request was forwarded before a pause, gives no time.
func (d *Decider) sampleResponse(e *flowtable.Entry, advanced bool, now int64) {
	if advanced && d.isCurrent() && e.RequestSent >= d.resumedAt {
		d.load.end(e, now)
		return
	}
	d.load.abandon(e, now)
}

// PeerLoad processes the report of another instance of the data centre, which arrived at a
// time.
func (d *Decider) PeerLoad(sender netip.Addr, r serverload.Report, arrived int64) error {
	if !d.load.on {
		return nil
	}
	return d.load.table.Apply(sender, r, arrived)
}

// SetClockOrigin sets the Unix time at which the clock of this instance was zero, in
// nanoseconds. Instances refuse the same callers at the same time if it is right.
func (d *Decider) SetClockOrigin(origin int64) { d.load.origin = origin }

// SharesLoad reports whether the configuration switches load sharing on.
func (d *Decider) SharesLoad() bool { return d.load.on }
