package link_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/link"
)

// BenchmarkCall is one call of 100 bytes and its answer over loopback: the work
// of both ends.
func BenchmarkCall(b *testing.B) {
	_, set := develop(b)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(b, "alpha", load(b, set[alpha]), d)
	start(b, "beta", load(b, set[beta]), d)
	word := string(make([]byte, 100))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ask(a, "beta", word); err != nil {
			b.Fatal(err)
		}
	}
}

// A standing connection costs both its ends together at most 200 kB.
func TestBoundMemoryOfAConnection(t *testing.T) {
	is := is.New(t)
	const count = 50
	_, set := develop(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(t, "alpha", load(t, set[alpha]), d)
	k := load(t, set[ann])
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	before := heap()
	var clients []*link.Client
	for range count {
		c, err := link.Dial(t.Context(), a.Addr(), k)
		is.NoErr(err)
		is.NoErr(c.Call(t.Context(), "status", "x", nil))
		clients = append(clients, c)
	}
	each := (heap() - before) / count
	t.Logf("%d bytes for both ends of a connection", each)
	is.True(each <= 200_000)
	for _, c := range clients {
		is.NoErr(c.Close())
	}
}
