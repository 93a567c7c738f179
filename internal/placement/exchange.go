package placement

import (
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

const (
	// retryFirst and retryMax bound the time between two requests to a peer.
	retryFirst = 200 * time.Millisecond
	retryMax   = 4 * time.Second
	// sumBytes is the length of one entry of Request.Sums.
	sumBytes = 4
)

// Request asks a peer for the records of buckets, and whether it sees the same
// usable instances.
type Request struct {
	// Digest identifies the usable instances that the sender sees.
	Digest uint64 `json:"digest,string"`
	// Buckets are those that the sender must hold and does not yet, as package
	// records encodes them.
	Buckets []byte `json:"buckets,omitempty"`
	// Sums are, for each of the buckets in order, the sum of the sender's own
	// records in 4 bytes; buckets with an equal sum are left out of the reply.
	// Without Sums, all are sent.
	Sums []byte `json:"sums,omitempty"`
	// Done says that the sender now has the records of all buckets that it asked for.
	Done bool `json:"done,omitempty"`
}

// Reply answers a Request. Without the same digest it carries nothing else.
type Reply struct {
	Digest uint64 `json:"digest,string"`
	// Holds says that the receiver of the request knows the records of some of
	// the buckets, and waits for Done before it forgets them.
	Holds bool `json:"holds,omitempty"`
	// Records are the flow records, as package records encodes them.
	Records []byte `json:"records,omitempty"`
	// Version is what the sender serves by, Watched since when it has seen every
	// packet of the unsettled services.
	Version config.Version `json:"version"`
	Watched []Watched      `json:"watched,omitempty"`
}

// Watched is since when all packets of a service's unsettled buckets were seen
// by their owners, in nanoseconds of Unix time.
type Watched struct {
	Service string `json:"service"`
	Since   int64  `json:"since"`
}

// agreement is the work of reaching agreement with all peers on one digest. All
// but reached is guarded by the engine's lock.
type agreement struct {
	// reached is set once every reachable peer saw the same usable instances.
	reached atomic.Bool
	wanted  *table.Bitmap
	pending map[fleet.ID]*retry
	// holders are the peers to tell when done.
	holders map[fleet.ID]*retry
	// asked and told are the buckets that peers asked this instance for, and the
	// peers that are done.
	asked   map[fleet.ID]*table.Bitmap
	told    map[fleet.ID]bool
	watched map[string]int64
	replies int
	// fresh is set if this instance held no complete bucket at the beginning.
	fresh bool
	// released is set once every bucket that need not be held is forgotten.
	released bool
	// full is when the agreement began, if it fetches all buckets held anew.
	full int64
}

// retry is when to ask a peer next, and the time to wait after that.
type retry struct {
	at   int64
	wait time.Duration
	// compare holds the buckets to compare with the peer, or is nil to fetch all
	// that are wanted.
	compare *table.Bitmap
}

// due reports whether to ask now, and moves to the next time.
func (r *retry) due(now int64) bool {
	if now < r.at {
		return false
	}
	if r.wait == 0 {
		r.wait = retryFirst
	}
	r.at = now + int64(r.wait)
	r.wait = min(2*r.wait, retryMax)
	return true
}

func newAgreement(peers []fleet.ID, wanted *table.Bitmap) *agreement {
	if wanted == nil {
		wanted = &table.Bitmap{}
	}
	a := &agreement{
		wanted:  wanted,
		pending: map[fleet.ID]*retry{},
		holders: map[fleet.ID]*retry{},
		asked:   map[fleet.ID]*table.Bitmap{},
		told:    map[fleet.ID]bool{},
	}
	for _, p := range peers {
		a.pending[p] = &retry{}
	}
	return a
}

// limit forgets peers that are no longer reachable, under the same digest.
func (a *agreement) limit(peers []fleet.ID) *agreement {
	for p := range a.pending {
		if !slices.Contains(peers, p) {
			delete(a.pending, p)
		}
	}
	for p := range a.holders {
		if !slices.Contains(peers, p) {
			delete(a.holders, p)
		}
	}
	return a
}

// Export answers a peer's request.
func (e *Engine) Export(from fleet.ID, r Request) (Reply, error) {
	wanted, err := records.DecodeBuckets(r.Buckets)
	if err != nil {
		return Reply{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	out := Reply{Digest: st.ring.digest, Version: e.Version()}
	if r.Digest != st.ring.digest {
		return out, nil
	}
	a := st.ring.agreement
	if p := a.pending[from]; p != nil {
		p.at, p.wait = 0, 0
	}
	if r.Done {
		a.told[from], a.released = true, false
		return out, nil
	}
	a.asked[from], a.released = wanted, false
	delete(a.told, from)
	if err := e.exportBuckets(wanted, r.Sums, &out); err != nil {
		return Reply{}, err
	}
	if out.Holds {
		out.Watched = st.plan.watched()
	}
	return out, nil
}

func (e *Engine) exportBuckets(wanted *table.Bitmap, sums []byte, out *Reply) error {
	if len(sums) > 0 && len(sums) != sumBytes*wanted.Count() {
		return records.Invalid.New("%d bytes of sums for %d buckets", len(sums), wanted.Count())
	}
	for bucket := range table.Buckets {
		if !wanted.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		if e.complete[bucket] || b.Len() > 0 {
			out.Holds = true
		}
		if len(sums) == 0 || binary.LittleEndian.Uint32(sums) != b.Sum() {
			out.Records = b.Append(out.Records)
		}
		b.Unlock()
		if len(sums) > 0 {
			sums = sums[sumBytes:]
		}
	}
	return nil
}

// sums returns the sums of this instance's records in the buckets.
func (e *Engine) sums(of *table.Bitmap) []byte {
	var out []byte
	for bucket := range table.Buckets {
		if of.Has(bucket) {
			b := e.records.Lock(bucket)
			out = binary.LittleEndian.AppendUint32(out, b.Sum())
			b.Unlock()
		}
	}
	return out
}

func (p *plan) watched() []Watched {
	if p == nil {
		return nil
	}
	var out []Watched
	for _, s := range p.services {
		if s.moves {
			out = append(out, Watched{Service: s.name, Since: s.confirmed.Load()})
		}
	}
	return out
}

// Import takes a peer's reply to the request that Tick gave out for it. A reply
// under another digest than the present one changes nothing.
func (e *Engine) Import(now int64, from fleet.ID, sent Request, r Reply) error {
	found, err := records.Decode(r.Records, uint32(now/int64(time.Second)))
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.state.Load().ring.agreement
	if digest := e.state.Load().ring.digest; r.Digest != digest || sent.Digest != digest {
		return nil
	}
	if sent.Done {
		delete(a.holders, from)
		return nil
	}
	if a.pending[from] == nil {
		return nil
	}
	e.merge(found)
	delete(a.pending, from)
	if r.Holds {
		a.holders[from] = &retry{}
		a.mergeWatched(r.Watched)
	}
	e.conclude(now)
	return nil
}

// merge keeps records that a peer holds. One that this instance holds itself is
// newer, since it came with a packet.
func (e *Engine) merge(found []records.Record) {
	for _, r := range found {
		b := e.records.Lock(table.Bucket(r.Flow))
		if _, known := b.Get(r.Flow); !known && !b.Put(r) {
			e.counts.refused.Add(1)
		}
		b.Unlock()
	}
}

// mergeWatched keeps the latest time that any holder gives for each service, and
// zero for one that some holder does not give.
func (a *agreement) mergeWatched(all []Watched) {
	next := make(map[string]int64, len(all))
	for _, w := range all {
		old, known := a.watched[w.Service]
		if w.Since == 0 || a.replies > 0 && !known {
			continue
		}
		next[w.Service] = max(old, w.Since)
	}
	a.watched = next
	a.replies++
}

// conclude ends the agreement when no peer is left to ask: the buckets asked for
// are complete from then on.
func (e *Engine) conclude(now int64) {
	st := e.state.Load()
	a := st.ring.agreement
	if len(a.pending) > 0 || st.ring.self == noRow {
		return
	}
	for bucket := range table.Buckets {
		if a.wanted.Has(bucket) {
			b := e.records.Lock(bucket)
			e.complete[bucket] = true
			b.Unlock()
		}
	}
	if !a.reached.Swap(true) {
		st.plan.adopt(a.watched, a.fresh)
	}
}

// adopt takes over since when the owners before have seen every packet. An
// instance that held buckets itself goes by the later of both times.
func (p *plan) adopt(watched map[string]int64, fresh bool) {
	if p == nil {
		return
	}
	for name, since := range watched {
		s := p.byName[name]
		if s == nil {
			continue
		}
		if fresh || since > s.confirmed.Load() {
			s.confirmed.Store(since)
		}
	}
}
