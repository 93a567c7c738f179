package link_test

import (
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/link"
)

// BenchmarkCall measures a call with 100 bytes of parameters over loopback, including
// the work of both ends.
func BenchmarkCall(b *testing.B) {
	_, set := createKeys(b)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(b, "alpha", loadKeys(b, set[alpha]), d)
	start(b, "beta", loadKeys(b, set[beta]), d)
	text := string(make([]byte, 100))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := callEcho(a, "beta", text); err != nil {
			b.Fatal(err)
		}
	}
}

// An open connection takes at most 200 kB of memory, both ends together.
func TestBoundMemoryOfAConnection(t *testing.T) {
	is := is.New(t)
	const count = 50
	_, set := createKeys(t)
	d := &directory{byID: map[fleet.ID]netip.AddrPort{}}
	a := start(t, "alpha", loadKeys(t, set[alpha]), d)
	k := loadKeys(t, set[ann])
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
