package placement

import (
	"encoding/binary"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

// sumBytes is the length of one entry of Request.Sums.
const sumBytes = 4

// Request asks a peer for the records of buckets, and whether it sees the same
// usable instances.
type Request struct {
	// Digest identifies the usable instances that the sender sees.
	Digest uint64 `json:"digest,string"`
	// Buckets are those that the sender must hold and knows nothing of, as package
	// records encodes them.
	Buckets []byte `json:"buckets,omitempty"`
	// Claims are buckets that the sender must hold, whose records it should know
	// and whose authority it has not. Sums are the sums of its records in each of
	// them, in order and of 4 bytes; those with an equal sum are left out of the
	// reply.
	Claims []byte `json:"claims,omitempty"`
	Sums   []byte `json:"sums,omitempty"`
	// Done says that the sender has the records of all buckets that it owns. The
	// receiver's authority over them ends with it. Final says the same of all
	// buckets that it asked for, so that the receiver may forget them.
	Done  bool `json:"done,omitempty"`
	Final bool `json:"final,omitempty"`
}

// Reply answers a Request. Without the same digest it carries nothing else.
type Reply struct {
	Digest uint64 `json:"digest,string"`
	// Holds says that the receiver of the request knows the records of some of
	// the buckets, and waits for Done before it lets go of them.
	Holds bool `json:"holds,omitempty"`
	// Later says that the receiver of the request owns some of the buckets and has
	// no authority over them yet: the sender has to compare with it once more.
	Later bool `json:"later,omitempty"`
	// Again answers a Done for a request that the receiver does not remember.
	Again bool `json:"again,omitempty"`
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
	out := Reply{Digest: st.ring.digest, Version: e.Version()}
	if r.Digest != st.ring.digest {
		return out, nil
	}
	a := st.ring.agreement
	if p := a.pending[from]; p != nil {
		p.at, p.wait = 0, 0
	}
	if r.Done {
		out.Again = !e.letGo(st.ring, from, r.Final)
		return out, nil
	}
	a.ask(from, wanted, claims)
	e.exportBuckets(wanted, &out)
	if err := e.exportClaims(claims, r.Sums, &out); err != nil {
		return Reply{}, err
	}
	if out.Holds {
		out.Watched = st.plan.watched()
	}
	if !out.Holds {
		a.told[from] = true
	}
	out.Later = e.rulesLater(st.ring, wanted, claims)
	return out, nil
}

// rulesLater reports whether this instance owns a bucket that a peer asks for, and
// has no authority over it yet.
func (e *Engine) rulesLater(r *ring, asked, claimed *table.Bitmap) bool {
	for bucket := range table.Buckets {
		if r.rankOf(bucket) != 0 || !asked.Has(bucket) && !claimed.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		authority := e.buckets[bucket].authority
		b.Unlock()
		if !authority {
			return true
		}
	}
	return false
}

// letGo ends this instance's authority over the buckets that a peer owns and has
// asked for or claimed. It returns false if the peer has done neither.
func (e *Engine) letGo(r *ring, to fleet.ID, final bool) bool {
	a := r.agreement
	asked, claimed := a.asked[to], a.claimed[to]
	if asked == nil {
		return false
	}
	if final {
		a.told[to], a.released = true, false
	}
	for bucket := range table.Buckets {
		owner := r.at(bucket, 0)
		if !asked.Has(bucket) && !claimed.Has(bucket) || owner == nil || owner.ID != to {
			continue
		}
		b := e.records.Lock(bucket)
		e.buckets[bucket].authority = false
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

func (e *Engine) exportClaims(claims *table.Bitmap, sums []byte, out *Reply) error {
	if len(sums) != sumBytes*claims.Count() {
		return records.Invalid.New("%d bytes of sums for %d buckets", len(sums), claims.Count())
	}
	for bucket := range table.Buckets {
		if !claims.Has(bucket) {
			continue
		}
		b := e.records.Lock(bucket)
		own := e.buckets[bucket]
		out.Holds = out.Holds || own.authority
		if own.complete && binary.LittleEndian.Uint32(sums) != b.Sum() {
			out.Records = b.Append(out.Records)
		}
		b.Unlock()
		sums = sums[sumBytes:]
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
		e.answered(from, sent, r)
		return nil
	}
	if a.pending[from] == nil && a.later[from] == nil {
		return nil
	}
	e.merge(found)
	delete(a.pending, from)
	delete(a.later, from)
	if r.Holds {
		a.holders[from] = &retry{}
		a.mergeWatched(r.Watched)
	}
	if r.Later {
		a.later[from] = &retry{compare: e.state.Load().ring.secondTo(from)}
	}
	e.conclude()
	return nil
}

// answered takes a peer's answer to Done.
func (e *Engine) answered(from fleet.ID, sent Request, r Reply) {
	ring := e.state.Load().ring
	a := ring.agreement
	h := a.holders[from]
	switch {
	case h == nil:
	case r.Again:
		delete(a.holders, from)
		a.pending[from] = &retry{}
	case sent.Final:
		delete(a.holders, from)
	default:
		*h = retry{yielded: true}
	}
	e.take(ring)
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
