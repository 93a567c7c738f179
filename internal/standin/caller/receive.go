package caller

import (
	"time"

	"balsamfork/internal/standin/wire"
)

func (ep *endpoint) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := ep.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if segment, ok := ep.decoder.Decode(buf[:n]); ok {
			ep.handle(time.Now(), segment)
		}
	}
}

// handle processes one packet from a backend server.
func (ep *endpoint) handle(now time.Time, segment wire.Segment) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	i, ok := ep.flowByPort[segment.To.Port()]
	if !ok || ep.flows[i].service.Address != segment.From {
		return
	}
	f := &ep.flows[i]
	ep.count(f, Replies)
	reset := segment.Has(wire.RST)
	switch {
	case reset && f.state == closing:
		// The reply to the first FIN was lost; the server has dropped the flow and
		// resets the retransmission.
		ep.closed(now, f)
	case reset && f.state == opening:
		ep.count(f, OpenFailed)
		ep.endFlow(now, f)
	case reset:
		ep.failFlow(now, f, Reset)
	case f.state == opening:
		ep.opened(now, f, string(segment.Data))
	case segment.Has(wire.SYN):
		// A retransmitted SYN may have reached another backend server; the flow
		// belongs to the server that replied first.
	case string(segment.Data) != f.server:
		ep.failFlow(now, f, WrongServer)
	case f.state == closing && segment.Has(wire.FIN):
		ep.closed(now, f)
	case f.state == open:
		ep.scheduleNext(now, f)
	}
}

// opened records the first reply to a flow; server is the reply's payload.
func (ep *endpoint) opened(now time.Time, f *flow, server string) {
	ep.count(f, Opened)
	f.server = server
	f.opened = now
	f.state = open
	ep.scheduleNext(now, f)
}

// scheduleNext schedules the flow's next packet.
func (ep *endpoint) scheduleNext(now time.Time, f *flow) {
	f.awaitingReply = false
	f.nextAction = now.Add(ep.jitter(ep.config.MeanInterval))
}

// closed records the orderly end of a flow.
func (ep *endpoint) closed(now time.Time, f *flow) {
	ep.count(f, Closed)
	ep.endFlow(now, f)
}

// handleTimeout ends a flow whose packet got no reply to any transmission.
func (ep *endpoint) handleTimeout(now time.Time, f *flow) {
	if f.state == opening {
		ep.count(f, OpenFailed)
		ep.endFlow(now, f)
		return
	}
	ep.failFlow(now, f, TimedOut)
}

// failFlow records that an established flow broke.
func (ep *endpoint) failFlow(now time.Time, f *flow, cause Event) {
	if ep.config.ExpectedBreak != nil && ep.config.ExpectedBreak(f.server, f.opened) {
		cause = ExpectedBreak
	}
	ep.count(f, cause)
	ep.endFlow(now, f)
}

// endFlow frees the port; a new flow replaces this one after firstRetransmitDelay.
func (ep *endpoint) endFlow(now time.Time, f *flow) {
	delete(ep.flowByPort, f.port)
	f.state = idle
	f.awaitingReply = false
	f.nextAction = now.Add(firstRetransmitDelay)
}
