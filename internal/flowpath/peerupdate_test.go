package flowpath

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/clock"
	"balsamfork/internal/serverload"
	"balsamfork/internal/suspicion"
)

// openIdlePath opens a path that gets no packets, with the clock and catalogue of a harness.
func openIdlePath(t *testing.T, h *harness) *Path {
	path, err := Open(Options{
		Codec:  noCodec{},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: "a", Flows: FlowLimits{MaxAge: time.Minute, StabilityWindow: 4 * time.Second},
		CatalogueState: func() CatalogueState { return CatalogueState{Snapshot: h.mirror.Snapshot()} },
		RequestContact: func(string) {},
		LastResume:     func(int64) int64 { return 0 },
		Clock:          func() int64 { return h.now },
		Log:            slog.New(slog.DiscardHandler),
		Scope:          tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { is.New(t).NoErr(path.Close()) })
	return path
}

// TestLoadReportsLeaveRoomForFailures guards against load reports of many peers that push out
// reports on failures, or block the exchange, while no packet arrives.
func TestLoadReportsLeaveRoomForFailures(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	path := openIdlePath(t, h)
	path.SetInstances(4, 2)
	b := h.local()[0]
	for n := range 2 * maxLoadUpdates {
		r := serverload.Report{Run: 1, Sequence: uint64(n + 1), Interval: time.Second,
			Samples: []serverload.Sample{{Server: b.Cookie, Started: b.Started, Flows: 3, Busy: time.Second}}}
		is.NoErr(path.PeerLoad(peer, r.Append(nil)))
	}
	is.True(path.PeerLoad(peer, []byte("malformed")) != nil)
	for range 2 {
		path.PeerReport(suspicion.Report{Kind: suspicion.NoHandshake, Source: 7, Server: b.Cookie, DataCentre: "a"})
	}
	path.handleInterrupt()
	is.True(path.decider.Suspected(b, h.now))
	h.now += 600 * ms
	path.handleInterrupt()
	is.Equal(path.decider.load.table.Senders(), 2) // the peer and this instance
	is.Equal(path.decider.load.table.Server(b.Cookie, b.Started).Flows, 3.0)
	is.Equal(len(path.ServiceSums()), 2)
	is.Equal(path.ServiceSums()[0].Service, "a")
}

// TestIdleInstanceReports guards against an instance without packets that makes no reports, so
// that the others take its load to be like theirs.
func TestIdleInstanceReports(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	t.Cleanup(func() { is.NoErr(<-ended) }) // after the path is closed
	h := newSplitHarness(4)
	path := openIdlePath(t, h)
	reports := make(chan []byte, 10)
	path.Options.ShareLoad = func(report []byte) { reports <- report }
	path.Clock = clock.New().Now
	go func() { ended <- path.Run() }()
	path.ReachesAnyServer() // the readiness probe
	for range 2 {
		r, err := serverload.Decode(<-reports)
		is.NoErr(err)
		is.Equal(len(r.Samples), 0)
	}
}

// TestReportsCountFromTheirArrival guards against reports that waited for the next packet
// at an instance without traffic and count as new then.
func TestReportsCountFromTheirArrival(t *testing.T) {
	for _, c := range []struct {
		name      string
		waited    time.Duration
		suspected bool
	}{
		{"next packet soon afterwards", 100 * time.Millisecond, true},
		{"next packet much later", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1, nil)
			path := openIdlePath(t, h)
			b := h.mirror.Snapshot().Backends("desk")[0]
			for range 2 {
				path.PeerReport(suspicion.Report{Kind: suspicion.NoHandshake, Source: 7, Server: b.Cookie, DataCentre: "a"})
			}
			h.now += int64(c.waited)
			path.applyPeerUpdates()
			is.Equal(path.decider.Suspected(b, h.now), c.suspected)
		})
	}
}

// noCodec is a codec for a path that gets no packets.
type noCodec struct{}

func (noCodec) Headroom() int                          { return 0 }
func (noCodec) MaxPacket() int                         { return 1 }
func (noCodec) Decode([]byte) (Packet, bool)           { return Packet{}, false }
func (noCodec) EncodeForServer([]byte, uint64, uint32) {}
func (noCodec) EncodeReset(b []byte, _ *Packet) []byte { return b }
