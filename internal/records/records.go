// Package records holds the flow records of an instance: which backend server a
// flow of an unsettled bucket was placed on. The table is bounded, has one lock
// for each bucket, and never evicts a record. It does no I/O.
package records

import (
	"sync"
	"sync/atomic"

	"balsamfork/internal/config"
	"balsamfork/internal/table"
)

// Kind says how a flow came to be recorded.
type Kind uint8

// The kinds of records. Each has its own bound.
const (
	// Opening is a flow whose opening packet was seen, and nothing after it.
	Opening Kind = iota
	// Placed is a flow that was seen after its opening packet.
	Placed
	// Observed is a flow that is older than the change and lives on its base.
	Observed
	kinds
)

// Record is one flow. It takes 16 bytes.
type Record struct {
	// Flow is the keyed hash of the 5-tuple; its low bits give the bucket.
	Flow uint64
	// server holds the Number in its low 24 bits and the flags above.
	server uint32
	// Seen is when the record was last refreshed, in seconds of Unix time.
	Seen uint32
}

// The flags of a record, above the 24 bits of the backend server.
const (
	kindShift           = 24
	kindMask     uint32 = 3 << kindShift
	closedFlag   uint32 = 1 << 26
	numberMask          = uint32(config.MaxNumber)
	openingShare        = 4
)

// New returns an open Record.
func New(flow uint64, server config.Number, kind Kind, seen uint32) Record {
	return Record{Flow: flow, server: uint32(server)&numberMask | uint32(kind)<<kindShift, Seen: seen}
}

// Server returns the backend server that the flow was placed on.
func (r Record) Server() config.Number { return config.Number(r.server & numberMask) }

// Kind returns how the flow came to be recorded.
func (r Record) Kind() Kind { return Kind(r.server & kindMask >> kindShift) }

// Closed reports whether a FIN or RST was seen.
func (r Record) Closed() bool { return r.server&closedFlag != 0 }

func (r Record) empty() bool { return r.server&numberMask == 0 }

// Limits bound a Table, in records.
type Limits struct {
	// Placed bounds Opening and Placed together, Opening and Observed each kind.
	Placed   int
	Opening  int
	Observed int
}

// LimitsFor divides a total number of records: half for flows placed, a quarter
// of those for openings that were not followed up, and half for observed flows.
func LimitsFor(total int) Limits {
	placed := total / 2
	return Limits{Placed: placed, Opening: placed / openingShare, Observed: total - placed}
}

// Table holds the records of all buckets.
type Table struct {
	limits  Limits
	counts  [kinds]atomic.Int64
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

// Refused returns how many records were not kept since a bound was reached.
func (t *Table) Refused() int64 { return t.refused.Load() }

// Lock locks a bucket and returns it. The caller must call Unlock.
func (t *Table) Lock(bucket int) *Bucket {
	b := &t.buckets[bucket]
	b.mu.Lock()
	return b
}

// reserve counts one more record of a kind if the bounds allow it.
func (t *Table) reserve(k Kind) bool {
	switch k {
	case Opening:
		return t.add(Opening, t.limits.Opening, t.limits.Placed-t.Len(Placed))
	case Placed:
		return t.add(Placed, t.limits.Placed, t.limits.Placed-t.Len(Opening))
	default:
		return t.add(Observed, t.limits.Observed, t.limits.Observed)
	}
}

func (t *Table) add(k Kind, limits ...int) bool {
	n := int(t.counts[k].Add(1))
	for _, l := range limits {
		if n > l {
			t.counts[k].Add(-1)
			t.refused.Add(1)
			return false
		}
	}
	return true
}

// Bucket holds the records of one bucket by linear probing. Its methods need
// the lock.
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
