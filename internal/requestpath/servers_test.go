package requestpath

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/config"
)

// recordingDialer dials pipes and records the addresses.
type recordingDialer struct{ dialled []string }

func (d *recordingDialer) dial(_ context.Context, address string) (net.Conn, error) {
	d.dialled = append(d.dialled, address)
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	return local, nil
}

// TestConnectionsFollowTheirAddress changes the address of a backend server, and
// removes the server, while one connection to it is in use and another is idle: neither
// is used again, and both are closed.
func TestConnectionsFollowTheirAddress(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.1.1:9"), netip.MustParseAddrPort("10.0.1.2:9")
	for name, change := range map[string]func(*serverPools){
		"new address": func(s *serverPools) { s.setAddress(1, second) },
		"removed":     func(s *serverPools) { s.retain(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &recordingDialer{}
			s := newServerPools(t.Context(), d.dial, newClock(), slog.New(slog.DiscardHandler), newMetrics(tally.NoopScope))
			s.setAddress(1, first)
			used, err := s.get(t.Context(), 1)
			is.NoErr(err)
			idle, err := s.get(t.Context(), 1)
			is.NoErr(err)
			s.put(idle)
			again, err := s.get(t.Context(), 1)
			is.NoErr(err)
			is.True(again.Conn == idle.Conn)
			s.put(again)

			change(s)
			s.put(used)
			<-used.DisconnectNotify()
			<-idle.DisconnectNotify()
			s.setAddress(1, second)
			_, err = s.get(t.Context(), 1)
			is.NoErr(err)
			is.Equal(d.dialled, []string{first.String(), first.String(), second.String()})
		})
	}
}

// TestRemovedServerHasNoPool adds and removes backend servers: no pool is kept.
func TestRemovedServerHasNoPool(t *testing.T) {
	is := is.New(t)
	s := newServerPools(t.Context(), (&recordingDialer{}).dial, newClock(), slog.New(slog.DiscardHandler), newMetrics(tally.NoopScope))
	for n := range config.Number(100) {
		s.setAddress(n, netip.MustParseAddrPort("10.0.1.1:9"))
		s.retain(map[config.Number]bool{n: true})
	}
	is.Equal(len(s.byNumber), 1)
}
