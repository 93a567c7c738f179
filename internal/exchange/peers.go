package exchange

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// forgetAfter is how long a silent instance is still written to. It covers a
	// restart, a cut, and the time in which samples name each of 415 instances.
	forgetAfter = time.Minute
	// sampleSize is how many peers a digest names, and welcomeSize how many an
	// answer to an instance that has just started.
	sampleSize  = 16
	welcomeSize = 48
	// relays is how many instances of each other data centre are told what was read,
	// so that the loss of one message or instance goes unnoticed.
	relays = 2
	// maxPeers bounds the table: four times the planned number of instances.
	maxPeers = 2048
)

type known struct {
	dataCentre string
	heard      int64
}

// peers is the table of instances, by address.
type peers struct {
	self Peer

	mu     sync.Mutex
	table  map[netip.Addr]known
	random *rand.Rand
}

func newPeers(self Peer, random *rand.Rand) *peers {
	return &peers{self: self, table: map[netip.Addr]known{}, random: random}
}

// heard notes what was heard of a peer, and reports whether it is new.
func (p *peers) heard(peer Peer, now int64) bool {
	at := now - peer.HeardMS*int64(time.Millisecond)
	if peer.Address == p.self.Address || now-at > int64(forgetAfter) || !peer.Address.Is4() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, found := p.table[peer.Address]
	if !found && len(p.table) >= maxPeers {
		return false
	}
	p.table[peer.Address] = known{dataCentre: peer.DataCentre, heard: max(old.heard, at)}
	return !found
}

// sweep drops peers that have been silent for long, and returns them.
func (p *peers) sweep(now int64) (lost []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, k := range p.table {
		if now-k.heard > int64(forgetAfter) {
			delete(p.table, address)
			lost = append(lost, k.peer(address, now))
		}
	}
	return lost
}

func (k known) peer(address netip.Addr, now int64) Peer {
	return Peer{Address: address, DataCentre: k.dataCentre, HeardMS: (now - k.heard) / int64(time.Millisecond)}
}

// size returns the number of instances, this one included.
func (p *peers) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.table) + 1
}

// remote returns some random peers of each other data centre.
func (p *peers) remote() []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := map[string]int{}
	var out []netip.Addr
	for address, k := range p.table {
		if k.dataCentre != p.self.DataCentre && chosen[k.dataCentre] < relays {
			chosen[k.dataCentre]++
			out = append(out, address)
		}
	}
	return out
}

// some returns up to n random peers of a data centre.
func (p *peers) some(dataCentre string, n int) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.Addr
	for address, k := range p.table {
		if k.dataCentre == dataCentre && len(out) < n {
			out = append(out, address)
		}
	}
	return out
}

// local returns the peers of this instance's data centre.
func (p *peers) local() []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.Addr
	for address, k := range p.table {
		if k.dataCentre == p.self.DataCentre {
			out = append(out, address)
		}
	}
	return out
}

// sample returns up to n peers at random.
func (p *peers) sample(n int, now int64) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Peer, 0, n)
	for address, k := range p.table {
		if len(out) == n {
			break
		}
		out = append(out, k.peer(address, now))
	}
	return out
}

// neighbours returns up to n peers, those of a data centre first.
func (p *peers) neighbours(dataCentre string, n int, now int64) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []Peer
	for address, k := range p.table {
		if k.dataCentre == dataCentre {
			near = append(near, k.peer(address, now))
		} else {
			far = append(far, k.peer(address, now))
		}
	}
	all := append(near, far...)
	return all[:min(n, len(all))]
}

// any returns a peer at random, and false if there is none.
func (p *peers) any() (netip.Addr, bool) {
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

// has reports whether a peer is known.
func (p *peers) has(address netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.table[address]
	return found
}
