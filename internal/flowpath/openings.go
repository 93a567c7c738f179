package flowpath

import (
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/flowtable"
)

const (
	// maxKeptOpenings bounds the copies of opening packets that are kept. Copies are sent for
	// lost packets only: at the planned size and a loss of 2 %, about one a second.
	maxKeptOpenings = 64
	// maxKeptOpeningSize bounds the size of such a packet with its headroom, in bytes. An
	// opening packet carries no data.
	maxKeptOpeningSize = 64
	// minRepeatInterval is the minimum time between two repetitions of a flow's opening packet:
	// several packets may carry the same wrong cookie.
	minRepeatInterval = 100 * time.Millisecond
	// halfOpenTime is how long a server may repeat its answer to an opening packet: eight
	// times at intervals that grow to 1.6 s.
	halfOpenTime = 10 * time.Second
)

// keptOpenings keeps the last copies of opening packets that were forwarded, so that they can
// be sent again to a server that holds the flow half open. In a ring, the oldest is replaced.
type keptOpenings struct {
	ring [maxKeptOpenings]keptOpening
	next int
}

type keptOpening struct {
	flow     Flow
	sequence uint32
	// at is when the packet was forwarded, repeatedAt when it was last sent again.
	at, repeatedAt int64
	size           int
	data           [maxKeptOpeningSize]byte
}

// add keeps a packet with its headroom, unless it is too large.
func (k *keptOpenings) add(p *Packet, buffer []byte, now int64) {
	if len(buffer) > maxKeptOpeningSize {
		return
	}
	o := &k.ring[k.next]
	k.next = (k.next + 1) % maxKeptOpenings
	*o = keptOpening{flow: p.Flow, sequence: p.Sequence, at: now}
	o.size = copy(o.data[:], buffer)
}

// find returns the last opening packet of an established packet's flow, or nil if none is
// kept or its answers have ended.
func (k *keptOpenings) find(p *Packet, now int64) *keptOpening {
	var found *keptOpening
	for i := range k.ring {
		if o := &k.ring[i]; o.flow == p.Flow && (found == nil || o.at > found.at) {
			found = o
		}
	}
	if found == nil || !flowtable.Follows(p.Sequence, found.sequence) || now-found.at > int64(halfOpenTime) {
		return nil
	}
	return found
}

// repeatOpening sends the opening packet of a flow again to a server that may hold the flow
// half open, with the cookie of the flow's server: each answer carries the cookie that came
// with the last packet, and the caller repeats it.
func (p *Path) repeatOpening(packet *Packet, half, b *catalogue.Backend, now int64) {
	o := p.openings.find(packet, now)
	if o == nil || o.repeatedAt != 0 && now-o.repeatedAt < int64(minRepeatInterval) {
		return
	}
	o.repeatedAt = now
	buffer := o.data[:o.size]
	p.Codec.EncodeForServer(buffer, half.Number, b.Cookie)
	p.write(buffer, half)
	p.metrics.openingsRepeated.Inc(1)
}
