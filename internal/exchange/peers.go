package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// peerTimeout is how long a silent instance still receives messages. It covers a
	// restart, a network partition, and the time in which samples name each of 415
	// instances.
	peerTimeout = time.Minute
	// sampleSize is how many peers a digest names, and helloSampleSize how many an
	// answer to an instance that has just started does.
	sampleSize      = 16
	helloSampleSize = 48
	// relaysPerDataCentre is how many instances of each other data centre receive an
	// announcement, so that the loss of one message or instance has no effect.
	relaysPerDataCentre = 2
	// maxPeers bounds the table: about five times the planned number of instances.
	maxPeers = 2048
)

type peerState struct {
	dataCentre string
	heard      int64
}

// peers is the table of known instances, by address.
type peers struct {
	self Peer

	mu     sync.Mutex
	table  map[netip.Addr]peerState
	random *rand.Rand
}

func newPeers(self Peer, random *rand.Rand) *peers {
	return &peers{self: self, table: map[netip.Addr]peerState{}, random: random}
}

// heard stores when a peer was last heard from, and reports whether the peer is new.
func (p *peers) heard(peer Peer, now int64) bool {
	at := now - peer.HeardMS*int64(time.Millisecond)
	if peer.Address == p.self.Address || now-at > int64(peerTimeout) || !peer.Address.Is4() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, found := p.table[peer.Address]
	if !found && len(p.table) >= maxPeers {
		return false
	}
	p.table[peer.Address] = peerState{dataCentre: peer.DataCentre, heard: max(old.heard, at)}
	return !found
}

// expire removes peers that have been silent for too long, and returns them.
func (p *peers) expire(now int64) (expired []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.table {
		if now-s.heard > int64(peerTimeout) {
			delete(p.table, address)
			expired = append(expired, s.peer(address, now))
		}
	}
	return expired
}

func (s peerState) peer(address netip.Addr, now int64) Peer {
	return Peer{Address: address, DataCentre: s.dataCentre, HeardMS: (now - s.heard) / int64(time.Millisecond)}
}

// size returns the number of instances, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.table) + 1
}

// remote returns a few random peers of each other data centre.
func (p *peers) remote() []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := map[string]int{}
	var out []netip.Addr
	for address, s := range p.table {
		if s.dataCentre != p.self.DataCentre && chosen[s.dataCentre] < relaysPerDataCentre {
			chosen[s.dataCentre]++
			out = append(out, address)
		}
	}
	return out
}

// inDataCentre returns up to n random peers of a data centre.
func (p *peers) inDataCentre(dataCentre string, n int) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.Addr
	for address, s := range p.table {
		if s.dataCentre == dataCentre && len(out) < n {
			out = append(out, address)
		}
	}
	return out
}

// spread returns up to n random peers other than the given ones. Those of data centres
// that have none of these, nor this instance, come first, those of the data centres to
// avoid last.
func (p *peers) spread(other []netip.Addr, n int, avoid func(dataCentre string) bool) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := map[string]bool{p.self.DataCentre: true}
	for _, address := range other {
		used[p.table[address].dataCentre] = true
	}
	var first, second, last []Peer
	for address, s := range p.table {
		switch {
		case slices.Contains(other, address):
		case avoid(s.dataCentre):
			last = append(last, Peer{Address: address, DataCentre: s.dataCentre})
		case used[s.dataCentre]:
			second = append(second, Peer{Address: address, DataCentre: s.dataCentre})
		default:
			used[s.dataCentre] = true
			first = append(first, Peer{Address: address, DataCentre: s.dataCentre})
		}
	}
	all := slices.Concat(first, second, last)
	return all[:min(n, len(all))]
}

// local returns the peers of this instance's data centre.
func (p *peers) local() []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.Addr
	for address, s := range p.table {
		if s.dataCentre == p.self.DataCentre {
			out = append(out, address)
		}
	}
	return out
}

// sample returns up to n random peers.
func (p *peers) sample(n int, now int64) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Peer, 0, n)
	for address, s := range p.table {
		if len(out) == n {
			break
		}
		out = append(out, s.peer(address, now))
	}
	return out
}

// sampleNear returns up to n peers, those of a data centre first.
func (p *peers) sampleNear(dataCentre string, n int, now int64) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []Peer
	for address, s := range p.table {
		if s.dataCentre == dataCentre {
			near = append(near, s.peer(address, now))
		} else {
			far = append(far, s.peer(address, now))
		}
	}
	all := append(near, far...)
	return all[:min(n, len(all))]
}

// pick returns a random peer, and false if there is none.
func (p *peers) pick() (netip.Addr, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.table) == 0 {
		return netip.Addr{}, false
	}
	skip := p.random.IntN(len(p.table))
	for address := range p.table {
		if skip == 0 {
			return address, true
		}
		skip--
	}
	return netip.Addr{}, false
}

// contains reports whether a peer is known.
func (p *peers) contains(address netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.table[address]
	return found
}
