package serverload

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// A report expires after lifetimeIntervals of its intervals, at least minLifetime.
	lifetimeIntervals = 3
	minLifetime       = 2 * time.Second
	// maxAge is the greatest age at which a report counts. Sums are as old as the oldest
	// report, and of no use beyond 5 s (internal/overload): with a greater age a single lost
	// instance of 100 would make all sums unknown for a time.
	maxAge = 5 * time.Second
	// retention is how long the table remembers the run and sequence of a sender that has
	// stopped, so that a delayed report of it is not taken for a new one.
	retention = time.Minute
	// maxOmitted limits how far the samples of a report are scaled up for those that did
	// not fit into it. An instance that has flows at all of 472 servers, a seventh of the
	// planned 3,300, can send a sixth of its samples.
	maxOmitted = 16
)

// Table holds the newest report of each instance of the data centre. It is not safe for
// concurrent use.
type Table struct {
	senders   []sender // ordered by address, so that the sums do not depend on the order of arrival
	servers   map[uint32]*entry
	services  map[string]*service
	instances int
	resumedAt int64 // reports from before do not count

	// As of the last call of Advance:
	now   int64
	known int           // senders whose reports count
	age   time.Duration // of the oldest report that counts
}

// sender is an instance that has reported.
type sender struct {
	address       netip.Addr
	run, sequence uint64
	replaced      uint64 // run before run, 0 for none
	received      int64
	interval      time.Duration
	samples       []Sample
	flows         float64 // factor for the flows of samples that did not fit into the report
	work          float64 // the same for requests and work in progress
	counts        bool    // the report counts in the sums
}

func (s *sender) expires() int64 {
	return s.received + int64(max(lifetimeIntervals*s.interval, minLifetime))
}

// isRecent reports whether the report counts: it was received after the last pause of the
// process and has not expired.
func (t *Table) isRecent(s *sender, now int64) bool {
	return s.received >= t.resumedAt && now < s.expires() && now-s.received <= int64(maxAge)
}

// entry is what is known of one start of a server.
type entry struct {
	started                 int64
	service                 *service // nil for a server that is no member
	slots                   float64
	flows, inProgress, rate float64
	responses               responses
	speed                   float64
}

// service is a service of the data centre and its sums over all members.
type service struct {
	members           []Member
	flows, inProgress float64
	median            float64 // of the mean response times, s; 0: not known
	speedSpread       float64 // see Service.SpeedSpread
	means, speeds     []float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{servers: map[uint32]*entry{}, services: map[string]*service{}}
}

// Apply replaces the report of a sender, whose samples it keeps. They count from the next
// call of Advance. It returns an error of class Outdated for a report that is not newer
// than the last one, of class Invalid for one without interval, and of class Full for a
// new sender beyond MaxSenders.
func (t *Table) Apply(from netip.Addr, r Report, now int64) error {
	if r.Interval < minInterval {
		return Invalid.New("interval: %v is too short", r.Interval)
	}
	at, found := slices.BinarySearchFunc(t.senders, from, func(s sender, a netip.Addr) int { return s.address.Compare(a) })
	flows, requests := r.totals()
	next := sender{
		address: from, run: r.Run, sequence: r.Sequence, received: now, interval: r.Interval, samples: r.Samples,
		flows: omitted(r.Flows, flows), work: omitted(r.Requests, requests),
	}
	if !found {
		if len(t.senders) >= MaxSenders {
			t.senders = slices.DeleteFunc(t.senders, func(s sender) bool { return !t.isRecent(&s, now) })
			if len(t.senders) >= MaxSenders {
				return Full.New("sender %v: %d senders are known", from, MaxSenders)
			}
			at, _ = slices.BinarySearchFunc(t.senders, from, func(s sender, a netip.Addr) int { return s.address.Compare(a) })
		}
		t.senders = slices.Insert(t.senders, at, next)
	} else {
		last := &t.senders[at]
		switch {
		case r.Run == last.run && r.Sequence <= last.sequence:
			return Outdated.New("sequence: %d of sender %v, %d is known", r.Sequence, from, last.sequence)
		case r.Run == last.run:
			next.replaced = last.replaced
		case r.Run == last.replaced:
			return Outdated.New("run: %x of sender %v has been replaced", r.Run, from)
		default:
			next.replaced = last.run
		}
		next.counts = last.counts
		*last = next
	}
	for i := range r.Samples {
		s := &r.Samples[i]
		if e := t.observe(s); e != nil && s.Completed > 0 {
			e.responses.add(s.Completed, s.Response, e.limit())
		}
	}
	return nil
}

// omitted returns the factor from the sum over the samples of a report to the sum over all.
func omitted(total, included int) float64 {
	return min(max(float64(total)/float64(max(included, 1)), 1), maxOmitted)
}

// observe returns the entry that a sample belongs to, or nil. The start of a member is
// that of SetMembers, whatever reports say; for other servers the latest start counts.
func (t *Table) observe(s *Sample) *entry {
	e := t.servers[s.Server]
	switch {
	case e == nil:
		if len(t.servers) >= MaxServers {
			return nil
		}
		e = &entry{started: s.Started, speed: 1}
		t.servers[s.Server] = e
	case e.started == s.Started:
	case e.service != nil || s.Started < e.started:
		return nil
	default:
		*e = entry{started: s.Started, speed: 1}
	}
	return e
}

// limit returns the largest response time that counts, 0 if the median is not known.
func (e *entry) limit() time.Duration {
	if e.service == nil {
		return 0
	}
	return seconds(responseLimit * e.service.median)
}

func (t *Table) responseLimit(server uint32, started int64) time.Duration {
	if e := t.find(server, started); e != nil {
		return e.limit()
	}
	return 0
}

func (t *Table) find(server uint32, started int64) *entry {
	if e := t.servers[server]; e != nil && e.started == started {
		return e
	}
	return nil
}

// SetInstances sets the number of instances of the data centre. The sums are not scaled by
// it: lost instances count for a minute, and would make idle servers look full.
func (t *Table) SetInstances(local int) { t.instances = local }

// Resume records the end of a pause of the process: reports that were received before it no
// longer count.
func (t *Table) Resume(at int64) { t.resumedAt = at }

// SetMembers sets the servers of the data centre, at most MaxServers. What is known of a
// server stays unless it has started again.
func (t *Table) SetMembers(members []Member) {
	members = members[:min(len(members), MaxServers)]
	last := t.services
	t.services = map[string]*service{}
	for _, e := range t.servers {
		e.service = nil
	}
	for _, m := range members {
		s := t.services[m.Service]
		if s == nil {
			s = &service{}
			if l := last[m.Service]; l != nil {
				s.flows, s.inProgress, s.median = l.flows, l.inProgress, l.median
			}
			t.services[m.Service] = s
		}
		s.members = append(s.members, m)
		e := t.find(m.Server, m.Started)
		if e == nil {
			e = &entry{started: m.Started, speed: 1}
			t.servers[m.Server] = e
		}
		e.service, e.slots = s, float64(max(m.Slots, 1))
	}
	if len(t.servers) > MaxServers {
		t.deleteServers(func(e *entry) bool { return e.service == nil })
	}
}

func (t *Table) deleteServers(unneeded func(*entry) bool) {
	for server, e := range t.servers {
		if unneeded(e) {
			delete(t.servers, server)
		}
	}
}

// Advance expires reports and computes the sums anew.
func (t *Table) Advance(now int64) {
	keep := decayOver(time.Duration(max(now-t.now, 0)))
	t.now = now
	for _, e := range t.servers {
		e.flows, e.inProgress, e.rate = 0, 0, 0
		e.responses.decay(keep)
	}
	t.expire(now)
	t.sum()
	t.estimate()
	t.deleteServers(func(e *entry) bool {
		return e.service == nil && e.flows == 0 && e.inProgress == 0 && e.rate == 0
	})
}

func (t *Table) expire(now int64) {
	t.senders = slices.DeleteFunc(t.senders, func(s sender) bool { return now-s.received >= int64(retention) })
	t.known, t.age = 0, 0
	for i := range t.senders {
		s := &t.senders[i]
		s.counts = t.isRecent(s, now)
		if !s.counts {
			s.samples = nil
			continue
		}
		t.known++
		t.age = max(t.age, time.Duration(now-s.received))
	}
}

// sum adds up the reports that count.
func (t *Table) sum() {
	for i := range t.senders {
		from := &t.senders[i]
		flows, perSecond := from.flows, from.work/from.interval.Seconds()
		for j := range from.samples {
			s := &from.samples[j]
			e := t.observe(s)
			if e == nil {
				continue
			}
			e.flows += float64(s.Flows) * flows
			e.inProgress += s.Busy.Seconds() * perSecond
			e.rate += float64(s.Requests) * perSecond
		}
	}
}

// estimate computes the sums and medians of the services and the speeds of their servers.
func (t *Table) estimate() {
	for _, s := range t.services {
		s.flows, s.inProgress, s.means, s.speeds = 0, 0, s.means[:0], s.speeds[:0]
		for _, m := range s.members {
			e := t.servers[m.Server]
			s.flows += e.flows
			s.inProgress += e.inProgress
			if e.responses.all.count >= minMedianSamples {
				s.means = append(s.means, e.responses.all.value())
			}
		}
		// Without recent responses the last median stays, as a limit of the next ones.
		if len(s.means) > 0 {
			s.median = median(s.means)
		}
		for _, m := range s.members {
			e := t.servers[m.Server]
			e.speed = e.responses.speed(s.median)
			s.speeds = append(s.speeds, e.speed)
		}
		s.speedSpread = spread(s.speeds)
	}
}

// Fresh reports whether the sums include recent reports of another instance and of at
// least half of the data centre's instances. This instance's own reports must be applied
// too: with two senders, one of them is another instance.
func (t *Table) Fresh(now int64) bool {
	n := 0
	for i := range t.senders {
		if s := &t.senders[i]; s.counts && t.isRecent(s, now) {
			n++
		}
	}
	return n >= 2 && 2*n >= t.instances
}

// Senders returns the number of instances whose reports count in the sums.
func (t *Table) Senders() int { return t.known }
