package flowpath

import (
	"slices"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/selection"
)

// Reach is what an instance can do for callers.
type Reach struct {
	// Servers says that some service has a server that can be reached, or that none
	// is suspected.
	Servers bool
	// Unseen holds data centres whose servers are needed and of which nothing has
	// been heard since the start.
	Unseen []string
}

// Reach looks which servers can be reached. An instance that depends on other data
// centres does not count on them before they have answered: it may have started
// behind a cut.
func (d *Decider) Reach(snap *catalogue.Snapshot, now int64) Reach {
	if d.began == 0 {
		d.began = now
	}
	var r Reach
	suspected := false
	for _, service := range snap.ServiceNames() {
		switch d.selector.Best(snap, service, reachable{d}, now) {
		case selection.Local, selection.Cold:
			return Reach{Servers: true}
		case selection.Remote:
			unseen := d.unseen(snap, service, now)
			r.Servers = r.Servers || len(unseen) == 0
			r.Unseen = append(r.Unseen, unseen...)
		case selection.Suspected:
			suspected = true
		}
	}
	if !suspected && len(r.Unseen) == 0 {
		r.Servers = true
	}
	return r
}

// reachable sees servers as a Decider does, but for those that answer opening packets
// and no requests: another instance would reach no better ones.
type reachable struct{ *Decider }

// Suspected implements selection.View.
func (r reachable) Suspected(b *catalogue.Backend, now int64) bool {
	return r.suspicion.Unanswering(b.Cookie, now) || r.suspicion.Unreachable(b.DataCentre, now)
}

// unseen returns the data centres of a service's servers if none of them has been
// heard of since the start.
func (d *Decider) unseen(snap *catalogue.Snapshot, service string, now int64) []string {
	if now-d.began > int64(unseenFor) {
		return nil
	}
	var out []string
	for _, b := range snap.Backends(service) {
		if d.suspicion.Seen(b.DataCentre) {
			return nil
		}
		if b.DataCentre != d.selector.DataCentre && !slices.Contains(out, b.DataCentre) {
			out = append(out, b.DataCentre)
		}
	}
	return out
}
