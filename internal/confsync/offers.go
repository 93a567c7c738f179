package confsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
)

// retryPeer is how long a peer that did not answer a pull is not asked again.
const retryPeer = 500 * time.Millisecond

// offers says which version each peer has told of, and when it failed last.
type offers struct {
	mu    sync.Mutex
	peers map[fleet.ID]offer
	// heard is when any peer told of a version last.
	heard time.Time
}

type offer struct {
	version config.Version
	failed  time.Time
}

func newOffers(now time.Time) *offers {
	return &offers{peers: map[fleet.ID]offer{}, heard: now}
}

// note records that a peer has a version.
func (o *offers) note(from fleet.ID, v config.Version, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peers[from]
	p.version = v
	o.peers[from] = p
	o.heard = now
}

// fail records that a peer did not answer.
func (o *offers) fail(from fleet.ID, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peers[from]
	p.failed = now
	o.peers[from] = p
}

// silence returns how long no peer has told of a version.
func (o *offers) silence(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Sub(o.heard)
}

// pick returns the peers to pull from, best first: those with the newest offer
// that is wanted, in random order. Without a version in force here, those that
// have not told of one are asked as well, the ones of the own data centre first.
func (o *offers) pick(view *fleet.View, wants func(config.Version) bool, fresh bool, now time.Time, random *rand.Rand) []fleet.ID {
	o.mu.Lock()
	defer o.mu.Unlock()
	type candidate struct {
		id      fleet.ID
		version config.Version
		near    bool
	}
	var list []candidate
	self, _ := view.Get(view.Self)
	for _, i := range view.Instances {
		p := o.peers[i.ID]
		if i.ID == view.Self || !i.Reachable() || now.Sub(p.failed) < retryPeer {
			continue
		}
		if wants(p.version) || fresh {
			list = append(list, candidate{id: i.ID, version: p.version, near: i.DataCentre == self.DataCentre})
		}
	}
	random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.version, a.version), compareBool(b.near, a.near))
	})
	ids := make([]fleet.ID, len(list))
	for i, c := range list {
		ids[i] = c.id
	}
	return ids
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// keep forgets the peers that the view does not have as reachable.
func (o *offers) keep(view *fleet.View) {
	known := make(map[fleet.ID]bool, len(view.Instances))
	for _, i := range view.Instances {
		known[i.ID] = i.Reachable()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.peers {
		if !known[id] {
			delete(o.peers, id)
		}
	}
}
