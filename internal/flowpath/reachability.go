package flowpath

import (
	"slices"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/selection"
)

// Reachability says whether an instance can reach backend servers.
type Reachability struct {
	// Reachable says that some service has a server that can be reached, or that no
	// server is suspected and no data centre unconfirmed.
	Reachable bool
	// UnconfirmedDataCentres holds data centres whose servers are needed and from
	// which no answer has been received since the start.
	UnconfirmedDataCentres []string
}

// Reachability determines which servers can be reached. An instance that depends on
// other data centres does not count on them before they have answered: it may have
// started during a network partition.
func (d *Decider) Reachability(snap *catalogue.Snapshot, now int64) Reachability {
	if d.startedAt == 0 {
		d.startedAt = now
	}
	var r Reachability
	suspected := false
	for _, service := range snap.ServiceNames() {
		switch d.selector.BestTier(snap, service, reachabilityView{d}, now) {
		case selection.Local, selection.Cold:
			return Reachability{Reachable: true}
		case selection.Remote:
			unconfirmed := d.unconfirmed(snap, service, now)
			r.Reachable = r.Reachable || len(unconfirmed) == 0
			r.UnconfirmedDataCentres = append(r.UnconfirmedDataCentres, unconfirmed...)
		case selection.Suspected:
			suspected = true
		}
	}
	if !suspected && len(r.UnconfirmedDataCentres) == 0 {
		r.Reachable = true
	}
	return r
}

// reachabilityView is a Decider's view of servers in which missing data raises no
// suspicion: if servers answer opening packets but no requests, another instance would
// reach no better ones.
type reachabilityView struct{ *Decider }

// Suspected implements selection.View.
func (r reachabilityView) Suspected(b *catalogue.Backend, now int64) bool {
	return r.suspicion.HandshakeSuspected(b.Cookie, now) || r.suspicion.Unreachable(b.DataCentre, now)
}

// unconfirmed returns the remote data centres of a service's servers if none of the
// service's data centres has answered since the start, and nil once
// remoteContactTimeout has passed.
func (d *Decider) unconfirmed(snap *catalogue.Snapshot, service string, now int64) []string {
	if now-d.startedAt > int64(remoteContactTimeout) {
		return nil
	}
	var out []string
	for _, b := range snap.Backends(service) {
		if d.suspicion.EverAnswered(b.DataCentre) {
			return nil
		}
		if b.DataCentre != d.selector.DataCentre && !slices.Contains(out, b.DataCentre) {
			out = append(out, b.DataCentre)
		}
	}
	return out
}
