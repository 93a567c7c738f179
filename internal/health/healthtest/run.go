// Package healthtest runs the health of a fleet in one process, over a network and
// a clock of its own, for tests. One seed gives one run.
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

// The size of every run, and its periods.
const (
	// Instances is the number of instances, Servers that of backend servers; the
	// first Desk of them are one service, the others another.
	Instances = 18
	Servers   = 18
	Desk      = 14
	// Tick is the period of decisions, Spread the time an announcement takes to
	// reach all, Ramp the time a backend server is cold.
	Tick   = 50 * time.Millisecond
	Spread = 150 * time.Millisecond
	Ramp   = 5 * time.Second

	step  = 10 * time.Millisecond
	start = int64(1_773_316_800_000_000_000)
)

// Server is what a backend server's endpoint and requests show.
type Server struct {
	Dead     bool // its endpoint does not answer
	Refusing bool // its requests fail
	Requests bool // it has requests at all
}

// Node is one instance of a run. Down is set while it does not run.
type Node struct {
	ID    fleet.ID
	Table *health.Table
	Down  bool
}

type event struct {
	at int64
	do func()
}

// Run is a fleet of health tables over a clock and a network of its own.
type Run struct {
	Nodes   []*Node
	Servers []Server
	// List is the configuration's list of backend servers.
	List []health.Server
	// Loss is the chance that a probe, its answer or a report is lost.
	Loss float64
	// Announced are all announcements so far, Doubted counts verdicts withheld.
	Announced []flow.Announcement
	Doubted   int

	now    int64
	random *rand.Rand
	events []event
}

func dataCentre(n int) string { return fmt.Sprintf("dc-%c", 'a'+n%3) }

// New makes a run in which all is well.
func New(seed uint64) *Run {
	r := &Run{now: start, random: rand.New(rand.NewPCG(seed, 2)), Servers: make([]Server, Servers)}
	for n := range Servers {
		service := "order-desk"
		if n >= Desk {
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

// Now returns the time of the run in nanoseconds of Unix time.
func (r *Run) Now() int64 { return r.now }

// View gives every instance the table of those that run.
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

// Run lets time pass.
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

// Until runs until a backend server is in a condition, and returns how long that took.
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

// Condition returns what was announced last of a backend server.
func (r *Run) Condition(n config.Number) flow.Condition {
	c := flow.Healthy
	for _, a := range r.Announced {
		if a.Server == n {
			c = a.Condition
		}
	}
	return c
}

// Count returns how many announcements of a condition there were.
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
		r.Doubted += len(out.Doubted)
		for _, p := range out.Probes {
			r.probe(n, p.Server)
		}
		for _, o := range out.Reports {
			r.report(n, o)
		}
		for _, a := range out.Announce {
			r.Announced = append(r.Announced, a)
			r.after(Spread, func() { r.tell(a) })
		}
	}
}

// traffic gives an instance evidence of the servers that it admits requests for.
func (r *Run) traffic(at int, n *Node) {
	for s, x := range r.Servers {
		if !x.Requests || s%Instances != at {
			continue
		}
		kind := flow.Answered
		if x.Refusing {
			kind = flow.Failed
		}
		n.Table.Evidence([]flow.Evidence{{Server: config.Number(s + 1), Kind: kind, At: r.now}})
	}
}

func (r *Run) probe(n *Node, of config.Number) {
	x := r.Servers[of-1]
	if x.Dead || r.lost() || r.lost() {
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

func (r *Run) tell(a flow.Announcement) {
	for _, n := range r.Nodes {
		n.Table.SetConditions([]flow.Announcement{a})
	}
}

// Keeper returns the instance that keeps a backend server.
func (r *Run) Keeper(n config.Number) *Node {
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
