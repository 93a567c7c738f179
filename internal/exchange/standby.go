package exchange

import (
	"net/netip"
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

// standbys holds the instances that a regular reader has asked to stand by.
type standbys struct {
	mu sync.Mutex
	// heard is when each last answered, or was asked first.
	heard map[Peer]int64
	// failed is when a standby of a data centre last did not answer.
	failed map[string]int64
}

// update removes standbys that do not answer, chooses others in their place, and returns
// the addresses of all. Peers returns up to n new ones.
func (s *standbys) update(now int64, peers func(other []netip.Addr, n int, avoid func(string) bool) []Peer) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard, s.failed = map[Peer]int64{}, map[string]int64{}
	}
	for peer, heard := range s.heard {
		if now-heard > int64(standbyTimeout) {
			delete(s.heard, peer)
			s.failed[peer.DataCentre] = now
		}
	}
	avoid := func(dataCentre string) bool {
		at, found := s.failed[dataCentre]
		return found && now-at < int64(standbyPenalty)
	}
	for _, peer := range peers(s.addresses(), maxStandbys-len(s.heard), avoid) {
		s.heard[peer] = now
	}
	return s.addresses()
}

func (s *standbys) addresses() []netip.Addr {
	var out []netip.Addr
	for peer := range s.heard {
		out = append(out, peer.Address)
	}
	return out
}

// confirm records the answer of a standby.
func (s *standbys) confirm(peer Peer, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.heard[peer]; found {
		s.heard[peer] = now
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
