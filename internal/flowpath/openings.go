package flowpath

import "time"

const (
	// answerWithin is how long a handshake may take before it counts as unanswered:
	// many times that of a calm day, and less than the caller's first copy (200 ms).
	answerWithin = 120 * time.Millisecond
	// waitedAtMost is how long an opening packet may have waited to be read for its
	// caller to be still there: one that waited longer, as in an instance that was
	// frozen, may get no handshake because its caller has gone elsewhere.
	waitedAtMost = 50 * time.Millisecond
	// maxOpenings bounds the handshakes that are waited for: those of answerWithin at
	// 20,000 new flows a second over 415 instances, many times over.
	maxOpenings = 1024
)

// opening is an opening packet that was sent to a server.
type opening struct {
	flow uint64
	sent int64
}

// openings is a queue of opening packets, the oldest first. When it is full the
// oldest is forgotten.
type openings struct {
	ring  [maxOpenings]opening
	first int
	count int
}

func (o *openings) add(flow uint64, now int64) {
	if o.count == maxOpenings {
		o.drop()
	}
	o.ring[(o.first+o.count)%maxOpenings] = opening{flow: flow, sent: now}
	o.count++
}

func (o *openings) drop() {
	o.first = (o.first + 1) % maxOpenings
	o.count--
}

// overdue takes the oldest opening packet that should have been answered. Drained is
// when no packet was waiting to be read: of a slow instance the handshake may wait.
func (o *openings) overdue(drained int64) (opening, bool) {
	if o.count == 0 {
		return opening{}, false
	}
	oldest := o.ring[o.first]
	if drained-oldest.sent < int64(answerWithin) {
		return opening{}, false
	}
	o.drop()
	return oldest, true
}
