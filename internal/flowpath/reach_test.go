package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// reaches reports whether the instance would be ready.
func (w *world) reaches() bool { return w.Reach(w.mirror.Snapshot(), w.now).Servers }

// TestCutOffInstanceReachesNothing answers a data centre that is evacuated and cut
// off: its instances report not to reach any server, until a contact.
func TestCutOffInstanceReachesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	w.Contact("b", w.now)
	is.True(w.reaches())
	for port := uint16(1); port < 200 && w.reaches(); port++ {
		w.now += 10 * ms
		w.open(port, 0)
	}
	is.True(w.now < start+600*ms)
	is.True(!w.reaches())
	w.now += 6000 * ms
	is.True(!w.reaches())
	w.Contact("b", w.now)
	is.True(w.reaches())
}

// TestDataInFlightIsNoProofOfReach holds for fresh-52e7 of vitols-lb: a data centre was
// evacuated and cut off, and servers beyond the cut still sent answers to its callers
// directly; each acknowledgement of these made the servers look reachable again.
func TestDataInFlightIsNoProofOfReach(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	w.Contact("b", w.now)
	download := w.open(1, 0).Backend
	w.send(1, download.Cookie, 1, 100)
	for port := uint16(10); port < 200 && w.reaches(); port++ {
		w.now += 10 * ms
		w.open(port, 0)
	}
	is.True(!w.reaches())
	w.send(1, download.Cookie, 2, 0) // more of the download has arrived
	is.Equal(w.signs, []suspicion.Kind{suspicion.Data})
	is.True(!w.reaches())
}

// TestStartBehindACut answers an instance that is restarted in such a data centre:
// it is not ready before another one has answered, or for long enough.
func TestStartBehindACut(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	r := w.Reach(w.mirror.Snapshot(), w.now)
	is.True(!r.Servers)
	is.Equal(r.Unseen, []string{"b"})
	w.now += int64(unseenFor) + 1
	is.True(w.reaches())

	w = newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	is.True(!w.reaches())
	w.Contact("b", w.now)
	is.True(w.reaches())

	w = newWorld(6, nil) // with servers of its own it needs nobody
	is.True(w.reaches())
}
