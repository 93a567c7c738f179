package exchange

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStandbys lets a regular reader choose the instances that wait for changes of the store
// beside it: two, in other data centres than its own.
func TestStandbys(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	reader := start(t, port, 60, "a")
	others := map[string][]*instance{}
	for n, dataCentre := range []string{"a", "b", "b", "c", "c"} {
		others[dataCentre] = append(others[dataCentre], start(t, port, byte(61+n), dataCentre, address(60)))
	}
	reader.regular.Store(true)
	eventually(t, "the instances do not find one another", func() bool { return reader.peers.size() == 6 })
	asked := func() map[string]int {
		asked := map[string]int{}
		for dataCentre, instances := range others {
			for _, i := range instances {
				asked[dataCentre] += int(i.asked.Load())
			}
		}
		return asked
	}
	reader.readStore(7, 1)
	time.Sleep(50 * time.Millisecond)
	is.Equal(asked(), map[string]int{"a": 0, "b": 0, "c": 0}) // it may yield yet
	reader.settled.Store(true)
	reader.readStore(7, 1)
	eventually(t, "no standbys are asked", func() bool { return asked()["b"] == 1 && asked()["c"] == 1 })
	is.Equal(asked()["a"], 0)
}

// peersOfThree returns the peers of an instance in one of three data centres.
func peersOfThree() *peers {
	p := newPeers(Peer{Address: address(1), DataCentre: "a"}, nil)
	for n, dataCentre := range []string{"a", "b", "b", "c", "c"} {
		p.heard(Peer{Address: address(byte(2 + n)), DataCentre: dataCentre}, 1)
	}
	return p
}

// TestStandbysOfAReaderThatReturns guards against standbys that are replaced, and whose data
// centres are avoided, since the regular reader was paused, or was none for a while, and did
// not ask them.
func TestStandbysOfAReaderThatReturns(t *testing.T) {
	is := is.New(t)
	peers := peersOfThree()
	var s standbys
	before := s.update(int64(time.Hour), peers.spread)
	after := s.update(int64(time.Hour+2*standbyTimeout), peers.spread)
	slices.SortFunc(before, netip.Addr.Compare)
	slices.SortFunc(after, netip.Addr.Compare)
	is.Equal(after, before)
	is.Equal(len(s.failed), 0)
}

// TestStandbysAreReplaced guards against standbys that are gone, or that the store turns
// away, while others could wait for changes.
func TestStandbysAreReplaced(t *testing.T) {
	is := is.New(t)
	peers := peersOfThree()
	in := func(a netip.Addr) string { return peers.table[a].dataCentre }
	var s standbys
	now := int64(time.Hour)
	first := s.update(now, peers.spread)
	is.Equal(len(first), maxStandbys)
	is.True(in(first[0]) != in(first[1]) && in(first[0]) != "a" && in(first[1]) != "a")
	for range 10 {
		now += int64(500 * time.Millisecond)
		s.confirm(first[0], now)
		chosen := s.update(now, peers.spread)
		is.Equal(len(chosen), maxStandbys)
		is.True(chosen[0] == first[0] || chosen[1] == first[0]) // it answers
		if now > int64(time.Hour+standbyTimeout) {
			is.True(in(chosen[0]) != in(first[1]) && in(chosen[1]) != in(first[1])) // others are left
		}
	}
}
