package flowpath

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/selection"
	"balsamfork/internal/serverload"
)

var peer = netip.MustParseAddr("10.1.0.9")

// newSplitHarness returns an instance of the data centre of a fleet with the given number of
// servers of service a, and two instances in all.
func newSplitHarness(servers int) *harness {
	h := newHarness(0, nil)
	h.mirror = newFleet(servers).mirror
	h.SetInstances(4, 2)
	h.RefreshLoad(h.mirror.Snapshot(), h.now)
	return h
}

// local returns the servers of service a in the data centre.
func (h *harness) local() (out []*catalogue.Backend) {
	for _, b := range h.mirror.Snapshot().Backends("a") {
		if b.DataCentre == "a" {
			out = append(out, b)
		}
	}
	return out
}

// share lets time pass in which a peer reports the same work in progress at each slot in
// the data centre, every 0.5 s.
func (h *harness) share(work float64, d time.Duration) {
	for end := h.now + int64(d); h.now < end; {
		h.now += 500 * ms
		h.known, h.drainedAt = h.now, h.now
		h.read()
		r := serverload.Report{Run: 1, Sequence: uint64(h.now), Interval: 500 * time.Millisecond}
		for b := range h.mirror.Snapshot().Servers() {
			r.Samples = append(r.Samples, serverload.Sample{Server: b.Cookie, Started: b.Started, Flows: 10, Requests: 5,
				Busy: time.Duration(work * float64(b.Slots) * float64(r.Interval))})
		}
		if err := h.PeerLoad(peer, r, h.now); err != nil {
			panic(err)
		}
		h.RefreshLoad(h.mirror.Snapshot(), h.now)
	}
}

// fill lets both priorities ask while both services stay full, until few of the lower one
// are admitted.
func (h *harness) fill() {
	for port := range uint16(12) {
		h.openAt(1000+port, urgentPort, 0)
		h.openAt(1000+port, splitPort, 0)
		h.openAt(1000+port, otherPort, 0)
		h.share(20, time.Second)
	}
}

// openAt opens a flow on a port of the destination.
func (h *harness) openAt(source, destination uint16, copies int) Verdict {
	p := Packet{Flow: flow(source), Kind: Opening, Copy: copies}
	p.Flow.DestinationPort = destination
	return h.decide(p)
}

// TestNoSharingWithoutSplitRoutes guards against changes for deployments whose services
// cannot stand in for one another: no reports, no samples, and placements by this instance's
// own load alone, whatever peers send.
func TestNoSharingWithoutSplitRoutes(t *testing.T) {
	is := is.New(t)
	h := newHarness(8, func(s *catalogue.Server) { s.DataCentre = []string{"a", "b"}[s.Number%2] })
	for port := range uint16(400) {
		h.now += 5 * ms
		h.known = h.now
		b := h.mirror.Snapshot().Backends("desk")[port%8]
		is.NoErr(h.PeerLoad(peer, serverload.Report{Run: 1, Sequence: uint64(port), Interval: time.Second,
			Samples: []serverload.Sample{{Server: b.Cookie, Flows: 1000, Busy: time.Hour}}}, h.now))
		h.RecordRemoteSums("b", []RemoteSum{{Service: "desk", Load: 9, Slots: 8}}, h.now)
		h.RefreshLoad(h.mirror.Snapshot(), h.now)
		spill := thresholdShare(h.estimatedLoad(h.mirror.Snapshot(), "desk", h.now))
		r := selection.Request{Service: "desk", Hash: flow(port).Hash(), Spill: belowShare(flow(port).Hash(), spill)}
		want := h.selector.Choose(h.mirror.Snapshot(), r, ownLoads{h.Decider}, h.now)
		v := h.open(port, 0)
		is.Equal(v.Backend, want.Backend)
		is.Equal(v.Load, LoadInputs{Spilled: r.Spill})
		is.Equal(h.Load(v.Backend), h.ownLoad(v.Backend))
		h.send(port, v.Backend.Cookie, 1, 100)
		is.True(!h.flows.Find(flow(port).Hash(), h.now).Sampled)
		if port%3 == 0 { // servers answer now and then, so that none is suspected
			h.send(port, v.Backend.Cookie, 2, 0)
		}
	}
	is.Equal(len(h.reports)+len(h.rooms), 0)
	is.True(!h.SharesLoad())
}

// TestOverflowFromServiceWithoutServers guards against a decision that names the service which
// takes an overflow as the one that it comes from.
func TestOverflowFromServiceWithoutServers(t *testing.T) {
	h := newSplitHarness(4)
	route := &catalogue.Route{Shares: []catalogue.Share{{Service: "none", Weight: 1}, {Service: "a", Weight: 1}}}
	for port := range uint16(20) {
		hash := flow(port).Hash()
		v := h.selectService(route, hash)
		is := is.New(t)
		is.Equal(v.Service, "a")
		is.Equal(v.Load.OverflowFrom == "none", hash%2 == 0)
		is.True(v.Load.OverflowFrom != "a")
	}
}

// TestSumsFromBeforePause guards against decisions by sums from before a pause: they are not
// fresh until other instances have reported again.
func TestSumsFromBeforePause(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.share(20, 2*time.Second)
	is.True(h.load.fresh)
	h.now += 700 * ms
	h.RecordResume(h.now)
	h.RefreshLoad(h.mirror.Snapshot(), h.now)
	is.True(!h.load.fresh)
	h.share(20, time.Second)
	is.True(h.load.fresh)
}

// TestSamplesOfRequests guards against response times that do not show the server's speed:
// those of packets that waited here, of requests that got no response, and of earlier starts.
func TestSamplesOfRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		respond   func(h *harness, b *catalogue.Backend)
		completed int
	}{
		{"a response", func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 2, 0) }, 1},
		{"a response and the next request", func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 2, 100) }, 1},
		{"an acknowledgement that does not advance", func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 1, 0) }, 0},
		{"an old acknowledgement", func(h *harness, b *catalogue.Backend) { h.send(1, b.Cookie, 0, 0) }, 0},
		{"a response that waited", func(h *harness, b *catalogue.Backend) {
			h.backlogged = true
			h.now += 600 * ms
			h.send(1, b.Cookie, 2, 0)
		}, 0},
		{"the flow is closed", func(h *harness, b *catalogue.Backend) {
			h.decide(Packet{Flow: flow(1), Kind: Established, Cookie: b.Cookie, Acknowledged: 1, Finish: true})
		}, 0},
		{"the server starts again", func(h *harness, b *catalogue.Backend) {
			h.restart(b, 0)
			h.send(1, b.Cookie, 2, 0)
		}, 0},
		{"another flow on the port", func(h *harness, b *catalogue.Backend) {
			h.decide(Packet{Flow: flow(1), Kind: Opening, Sequence: 1 << 31})
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newSplitHarness(4)
			b := h.open(1, 0).Backend
			h.now += 2 * ms
			h.send(1, b.Cookie, 1, 100)
			h.now += 30 * ms
			c.respond(h, b)
			h.now += 3100 * ms // no request is in progress any more, whatever became of it
			h.RefreshLoad(h.mirror.Snapshot(), h.now)
			h.sampler().Report(h.now)
			completed, response := 0, time.Duration(0)
			for _, data := range h.reports {
				r, err := serverload.Decode(data)
				is.NoErr(err)
				for _, s := range r.Samples {
					completed += s.Completed
					response += s.Response
				}
			}
			is.Equal(completed, c.completed)
			is.Equal(response, time.Duration(c.completed)*30*time.Millisecond)
			h.now += 1000 * ms
			for _, s := range h.sampler().Report(h.now).Samples {
				is.Equal(s.Busy, time.Duration(0))
			}
		})
	}
}

func (h *harness) sampler() *serverload.Sampler { return h.load.sampler }

// TestOldSumsCountForNothing covers a table that is 5 s old: loads are this instance's own
// again, and nothing is refused, although the last sums were those of a full service.
func TestOldSumsCountForNothing(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.fill()
	b := h.local()[0]
	is.True(h.Load(b) > 3)
	is.True(slices.Contains(h.rooms, "a full"))
	is.True(h.load.services["a"].admission.Level() < 0.1)
	for range 10 {
		h.now += 499 * ms
		h.read()
		h.RefreshLoad(h.mirror.Snapshot(), h.now)
	}
	is.Equal(h.Load(b), h.ownLoad(b))
	is.True(slices.Contains(h.rooms, "a unknown"))
	for port := range uint16(40) {
		is.Equal(h.openAt(100+port, splitPort, 0).Action, Forward)
	}
}

// TestRequestFromBeforeSharing guards against a response to a request from before load sharing
// was switched off and on again, which ended another flow's request in its place.
func TestRequestFromBeforeSharing(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(1)
	configure := func(version int64, c *catalogue.Configuration) {
		h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 2000 + uint64(version), Configuration: c})
		h.RefreshLoad(h.mirror.Snapshot(), h.now)
	}
	b := h.local()[0]
	request := func(port uint16) {
		h.openAt(port, urgentPort, 0)
		p := Packet{Flow: flow(port), Kind: Established, Cookie: b.Cookie, Acknowledged: 1, Data: 100, Sequence: 1}
		p.Flow.DestinationPort = urgentPort
		h.decide(p)
	}
	request(1)
	configure(2, &catalogue.Configuration{Version: 2, Routes: []catalogue.Route{route(urgentPort, "a")}})
	is.True(!h.SharesLoad())
	configure(3, splitConfiguration(3, 90, 10))
	request(2)
	p := Packet{Flow: flow(1), Kind: Established, Cookie: b.Cookie, Acknowledged: 2, Sequence: 101}
	p.Flow.DestinationPort = urgentPort
	h.decide(p)
	samples := h.sampler().Report(h.now + ms).Samples
	is.Equal(len(samples), 1)
	is.Equal(samples[0].Requests, 1)
	is.Equal(samples[0].Completed, 0)
}

// TestRequestsAnsweredElsewhereAreNoLoad guards against refusals after the fabric has moved
// flows to other instances: their requests have been answered there, and count no longer here.
func TestRequestsAnsweredElsewhereAreNoLoad(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	request := func(port uint16, c uint32, acknowledged uint32, data int) {
		p := Packet{Flow: flow(port), Kind: Established, Cookie: c, Acknowledged: acknowledged, Data: data, Sequence: acknowledged * 1000}
		p.Flow.DestinationPort = urgentPort
		h.decide(p)
	}
	cookies := map[uint16]uint32{}
	for port := range uint16(20) {
		cookies[port] = h.openAt(port, urgentPort, 0).Backend.Cookie
		request(port, cookies[port], 1, 100)
		h.now += 25 * ms
		request(port, cookies[port], 2, 0)
	}
	h.share(0.1, time.Second)
	is.True(h.load.table.Service("a", nil).ServiceTime > 0)
	for port, c := range cookies {
		request(port, c, 2, 100)
	}
	h.now += 300 * ms
	h.RefreshLoad(h.mirror.Snapshot(), h.now)
	_, requests := h.ownRoom("a", h.now)
	is.Equal(requests, 20)
	h.share(0.1, time.Second)
	_, requests = h.ownRoom("a", h.now)
	is.Equal(requests, 0)
}

// TestCopyLeavesServiceWithoutServers guards against the reset of a flow whose service has lost
// its servers since the opening packet, while another service of the route has some.
func TestCopyLeavesServiceWithoutServers(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(40)
	h.share(0.1, time.Second)
	h.load.services["a"].room.Load = 20
	for port := range uint16(20) {
		h.open(port, 0)
	}
	h.evacuate("a")
	h.now += 200 * ms
	for port := range uint16(20) {
		v := h.open(port, 1)
		is.Equal(v.Action, Forward)
		is.Equal(v.Backend.DataCentre, "b")
	}
}

// TestEvacuationCountsAtOnce guards against flows that go to a service without a server by the
// rooms from before an evacuation, while another service of the route has servers elsewhere.
func TestEvacuationCountsAtOnce(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.share(0.1, time.Second)
	h.evacuate("a")
	h.now += 30 * ms
	for port := range uint16(100) {
		v := h.open(port, 0)
		is.Equal(v.Action, Forward)
		is.Equal(v.Service, "a")
		is.Equal(v.Backend.DataCentre, "b")
	}
}

// TestOverflowEndsBeforeTheNextSums guards against an overflow that goes on until the next
// report, although it has filled the other service: beyond its weight, service b with 8 slots
// takes what brings it to its limit Busy of 2 requests a slot.
func TestOverflowEndsBeforeTheNextSums(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(12)
	h.share(0.1, time.Second)
	h.load.services["a"].room.Load = 20
	overflown := 0
	for port := range uint16(400) {
		if h.open(port, 0).Load.OverflowFrom != "" {
			overflown++
		}
	}
	is.True(overflown > 0)
	is.True(overflown <= 2*8)
}

// TestTargetOfAService covers services with routes of several priorities: the most urgent one
// that states a target decides, and a route without weight for the service does not.
func TestTargetOfAService(t *testing.T) {
	is := is.New(t)
	c := splitConfiguration(1, 90, 0)
	c.Routes[0].Requests.Target = 100 * time.Millisecond // of lower priority than the urgent route
	c.Routes[2].Requests.Target = 900 * time.Millisecond
	is.Equal(targets(c), map[string]time.Duration{"a": 500 * time.Millisecond, "b": 900 * time.Millisecond})
	c.Routes[1].Requests.Target = 0
	is.Equal(targets(c)["a"], 100*time.Millisecond)
	is.Equal(len(targets(nil)), 0)
}

// TestWeightsChangeHalfway covers an operator who takes a service out of a route while the
// other one is full: no new flow goes to the service that the route no longer names.
func TestWeightsChangeHalfway(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.share(20, time.Second)
	c := splitConfiguration(2, 50, 50)
	c.Routes[0].Shares = c.Routes[0].Shares[:1]
	c.Routes = append(c.Routes, splitConfiguration(2, 50, 50).Routes[0])
	c.Routes[3].Destination.Port = 446
	h.apply(catalogue.Record{ID: catalogue.ID{Kind: catalogue.KindConfiguration}, Revision: 2000, Configuration: c})
	for port := range uint16(100) {
		if v := h.open(port, 0); v.Reason != Overloaded {
			is.Equal(v.Backend.Service, "a")
		}
	}
}

// TestServerStartsAgainWithoutLoad covers a server that starts again under its id: what was
// known of the earlier start does not count for it.
func TestServerStartsAgainWithoutLoad(t *testing.T) {
	is := is.New(t)
	h := newSplitHarness(4)
	h.share(3, 2*time.Second)
	b := h.local()[0]
	is.True(h.Load(b) > 1)
	h.load.placed[b.Cookie] = 5
	b = h.restart(b, 0)
	h.Observe(h.mirror.Snapshot())
	is.Equal(h.Load(b), 0.0)
	h.now += 300 * ms
	h.RefreshLoad(h.mirror.Snapshot(), h.now)
	is.Equal(h.Load(b), 0.0)
	is.True(h.Load(h.local()[1]) > 1)
}

// TestSpillBySums covers a data centre whose servers are busier than those of another one by
// fresh sums of both: the part above the mean goes there, and none of it if the other one is
// no better off.
func TestSpillBySums(t *testing.T) {
	for _, c := range []struct{ remote, part float64 }{{0.2, 0.49}, {3, 0}} {
		is := is.New(t)
		h := newSplitHarness(4)
		for range 4 {
			h.RecordRemoteSums("b", []RemoteSum{{Service: "a", Load: c.remote, Slots: 8}}, h.now)
			h.share(3, time.Second)
		}
		remote := 0
		for port := range uint16(400) {
			if h.openAt(port, urgentPort, 0).Backend.DataCentre == "b" {
				remote++
			}
		}
		is.True(remote >= int(400*c.part*0.8))
		is.True(remote <= int(400*c.part*1.2))
	}
}
