package flowpath

import (
	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/serverload"
)

// RefreshLoad recomputes the load of servers and services, and makes the report that is
// due, if the last time was loadRefreshInterval ago or the catalogue has changed.
func (d *Decider) RefreshLoad(snap *catalogue.Snapshot, now int64) {
	d.now = now
	d.Observe(snap)
	d.refreshDueLoad(now)
}

func (d *Decider) refreshDueLoad(now int64) {
	interval := loadRefreshInterval
	if d.load.on && d.load.members != d.observed {
		interval = snapshotRefreshInterval
	}
	if now-d.loadCountedAt > int64(interval) {
		d.refreshLoad(now)
	}
}

// refreshLoad counts the flows at each server in one pass over the flow table.
func (d *Decider) refreshLoad(now int64) {
	clear(d.outstanding)
	if d.load.on {
		d.load.clearFlows()
	}
	d.flows.Scan(now, func(e *flowtable.Entry, outstanding bool) { d.countFlow(e, outstanding, now) })
	d.loadCountedAt = now
	if d.load.on {
		d.refreshSharing(now)
	}
}

// countFlow counts one flow of the flow table.
func (d *Decider) countFlow(e *flowtable.Entry, outstanding bool, now int64) {
	b := d.observed.ByCookie(e.Cookie)
	current := inStart(b, e.Started)
	if outstanding && current {
		d.outstanding[e.Cookie]++
	}
	if e.Sampled && d.load.overdue(e, now) {
		d.load.discard(e, now)
	}
	if !outstanding {
		d.load.abandon(e, now)
	}
	if d.load.on && outstanding && current && (e.State == flowtable.Opening || e.Sampled) {
		d.load.inProgress[e.Cookie]++
	}
	open := e.State == flowtable.Open || outstanding
	if d.load.on && current && open && b.DataCentre == d.selector.DataCentre && now-e.Last < int64(recentFlow) {
		d.load.countFlow(e)
	}
}

// refreshSharing makes the report that is due, and recomputes sums and rooms.
func (d *Decider) refreshSharing(now int64) {
	s := d.load
	for cookie, held := range s.flows {
		s.sampler.SetFlows(cookie, held.started, held.flows)
	}
	if s.members != d.observed {
		d.refreshMembers()
	}
	if report := s.report(d.localInstances, now); report != nil {
		d.observer.ShareLoad(report)
	}
	s.table.Advance(now)
	s.sampler.LimitResponses(s.table)
	s.refreshFresh(now)
	d.refreshServices(now)
	d.checkSpeeds()
}

// refreshFresh notes whether the sums count.
func (s *loadSharing) refreshFresh(now int64) {
	fresh := s.table.Fresh(now)
	if fresh && !s.fresh {
		s.freshSince = now
	}
	if s.fresh = fresh; fresh {
		s.estimateFlows = 0
	}
}

// justifiesRefusals reports whether the sums are settled. The first ones after a start include
// the rush of callers that come back, which is over when they arrive.
func (s *loadSharing) justifiesRefusals(now int64) bool {
	return s.fresh && now-s.freshSince >= int64(settlingTime)
}

// refreshMembers takes over the servers of the data centre and the targets of services from
// the observed snapshot.
func (d *Decider) refreshMembers() {
	var members []serverload.Member
	for b := range d.observed.Servers() {
		if b.DataCentre == d.selector.DataCentre {
			members = append(members, serverload.Member{Server: b.Cookie, Started: b.Started, Service: b.Service, Slots: b.Slots})
		}
	}
	d.load.table.SetMembers(members)
	d.load.targets = targets(d.observed.Configuration)
	d.load.members = d.observed
}
