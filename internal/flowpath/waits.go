package flowpath

import "time"

const (
	// handshakeWithin is how long a handshake may take before it counts as unanswered:
	// many times that of a calm day, and less than the caller's first copy (200 ms).
	handshakeWithin = 120 * time.Millisecond
	// dataWithin is how long a request may get no data before it counts against its
	// server: a request of today takes up to 0.4 s of work, after a full queue of some 0.3 s.
	dataWithin = 800 * time.Millisecond
	// waitedAtMost is how long an opening packet may have waited to be read for its
	// caller to be still there: one that waited longer, as in an instance that was
	// frozen, may get no handshake because its caller has gone elsewhere.
	waitedAtMost = 50 * time.Millisecond
	// maxWaits bounds the answers of a kind that are waited for: those of a second at
	// 20,000 new flows a second over 415 instances, many times over.
	maxWaits = 1024
)

// wait is a packet of a flow that a server is to answer.
type wait struct {
	flow uint64
	sent int64
}

// waits is a queue of packets that are to be answered, the oldest first. When it is
// full the oldest is forgotten.
type waits struct {
	// within is how long an answer may take.
	within time.Duration
	ring   [maxWaits]wait
	first  int
	count  int
}

func (w *waits) add(flow uint64, now int64) {
	if w.count == maxWaits {
		w.drop()
	}
	w.ring[(w.first+w.count)%maxWaits] = wait{flow: flow, sent: now}
	w.count++
}

func (w *waits) drop() {
	w.first = (w.first + 1) % maxWaits
	w.count--
}

func (w *waits) clear() { w.first, w.count = 0, 0 }

// overdue takes the oldest packet that should have been answered. Drained is when no
// packet was waiting to be read: of a slow instance the answer's sign may wait.
func (w *waits) overdue(drained int64) (wait, bool) {
	if w.count == 0 {
		return wait{}, false
	}
	oldest := w.ring[w.first]
	if drained-oldest.sent < int64(w.within) {
		return wait{}, false
	}
	w.drop()
	return oldest, true
}
