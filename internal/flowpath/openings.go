package flowpath

import "time"

const (
	// answerWithin is how long a handshake may take before it counts as unanswered:
	// many times that of a calm day, and less than the caller's first copy (200 ms).
	answerWithin = 120 * time.Millisecond
	// pauseAfter is a gap between packets after which this instance may have stood
	// still itself; handshakes that came meanwhile wait to be read.
	pauseAfter = 60 * time.Millisecond
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
	last  int64
	// notBefore is until when nothing counts as unanswered.
	notBefore int64
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

// observe notes that a packet is handled now.
func (o *openings) observe(now int64) {
	if o.last != 0 && now-o.last > int64(pauseAfter) {
		o.notBefore = now + int64(answerWithin)
	}
	o.last = now
}

// overdue takes the oldest opening packet that should have been answered.
func (o *openings) overdue(now int64) (opening, bool) {
	if o.count == 0 || now < o.notBefore {
		return opening{}, false
	}
	oldest := o.ring[o.first]
	if now-oldest.sent < int64(answerWithin) {
		return opening{}, false
	}
	o.drop()
	return oldest, true
}
