package flowpath

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/suspicion"
)

// ready reports whether the instance would be ready.
func (h *harness) ready() bool { return h.Reachability(h.mirror.Snapshot(), h.now).Reachable }

// TestPartitionedInstanceReachesNothing covers a data centre that is evacuated and
// partitioned from the others: its instances report that they reach no server, until
// an instance of another data centre answers.
func TestPartitionedInstanceReachesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	h.Contact("b", h.now)
	is.True(h.ready())
	for port := uint16(1); port < 200 && h.ready(); port++ {
		h.now += 10 * ms
		h.open(port, 0)
	}
	is.True(h.now < start+600*ms)
	is.True(!h.ready())
	h.now += 6000 * ms
	is.True(!h.ready())
	h.Contact("b", h.now)
	is.True(h.ready())
}

// TestDataInFlightIsNoProofOfReachability covers an evacuated and partitioned data
// centre in which remote servers still sent answers directly to its callers: each
// acknowledgement of these made the servers appear reachable again (fresh-52e7 of
// vitols-lb).
func TestDataInFlightIsNoProofOfReachability(t *testing.T) {
	is := is.New(t)
	h := newHarness(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	h.Contact("b", h.now)
	download := h.open(1, 0).Backend
	h.send(1, download.Cookie, 1, 100)
	for port := uint16(10); port < 200 && h.ready(); port++ {
		h.now += 10 * ms
		h.open(port, 0)
	}
	is.True(!h.ready())
	h.send(1, download.Cookie, 2, 0) // more of the download has been acknowledged
	is.Equal(h.refutedBy, []suspicion.Kind{suspicion.Data})
	is.True(!h.ready())
}

// TestStartDuringPartition covers an instance that is restarted in such a data
// centre: it is not ready until another data centre has answered or the timeout has
// passed.
func TestStartDuringPartition(t *testing.T) {
	is := is.New(t)
	h := newHarness(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	r := h.Reachability(h.mirror.Snapshot(), h.now)
	is.True(!r.Reachable)
	is.Equal(r.UnconfirmedDataCentres, []string{"b"})
	h.now += int64(remoteContactTimeout) + 1
	is.True(h.ready())

	h = newHarness(6, func(s *catalogue.Server) { s.DataCentre = "b" })
	is.True(!h.ready())
	h.Contact("b", h.now)
	is.True(h.ready())

	h = newHarness(6, nil) // local servers suffice
	is.True(h.ready())
}
