// Package healthtest simulates the health checking of a fleet in one process, with
// a simulated network and clock, for tests. Runs with the same seed are identical.
package healthtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/health"
)

// The size and the timing of every run.
const (
	// Instances is the number of instances, Servers the number of backend servers.
	// The first OrderDeskServers of them belong to one service, the others to
	// another.
	Instances        = 18
	Servers          = 18
	OrderDeskServers = 14
	// Tick is the interval between ticks, AnnouncementDelay the time until an
	// announcement reaches all instances, Ramp the time a backend server is cold.
	Tick              = 50 * time.Millisecond
	AnnouncementDelay = 150 * time.Millisecond
	Ramp              = 5 * time.Second

	step  = 10 * time.Millisecond
	start = int64(1_773_316_800_000_000_000)
)

// Server is the simulated behaviour of a backend server.
type Server struct {
	EndpointDown bool // its endpoint doesn't answer probes
	RequestsFail bool // requests to it fail
	HasRequests  bool // requests are sent to it
}

// Node is one instance of a run. Down is set while it is stopped.
type Node struct {
	ID    fleet.ID
	Table *health.Table
	Down  bool
}

type event struct {
	at int64
	do func()
}

// Run is a simulated fleet of health tables with its own clock and network.
type Run struct {
	Nodes   []*Node
	Servers []Server
	// List is the configured list of backend servers.
	List []health.Server
	// Loss is the probability that a probe, its answer or a report is lost.
	Loss float64
	// Announced lists all announcements so far. Withheld counts the entries of
	// health.Outcome.Withheld.
	Announced []flow.Announcement
	Withheld  int

	now    int64
	random *rand.Rand
	events []event
}

func dataCentre(n int) string { return fmt.Sprintf("dc-%c", 'a'+n%3) }

// New returns a run without faults.
func New(seed uint64) *Run {
	r := &Run{now: start, random: rand.New(rand.NewPCG(seed, 2)), Servers: make([]Server, Servers)}
	for n := range Servers {
		service := "order-desk"
		if n >= OrderDeskServers {
			service = "catalogue"
		}
		r.List = append(r.List, health.Server{Number: config.Number(n + 1), Service: service, DataCentre: dataCentre(n), Ramp: Ramp, URL: "http://server/health"})
	}
	for n := range Instances {
		id := fleet.ID(fmt.Sprintf("i%02d", n))
		r.Nodes = append(r.Nodes, &Node{ID: id, Table: health.New(id, health.Default(), seed+uint64(n)*1000)})
	}
	r.View()
	for _, n := range r.Nodes {
		n.Table.Configure(r.now, r.List)
	}
	return r
}

// Now returns the simulated time in nanoseconds of Unix time.
func (r *Run) Now() int64 { return r.now }

// View gives every instance the present table of instances, in which stopped
// ones are dead.
func (r *Run) View() {
	v := &fleet.View{}
	for at, n := range r.Nodes {
		i := fleet.Instance{ID: n.ID, DataCentre: dataCentre(at), State: fleet.Alive}
		if n.Down {
			i.State = fleet.Dead
		}
		v.Instances = append(v.Instances, i)
	}
	for _, n := range r.Nodes {
		n.Table.SetView(r.now, v)
	}
}

func (r *Run) after(d time.Duration, do func()) {
	r.events = append(r.events, event{at: r.now + int64(d), do: do})
}

func (r *Run) lost() bool { return r.random.Float64() < r.Loss }

// Run advances the simulated time by d.
func (r *Run) Run(d time.Duration) {
	for end := r.now + int64(d); r.now < end; {
		r.now += int64(step)
		events := r.events
		r.events = nil
		for _, e := range events {
			if e.at <= r.now {
				e.do()
			} else {
				r.events = append(r.events, e)
			}
		}
		if (r.now-start)%int64(Tick) == 0 {
			r.tick()
		}
	}
}

// Until runs until a backend server is in the given condition, and returns how long
// that took. It returns limit and false if the condition isn't reached in time.
func (r *Run) Until(limit time.Duration, n config.Number, c flow.Condition) (time.Duration, bool) {
	from := r.now
	for r.now-from < int64(limit) {
		r.Run(step)
		if r.Condition(n) == c {
			return time.Duration(r.now - from), true
		}
	}
	return limit, false
}

// Condition returns the condition that was last announced for a backend server, or
// flow.Healthy.
func (r *Run) Condition(n config.Number) flow.Condition {
	c := flow.Healthy
	for _, a := range r.Announced {
		if a.Server == n {
			c = a.Condition
		}
	}
	return c
}

// Count returns the number of announcements of a condition.
func (r *Run) Count(c flow.Condition) int {
	out := 0
	for _, a := range r.Announced {
		if a.Condition == c {
			out++
		}
	}
	return out
}

func (r *Run) tick() {
	for at, n := range r.Nodes {
		if n.Down {
			continue
		}
		r.traffic(at, n)
		out := n.Table.Tick(r.now)
		r.Withheld += len(out.Withheld)
		for _, p := range out.Probes {
			r.probe(n, p.Server)
		}
		for _, o := range out.Reports {
			r.report(n, o)
		}
		for _, a := range out.Announcements {
			r.Announced = append(r.Announced, a)
			r.after(AnnouncementDelay, func() { r.deliver(a) })
		}
	}
}

// traffic gives an instance evidence from the servers that it admits requests for.
func (r *Run) traffic(at int, n *Node) {
	for s, x := range r.Servers {
		if !x.HasRequests || s%Instances != at {
			continue
		}
		kind := flow.Answered
		if x.RequestsFail {
			kind = flow.Failed
		}
		n.Table.AddEvidence([]flow.Evidence{{Server: config.Number(s + 1), Kind: kind, At: r.now}})
	}
}

func (r *Run) probe(n *Node, of config.Number) {
	x := r.Servers[of-1]
	if x.EndpointDown || r.lost() || r.lost() {
		r.after(health.Default().Timeout, func() { n.Table.Observe(r.now, of, false) })
		return
	}
	r.after(2*time.Millisecond, func() { n.Table.Observe(r.now, of, true) })
}

func (r *Run) report(n *Node, o health.Outgoing) {
	if r.lost() {
		return
	}
	for _, to := range r.Nodes {
		if to.ID == o.To && !to.Down {
			r.after(step, func() { to.Table.Receive(r.now, n.ID, o.Report) })
		}
	}
}

func (r *Run) deliver(a flow.Announcement) {
	for _, n := range r.Nodes {
		n.Table.SetConditions([]flow.Announcement{a})
	}
}

// Primary returns the primary prober of a backend server.
func (r *Run) Primary(n config.Number) *Node {
	var ids []fleet.ID
	for at, x := range r.Nodes {
		if dataCentre(at) == r.List[n-1].DataCentre && !x.Down {
			ids = append(ids, x.ID)
		}
	}
	first := health.Probers(ids, n)[0]
	for _, x := range r.Nodes {
		if x.ID == first {
			return x
		}
	}
	return nil
}
