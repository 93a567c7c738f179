// Package flowtable remembers the flows that passed an instance a short time ago.
// What it holds only improves decisions: an instance without an entry finds the
// flow's backend server by its cookie. The table is of a fixed size, belongs to one
// goroutine and allocates nothing after its creation.
package flowtable

import "time"

const (
	// sets and ways give room for 8,192 flows: an instance of the later size sees
	// 20,000 new flows a second over 415 instances, for the 60 s that a flow lasts.
	sets = 2048
	ways = 4
	// OpeningFor is how long a flow may wait for its handshake: the caller gives
	// up 1.4 s after its first packet.
	OpeningFor = 1500 * time.Millisecond
	// busyFor is how long a request counts as unanswered.
	busyFor = 3 * time.Second
)

// State is how far a flow has come.
type State uint8

// The states of a flow.
const (
	Unused State = iota
	Opening
	Open
	Closing
)

// Entry is what is remembered of one flow.
type Entry struct {
	key   uint64
	State State
	// Cookie is that of the backend server to which the flow's packets go.
	Cookie uint32
	// Tried is the cookie of the server that did not answer the opening packet.
	Tried uint32
	// Sent is when the opening packet last went out, Asked when the first data of the
	// request under way did, Last when a packet last came.
	Sent, Asked, Last int64
	// Acknowledged is the caller's last acknowledgement, Sequence the position of
	// its last data.
	Acknowledged, Sequence uint32
	// Here says that the flow opened through this instance.
	Here bool
	// Busy says that a request has gone out since the last acknowledgement moved.
	Busy bool
}

// Table is a set-associative table of flows. The least recently used entry of a
// full set is replaced.
type Table struct {
	entries [sets * ways]Entry
}

// New returns an empty table.
func New() *Table { return &Table{} }

// Find returns the entry of a flow, or nil.
func (t *Table) Find(key uint64) *Entry {
	set := t.set(key)
	for i := range set {
		if set[i].State != Unused && set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// Add returns a fresh entry for a flow that has none.
func (t *Table) Add(key uint64, now int64) *Entry {
	set := t.set(key)
	chosen := &set[0]
	for i := range set {
		if set[i].State == Unused {
			chosen = &set[i]
			break
		}
		if set[i].Last < chosen.Last {
			chosen = &set[i]
		}
	}
	*chosen = Entry{key: key, Last: now}
	return chosen
}

// Remove forgets a flow.
func (t *Table) Remove(e *Entry) { *e = Entry{} }

// Work calls count for each flow that waits for its handshake or an answer.
func (t *Table) Work(now int64, count func(cookie uint32)) {
	for i := range t.entries {
		e := &t.entries[i]
		waits := e.State == Opening && now-e.Sent < int64(OpeningFor)
		works := e.Busy && now-e.Last < int64(busyFor)
		if waits || works {
			count(e.Cookie)
		}
	}
}

func (t *Table) set(key uint64) []Entry {
	first := int(key%sets) * ways
	return t.entries[first : first+ways]
}
