package flowpath

import "time"

const (
	// handshakeTimeout is how long a handshake may take before it counts as missing:
	// many times the usual duration, and less than the caller's first retransmission
	// (200 ms).
	handshakeTimeout = 120 * time.Millisecond
	// dataTimeout is how long a request may get no data before this counts against
	// its server: a request takes up to 0.4 s of processing, after about 0.3 s in a
	// full queue.
	dataTimeout = 800 * time.Millisecond
	// maxReadDelay is how long packets may have waited to be read for their flows to
	// be expected to get responses in time. An opening packet that waited longer, as
	// in an instance that was frozen, may get no handshake because its caller has
	// gone elsewhere.
	maxReadDelay = 50 * time.Millisecond
	// maxRetransmissionGap is the time since the previous packet of its flow up to which
	// a retransmission counts as a failure: after longer the server may have become
	// reachable meanwhile.
	maxRetransmissionGap = 500 * time.Millisecond
	// maxPendingResponses bounds the responses of one kind that are waited for: many
	// times those of a second at 20,000 new flows a second over 415 instances.
	maxPendingResponses = 1024
)

// pendingResponse is a packet of a flow that a server is expected to answer.
type pendingResponse struct {
	flow uint64
	sent int64
}

// responseQueue is a queue of packets that await an answer, the oldest first. When it
// is full, the oldest is discarded.
type responseQueue struct {
	// timeout is how long an answer may take.
	timeout time.Duration
	ring    [maxPendingResponses]pendingResponse
	first   int
	count   int
}

func (q *responseQueue) add(flow uint64, now int64) {
	if q.count == maxPendingResponses {
		q.removeOldest()
	}
	q.ring[(q.first+q.count)%maxPendingResponses] = pendingResponse{flow: flow, sent: now}
	q.count++
}

func (q *responseQueue) removeOldest() {
	q.first = (q.first + 1) % maxPendingResponses
	q.count--
}

func (q *responseQueue) clear() { q.first, q.count = 0, 0 }

// cancel makes the answer to a packet no longer waited for, and reports whether it was.
func (q *responseQueue) cancel(flow uint64, sent int64) bool {
	for n := range q.count {
		if r := &q.ring[(q.first+n)%maxPendingResponses]; *r == (pendingResponse{flow: flow, sent: sent}) {
			*r = pendingResponse{}
			return true
		}
	}
	return false
}

// overdue removes and returns the oldest packet that should have been answered by
// now. Drained is when the socket was last empty: on a slow instance, the packet that
// shows the answer may still wait to be read.
func (q *responseQueue) overdue(drained int64) (pendingResponse, bool) {
	if q.count == 0 {
		return pendingResponse{}, false
	}
	oldest := q.ring[q.first]
	if drained-oldest.sent < int64(q.timeout) {
		return pendingResponse{}, false
	}
	q.removeOldest()
	return oldest, true
}
