package flowpath

import (
	"time"

	"balsamfork/internal/catalogue"
)

const (
	// roomLogInterval is the shortest time between two log lines on a service's room.
	roomLogInterval = time.Second
	// slowSpeed is the speed below which a server counts as slow, and normalSpeed that
	// above which it counts as normal again.
	slowSpeed, normalSpeed = 0.5, 0.7
)

// notifyRoom tells the observer of a change in a service's state.
func (d *Decider) notifyRoom(name string, s *serviceLoad, now int64) {
	state := s.room.State(s.limits)
	if state == s.state || s.notifiedAt != 0 && now-s.notifiedAt < int64(roomLogInterval) {
		return
	}
	s.state, s.notifiedAt = state, now
	d.observer.RoomChanged(name, state, s.room, d.load.table.Senders())
}

// checkSpeeds tells the observer of servers that have become slow or normal again.
func (d *Decider) checkSpeeds() {
	if !d.load.fresh {
		return
	}
	for _, name := range d.observed.ServiceNames() {
		for _, b := range d.observed.Backends(name) {
			if b.DataCentre == d.selector.DataCentre && !b.Ambiguous {
				d.checkSpeed(b)
			}
		}
	}
}

func (d *Decider) checkSpeed(b *catalogue.Backend) {
	s := d.load.table.Server(b.Cookie, b.Started)
	slow := d.load.slow[b.Cookie]
	switch {
	case s.Speed == 0:
		return
	case !slow && s.Speed < slowSpeed:
		d.load.slow[b.Cookie] = true
	case slow && s.Speed > normalSpeed:
		delete(d.load.slow, b.Cookie)
	default:
		return
	}
	d.observer.SpeedChanged(b, s)
}
