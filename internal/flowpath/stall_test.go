package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// ask opens a flow and sends a request on it.
func (w *world) ask(port uint16) *catalogue.Backend {
	b := w.open(port, 0).Backend
	w.send(port, b.Cookie, 1, 100)
	return b
}

// read lets time pass in which the instance reads its packets.
func (w *world) read(span int64) {
	for end := w.now + span; w.now < end; w.now += min(100*ms, end-w.now) {
		w.Observe(w.now, w.now)
	}
}

// TestServerThatHangs answers servers that accept flows and answer no request, as the
// bench's srv_lying_health (hang) and srv_grey (mute): after two requests without data
// no new flow goes there.
func TestServerThatHangs(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, nil)
	hung := w.ask(1)
	w.read(int64(dataWithin) - ms)
	w.ask(2)
	is.Equal(len(w.stalled), 0) // it may be at work
	w.read(2 * ms)
	w.ask(3)
	is.Equal(w.stalled, []string{hung.Name})
	w.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: 9, Server: hung.Cookie, DataCentre: "a"}, w.now)
	for port := uint16(100); port < 300; port++ {
		b := w.open(port, 0).Backend
		is.True(b.Name != hung.Name)
		w.send(port, b.Cookie, 1, 0)
	}
	is.True(w.reaches())
	w.send(1, hung.Cookie, 2, 0) // the answer has come after all
	is.True(!w.Suspected(hung, w.now))
	is.Equal(w.signs, []suspicion.Kind{suspicion.Data})
}

// TestFlowsOnTheirWayAccuseNobody holds for inc-18c4 of vitols-lb-grown: all power was
// lost, and while instances started one after the other, the fabric took flows from one
// to the next; acknowledgements passed elsewhere.
func TestFlowsOnTheirWayAccuseNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, nil)
	b := w.mirror.Snapshot().Backends("desk")[0]
	for port := uint16(1); port < 20; port++ {
		w.send(port, b.Cookie, 1, 100) // opened through another instance
	}
	w.read(2 * int64(dataWithin))
	w.ask(100)
	is.Equal(len(w.stalled), 0)

	w = newWorld(2, nil)
	w.reaches() // the start
	for port := uint16(1); port < 20; port++ {
		w.ask(port)
	}
	w.read(2 * int64(dataWithin))
	w.ask(100)
	is.Equal(len(w.stalled), 0)
}

// TestAllServersHang holds for a service whose servers all hang: flows still go to
// them, and the instance stays ready, as another one would reach no better servers.
func TestAllServersHang(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	hung := w.ask(1)
	for source := range uint64(4) {
		w.PeerReport(suspicion.Report{Kind: suspicion.NoData, Source: source, Server: hung.Cookie, DataCentre: "a"}, w.now)
	}
	is.True(w.Suspected(hung, w.now))
	is.Equal(w.open(2, 0).Backend.Name, hung.Name)
	is.True(w.reaches())
}

// TestSlowRequestAccusesNobody holds for requests that wait in a long queue: their
// server sends data to others meanwhile.
func TestSlowRequestAccusesNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	slow := w.ask(1)
	w.ask(2)
	w.read(300 * ms)
	w.send(2, slow.Cookie, 2, 0)
	w.read(2 * int64(dataWithin))
	w.ask(3)
	is.Equal(len(w.stalled), 0)
}

// TestShortAnswersAccuseNobody holds for answers of one packet, which callers
// acknowledge with their next packet or with the end of the flow.
func TestShortAnswersAccuseNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	for port := uint16(1); port < 100; port++ {
		b := w.ask(port)
		w.now += 50 * ms
		w.decide(Packet{Flow: flow(port), Kind: Established, Cookie: b.Cookie, Acknowledged: 2, Finish: true})
	}
	is.Equal(len(w.stalled), 0)
}

// TestLateReaderAccusesNobody holds for an instance that was frozen or is slow: what it
// reads has waited, and so may the sign of an answer.
func TestLateReaderAccusesNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	w.lagging = true
	w.now += 100 * ms
	for port := uint16(2); port < 30; port++ {
		w.ask(port)
	}
	w.lagging = false
	w.read(2 * int64(dataWithin))
	w.ask(100)
	is.Equal(len(w.stalled), 0)
}

// TestRequestOfSeveralPackets waits for the answer from the first packet on.
func TestRequestOfSeveralPackets(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	b := w.ask(1)
	second := Packet{Flow: flow(1), Kind: Established, Cookie: b.Cookie, Acknowledged: 1, Sequence: 100, Data: 100}
	w.now += 500 * ms
	w.decide(second)
	w.now += 500 * ms
	w.decide(second)
	is.Equal(len(w.stalled), 1)
}
