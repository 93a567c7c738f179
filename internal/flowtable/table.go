// Package flowtable keeps recently seen flows. It is a cache that only improves
// decisions: an instance without an entry finds the flow's backend server by its
// cookie. Entries expire when their flows must have ended. The table has a fixed size,
// is not safe for concurrent use and allocates nothing after its creation.
package flowtable

import "time"

const (
	// sets and ways give room for 8,192 flows. At the planned size, 415 instances
	// share 20,000 new flows a second, and a flow lasts 60 s: about 2,900 flows per
	// instance.
	sets = 2048
	ways = 4
	// OpeningTimeout is how long a flow may wait for its handshake: the caller gives up
	// 1.4 s after its first packet.
	OpeningTimeout = 1500 * time.Millisecond
	// requestTimeout is how long an unanswered request counts as outstanding.
	requestTimeout = 3 * time.Second
	// maxAdvance is how far the sequence numbers of a flow may advance between two packets
	// that an instance sees, in bytes. Those of another flow start at random.
	maxAdvance = 1 << 20
)

// State is the state of a flow.
type State uint8

// The states of a flow.
const (
	Unused State = iota
	Opening
	Open
	Closing
)

// Entry is the state of one flow.
type Entry struct {
	key   uint64
	State State
	// Cookie is the cookie of the backend server that receives the flow's packets, and
	// Started the start of it that was known when it got the first of them, as in
	// catalogue.Server.
	Cookie  uint32
	Started int64
	// UnansweredCookie is the cookie of the server that did not answer the opening packet.
	UnansweredCookie uint32
	// added is when the entry was created, in nanoseconds.
	added int64
	// Sent is when the opening packet was last forwarded, RequestSent when the first data
	// of the request in progress was, and Last when a packet last arrived, all in
	// nanoseconds.
	Sent, RequestSent, Last int64
	// Acknowledged is the caller's last acknowledgement number, and Sequence the
	// sequence number of its last data, or of its first packet here.
	Acknowledged, Sequence uint32
	// Repeated says that the opening packet was sent a second time, to the same server or to
	// another one, since it was not answered.
	Repeated bool
	// Opened is when the first packet of the open flow arrived, in nanoseconds.
	Opened int64
	// OpenedHere says that the flow was opened through this instance.
	OpenedHere bool
	// AwaitingAnswer says that a request has been forwarded since the
	// acknowledgement number last advanced.
	AwaitingAnswer bool
	// Sampled says that the request in progress counts in the instance's load report.
	Sampled bool
}

// Includes reports whether an established packet with the given sequence and
// acknowledgement numbers can belong to the flow of the entry. If not, it belongs to
// another flow that has the same addresses and ports.
func (e *Entry) Includes(sequence, acknowledged uint32) bool {
	return isNear(sequence, e.Sequence) && (e.State == Opening || isNear(acknowledged, e.Acknowledged))
}

// OpenedBy reports whether an opening packet with the given sequence number can be one of
// the flow of the entry. If not, it opens another flow that has the same addresses and
// ports.
func (e *Entry) OpenedBy(sequence uint32) bool { return Follows(e.Sequence, sequence) }

// Follows reports whether a packet with the given sequence number can belong to a flow whose
// opening packet had the other one.
func Follows(sequence, opening uint32) bool { return sequence-opening <= maxAdvance }

func isNear(a, b uint32) bool {
	distance := int32(a - b)
	return -maxAdvance <= distance && distance <= maxAdvance
}

// Table is a set-associative table of flows. In a full set, the least recently used
// entry is replaced.
type Table struct {
	entries [sets * ways]Entry
	// maxAge is the longest time that a flow may last, and so the age at which an entry
	// expires.
	maxAge time.Duration
	// OnRemove, if set, is called with each entry that is removed or replaced, before that.
	OnRemove func(*Entry)
}

// New returns an empty table for flows that last up to maxAge.
func New(maxAge time.Duration) *Table { return &Table{maxAge: maxAge} }

// Find returns the entry of a flow, or nil if there is none. It removes an entry that has
// expired.
func (t *Table) Find(key uint64, now int64) *Entry {
	set := t.set(key)
	for i := range set {
		e := &set[i]
		if e.State == Unused || e.key != key {
			continue
		}
		if !t.expired(e, now) {
			return e
		}
		t.Remove(e)
	}
	return nil
}

// expired reports whether the flow of an entry must have ended. A flow that waits for its
// handshake longer than OpeningTimeout was given up, or opened through another instance.
func (t *Table) expired(e *Entry, now int64) bool {
	return now-e.added > int64(t.maxAge) || e.State == Opening && now-e.Sent > int64(OpeningTimeout)
}

// Add returns a new entry for a flow that has none.
func (t *Table) Add(key uint64, now int64) *Entry {
	set := t.set(key)
	entry := &set[0]
	for i := range set {
		if set[i].State == Unused {
			entry = &set[i]
			break
		}
		if set[i].Last < entry.Last {
			entry = &set[i]
		}
	}
	if entry.State != Unused {
		t.Remove(entry)
	}
	*entry = Entry{key: key, added: now, Last: now}
	return entry
}

// Remove deletes the entry of a flow.
func (t *Table) Remove(e *Entry) {
	if t.OnRemove != nil {
		t.OnRemove(e)
	}
	*e = Entry{}
}

// Scan calls visit for each flow, and tells whether it waits for its handshake or an
// answer.
func (t *Table) Scan(now int64, visit func(e *Entry, outstanding bool)) {
	for i := range t.entries {
		e := &t.entries[i]
		if e.State == Unused {
			continue
		}
		opening := e.State == Opening && now-e.Sent < int64(OpeningTimeout)
		awaitingAnswer := e.AwaitingAnswer && now-e.Last < int64(requestTimeout)
		visit(e, opening || awaitingAnswer)
	}
}

func (t *Table) set(key uint64) []Entry {
	first := int(key%sets) * ways
	return t.entries[first : first+ways]
}
