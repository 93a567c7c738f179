package flowpath

import (
	"slices"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/overload"
	"balsamfork/internal/selection"
	"balsamfork/internal/serverload"
)

const (
	// minEstimateFlows is the number of flows that an instance must have placed before it
	// estimates the room of services from its own flows: fewer are chance.
	minEstimateFlows = 4
	// plannedLocalInstances is the number of instances of the data centre assumed while an
	// instance is starting and may know few of the others: 415 in 7 data centres, the planned
	// size. Callers come back within some 0.1 s of a total loss, before instances have found
	// one another.
	plannedLocalInstances = 59
	// minOwnRequests is the number of requests in progress at a service from which an
	// instance takes its own traffic, times the instances, as the load of the data centre if
	// that is higher: with as many, chance changes it by less than a third. Reports are up
	// to a second late, and a flood fills all queues in that time.
	minOwnRequests = 10
	// unevenSpread is the ratio of the speeds of a service's fast and slow servers from which
	// it is served better by load than by hash: estimates of servers that are alike differ by
	// less.
	unevenSpread = 1.5
)

// serviceLoad is what is known of the room of one service.
type serviceLoad struct {
	room   overload.Room
	limits overload.Limits
	// speedSpread is the ratio of the speeds of its fast and slow servers, and byLoad says that
	// flows are placed by the shared load of its servers.
	speedSpread float64
	byLoad      bool
	// localSlots are the slots of the service's Local servers.
	localSlots int
	// estimated says that the room rests on this instance's own flows, and placed counts the
	// flows that it has placed in the data centre since its last report.
	estimated bool
	placed    int
	admission overload.Admission
	spill     overload.Spill
	// spillKnown says that spillShare is the part of the flows that goes to other data
	// centres.
	spillKnown bool
	spillShare float64
	// state is the last one that was notified, at notifiedAt.
	state      overload.State
	notifiedAt int64
}

// targets returns the target latency of each service: that of its most urgent route, of
// several the shortest.
func targets(c *catalogue.Configuration) map[string]time.Duration {
	out, ranks := map[string]time.Duration{}, map[string]int{}
	if c == nil {
		return out
	}
	for i := range c.Routes {
		requests := &c.Routes[i].Requests
		for _, share := range c.Routes[i].Shares {
			if share.Weight <= 0 || requests.Target == 0 {
				continue
			}
			rank, found := ranks[share.Service]
			shorter := rank == requests.Rank() && requests.Target < out[share.Service]
			if !found || requests.Rank() < rank || shorter {
				ranks[share.Service], out[share.Service] = requests.Rank(), requests.Target
			}
		}
	}
	return out
}

// refreshServices recomputes the room of each service.
func (d *Decider) refreshServices(now int64) {
	var sums []ServiceSum
	age := time.Duration(0)
	for _, name := range d.observed.ServiceNames() {
		s := d.load.services[name]
		if s == nil {
			s = &serviceLoad{}
			d.load.services[name] = s
		}
		d.refreshService(name, s, now)
		d.observer.RoomMeasured(name, s.room, s.admission.Level())
		age = max(age, s.room.Age)
		if d.load.fresh && s.localSlots > 0 && s.room.Known {
			sums = append(sums, ServiceSum{Service: name, Load: s.room.Load, Slots: s.room.Slots, MeasuredAt: now - int64(s.room.Age)})
		}
		d.notifyRoom(name, s, now)
	}
	d.observer.SumsMeasured(d.load.table.Senders(), age)
	for name := range d.load.services {
		if !slices.Contains(d.observed.ServiceNames(), name) {
			delete(d.load.services, name)
		}
	}
	if sums == nil {
		d.load.sums.Store(nil)
		return
	}
	d.load.sums.Store(&sums)
}

// refreshService recomputes the room of a service, and what follows from it.
func (d *Decider) refreshService(name string, s *serviceLoad, now int64) {
	local, all := d.usableSlots(name, now)
	remote := d.load.remote.Rooms(name, now)
	s.localSlots, s.estimated, s.speedSpread = local, false, 1
	switch {
	case local == 0:
		s.room = remoteRoom(remote, all)
	case d.load.fresh:
		s.room, s.speedSpread = d.sharedRoom(name, local, now)
	default:
		s.estimated = true
		s.room = overload.Room{Slots: local, Known: d.load.estimateFlows >= minEstimateFlows}
		s.room.Load = d.selector.LocalLoad(d.observed, name, ownLoads{d}, now) * float64(d.assumedInstances(now))
	}
	s.limits = overload.LimitsFor(d.load.targets[name], s.room.ServiceTime)
	s.byLoad = d.load.fresh && (d.load.split || s.speedSpread >= unevenSpread || s.room.State(s.limits) >= overload.Busy)
	s.admission.Update(d.admissionRoom(name, s, now), s.limits, now+d.load.origin)
	s.spillKnown = d.load.fresh && local > 0 && s.room.Known && len(remote) > 0
	s.spillShare = 0
	if s.spillKnown {
		s.spillShare = s.spill.Share(s.room, remote)
	}
}

// assumedInstances returns the number of instances that are assumed to place as many flows as
// this one while there are no sums.
func (d *Decider) assumedInstances(now int64) int {
	if d.starting(now) {
		return max(d.localInstances, plannedLocalInstances)
	}
	return d.localInstances
}

// admissionRoom returns the room on which refusals may rest: only the sums of several
// instances. Its age is the time since this instance's last report, since all instances
// report once in that time. The age of the oldest report would hold the adaptation up for
// seconds whenever an instance is lost.
func (d *Decider) admissionRoom(name string, s *serviceLoad, now int64) overload.Room {
	r := s.room
	r.Known = r.Known && d.load.justifiesRefusals(now)
	if s.localSlots == 0 {
		return r
	}
	r.Age = time.Duration(d.loadCountedAt - d.load.reportedAt)
	if own, requests := d.ownRoom(name, now); requests >= minOwnRequests && own > r.Load {
		r.Load, r.Age = own, 0
	}
	return r
}

// ownRoom returns the load of a service's Local servers by this instance's own requests, if
// all instances have as many, and their number.
func (d *Decider) ownRoom(service string, now int64) (load float64, requests int) {
	slots := 0
	for _, b := range d.observed.Backends(service) {
		if d.selector.Tier(d.observed, b, d, now) == selection.Local {
			requests += d.load.inProgress[b.Cookie]
			slots += b.Slots
		}
	}
	return float64(requests*d.reportingInstances()) / float64(max(slots, 1)), requests
}

// reportingInstances returns the number of instances whose reports count, or of those known in
// the data centre if too few do. Lost instances are known for a minute.
func (d *Decider) reportingInstances() int {
	if d.load.fresh {
		return d.load.table.Senders()
	}
	return d.localInstances
}

// usableSlots returns the slots of the Local servers of a service, and those of all that
// are Local or Remote.
func (d *Decider) usableSlots(service string, now int64) (local, all int) {
	for _, b := range d.observed.Backends(service) {
		switch d.selector.Tier(d.observed, b, d, now) {
		case selection.Local:
			local += b.Slots
			all += b.Slots
		case selection.Remote:
			all += b.Slots
		}
	}
	return local, all
}

// sharedRoom returns the room of a service by the sums of the data centre's instances. Slots
// are those of its Local servers. It also returns the spread of their speeds.
func (d *Decider) sharedRoom(service string, slots int, now int64) (overload.Room, float64) {
	sum := d.load.table.Service(service, func(m serverload.Member) bool {
		b := d.observed.ByCookie(m.Server)
		return inStart(b, m.Started) && d.selector.Tier(d.observed, b, d, now) == selection.Local
	})
	r := overload.Room{Slots: slots, Known: sum.Known, Age: sum.Age}
	if sum.Capacity > 0 {
		r.Load = sum.InProgress / sum.Capacity
	}
	// With more than one request a slot, a response takes as many times longer.
	r.ServiceTime = time.Duration(float64(sum.ServiceTime) / max(1, r.Load))
	return r, sum.SpeedSpread
}

// roomNow returns the room of a service with the flows that were placed since this instance's
// last report, if each instance has placed as many. Fewer than minEstimateFlows are chance.
func (d *Decider) roomNow(s *serviceLoad) overload.Room {
	if s.estimated {
		r := s.room
		r.Known = d.load.estimateFlows >= minEstimateFlows
		return r
	}
	if !d.load.fresh || s.localSlots == 0 || s.placed < minEstimateFlows {
		return s.room
	}
	since := time.Duration(d.now - d.load.reportedAt)
	return s.room.WithPlaced(float64(s.placed*d.reportingInstances()), since)
}

// remoteRoom returns the room of a service whose usable servers are in other data centres,
// which have the given slots: the mean of their loads.
func remoteRoom(remote []overload.Room, slots int) overload.Room {
	out := overload.Room{Slots: slots}
	if slots == 0 {
		return out
	}
	weight := 0
	for _, r := range remote {
		out.Load += r.Load * float64(r.Slots)
		weight += r.Slots
		out.Age = max(out.Age, r.Age)
	}
	if weight > 0 {
		out.Load /= float64(weight)
		out.Known = true
	}
	return out
}

// roomOf returns the room and the limits of a service.
func (d *Decider) roomOf(service string) (overload.Room, overload.Limits) {
	if s := d.load.services[service]; s != nil {
		return d.roomNow(s), s.limits
	}
	return d.unknownRoom(service)
}

// unknownRoom returns the room of a service of which nothing but its servers is known.
func (d *Decider) unknownRoom(service string) (overload.Room, overload.Limits) {
	slots := 0
	if len(d.observed.Backends(service)) > 0 {
		slots = 1
	}
	return overload.Room{Slots: slots}, overload.LimitsFor(0, 0)
}
