// Package records holds the flow records of an instance, which state the backend
// server that a flow of an unsettled bucket was placed on. The table is bounded, has
// one lock for each bucket, and never evicts a record. The package does no I/O.
package records

import (
	"sync"
	"sync/atomic"

	"balsamfork/internal/config"
	"balsamfork/internal/table"
)

// Kind states why a flow was recorded.
type Kind uint8

// The kinds of records. Each has its own limit.
const (
	// Opening is a flow of which only the opening packet was seen.
	Opening Kind = iota
	// Placed is a flow of which a packet after the opening packet was seen.
	Placed
	// Observed is a flow that is older than the configuration change and is served by
	// the base of its bucket.
	Observed
	kindCount
)

// Record is the record of one flow. It takes 16 bytes.
type Record struct {
	// Flow is the keyed hash of the 5-tuple; its low bits select the bucket.
	Flow uint64
	// server holds the backend server's Number in the low 24 bits and the kind and the
	// closed flag above them.
	server uint32
	// Seen is when the record was last refreshed, in seconds of Unix time.
	Seen uint32
}

// The layout of Record.server above the 24 bits of the number, and openingDivisor,
// the limit on placed flows divided by that on openings.
const (
	kindShift             = 24
	kindMask       uint32 = 3 << kindShift
	closedFlag     uint32 = 1 << 26
	numberMask            = uint32(config.MaxNumber)
	openingDivisor        = 4
)

// New returns a Record of a flow that is not closed.
func New(flow uint64, server config.Number, kind Kind, seen uint32) Record {
	return Record{Flow: flow, server: uint32(server)&numberMask | uint32(kind)<<kindShift, Seen: seen}
}

// Server returns the backend server that the flow was placed on.
func (r Record) Server() config.Number { return config.Number(r.server & numberMask) }

// Kind returns why the flow was recorded.
func (r Record) Kind() Kind { return Kind(r.server & kindMask >> kindShift) }

// Closed reports whether a FIN or RST of the flow was seen.
func (r Record) Closed() bool { return r.server&closedFlag != 0 }

func (r Record) empty() bool { return r.server&numberMask == 0 }

// Limits are the limits of a Table, in records.
type Limits struct {
	// Placed limits the kinds Opening and Placed together; Opening and Observed limit
	// the kind of that name.
	Placed   int
	Opening  int
	Observed int
}

// LimitsFor divides a total number of records: half for placed flows, a quarter of
// which may be openings, and half for observed flows.
func LimitsFor(total int) Limits {
	placed := total / 2
	return Limits{Placed: placed, Opening: placed / openingDivisor, Observed: total - placed}
}

// Table holds the records of all buckets.
type Table struct {
	limits Limits
	counts [kindCount]atomic.Int64
	// flows is the number of Opening and Placed records together.
	flows   atomic.Int64
	refused atomic.Int64
	buckets [table.Buckets]Bucket
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	t := &Table{limits: l}
	for i := range t.buckets {
		t.buckets[i].table = t
	}
	return t
}

// Len returns how many records of a kind are held.
func (t *Table) Len(k Kind) int { return int(t.counts[k].Load()) }

// Total returns how many records are held.
func (t *Table) Total() int {
	return t.Len(Opening) + t.Len(Placed) + t.Len(Observed)
}

// Refused returns how many times a record was not stored, or its kind not changed,
// because a limit was reached.
func (t *Table) Refused() int64 { return t.refused.Load() }

// Lock locks a bucket and returns it. The caller must call Unlock.
func (t *Table) Lock(bucket int) *Bucket {
	b := &t.buckets[bucket]
	b.mu.Lock()
	return b
}

// reserve adds one to the count of a kind if the limits allow it.
func (t *Table) reserve(k Kind) bool {
	if k == Observed {
		return t.add(&t.counts[Observed], t.limits.Observed)
	}
	if !t.add(&t.flows, t.limits.Placed) {
		return false
	}
	if k == Opening && !t.add(&t.counts[Opening], t.limits.Opening) {
		t.flows.Add(-1)
		return false
	}
	if k == Placed {
		t.counts[Placed].Add(1)
	}
	return true
}

// release takes one from the count of a kind.
func (t *Table) release(k Kind) {
	t.counts[k].Add(-1)
	if k != Observed {
		t.flows.Add(-1)
	}
}

// add adds one to a count unless that exceeds the limit.
func (t *Table) add(count *atomic.Int64, limit int) bool {
	if int(count.Add(1)) > limit {
		count.Add(-1)
		t.refused.Add(1)
		return false
	}
	return true
}

// Bucket holds the records of one bucket in a hash table with linear probing. The
// bucket must be locked while its methods are called.
type Bucket struct {
	mu    sync.Mutex
	table *Table
	slots []Record
	count int
}

// Unlock releases the bucket.
func (b *Bucket) Unlock() { b.mu.Unlock() }

// Len returns how many records the bucket holds.
func (b *Bucket) Len() int { return b.count }
