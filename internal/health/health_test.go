package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/health"
	"balsamfork/internal/health/healthtest"
	"balsamfork/internal/placement"
)

func TestBoundDownIsAnnouncedIn2850Milliseconds(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		r := healthtest.New(seed)
		r.Run(3*time.Second + time.Duration(seed)*110*time.Millisecond)
		r.Servers[4].EndpointDown = true
		took, ok := r.Until(5*time.Second, 5, flow.Down)
		is.True(ok)
		is.True(took+healthtest.AnnouncementDelay <= 3*time.Second)
		is.Equal(len(r.Announced), 1)
	}
}

func TestBoundNoFalseVerdictInAnHourAtOnePercentLoss(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(1)
	r.Loss = 0.01
	r.Run(time.Hour)
	is.Equal(len(r.Announced), 0)
}

func TestBoundFlappingIsSlowedDown(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(2)
	const periods = 180
	for n := range periods {
		r.Servers[6].EndpointDown = n%2 == 0
		r.Run(10 * time.Second)
	}
	is.True(r.Count(flow.Down) >= 2)
	is.True(r.Count(flow.Down) <= periods/2/4)
}

func TestTrafficOutweighsProbes(t *testing.T) {
	cases := []struct {
		name string
		set  healthtest.Server
		want flow.Condition
	}{
		{"no faults", healthtest.Server{HasRequests: true}, flow.Healthy},
		{"the endpoint is silent, requests are answered", healthtest.Server{HasRequests: true, EndpointDown: true}, flow.Healthy},
		{"the endpoint answers, requests fail", healthtest.Server{HasRequests: true, RequestsFail: true}, flow.Down},
		{"both fail", healthtest.Server{HasRequests: true, RequestsFail: true, EndpointDown: true}, flow.Down},
		{"the endpoint is silent, there are no requests", healthtest.Server{EndpointDown: true}, flow.Down},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := healthtest.New(3)
			r.Run(2 * time.Second)
			const affected = 6
			for n := range affected {
				r.Servers[n] = c.set
			}
			r.Run(5 * time.Second)
			for n := range config.Number(affected) {
				is.New(t).Equal(r.Condition(n+1), c.want)
			}
		})
	}
}

func TestAtMostHalfOfServiceIsDown(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(4)
	r.Run(2 * time.Second)
	for n := range healthtest.OrderDeskServers {
		r.Servers[n].EndpointDown = true
	}
	r.Run(20 * time.Second)
	down := 0
	for n := range healthtest.OrderDeskServers {
		if r.Condition(config.Number(n+1)) == flow.Down {
			down++
		}
	}
	is.True(down <= healthtest.OrderDeskServers/2)
	is.True(r.Withheld > 0)
	is.True(r.Count(flow.Down) <= healthtest.OrderDeskServers)
}

// TestFaultyInstanceAnnouncesNothing checks that an instance whose requests fail at
// all servers that it sends them to causes no announcement, since it is more likely
// to be faulty itself.
func TestFaultyInstanceAnnouncesNothing(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(5)
	r.Run(2 * time.Second)
	faulty := r.Nodes[0].Table
	for range 100 {
		for n := range config.Number(6) {
			faulty.AddEvidence([]flow.Evidence{{Server: n + 1, Kind: flow.Failed, At: r.Now()}})
		}
		r.Run(healthtest.Tick)
	}
	is.Equal(len(r.Announced), 0)
}

func TestServerWithoutEndpointIsJudgedByTraffic(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(8)
	r.List[3].URL = ""
	for _, n := range r.Nodes {
		n.Table.Configure(r.Now(), r.List)
	}
	r.Servers[3].EndpointDown = true
	r.Run(5 * time.Second)
	is.Equal(r.Condition(4), flow.Healthy)
	r.Servers[3].HasRequests, r.Servers[3].RequestsFail = true, true
	_, ok := r.Until(3*time.Second, 4, flow.Down)
	is.True(ok)
	r.Servers[3].HasRequests = false
	_, ok = r.Until(10*time.Second, 4, flow.Cold)
	is.True(ok)
}

// TestRecoveryAfterDown checks that a server that recovers is cold, then
// recovering, and healthy once released.
func TestRecoveryAfterDown(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(6)
	r.Run(2 * time.Second)
	r.Servers[8].EndpointDown = true
	_, ok := r.Until(5*time.Second, 9, flow.Down)
	is.True(ok)
	r.Servers[8].EndpointDown = false
	for _, want := range []flow.Condition{flow.Cold, flow.Recovering} {
		_, ok = r.Until(20*time.Second, 9, want)
		is.True(ok)
	}
	r.Run(5 * time.Second)
	is.Equal(r.Condition(9), flow.Recovering)
	r.Primary(9).Table.Release(9)
	_, ok = r.Until(time.Second, 9, flow.Healthy)
	is.True(ok)

	// It may also become cold while it is healthy or recovering.
	for range 2 {
		r.Nodes[0].Table.ReportColdStart(r.Now(), 9)
		_, ok = r.Until(time.Second, 9, flow.Cold)
		is.True(ok)
		_, ok = r.Until(20*time.Second, 9, flow.Recovering)
		is.True(ok)
	}
}

func TestPrimaryCrashesBeforeAnnouncement(t *testing.T) {
	is := is.New(t)
	r := healthtest.New(7)
	r.Run(2 * time.Second)
	r.Servers[10].EndpointDown = true
	r.Run(time.Second)
	r.Primary(11).Down = true
	r.Run(1500 * time.Millisecond)
	r.View()
	took, ok := r.Until(5*time.Second, 11, flow.Down)
	is.True(ok)
	is.True(took <= 3*time.Second)
}

// TestRandomFaults checks that, for any mix of dead servers, crashed instances and
// loss, the dead servers are announced down and no others. At most half of a service
// is dead.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := healthtest.New(rapid.Uint64Range(0, 1000).Draw(rt, "seed"))
		r.Loss = rapid.SampledFrom([]float64{0, 0.01, 0.03}).Draw(rt, "loss")
		dead := rapid.SliceOfNDistinct(rapid.IntRange(0, healthtest.OrderDeskServers-1), 0, 5, rapid.ID).Draw(rt, "dead")
		crashed := rapid.SliceOfNDistinct(rapid.IntRange(0, healthtest.Instances-1), 0, 2, rapid.ID).Draw(rt, "crashed")
		r.Run(time.Second)
		for _, n := range dead {
			r.Servers[n].EndpointDown = true
		}
		for _, n := range crashed {
			r.Nodes[n].Down = true
		}
		r.Run(1500 * time.Millisecond)
		r.View()
		r.Run(6 * time.Second)
		for n := range healthtest.Servers {
			if down := r.Condition(config.Number(n+1)) == flow.Down; down != r.Servers[n].EndpointDown {
				rt.Fatalf("server %d: dead %v, found down %v", n+1, r.Servers[n].EndpointDown, down)
			}
		}
	})
}

func TestCleared(t *testing.T) {
	v := &fleet.View{Instances: []fleet.Instance{{ID: "a", State: fleet.Alive}, {ID: "b", State: fleet.Leaving}, {ID: "c", State: fleet.Dead}}}
	noneAway := placement.Summary{Complete: true}
	away := placement.Summary{Complete: true, Away: []placement.DisplacedFlows{{Base: 7, Flows: 1}}}
	cases := []struct {
		name      string
		summaries map[fleet.ID]placement.Summary
		want      bool
	}{
		{"no reachable instance has a displaced flow", map[fleet.ID]placement.Summary{"a": noneAway, "b": noneAway}, true},
		{"one instance has a displaced flow", map[fleet.ID]placement.Summary{"a": noneAway, "b": away}, false},
		{"one has sent no summary", map[fleet.ID]placement.Summary{"a": noneAway}, false},
		{"one summary is incomplete", map[fleet.ID]placement.Summary{"a": noneAway, "b": {}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(health.FlowsCleared(v, c.summaries, 7), c.want) })
	}
	is.New(t).True(health.FlowsCleared(v, map[fleet.ID]placement.Summary{"a": away, "b": noneAway}, 8))
}

func TestServersSkipsThoseOutOfService(t *testing.T) {
	is := is.New(t)
	list := health.Servers(&config.Config{
		DataCentres: []config.DataCentre{{Name: "a"}, {Name: "b", Out: true}},
		Services: []config.Service{{Name: "s", Servers: []config.Server{
			{Number: 4, DataCentre: "a", State: config.Active, Health: "http://127.0.0.1/"},
			{Number: 3, DataCentre: "b", State: config.Active},
			{Number: 2, DataCentre: "a", State: config.Draining},
			{Number: 1, DataCentre: "a", State: config.Active},
		}}},
	})
	is.Equal(len(list), 2)
	is.Equal(list[1], health.Server{Number: 4, Service: "s", DataCentre: "a", URL: "http://127.0.0.1/"})
}
