package exchange

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/suspicion"
)

// TestStartingInstanceLearnsOfReturns guards against an instance that starts during an outage
// of the store, and gives a server that came back before it its full load.
func TestStartingInstanceLearnsOfReturns(t *testing.T) {
	port := freePort(t)
	a := start(t, port, 21, "a")
	a.advanceKnown(clock())
	returns := slices.Repeat([]suspicion.Report{{Kind: suspicion.Returned, Server: 5, DataCentre: "a"}}, maxReturns+1)
	a.returns.Store(&returns)
	b := start(t, port, 22, "a", address(21))
	eventually(t, "the reports were not received", func() bool { return b.reportCount() >= maxReturns })
}

// TestReturnsReachAllDataCentres guards against a limit of a cold server that instances of
// other data centres don't know of.
func TestReturnsReachAllDataCentres(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	a, others := start(t, port, 21, "a", address(22)), []*instance{}
	for last := byte(22); last < 26; last++ {
		others = append(others, start(t, port, last, "b", address(21)))
	}
	eventually(t, "instances don't know one another", func() bool {
		return a.peers.size() == 5 && !slices.ContainsFunc(others, func(i *instance) bool { return i.peers.size() < 5 })
	})
	a.Report(suspicion.Report{Kind: suspicion.Returned, Server: 5, DataCentre: "a", Age: time.Second})
	eventually(t, "the report was not received", func() bool {
		return !slices.ContainsFunc(others, func(i *instance) bool { return i.reportCount() == 0 })
	})
	is.Equal(others[0].reports[0].Age, time.Second)
}
