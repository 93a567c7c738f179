package flowpath

import (
	"encoding/binary"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/overload"
	"balsamfork/internal/table"
)

// selectService returns a verdict with the service of a route that takes a new flow, and
// the load that this rests on.
func (d *Decider) selectService(route *catalogue.Route, hash uint64) Verdict {
	if !d.load.on {
		return Verdict{Service: overload.SelectService(route.Shares, hash, d.unknownRoom).Service}
	}
	selected := overload.SelectService(route.Shares, hash, d.roomOf)
	v := Verdict{Service: selected.Service, Load: LoadInputs{Rank: route.Requests.Rank(), OverflowFrom: selected.OverflowFrom}}
	if s := d.load.services[v.Service]; s != nil && d.load.fresh {
		v.Load.Known, v.Load.Age = true, s.room.Age
		v.Load.AdmittedPart = s.admission.Level()
		v.Load.Limited = v.Load.AdmittedPart < 1
	}
	return v
}

// keepService returns a verdict with the service of a flow whose opening packet was placed
// before: that of its server, whose selection may rest on loads that have changed since. If
// the route no longer names that service, or it has no usable server, the flow gets a new one.
func (d *Decider) keepService(route *catalogue.Route, e *flowtable.Entry, hash uint64, snap *catalogue.Snapshot) Verdict {
	if b := snap.ByCookie(e.Cookie); b != nil && d.load.on {
		for _, share := range route.Shares {
			if share.Service == b.Service && share.Weight > 0 && d.hasServers(b.Service) {
				return Verdict{Service: b.Service, Load: LoadInputs{Rank: route.Requests.Rank()}}
			}
		}
	}
	return d.selectService(route, hash)
}

// hasServers reports whether a service has usable servers.
func (d *Decider) hasServers(service string) bool {
	r, _ := d.roomOf(service)
	return r.Slots > 0
}

// refuses reports whether a service has no room for a new flow of the route's priority.
// Only sums of the data centre's instances justify a refusal. A copy of an opening packet
// must not be asked for, and a packet that was held or may have waited to be read is not refused:
// another instance may have placed the flow.
func (d *Decider) refuses(service string, route *catalogue.Route, p *Packet, now int64) bool {
	s := d.load.services[service]
	if s == nil || !d.load.on {
		return false
	}
	source := p.Flow.Source.As4()
	caller := table.Mix(uint64(binary.BigEndian.Uint32(source[:])))
	admitted := s.admission.Admit(route.Requests.Rank(), caller, now+d.load.origin)
	return !admitted && d.load.fresh && d.certainlyPrompt(now)
}

// certainlyPrompt reports whether the packet that is being decided can't have waited to be
// read. A process that is not scheduled for a while after its read had to wait takes the
// packets that have arrived meanwhile for new ones; a refusal must not rest on that.
func (d *Decider) certainlyPrompt(now int64) bool {
	return d.isCurrent() && now-d.lastDrained <= int64(maxReadDelay)
}
