package flowpath

import (
	"balsamfork/internal/flowtable"
	"balsamfork/internal/table"
)

const (
	// openingPackets is the number of opening packets that a caller sends for a flow: the
	// first one and its copies.
	openingPackets = 3
	// maxWaitedFlows bounds the flows whose opening packets are counted. The receive buffer
	// of the socket holds fewer packets.
	maxWaitedFlows = 4096
)

// waitedOpenings holds the opening packets that waited in the socket while the instance was
// paused: by flow, a bit for each copy.
type waitedOpenings map[uint64]uint8

// record records an opening packet, and reports whether all those of its flow have waited
// here, so that none went to another instance.
func (w waitedOpenings) record(p *Packet) bool {
	key := table.Mix(p.Flow.Hash() ^ uint64(p.Sequence))
	if p.Copy >= openingPackets || len(w) >= maxWaitedFlows && w[key] == 0 {
		return false
	}
	w[key] |= 1 << p.Copy
	return w[key] == 1<<openingPackets-1
}

// hasWaited reports whether a packet may have waited through a pause of the instance, in
// the socket or because it was held: the socket has not been empty since the pause.
func (d *Decider) hasWaited(p *Packet) bool {
	if d.held {
		return p.Arrived < d.resumedAt
	}
	return d.lastDrained < d.resumedAt
}

// isOutdated reports whether the flow of an opening packet may have been opened through
// another instance while the packet waited, or was given up by its caller.
func (d *Decider) isOutdated(p *Packet, now int64) bool {
	earliest := p.Arrived
	if d.waited && !d.held {
		earliest = d.lastDrained
	}
	if now-earliest > int64(flowtable.OpeningTimeout) {
		return true
	}
	return d.waited && (d.held || !d.waitedOpenings.record(p))
}
