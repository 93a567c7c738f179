package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// sendRequest opens a flow and sends a request on it.
func (w *world) sendRequest(port uint16) *catalogue.Backend {
	b := w.open(port, 0).Backend
	w.send(port, b.Cookie, 1, 100)
	return b
}

// advance advances the clock while the instance keeps reading its packets.
func (w *world) advance(span int64) {
	for end := w.now + span; w.now < end; w.now += min(100*ms, end-w.now) {
		w.RecordRead(w.now, w.now)
	}
}

// TestServerThatHangs covers servers that accept flows and answer no request, as in
// the scenarios srv_lying_health (hang) and srv_grey (mute): after two requests
// without data they get no new flows.
func TestServerThatHangs(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, nil)
	hung := w.sendRequest(1)
	w.advance(int64(dataTimeout) - ms)
	w.sendRequest(2)
	is.Equal(len(w.stalled), 0) // the server may still be processing
	w.advance(2 * ms)
	w.sendRequest(3)
	is.Equal(w.stalled, []string{hung.Name})
	w.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: 9, Server: hung.Cookie, DataCentre: "a"}, w.now)
	for port := uint16(100); port < 300; port++ {
		b := w.open(port, 0).Backend
		is.True(b.Name != hung.Name)
		w.send(port, b.Cookie, 1, 0)
	}
	is.True(w.ready())
	w.send(1, hung.Cookie, 2, 0) // the answer arrives late
	is.True(!w.Suspected(hung, w.now))
	is.Equal(w.refutedBy, []suspicion.Kind{suspicion.Data})
}

// TestMovingFlowsAreNoEvidence covers instances that start one after the other after
// a loss of all power: the fabric moved flows from one instance to the next, so
// acknowledgements passed through others (inc-18c4 of vitols-lb-grown).
func TestMovingFlowsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, nil)
	b := w.mirror.Snapshot().Backends("desk")[0]
	for port := uint16(1); port < 20; port++ {
		w.send(port, b.Cookie, 1, 100) // opened through another instance
	}
	w.advance(2 * int64(dataTimeout))
	w.sendRequest(100)
	is.Equal(len(w.stalled), 0)

	w = newWorld(2, nil)
	w.ready() // marks the start
	for port := uint16(1); port < 20; port++ {
		w.sendRequest(port)
	}
	w.advance(2 * int64(dataTimeout))
	w.sendRequest(100)
	is.Equal(len(w.stalled), 0)
}

// TestAllServersHang covers a service whose servers all hang: flows still go to them,
// and the instance stays ready, since another one would reach no better servers.
func TestAllServersHang(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	hung := w.sendRequest(1)
	for source := range uint64(4) {
		w.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: source, Server: hung.Cookie, DataCentre: "a"}, w.now)
	}
	is.True(w.Suspected(hung, w.now))
	is.Equal(w.open(2, 0).Backend.Name, hung.Name)
	is.True(w.ready())
}

// TestSlowRequestIsNoEvidence covers requests that wait in a long queue while their
// server sends data to others.
func TestSlowRequestIsNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	slow := w.sendRequest(1)
	w.sendRequest(2)
	w.advance(300 * ms)
	w.send(2, slow.Cookie, 2, 0)
	w.advance(2 * int64(dataTimeout))
	w.sendRequest(3)
	is.Equal(len(w.stalled), 0)
}

// TestShortAnswersAreNoEvidence covers answers of one packet, which callers
// acknowledge with their next packet or with the end of the flow.
func TestShortAnswersAreNoEvidence(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	for port := uint16(1); port < 100; port++ {
		b := w.sendRequest(port)
		w.now += 50 * ms
		w.decide(Packet{Flow: flow(port), Kind: Established, Cookie: b.Cookie, Acknowledged: 2, Finish: true})
	}
	is.Equal(len(w.stalled), 0)
}

// TestBackloggedInstanceSuspectsNoServer covers an instance that was frozen or is
// slow: the packets that it reads have waited, and so may the acknowledgement of an
// answer.
func TestBackloggedInstanceSuspectsNoServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	w.backlogged = true
	w.now += 100 * ms
	for port := uint16(2); port < 30; port++ {
		w.sendRequest(port)
	}
	w.backlogged = false
	w.advance(2 * int64(dataTimeout))
	w.sendRequest(100)
	is.Equal(len(w.stalled), 0)
}

// TestRequestOfSeveralPackets checks that the timeout of a request starts with its
// first packet.
func TestRequestOfSeveralPackets(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	b := w.sendRequest(1)
	second := Packet{Flow: flow(1), Kind: Established, Cookie: b.Cookie, Acknowledged: 1, Sequence: 100, Data: 100}
	w.now += 500 * ms
	w.decide(second)
	w.now += 500 * ms
	w.decide(second)
	is.Equal(len(w.stalled), 1)
}
