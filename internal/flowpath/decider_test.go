package flowpath

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/cookie"
	"balsamfork/internal/flowtable"
	"balsamfork/internal/overload"
	"balsamfork/internal/serverload"
	"balsamfork/internal/suspicion"
)

const (
	ms    = int64(time.Millisecond)
	start = int64(time.Hour)
)

// harness is a decider with a catalogue and a simulated clock.
type harness struct {
	*Decider
	mirror *catalogue.Mirror
	// unanswered holds the names of the servers whose handshake was reported missing.
	unanswered []string
	stalled    []string
	refuted    []string
	refutedBy  []suspicion.Kind
	returned   []suspicion.Report
	// reports holds the load reports that were made, rooms the services whose state has
	// changed and speeds the servers whose speed has.
	reports       [][]byte
	rooms, speeds []string
	// backlogged simulates packets that wait to be read.
	backlogged bool
	drainedAt  int64
	// emptyUntil is until when the socket was empty.
	emptyUntil int64
	// quiet simulates packets between which nothing happens: the socket was last found
	// empty right after the one before.
	quiet bool
	// readAt is when a packet was last read, resumedAt the end of the last pause.
	readAt    int64
	resumedAt int64
	known     int64
	since     int64
	failing   bool
	now       int64
}

func route(port uint16, service string) catalogue.Route {
	return catalogue.Route{
		Destination: catalogue.Destination{Address: netip.MustParseAddr("198.18.0.1"), Port: port},
		Shares:      []catalogue.Share{{Service: service, Weight: 1}},
	}
}

func record(name string, revision uint64, change func(*catalogue.Server)) catalogue.Record {
	s := &catalogue.Server{
		Number: revision, Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "desk", DataCentre: "a", Slots: 4,
	}
	if change != nil {
		change(s)
	}
	return catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: name}, Revision: revision, Created: revision, Server: s}
}

// harnessCount counts the harnesses, so that each gets its own random seed.
var harnessCount atomic.Uint64

// newHarness returns a harness with a route to service desk at port 443 and n
// servers of it.
func newHarness(n int, change func(*catalogue.Server)) *harness {
	h := &harness{mirror: catalogue.NewMirror(), known: start, since: start, now: start}
	h.Decider = NewDecider("a", FlowLimits{MaxAge: time.Minute, StabilityWindow: 4 * time.Second}, WarmupLimits{Factor: 1.5, Slack: 5}, rand.New(rand.NewPCG(1, harnessCount.Add(1))), h)
	h.readAt = h.now
	records := []catalogue.Record{{
		ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 1,
		Configuration: &catalogue.Configuration{
			Version: 1, Routes: []catalogue.Route{route(443, "desk")}, Services: []catalogue.Service{{Name: "desk", WarmupRate: 10}},
		},
	}}
	for i := range n {
		records = append(records, record(fmt.Sprint("s", i), uint64(i+2), change))
	}
	h.mirror.Apply(catalogue.Delta{Complete: true, Revision: 100, Records: records}, h.now, 0)
	return h
}

func (h *harness) RecordFailure(b *catalogue.Backend, r suspicion.Report, _ suspicion.Finding) {
	if r.Kind == suspicion.NoData {
		h.stalled = append(h.stalled, b.Name)
		return
	}
	h.unanswered = append(h.unanswered, b.Name)
}

func (h *harness) Refuted(b *catalogue.Backend, r suspicion.Report, _ bool) {
	h.refuted = append(h.refuted, b.Name)
	h.refutedBy = append(h.refutedBy, r.Kind)
}

func (h *harness) Returned(r suspicion.Report) { h.returned = append(h.returned, r) }

func (h *harness) ShareLoad(report []byte) { h.reports = append(h.reports, slices.Clone(report)) }
func (h *harness) RoomChanged(service string, s overload.State, _ overload.Room, _ int) {
	h.rooms = append(h.rooms, service+" "+stateNames[s])
}
func (h *harness) SpeedChanged(b *catalogue.Backend, _ serverload.Server) {
	h.speeds = append(h.speeds, b.Name)
}
func (h *harness) RoomMeasured(string, overload.Room, float64) {}
func (h *harness) SumsMeasured(int, time.Duration)             {}

func (h *harness) apply(records ...catalogue.Record) {
	before := h.mirror.Snapshot().Revision
	h.mirror.Apply(catalogue.Delta{Since: before, Revision: before + 1, Records: records}, h.now, 0)
}

// minPause is the time without a read that counts as a pause of the instance.
const minPause = 500 * ms

// read records that a packet is read now.
func (h *harness) read() {
	if h.now-h.readAt > minPause {
		h.resumedAt = h.now
	}
	h.readAt = h.now
	h.emptyUntil = max(h.emptyUntil, h.drainedAt)
	h.RecordRead(h.drainedAt, h.emptyUntil)
	h.RecordResume(h.resumedAt)
}

func (h *harness) decide(p Packet) Verdict {
	if p.Arrived == 0 {
		p.Arrived = h.now
	}
	switch {
	case h.quiet:
		h.drainedAt, h.emptyUntil = h.readAt, h.now
	case !h.backlogged:
		h.drainedAt = h.now
	}
	h.read()
	return h.Decide(&p, CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.known, Since: h.since, Failing: h.failing}, h.now)
}

func flow(port uint16) Flow {
	return Flow{
		Source: netip.MustParseAddr("100.64.0.7"), SourcePort: port,
		Destination: netip.MustParseAddr("198.18.0.1"), DestinationPort: 443,
	}
}

func (h *harness) open(port uint16, copies int) Verdict {
	return h.decide(Packet{Flow: flow(port), Kind: Opening, Copy: copies})
}

func (h *harness) send(port uint16, c, acknowledged uint32, data int) Verdict {
	return h.decide(Packet{Flow: flow(port), Kind: Established, Cookie: c, Acknowledged: acknowledged, Data: data})
}

func TestFlowStaysAtItsServerThroughAnyInstance(t *testing.T) {
	is := is.New(t)
	first, second := newHarness(5, nil), newHarness(5, nil)
	v := first.open(1, 0)
	is.Equal(v.Action, Forward)
	is.Equal(v.Reason, Placed)
	got := second.send(1, v.Backend.Cookie, 1, 100) // an instance that did not see the flow open
	is.Equal(got.Action, Forward)
	is.Equal(got.Backend.Name, v.Backend.Name)
}

// awaitResets advances the clock until the instance may reset flows.
func (h *harness) awaitResets() {
	for end := h.now + int64(catalogueSettlingTime) + 1; h.now <= end; h.now += 100 * ms {
		h.drainedAt = h.now
		h.read()
	}
}

func TestNoRouteIsRefusedOnlyWithARecentCatalogue(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, nil)
	p := Packet{Flow: flow(1), Kind: Opening}
	p.Flow.DestinationPort = 80
	is.Equal(h.decide(p).Action, Reset)
	h.now += int64(maxCatalogueAge)
	is.Equal(h.decide(p).Action, Hold)
	h.known = h.now
	is.Equal(h.decide(p).Reason, NoRoute)
}

func TestNoServerIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(0, nil)
	v := h.open(1, 0)
	is.Equal(v.Action, Reset)
	is.Equal(v.Reason, NoServer)
}

func TestFlowOfARemovedServerIsResetAfterTheGracePeriod(t *testing.T) {
	is := is.New(t)
	h := newHarness(3, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: b.Name}, Revision: 101, Removed: true})
	h.known = h.now
	is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward) // the entry may only have expired
	h.now += 2300 * ms
	h.known = h.now
	v := h.send(1, b.Cookie, 1, 100)
	is.Equal(v.Action, Reset)
	is.Equal(v.Reason, ServerGone)
}

// TestFlowIsNotResetByAnOutdatedCatalogue guards against resets of open flows at a server
// that has registered again within the grace period, as after a restore of the store, by an
// instance whose catalogue is from before that.
func TestFlowIsNotResetByAnOutdatedCatalogue(t *testing.T) {
	is := is.New(t)
	h := newHarness(3, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindServer, Name: b.Name}, Revision: 101, Removed: true})
	h.known = h.now + 2100*ms
	h.now += 2900 * ms
	is.Equal(h.send(1, b.Cookie, 1, 100).Action, Forward)
	h.known = h.now // the server is still missing
	is.Equal(h.send(1, b.Cookie, 1, 100).Reason, ServerGone)
}

// TestUnknownCookie covers a flow that was opened at a server that had just
// registered, and whose next packet reached an instance with a catalogue 0.4 s old
// (hunt-293b-3 of kernhaven-orders-grown).
func TestUnknownCookie(t *testing.T) {
	for _, c := range []struct {
		name string
		// read is how long after the packet's arrival the catalogue was read, and
		// since how long the instance has known it.
		read, since int64
		want        Action
	}{
		{"a catalogue read before the packet may lack a new server", -1 * ms, 10000 * ms, Hold},
		{"an instance that has just started may lack a server whose entry expired", ms, 100 * ms, Hold},
		{"otherwise the server has been removed", ms, 10000 * ms, Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2, nil)
			h.now += 20000 * ms
			arrived := h.now
			h.now += 2 * ms
			h.known, h.since = arrived+c.read, h.now-c.since
			v := h.decide(Packet{
				Flow: flow(1), Kind: Established, Cookie: cookie.Of("another"), Acknowledged: 1, Data: 100, Arrived: arrived,
			})
			is.Equal(v.Action, c.want)
			is.Equal(v.Reason, UnknownCookie)
		})
	}
}

func TestForgedPacketsAreDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, nil)
	is.Equal(h.decide(Packet{Flow: flow(1), Kind: Accepting, Cookie: 1}).Reason, Forged)
	is.Equal(h.send(1, cookie.None, 1, 100).Reason, NoCookie)
	is.Equal(h.send(1, cookie.None, 1, 100).Action, Drop)
}

func TestDrainingServerKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, nil)
	b := h.open(1, 0).Backend
	h.send(1, b.Cookie, 1, 0)
	h.apply(record(b.Name, 101, func(s *catalogue.Server) { s.Draining = true }))
	is.Equal(h.send(1, b.Cookie, 1, 100).Backend.Name, b.Name)
	for port := uint16(10); port < 60; port++ {
		is.True(h.open(port, 0).Backend.Name != b.Name)
	}
}

// TestLoadIsSpread covers a burst of long flows and requests: an instance spreads its
// own load over all servers, at most half above the mean.
func TestLoadIsSpread(t *testing.T) {
	is := is.New(t)
	h := newHarness(14, nil)
	flowsByServer := map[string]int{}
	for port := range uint16(280) {
		h.now += ms
		v := h.open(port, 0)
		flowsByServer[v.Backend.Name]++
		h.send(port, v.Backend.Cookie, 1, 100) // the request is still unanswered
	}
	for _, n := range flowsByServer {
		is.True(n <= 30)
	}
}

// TestOverloadSpills covers callers returning at once to a data centre with few
// servers (after a loss of all power, an evacuation, or with uneven traffic): above a
// queue of one request per slot a growing fraction of flows goes to other data
// centres, and below it none does.
func TestOverloadSpills(t *testing.T) {
	is := is.New(t)
	n := 0
	h := newHarness(8, func(s *catalogue.Server) {
		if n++; n > 2 {
			s.DataCentre = "b"
		}
	})
	h.SetInstances(4, 2)
	const share = 2 * 4 * spillThreshold / 2 // of two servers with four slots, for one of two instances
	local := 0
	for port := range uint16(6 * share) {
		h.now += ms
		v := h.open(port, 0)
		h.send(port, v.Backend.Cookie, 1, 100)
		if v.Backend.DataCentre == "a" {
			local++
		}
		if port < share {
			is.Equal(local, int(port)+1)
		}
	}
	is.True(local <= 4*share) // the load is six times the share
}

// TestRemovedServersAreForgotten covers servers that are replaced continuously.
func TestRemovedServersAreForgotten(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, func(s *catalogue.Server) { s.Warmup = time.Minute })
	b := h.mirror.Snapshot().Backends("desk")[0]
	h.open(1, 0)
	h.peerFailure(b, 0)
	h.peerFailure(b, 0)
	h.Forget(h.mirror.Snapshot())
	is.True(h.Suspected(b, h.now))
	is.Equal(len(h.warmup.admissions), 1)
	h.Forget(catalogue.NewMirror().Snapshot())
	is.True(!h.Suspected(b, h.now))
	is.Equal(len(h.warmup.admissions), 0)
}

func TestFlowTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := flowtable.New(time.Minute)
	for key := range uint64(100000) {
		table.Add(key, int64(key)).State = flowtable.Open
	}
	count := 0
	for key := range uint64(100000) {
		if table.Find(key, 100000) != nil {
			count++
		}
	}
	is.True(count <= 8192)
	is.True(table.Find(99999, 100000) != nil)
}

// BenchmarkOpenFlowPacket measures the decision on packets of an open flow, which
// must not allocate.
func BenchmarkOpenFlowPacket(b *testing.B) {
	h := newHarness(150, nil)
	c := h.open(1, 0).Backend.Cookie
	p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100}
	state := CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.known, Since: h.since}
	b.ReportAllocs()
	for b.Loop() {
		h.Decide(&p, state, h.now)
	}
}

func TestOpenFlowPacketsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	h := newHarness(150, nil)
	c := h.open(1, 0).Backend.Cookie
	p := Packet{Flow: flow(1), Kind: Established, Cookie: c, Acknowledged: 1, Data: 100}
	state := CatalogueState{Snapshot: h.mirror.Snapshot(), Known: h.known, Since: h.since}
	is.Equal(testing.AllocsPerRun(100, func() { h.Decide(&p, state, h.now) }), 0.0)
}
