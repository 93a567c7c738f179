package link

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/peer"
)

// A connection from an instance resets its redial backoff; one from an operator of
// the same name does not.
func TestIncomingConnectionResetsBackoff(t *testing.T) {
	is := is.New(t)
	l := &Link{peers: &peers{byID: make(map[fleet.ID]*peerConn)}}
	unreachable, err := l.peers.entry("gone")
	is.NoErr(err)
	other, err := l.peers.entry("other")
	is.NoErr(err)
	for range 10 {
		l.peers.extendBackoff(unreachable)
		l.peers.extendBackoff(other)
	}
	is.True(l.peers.inBackoff(unreachable))
	s := &session{link: l}
	s.setIdentity(keys.Identity{Role: keys.Operator, Name: "gone"})
	is.True(l.peers.inBackoff(unreachable))
	s.setIdentity(keys.Identity{Role: keys.Instance, Name: "gone"})
	is.True(!l.peers.inBackoff(unreachable))
	is.True(l.peers.inBackoff(other))
}

// TestSweepKeepsConnectionsInTheTable calls a peer while idle connections are swept all
// the time: every open connection is in the table, so that the last sweep closes it.
func TestSweepKeepsConnectionsInTheTable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var open atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				_, _ = io.Copy(io.Discard, c)
				open.Add(-1)
				_ = c.Close()
			}()
		}
	}()
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	p := &peers{
		byID: make(map[fleet.ID]*peerConn), resolve: func(fleet.ID) (netip.AddrPort, bool) { return address, true },
		traffic: newByteCounters(tally.NoopScope),
	}
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			for range 300 {
				_, err := p.get(t.Context(), "peer")
				is.NoErr(err)
			}
		})
	}
	calls.Go(func() {
		for range 1000 {
			p.sweep(time.Now())
		}
	})
	calls.Wait()
	p.close()
	_, err = p.get(t.Context(), "peer")
	is.True(peer.NotSent.Has(err)) // nothing is dialled after the end
	is.Equal(len(p.byID), 0)
	for deadline := time.Now().Add(5 * time.Second); open.Load() > 0 && time.Now().Before(deadline); {
		runtime.Gosched()
	}
	is.Equal(open.Load(), int64(0))
	is.NoErr(ln.Close())
}
