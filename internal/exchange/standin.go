package exchange

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxStandIns is the number of instances that wait for changes of the store beside a
	// regular reader, in different data centres as far as possible: two of three may be
	// lost or paused.
	maxStandIns = 2
	// standInTimeout is how long a stand-in may leave the regular reader without an answer
	// before another takes its place.
	standInTimeout = 1600 * time.Millisecond
	// standInPenalty is how long no stand-in is named in a data centre, if there are
	// others, after one there has not answered.
	standInPenalty = 10 * time.Second
)

// standIns holds the instances that a regular reader has named.
type standIns struct {
	mu sync.Mutex
	// heard is when each last answered, or was named first.
	heard map[Peer]int64
	// failed is when a stand-in of a data centre last did not answer.
	failed map[string]int64
}

// update removes stand-ins that do not answer, names others in their place, and returns
// the addresses of all. Peers returns up to n new ones.
func (s *standIns) update(now int64, peers func(other []netip.Addr, n int, avoid func(string) bool) []Peer) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard, s.failed = map[Peer]int64{}, map[string]int64{}
	}
	for peer, heard := range s.heard {
		if now-heard > int64(standInTimeout) {
			delete(s.heard, peer)
			s.failed[peer.DataCentre] = now
		}
	}
	avoid := func(dataCentre string) bool {
		at, found := s.failed[dataCentre]
		return found && now-at < int64(standInPenalty)
	}
	for _, peer := range peers(s.addresses(), maxStandIns-len(s.heard), avoid) {
		s.heard[peer] = now
	}
	return s.addresses()
}

func (s *standIns) addresses() []netip.Addr {
	var out []netip.Addr
	for peer := range s.heard {
		out = append(out, peer.Address)
	}
	return out
}

// confirm records the answer of a stand-in.
func (s *standIns) confirm(peer Peer, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, named := s.heard[peer]; named {
		s.heard[peer] = now
	}
}

// nameStandIns asks the stand-ins of this regular reader to wait for changes of the store.
func (e *Exchange) nameStandIns() {
	e.sendAll(message{From: e.peers.self, Name: true}, e.standIns.update(e.Clock(), e.peers.spread))
}

// answerName starts to wait for changes, and confirms it if the store lets this instance.
func (e *Exchange) answerName(from Peer) {
	e.Reader.Name()
	if e.Reader.Awaiting() {
		e.sendAll(message{From: e.peers.self, Awaiting: true}, []netip.Addr{from.Address})
	}
}
