package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// ready reports whether the instance would be ready.
func (w *world) ready() bool { return w.Reachability(w.mirror.Snapshot(), w.now).Reachable }

// TestPartitionedInstanceReachesNothing covers a data centre that is evacuated and
// partitioned from the others: its instances report that they reach no server, until
// a contact.
func TestPartitionedInstanceReachesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	w.Contact("b", w.now)
	is.True(w.ready())
	for port := uint16(1); port < 200 && w.ready(); port++ {
		w.now += 10 * ms
		w.open(port, 0)
	}
	is.True(w.now < start+600*ms)
	is.True(!w.ready())
	w.now += 6000 * ms
	is.True(!w.ready())
	w.Contact("b", w.now)
	is.True(w.ready())
}

// TestDataInFlightIsNoProofOfReachability covers an evacuated and partitioned data
// centre in which remote servers still sent answers directly to its callers: each
// acknowledgement of these made the servers appear reachable again (fresh-52e7 of
// vitols-lb).
func TestDataInFlightIsNoProofOfReachability(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	w.Contact("b", w.now)
	download := w.open(1, 0).Backend
	w.send(1, download.Cookie, 1, 100)
	for port := uint16(10); port < 200 && w.ready(); port++ {
		w.now += 10 * ms
		w.open(port, 0)
	}
	is.True(!w.ready())
	w.send(1, download.Cookie, 2, 0) // more of the download has been acknowledged
	is.Equal(w.refutedBy, []suspicion.Kind{suspicion.Data})
	is.True(!w.ready())
}

// TestStartDuringPartition covers an instance that is restarted in such a data
// centre: it is not ready until another data centre has answered or the timeout has
// passed.
func TestStartDuringPartition(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	r := w.Reachability(w.mirror.Snapshot(), w.now)
	is.True(!r.Reachable)
	is.Equal(r.UnconfirmedDataCentres, []string{"b"})
	w.now += int64(remoteContactTimeout) + 1
	is.True(w.ready())

	w = newWorld(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	is.True(!w.ready())
	w.Contact("b", w.now)
	is.True(w.ready())

	w = newWorld(6, nil) // local servers suffice
	is.True(w.ready())
}
