package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// TestSilentServerGetsNoNewFlows answers a server that falls silent, as the bench's
// replace_with_reuse (dark): after two unanswered packets no new flow goes there.
func TestSilentServerGetsNoNewFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, nil)
	silent := w.open(1, 0).Backend
	w.serve(10, 130*ms, silent.Name)
	is.Equal(w.unanswered, []string{silent.Name}) // one account
	is.True(w.peerMissed(silent, 42).Suspected)   // and a peer's
	for port := uint16(1000); port < 1200; port++ {
		is.True(w.open(port, 0).Backend.Name != silent.Name)
	}
}

// peerMissed takes an account of an instance against a server.
func (w *world) peerMissed(b *catalogue.Backend, source uint64) suspicion.Finding {
	r := suspicion.Report{Kind: suspicion.NoHandshake, Source: source, Server: b.Cookie, DataCentre: b.DataCentre}
	return w.PeerReport(r, w.now)
}

// serve opens flows for a time; all servers but one answer at once.
func (w *world) serve(port uint16, span int64, silent string) {
	for end := w.now + span; w.now < end; port++ {
		w.now += 10 * ms
		if v := w.open(port, 0); v.Backend.Name != silent {
			w.send(port, v.Backend.Cookie, 1, 0)
		}
	}
}

// TestOpenFlowsOfADeadServer answers long flows whose server has fallen silent: its
// callers are told at once to come back once several instances find it dead.
func TestOpenFlowsOfADeadServer(t *testing.T) {
	for _, c := range []struct {
		name       string
		dataCentre string
		source     uint64
		want       Action
	}{
		{"on the word of two instances", "a", 7, Reset},
		{"not on that of one", "a", 0, Forward},
		{"not across data centres", "b", 7, Forward},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, func(s *catalogue.Server) { s.DataCentre = c.dataCentre })
			w.settle()
			b := w.open(1, 0).Backend
			w.send(1, b.Cookie, 1, 0)
			for range 3 {
				w.now += 50 * ms
				w.peerMissed(b, 0)
			}
			w.peerMissed(b, c.source)
			is.Equal(w.send(1, b.Cookie, 1, 100).Action, c.want)
			is.Equal(w.send(1, b.Cookie, 2, 100).Action, c.want) // an acknowledgement of before, sent again
			is.Equal(w.send(1, b.Cookie, 3, 0).Action, Forward)  // an answer clears it
		})
	}
}

// TestPeersRefute holds for hunts of kernhaven-orders-grown, trouble-1 with seed
// 33699674635 and scale-1 with seed 157742876114: accounts of 40 instances came
// together against servers that answered all others.
func TestPeersRefute(t *testing.T) {
	for _, c := range []struct {
		name string
		sign suspicion.Kind
	}{
		{"by a handshake", suspicion.Handshake},
		{"by data", suspicion.Data},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1, nil)
			w.settle()
			b := w.open(1, 0).Backend
			w.send(1, b.Cookie, 1, 0)
			for source := range uint64(20) {
				w.now += 20 * ms
				w.peerMissed(b, source)
				if source%3 == 2 {
					w.PeerReport(suspicion.Report{Kind: c.sign, Server: b.Cookie, DataCentre: "a"}, w.now+ms)
				}
				w.now += 2 * ms
				is.Equal(w.send(1, b.Cookie, 1, 100).Action, Forward)
			}
		})
	}
}

// TestYoungInstanceResetsNothing holds for a start, in which handshakes are slow.
func TestYoungInstanceResetsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	b := w.open(1, 0).Backend
	w.send(1, b.Cookie, 1, 0)
	for source := range uint64(4) {
		w.peerMissed(b, source)
	}
	is.Equal(w.send(1, b.Cookie, 1, 100).Action, Forward)
}

// TestRepeatedDataCountsOnlyAgainstASuspect holds for servers that take long to
// answer.
func TestRepeatedDataCountsOnlyAgainstASuspect(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	b := w.open(1, 0).Backend
	w.send(1, b.Cookie, 1, 100)
	w.now += 50 * ms
	w.send(1, b.Cookie, 1, 100)
	is.Equal(len(w.unanswered), 0)
	for range 2 {
		w.peerMissed(b, 7)
	}
	w.now += 50 * ms
	w.send(1, b.Cookie, 1, 100)
	is.Equal(w.unanswered, []string{"s0"})
}

// TestServersThatRefuseFlows answers a data centre whose servers are all down and
// reset flows: callers see the resets, instances only that no handshake comes. The
// flows go to the other data centre.
func TestServersThatRefuseFlows(t *testing.T) {
	is := is.New(t)
	n := 0
	w := newWorld(8, func(s *catalogue.Server) {
		if n++; n > 4 {
			s.DataCentre = "b"
		}
	})
	refused := 0
	for port := uint16(1); port < 1000; port++ {
		w.now += 5 * ms
		v := w.open(port, 0)
		if v.Backend.DataCentre == "b" {
			w.send(port, v.Backend.Cookie, 1, 0)
			continue
		}
		refused++
	}
	// 4 servers with two accounts each, some under way, and a few trials in 5 s.
	is.True(refused < 60)
}

// TestServerThatIsBackGetsFlowsAgain holds for a suspicion that ends by a trial.
func TestServerThatIsBackGetsFlowsAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, nil)
	silent := w.open(1, 0).Backend
	w.serve(10, 1500*ms, silent.Name)
	is.True(w.Suspected(silent, w.now))
	w.serve(1000, 5000*ms, "")
	is.True(!w.Suspected(silent, w.now))
	is.Equal(w.refuted[len(w.refuted)-1], silent.Name)
}

// TestThawedInstanceIgnoresOldReports holds for deploy/days/instances-lost on
// vitols-lb: 40% of the instances were frozen for 5 s; as they woke, each had reports
// of all the others waiting and reset flows of servers that lived.
func TestThawedInstanceIgnoresOldReports(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, nil)
	b := w.open(1, 0).Backend
	w.send(1, b.Cookie, 1, 0)
	w.now += 5000 * ms
	is.Equal(w.send(1, b.Cookie, 1, 0).Action, Forward)
	for source := range uint64(6) {
		w.peerMissed(b, source)
	}
	is.True(!w.Suspected(b, w.now))
	w.serve(10, 600*ms, "")
	for source := range uint64(6) {
		w.peerMissed(b, source)
	}
	is.Equal(w.send(1, b.Cookie, 1, 100).Action, Forward) // it is too early to reset anything
}

// TestStaleOpeningPacketsBlameNobody holds for the instances that were frozen there:
// opening packets had waited in their sockets, and the callers had long gone on.
func TestStaleOpeningPacketsBlameNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, nil)
	w.lagging = true
	w.now += 5000 * ms
	for port := uint16(1); port < 40; port++ {
		w.now += ms / 4
		w.open(port, 0)
	}
	w.lagging = false
	w.serve(1000, 1000*ms, "")
	is.Equal(len(w.unanswered), 0)
}

// TestInstanceThatStoodStill answers a freeze, or a processor that is too slow for
// the packets, as after a total loss on the smallest machines: the handshakes that came meanwhile
// wait to be read, and no server is to blame.
func TestInstanceThatStoodStill(t *testing.T) {
	is := is.New(t)
	w := newWorld(5, nil)
	opened := map[uint16]*catalogue.Backend{}
	for port := uint16(1); port < 40; port++ {
		w.now += ms
		opened[port] = w.open(port, 0).Backend
	}
	w.now += 4000 * ms
	w.lagging = true
	for port := uint16(1); port < 40; port++ {
		w.now += ms
		w.send(port, opened[port].Cookie, 1, 0)
	}
	w.lagging = false
	w.serve(1000, 1000*ms, "")
	is.Equal(len(w.unanswered), 0)
}
