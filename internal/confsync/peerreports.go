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

// peerRetryDelay is how long a peer is skipped after a failed pull.
const peerRetryDelay = 500 * time.Millisecond

// peerReports records the version that each peer reported and when a pull from
// it last failed.
type peerReports struct {
	mu    sync.Mutex
	peers map[fleet.ID]peerReport
	// lastReport is the time of the last report from any peer.
	lastReport time.Time
}

type peerReport struct {
	version config.Version
	failed  time.Time
}

func newPeerReports(now time.Time) *peerReports {
	return &peerReports{peers: map[fleet.ID]peerReport{}, lastReport: now}
}

// record records the version that a peer reported.
func (r *peerReports) record(from fleet.ID, v config.Version, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[from]
	p.version = v
	r.peers[from] = p
	r.lastReport = now
}

// recordFailure records that a pull from a peer failed.
func (r *peerReports) recordFailure(from fleet.ID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peers[from]
	p.failed = now
	r.peers[from] = p
}

// sinceLastReport returns the time since any peer reported a version.
func (r *peerReports) sinceLastReport(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastReport)
}

// pullCandidates returns the reachable peers that reported a wanted version,
// except those that a pull failed from within peerRetryDelay. They are ordered
// by that version, newest first, then those in the data centre of this instance
// first, then at random. If unconfigured is set, that is, no version is in force
// here, it also includes peers that reported no wanted version.
func (r *peerReports) pullCandidates(view *fleet.View, wants func(config.Version) bool, unconfigured bool, now time.Time, random *rand.Rand) []fleet.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	type candidate struct {
		id             fleet.ID
		version        config.Version
		sameDataCentre bool
	}
	var list []candidate
	self, _ := view.Get(view.Self)
	for _, i := range view.Instances {
		p := r.peers[i.ID]
		if i.ID == view.Self || !i.Reachable() || now.Sub(p.failed) < peerRetryDelay {
			continue
		}
		if wants(p.version) || unconfigured {
			list = append(list, candidate{id: i.ID, version: p.version, sameDataCentre: i.DataCentre == self.DataCentre})
		}
	}
	random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.version, a.version), compareBool(b.sameDataCentre, a.sameDataCentre))
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

// prune removes the peers that are not reachable in the view.
func (r *peerReports) prune(view *fleet.View) {
	reachable := make(map[fleet.ID]bool, len(view.Instances))
	for _, i := range view.Instances {
		reachable[i.ID] = i.Reachable()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.peers {
		if !reachable[id] {
			delete(r.peers, id)
		}
	}
}
