package exchange

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// readErrorDelay is the pause after a failed read of the socket, so that a lasting error
// does not take up the processor.
const readErrorDelay = 10 * time.Millisecond

const (
	// discardWait is how long the socket must be empty after a pause, and discardLimit
	// how long waiting messages are discarded at most.
	discardWait  = time.Millisecond
	discardLimit = 500 * time.Millisecond
)

// Receive reads and handles datagrams until the exchange is closed. Those that waited
// while the process was paused are discarded: the ages in them are those at which they
// were sent.
func (e *Exchange) Receive() {
	buffer := make([]byte, receiveBufferSize)
	resumed := int64(0)
	for {
		n, err := e.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.metrics.readErrors.Inc(1)
			time.Sleep(readErrorDelay)
			continue
		}
		if last := e.LastResume(e.Clock()); last > resumed {
			resumed = last
			e.discardWaiting(buffer)
			continue
		}
		m, ok := parse(buffer[:n])
		if !ok {
			e.metrics.malformed.Inc(1)
			continue
		}
		e.metrics.received.Inc(1)
		if len(m.Load) > 0 {
			e.metrics.loadReceived.Inc(1)
			e.metrics.loadBytesReceived.Inc(int64(n))
		}
		e.handle(&m)
	}
}

// discardWaiting discards the message that was just read and those that wait behind it.
func (e *Exchange) discardWaiting(buffer []byte) {
	count := 1
	for end := time.Now().Add(discardLimit); time.Now().Before(end); count++ {
		if err := e.conn.SetReadDeadline(time.Now().Add(discardWait)); err != nil {
			break
		}
		if _, err := e.conn.Read(buffer); err != nil {
			break
		}
	}
	if err := e.conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, net.ErrClosed) {
		e.metrics.readErrors.Inc(1)
	}
	e.metrics.outdated.Inc(int64(count))
	e.Log.Info("Discarded messages that waited during a pause.", "messages", count)
}

// parse returns the message in a datagram, and false if it is malformed.
func parse(data []byte) (m message, ok bool) {
	err := decode(data, &m)
	return m, err == nil && m.From.Address.Is4()
}

func (e *Exchange) handle(m *message) {
	now := e.Clock()
	e.recordPeers(m, now)
	e.receiveLoad(m)
	for _, r := range m.Returns {
		r.Source = sourceOf(m.From.Address)
		e.OnReport(r)
	}
	if m.Report != nil {
		if m.Relay {
			e.sendAll(message{From: e.peers.self, Report: m.Report}, e.peers.local())
		}
		m.Report.Source = sourceOf(m.From.Address)
		e.OnReport(*m.Report)
		return
	}
	if m.Pong {
		e.endProbe(m.From.DataCentre)
		return
	}
	if m.Ping {
		e.sendAll(message{From: e.peers.self, Pong: true}, []netip.Addr{m.From.Address})
		return
	}
	if m.StandBy {
		e.standBy(m.From)
		return
	}
	if m.Awaiting {
		e.standbys.confirm(m.From.Address, now)
		return
	}
	if m.Hello {
		e.answerHello(m.From)
	}
	if m.Regular && m.From.Address.Less(e.peers.self.Address) {
		e.Reader.Yield()
	}
	if m.Revision == 0 {
		return
	}
	e.applyDigest(m, now)
}

// recordPeers records the sender of a message and the peers that it names.
func (e *Exchange) recordPeers(m *message, now int64) {
	m.From.HeardMS = 0
	added := false
	for _, peer := range append([]Peer{m.From}, m.Peers...) {
		if e.peers.heard(peer, now) {
			e.Log.Info("Discovered a peer.", "peer", peer.Address.String(), "data_centre", peer.DataCentre,
				"from", m.From.Address.String())
			added = true
		}
	}
	if added {
		e.notifyResize()
	}
}

// applyDigest applies the catalogue information of a digest.
func (e *Exchange) applyDigest(m *message, now int64) {
	age := time.Duration(m.AgeMS) * time.Millisecond
	before, _ := e.Catalogue.Known()
	position := m.position()
	order := position.Compare(e.Mirror.Snapshot().Position)
	switch {
	case order < 0:
		return
	case order == 0:
		e.Catalogue.Confirm(position, age)
	case m.Delta == nil || !e.Catalogue.ApplyDelta(*m.Delta, age):
		e.pull(announcement{from: m.From, position: position, relay: m.Relay})
		return
	}
	if m.Relay {
		e.relay(*m, before)
	}
}

// relay forwards a digest within the data centre, unless this instance already knew
// something as recent.
func (e *Exchange) relay(m message, before int64) {
	after, _ := e.Catalogue.Known()
	if after <= before {
		return
	}
	e.metrics.relays.Inc(1)
	m.From, m.Relay, m.Regular = e.peers.self, false, false
	m.Load, m.Services = nil, nil // those of the sender
	m.AgeMS = time.Duration(e.Clock() - after).Milliseconds()
	e.sendAll(m, e.peers.local())
}

// sourceOf returns the number that identifies an instance in its reports.
func sourceOf(a netip.Addr) uint64 {
	b := a.As4()
	return uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
}
