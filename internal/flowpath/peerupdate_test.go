package flowpath

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/suspicion"
)

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
			path, err := Open(Options{
				Codec:  noCodec{},
				Listen: netip.MustParseAddrPort("127.0.0.1:0"), DataCentre: "a", Flows: FlowLimits{MaxAge: time.Minute, StabilityWindow: 4 * time.Second},
				CatalogueState: func() CatalogueState { return CatalogueState{Snapshot: h.mirror.Snapshot()} },
				RequestContact: func(string) {},
				Clock:          func() int64 { return h.now },
				Log:            slog.New(slog.DiscardHandler),
				Scope:          tally.NoopScope,
			})
			is.NoErr(err)
			defer func() { is.NoErr(path.Close()) }()
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
