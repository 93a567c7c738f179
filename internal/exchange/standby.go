package exchange

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxStandbys is the number of instances that wait for changes of the store beside a
	// regular reader, in different data centres as far as possible: two of three may be
	// lost or paused.
	maxStandbys = 2
	// standbyTimeout is how long a standby may leave the regular reader without an answer
	// before another takes its place.
	standbyTimeout = 1600 * time.Millisecond
	// standbyPenalty is how long no standby is chosen in a data centre, if there are
	// others, after one there has not answered.
	standbyPenalty = 10 * time.Second
)

// standbys holds the instances that a regular reader has asked to stand by. Times are in
// nanoseconds of the monotonic clock.
type standbys struct {
	mu     sync.Mutex
	chosen map[netip.Addr]standby
	// failed is when a standby of a data centre last did not answer, and updated when the
	// standbys were last asked.
	failed  map[string]int64
	updated int64
}

// standby is an instance that was asked to stand by; heard is when it last answered, or was
// asked first.
type standby struct {
	dataCentre string
	heard      int64
}

// update removes standbys that do not answer, chooses others in their place, and returns
// the addresses of all. Peers returns up to n new ones.
func (s *standbys) update(now int64, peers func(other []netip.Addr, n int, avoid func(string) bool) []Peer) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chosen == nil {
		s.chosen, s.failed = map[netip.Addr]standby{}, map[string]int64{}
	}
	asked := now-s.updated <= int64(standbyTimeout)
	s.updated = now
	for address, c := range s.chosen {
		switch {
		case !asked: // this instance was paused, or was no regular reader
			s.chosen[address] = standby{dataCentre: c.dataCentre, heard: now}
		case now-c.heard > int64(standbyTimeout):
			delete(s.chosen, address)
			s.failed[c.dataCentre] = now
		}
	}
	avoid := func(dataCentre string) bool {
		at, found := s.failed[dataCentre]
		return found && now-at < int64(standbyPenalty)
	}
	for _, peer := range peers(slices.Collect(maps.Keys(s.chosen)), maxStandbys-len(s.chosen), avoid) {
		s.chosen[peer.Address] = standby{dataCentre: peer.DataCentre, heard: now}
	}
	return slices.Collect(maps.Keys(s.chosen))
}

// confirm records the answer of a standby.
func (s *standbys) confirm(address netip.Addr, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, found := s.chosen[address]; found {
		c.heard = now
		s.chosen[address] = c
	}
}

// askStandbys asks the standbys of this regular reader to wait for changes of the store.
func (e *Exchange) askStandbys() {
	e.sendAll(message{From: e.peers.self, StandBy: true}, e.standbys.update(e.Clock(), e.peers.spread))
}

// standBy makes this instance a standby, and confirms that if the store lets it wait.
func (e *Exchange) standBy(from Peer) {
	e.Reader.StandBy()
	if e.Reader.Awaiting() {
		e.sendAll(message{From: e.peers.self, Awaiting: true}, []netip.Addr{from.Address})
	}
}
