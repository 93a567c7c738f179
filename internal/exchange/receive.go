package exchange

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// Receive takes datagrams until the exchange is closed.
func (e *Exchange) Receive() {
	buffer := make([]byte, maxMessage)
	for {
		n, err := e.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m, ok := read(buffer[:n])
		if !ok {
			e.metrics.malformed.Inc(1)
			continue
		}
		e.metrics.received.Inc(1)
		e.take(&m)
	}
}

// read returns a message, and false if it is malformed.
func read(data []byte) (m message, ok bool) {
	err := decode(data, &m)
	return m, err == nil && m.From.Address.Is4()
}

func (e *Exchange) take(m *message) {
	now := e.Clock()
	e.meet(m, now)
	if m.Report != nil {
		m.Report.Source = sourceOf(m.From.Address)
		e.Reported(*m.Report)
		return
	}
	if m.Pong {
		e.found(m.From.DataCentre)
		return
	}
	if m.Ping {
		e.sendAll(message{From: e.peers.self, Pong: true}, []netip.Addr{m.From.Address})
		return
	}
	if m.Hello {
		e.welcome(m.From)
	}
	if m.Regular && m.From.Address.Less(e.peers.self.Address) {
		e.Reader.Yield()
	}
	if m.Revision == 0 {
		return
	}
	e.learn(m, now)
}

// meet notes the sender and those that it names.
func (e *Exchange) meet(m *message, now int64) {
	m.From.HeardMS = 0
	grown := false
	for _, peer := range append([]Peer{m.From}, m.Peers...) {
		if e.peers.heard(peer, now) {
			e.Log.Info("Instance is known.", "peer", peer.Address.String(), "data_centre", peer.DataCentre,
				"from", m.From.Address.String())
			grown = true
		}
	}
	if grown {
		e.resized()
	}
}

// learn takes what a digest says of the catalogue.
func (e *Exchange) learn(m *message, now int64) {
	age := time.Duration(m.AgeMS) * time.Millisecond
	before, _ := e.Catalogue.Known()
	mine := e.Mirror.Snapshot().Revision
	switch {
	case m.Revision < mine:
		return
	case m.Revision == mine:
		e.Catalogue.Confirm(m.Revision, age)
	case m.Delta == nil || !e.Catalogue.Take(*m.Delta, age):
		e.pull(m.From.Address)
		return
	}
	if m.Relay {
		e.relay(*m, before)
	}
}

// relay passes a digest on within the data centre, unless something as recent was
// known here.
func (e *Exchange) relay(m message, before int64) {
	after, _ := e.Catalogue.Known()
	if after <= before {
		return
	}
	e.metrics.relays.Inc(1)
	m.From, m.Relay, m.Regular = e.peers.self, false, false
	m.AgeMS = time.Duration(e.Clock() - after).Milliseconds()
	e.sendAll(m, e.peers.local())
}

// sourceOf numbers an instance for its reports.
func sourceOf(a netip.Addr) uint64 {
	b := a.As4()
	return uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
}
