package placement

import (
	"encoding/binary"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

// checksumBytes is the length of one entry of Request.Checksums, in bytes.
const checksumBytes = 4

// Request asks a peer for the records of buckets, and whether it sees the same
// usable instances.
type Request struct {
	// Digest identifies the usable instances that the sender sees.
	Digest uint64 `json:"digest,string"`
	// Buckets are those that the sender must hold and has no complete records of,
	// as package records encodes them.
	Buckets []byte `json:"buckets,omitempty"`
	// Claims are buckets that the sender must hold and has records of, to compare
	// with the receiver's. Checksums are those of its records in each of them, in
	// order and of 4 bytes; buckets with an equal checksum are left out of the
	// reply.
	Claims    []byte `json:"claims,omitempty"`
	Checksums []byte `json:"sums,omitempty"`
	// Done says that the sender has the records of all buckets that it owns, which
	// ends the receiver's authority over them. Final says the same of all buckets
	// that it requested, so that the receiver may discard them.
	Done  bool `json:"done,omitempty"`
	Final bool `json:"final,omitempty"`
}

// Reply answers a Request. If the digests differ, it carries only Digest and
// Version.
type Reply struct {
	Digest uint64 `json:"digest,string"`
	// Holds says that the receiver of the request has the records of some of the
	// buckets, and waits for Done before it gives them up.
	Holds bool `json:"holds,omitempty"`
	// OwnerNotReady says that the receiver of the request owns some of the buckets
	// and has no authority over them yet: the sender has to compare with it again.
	OwnerNotReady bool `json:"later,omitempty"`
	// RequestUnknown answers a Done for a request that the receiver does not
	// remember.
	RequestUnknown bool `json:"again,omitempty"`
	// Records are the flow records, as package records encodes them.
	Records []byte `json:"records,omitempty"`
	// Version is the configuration version that the sender serves by, Watched the
	// times since which it has seen every packet of the unsettled services.
	Version config.Version `json:"version"`
	Watched []Watched      `json:"watched,omitempty"`
}

// Watched is the time since which the owners have seen all packets of a
// service's unsettled buckets, in nanoseconds of Unix time.
type Watched struct {
	Service string `json:"service"`
	Since   int64  `json:"since"`
}

// Export answers a peer's request.
func (e *Engine) Export(from fleet.ID, r Request) (Reply, error) {
	wanted, err := records.DecodeBuckets(r.Buckets)
	if err != nil {
		return Reply{}, err
	}
	claims, err := records.DecodeBuckets(r.Claims)
	if err != nil {
		return Reply{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	out := Reply{Digest: st.membership.digest, Version: e.Version()}
	if r.Digest != st.membership.digest {
		return out, nil
	}
	round := st.membership.syncRound
	if p := round.pending[from]; p != nil {
		p.at, p.wait = 0, 0
	}
	if r.Done {
		out.RequestUnknown = !e.relinquishAuthority(st.membership, from, r.Final)
		return out, nil
	}
	round.addRequest(from, wanted, claims)
	e.exportBuckets(wanted, &out)
	if err := e.exportClaims(claims, r.Checksums, &out); err != nil {
		return Reply{}, err
	}
	if out.Holds {
		out.Watched = st.plan.watched()
	}
	if !out.Holds {
		round.finished[from] = true
	}
	out.OwnerNotReady = e.awaitsAuthority(st.membership, wanted, claims)
	return out, nil
}

// awaitsAuthority reports whether this instance owns a bucket that a peer
// requests or claims, and has no authority over it yet.
func (e *Engine) awaitsAuthority(m *membership, requested, claimed *table.Bitmap) bool {
	for bucket := range table.Buckets {
		if m.rankOf(bucket) != 0 || !requested.Has(bucket) && !claimed.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		authoritative := e.buckets[bucket].authoritative
		b.Unlock()
		if !authoritative {
			return true
		}
	}
	return false
}

// relinquishAuthority ends this instance's authority over the buckets that a
// peer owns and has requested or claimed. It returns false if the peer has done
// neither.
func (e *Engine) relinquishAuthority(m *membership, to fleet.ID, final bool) bool {
	round := m.syncRound
	requested, claimed := round.requested[to], round.claimed[to]
	if requested == nil {
		return false
	}
	if final {
		round.finished[to], round.released = true, false
	}
	for bucket := range table.Buckets {
		owner := m.replica(bucket, 0)
		if !requested.Has(bucket) && !claimed.Has(bucket) || owner == nil || owner.ID != to {
			continue
		}
		b := e.records.Lock(bucket)
		e.buckets[bucket].authoritative = false
		b.Unlock()
	}
	return true
}

func (e *Engine) exportBuckets(wanted *table.Bitmap, out *Reply) {
	for bucket := range table.Buckets {
		if !wanted.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		if e.buckets[bucket].complete || b.Len() > 0 {
			out.Holds = true
		}
		out.Records = b.Append(out.Records)
		b.Unlock()
	}
}

func (e *Engine) exportClaims(claims *table.Bitmap, checksums []byte, out *Reply) error {
	if len(checksums) != checksumBytes*claims.Count() {
		return records.Invalid.New("%d bytes of checksums for %d buckets", len(checksums), claims.Count())
	}
	for bucket := range table.Buckets {
		if !claims.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		out.Holds = out.Holds || own.authoritative
		if own.complete && binary.LittleEndian.Uint32(checksums) != b.Sum() {
			out.Records = b.Append(out.Records)
		}
		b.Unlock()
		checksums = checksums[checksumBytes:]
	}
	return nil
}

// checksums returns the checksums of this instance's records in the buckets.
func (e *Engine) checksums(of *table.Bitmap) []byte {
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
		if s.tablesDiffer {
			out = append(out, Watched{Service: s.name, Since: s.confirmed.Load()})
		}
	}
	return out
}

// Import applies a peer's reply to the request that Tick returned for it. A
// reply under another digest than the present one changes nothing.
func (e *Engine) Import(now int64, from fleet.ID, sent Request, r Reply) error {
	found, err := records.Decode(r.Records, uint32(now/int64(time.Second)))
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	round := e.state.Load().membership.syncRound
	if digest := e.state.Load().membership.digest; r.Digest != digest || sent.Digest != digest {
		return nil
	}
	if sent.Done {
		e.handleDoneReply(from, sent, r)
		return nil
	}
	if round.pending[from] == nil && round.pendingOwners[from] == nil {
		return nil
	}
	e.merge(found)
	delete(round.pending, from)
	if r.Holds {
		round.addPreviousHolder(from, r.Watched)
	}
	if !r.OwnerNotReady {
		delete(round.pendingOwners, from)
	} else if round.pendingOwners[from] == nil {
		round.pendingOwners[from] = &retryState{compare: e.state.Load().membership.backupFor(from)}
	}
	e.finishSync()
	return nil
}

// handleDoneReply processes a peer's reply to Done.
func (e *Engine) handleDoneReply(from fleet.ID, sent Request, r Reply) {
	membership := e.state.Load().membership
	round := membership.syncRound
	h := round.previousHolders[from]
	switch {
	case h == nil:
	case r.RequestUnknown:
		delete(round.previousHolders, from)
		round.pending[from] = &retryState{}
	case sent.Final:
		delete(round.previousHolders, from)
	default:
		*h = retryState{relinquished: true}
	}
	e.takeAuthority(membership)
}

// merge adds records received from a peer. A record that this instance already
// has is newer, since it came with a packet.
func (e *Engine) merge(found []records.Record) {
	for _, r := range found {
		b := e.records.Lock(table.Bucket(r.Flow))
		if _, known := b.Get(r.Flow); !known && !b.Put(r) {
			e.counts.tableFull.Add(1)
		}
		b.Unlock()
	}
}
