package flowpath

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/decisionlog"
)

// TestNoRefusalOfPacketsThatWaited guards against untrue refusals: of an opening packet that
// was held or waited through a pause, a copy may have been placed by another instance.
func TestNoRefusalOfPacketsThatWaited(t *testing.T) {
	for name, wait := range map[string]func(h *harness, p *Packet){
		"held": func(h *harness, p *Packet) {
			p.Arrived = h.now
			h.now += 300 * ms
			h.known = h.now
		},
		"waited": func(h *harness, _ *Packet) {
			h.now += 600 * ms
			h.known, h.resumedAt, h.backlogged = h.now, h.now, true
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSplitHarness(4)
			h.fill()
			refused, waited := 0, 0
			for port := range uint16(40) {
				if h.openAt(2000+port, otherPort, 0).Reason == Overloaded {
					refused++
				}
				p := Packet{Flow: flow(3000 + port), Kind: Opening}
				p.Flow.DestinationPort = otherPort
				wait(h, &p)
				if h.decide(p).Reason == Overloaded {
					waited++
				}
				h.backlogged = false
				h.share(20, settlingTime+2*time.Second) // sums settle anew after a pause
			}
			is := is.New(t)
			is.True(refused > 10) // the service refuses packets that did not wait
			is.Equal(waited, 0)
		})
	}
}

// TestFirstSumsRefuseNothing covers callers that all come back after a loss: the first sums
// show services that were full for a moment. Nothing is refused before sums have counted for
// settlingTime.
func TestFirstSumsRefuseNothing(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	for port := range uint16(4) {
		h.openAt(1000+port, splitPort, 0)
		h.share(20, 500*time.Millisecond)
		for n := range uint16(20) {
			is.Equal(h.openAt(2000+20*port+n, otherPort, 0).Action, Forward)
		}
	}
	h.share(20, time.Second)
	is.True(h.load.services["b"].admission.Level() < 1)
}

// TestRefusalComesBeforeAnyServer covers a full service without an alternative: a refused
// flow leaves nothing behind here, and copies of opening packets that were placed before are
// not refused.
func TestRefusalComesBeforeAnyServer(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	placed := h.openAt(1, urgentPort, 0)
	is.Equal(placed.Reason, Placed)
	h.fill()
	refused := Verdict{}
	p := Packet{Flow: flow(10), Kind: Opening, Sequence: 7}
	for n := byte(1); n < 200 && refused.Reason != Overloaded; n++ {
		p.Flow.Source = netip.AddrFrom4([4]byte{100, 64, 1, n})
		refused = h.decide(p)
		is.Equal(h.flows.Find(p.Flow.Hash(), h.now) == nil, refused.Reason == Overloaded)
	}
	is.Equal(refused.Action, Reset)
	is.Equal(refused.Reason, Overloaded)
	is.True(refused.Backend == nil)
	is.True(refused.Load.Limited && refused.Load.Known)
	is.Equal(refused.Load.Rank, 2)
	is.Equal(h.openAt(3, urgentPort, 0).Reason, Placed) // the urgent route is not limited first
	p.Copy = 1
	is.Equal(h.decide(p).Action, Forward) // it would have been refused, but another instance may have placed it
	var out bytes.Buffer
	path := &Path{decider: h.Decider, recorder: decisionlog.NewRecorder(slog.New(slog.NewJSONHandler(&out, nil)))}
	path.log(&Packet{Flow: flow(10)}, &refused, CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.now}, h.now)
	var line struct {
		LoadAgeMS    *int     `json:"load_age_ms"`
		AdmittedPart *float64 `json:"admitted_part"`
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.True(line.LoadAgeMS != nil && *line.AdmittedPart < 1)
}

// TestLatePacketIsNotRefused guards against an opening packet that was read 0.2 s late and
// refused, while its copy waited behind it and was placed: a server accepted a flow whose
// caller had been refused (soak seeds 138 and 45006). The read may have had to wait for the
// packet, and the process was not scheduled then.
func TestLatePacketIsNotRefused(t *testing.T) {
	for _, emptyUntil := range []int64{-200 * ms, 0} {
		testLatePacket(t, emptyUntil)
	}
}

func testLatePacket(t *testing.T, emptyUntil int64) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.fill()
	p := Packet{Flow: flow(10), Kind: Opening, Sequence: 7}
	find := func() (v Verdict) {
		for n := byte(1); n < 200 && v.Reason != Overloaded; n++ {
			p.Flow.Source = netip.AddrFrom4([4]byte{100, 64, 1, n})
			v = h.decide(p)
		}
		return v
	}
	is.Equal(find().Reason, Overloaded)
	h.drainedAt, h.emptyUntil = h.now-200*ms, h.now+emptyUntil
	h.backlogged = true
	v := h.decide(p)
	is.Equal(v.Action, Forward)
	p.Copy, h.now = 1, h.now+ms/2
	again := h.decide(p)
	is.Equal(again.Reason, Repeated)
	is.Equal(again.Backend, v.Backend)
}

// TestCopyKeepsItsService guards against a flow that is opened at servers of two services,
// because the service was full when its opening packet came and is not when the copy comes,
// or because the weights have changed in between.
func TestCopyKeepsItsService(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness)
	}{
		{"the room changes", func(h *harness) { h.load.services["a"].room.Load = 0 }},
		{"the weights change", func(h *harness) {
			h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 2000, Configuration: splitConfiguration(2, 99, 1)})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newSplitHarness(40)
			h.share(0.1, time.Second)
			h.load.services["a"].room.Load, h.load.services["b"].room.Load = 20, 0
			first, overflown := map[uint16]Verdict{}, 0
			for port := range uint16(20) {
				first[port] = h.open(port, 0)
				if first[port].Load.OverflowFrom == "a" {
					overflown++
				}
			}
			is.True(overflown > 10)
			c.change(h)
			for port, v := range first {
				again := h.open(port, 1)
				is.Equal(again.Reason, Repeated)
				is.Equal(again.Backend, v.Backend)
				is.Equal(again.Service, v.Service)
			}
			h.now += 200 * ms
			for port, v := range first {
				h.peerFailure(v.Backend, 7)
				h.peerFailure(v.Backend, 8)
				again := h.open(port, 2)
				is.Equal(again.Reason, Moved)
				is.Equal(again.Backend.Service, v.Service) // moved within its service
			}
		})
	}
}
