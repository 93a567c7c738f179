package flowpath

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/overload"
	"balsamfork/internal/serverload"
)

const (
	// maxLoadUpdates bounds the queue of load reports of peers: those of a data centre of
	// 100 instances over several seconds. It is apart from that of reports on failures, which
	// load reports must not push out.
	maxLoadUpdates = 256
	// reportWakeInterval is how often an instance without packets applies the reports of
	// peers and makes its own that is due.
	reportWakeInterval = 250 * time.Millisecond
)

// loadUpdate is a load report of an instance of the data centre, or the loads of services in
// another data centre. It waits for the next packet, so it carries the time of its arrival.
type loadUpdate struct {
	sender     netip.Addr
	report     serverload.Report
	dataCentre string
	sums       []RemoteSum
	arrived    int64
}

// PeerLoad queues the load report of another instance of the data centre. It does not
// block; the report is dropped if the queue is full. It returns an error for a malformed
// report.
func (p *Path) PeerLoad(sender netip.Addr, report []byte) error {
	r, err := serverload.Decode(report)
	if err != nil {
		return err
	}
	p.enqueueLoad(loadUpdate{sender: sender, report: r})
	return nil
}

// RemoteServiceSums queues the loads of services in another data centre. It does not block.
func (p *Path) RemoteServiceSums(dataCentre string, sums []RemoteSum) {
	p.enqueueLoad(loadUpdate{dataCentre: dataCentre, sums: sums})
}

// ServiceSums returns the loads of the services in this data centre, nil if they are not
// known. It is safe for concurrent use; the caller must not change the result.
func (p *Path) ServiceSums() []ServiceSum {
	if sums := p.decider.load.sums.Load(); sums != nil {
		return *sums
	}
	return nil
}

func (p *Path) enqueueLoad(u loadUpdate) {
	u.arrived = p.Clock()
	select {
	case p.loadUpdates <- u:
		p.updatesPending.Store(true)
	default:
		p.metrics.load.dropped.Inc(1)
	}
}

// applyLoadUpdates applies what has been queued. An outdated report is counted only:
// datagrams may be repeated or overtake one another.
func (p *Path) applyLoadUpdates() {
	for {
		select {
		case u := <-p.loadUpdates:
			if u.dataCentre != "" {
				p.decider.RecordRemoteSums(u.dataCentre, u.sums, u.arrived)
				continue
			}
			if p.decider.PeerLoad(u.sender, u.report, u.arrived) != nil {
				p.metrics.load.outdated.Inc(1)
			}
		default:
			return
		}
	}
}

// armReportWake makes Run wake up for reports if no packet arrives, while load sharing is
// on. Pending work must be handled after it, since it takes back an earlier interruptRead.
func (p *Path) armReportWake() {
	if !p.decider.SharesLoad() {
		p.wakes = false
		return
	}
	if err := p.conn.SetReadDeadline(time.Now().Add(reportWakeInterval)); err != nil {
		p.metrics.readErrors.Inc(1)
	}
	p.wakes = true
}

// ShareLoad implements LoadObserver.
func (p *Path) ShareLoad(report []byte) {
	p.metrics.load.reports.Inc(1)
	if p.Options.ShareLoad != nil {
		p.Options.ShareLoad(slices.Clone(report))
	}
}

var stateNames = [...]string{"unknown", "available", "busy", "full"}

// RoomChanged implements LoadObserver.
func (p *Path) RoomChanged(service string, s overload.State, r overload.Room, senders int) {
	p.Log.Info("Service room has changed.", "service", service, "state", stateNames[s], "load", r.Load,
		"slots", r.Slots, "senders", senders, "load_age_ms", r.Age.Milliseconds())
}

// SpeedChanged implements LoadObserver.
func (p *Path) SpeedChanged(b *catalogue.Backend, s serverload.Server) {
	p.Log.Info("Backend server's speed has changed.", "server", b.Name, "data_centre", b.DataCentre, "service", b.Service,
		"speed", s.Speed, "response_ms", float64(s.Response)/float64(time.Millisecond))
}

// RoomMeasured implements LoadObserver.
func (p *Path) RoomMeasured(service string, r overload.Room, admittedPart float64) {
	g := p.metrics.load.service(service)
	g.load.Update(r.Load)
	g.admittedPart.Update(admittedPart)
}

// SumsMeasured implements LoadObserver.
func (p *Path) SumsMeasured(senders int, age time.Duration) {
	p.metrics.load.senders.Update(float64(senders))
	p.metrics.load.age.Update(age.Seconds())
}

// loadMetrics holds the metrics of load sharing. Those of a service or a priority are
// created when it is first seen. Not safe for concurrent use.
type loadMetrics struct {
	scope                                         tally.Scope
	reports, outdated, dropped, overflows, spills tally.Counter
	senders, age                                  tally.Gauge
	services                                      map[string]serviceGauges
	refusals                                      map[int]tally.Counter
}

// serviceGauges hold a service's load per slot and the admitted part of its lowest priority.
type serviceGauges struct{ load, admittedPart tally.Gauge }

func newLoadMetrics(scope tally.Scope) loadMetrics {
	scope = scope.SubScope("load")
	return loadMetrics{
		scope:     scope,
		reports:   scope.Counter("reports"),
		outdated:  scope.Counter("reports_outdated"),
		dropped:   scope.Counter("reports_dropped"),
		overflows: scope.Counter("overflows"),
		spills:    scope.Counter("spills"),
		senders:   scope.Gauge("senders"),
		age:       scope.Gauge("age_seconds"),
		services:  map[string]serviceGauges{},
		refusals:  map[int]tally.Counter{},
	}
}

func (m *loadMetrics) service(name string) serviceGauges {
	g, found := m.services[name]
	if !found {
		scope := m.scope.Tagged(map[string]string{"service": name})
		g = serviceGauges{load: scope.Gauge("service_load"), admittedPart: scope.Gauge("admitted_part")}
		m.services[name] = g
	}
	return g
}

// count records what a decision on a new flow owes to load.
func (m *loadMetrics) count(v *Verdict) {
	switch {
	case v.Reason == Overloaded:
		c, found := m.refusals[v.Load.Rank]
		if !found {
			c = m.scope.Tagged(map[string]string{"priority": strconv.Itoa(v.Load.Rank)}).Counter("refusals")
			m.refusals[v.Load.Rank] = c
		}
		c.Inc(1)
	case v.Reason != Placed:
	default:
		if v.Load.OverflowFrom != "" {
			m.overflows.Inc(1)
		}
		if v.Load.Spilled {
			m.spills.Inc(1)
		}
	}
}
