package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"balsamfork/internal/standin/caller"
)

// Options say what a demonstration runs.
type Options struct {
	Deployment Deployment
	// Seed makes the traffic and the faults repeat.
	Seed uint64
	// FlowsPerServer is how many flows are kept open for each backend server; zero
	// means as many as the deployment has.
	FlowsPerServer int
	// RequestsPerSecond is the rate of all requests.
	RequestsPerSecond int
	// Scale stretches the phases; 1 ends within a minute.
	Scale float64
	// Progress takes what goes on, a line at a time; nil means nobody looks.
	Progress io.Writer
}

// DefaultRequestsPerSecond is the rate of requests unless set otherwise.
const DefaultRequestsPerSecond = 150

const (
	openTime   = 7 * time.Second
	flowPause  = 8 * time.Second
	shortShare = 0.1
	shortLife  = 6 * time.Second
)

// Run runs the demonstration. The error says what kept it from going on; a
// promise that was not kept is in the result.
func Run(ctx context.Context, o Options, p Platform) (*Result, error) {
	if o.FlowsPerServer == 0 {
		o.FlowsPerServer = o.Deployment.Connections
	}
	w, err := newWorld(o, p)
	if err != nil {
		return nil, err
	}
	r := &run{world: w, result: &Result{Deployment: o.Deployment.Name, Seed: o.Seed, Violations: []string{}}, began: time.Now()}
	r.say("seed %d chooses %+v", o.Seed, w.choices)
	err = r.play(ctx)
	if stopErr := w.close(context.WithoutCancel(ctx)); stopErr != nil {
		r.result.violate("graceful shutdown: %v", stopErr)
	}
	if err != nil {
		return nil, err
	}
	r.conclude()
	return r.result, nil
}

// run is one demonstration under way.
type run struct {
	*world
	result *Result
	began  time.Time
	// counted and sent are what earlier phases have accounted for.
	counted caller.Counts
	sent    int
}

// conclude adds up what the callers and the backend servers have counted.
func (r *run) conclude() {
	res := r.result
	for _, c := range r.callers.Counts() {
		res.BrokenFlows += c.Broken()
		res.UnopenedFlows += c[caller.Unopened]
		res.ExcusedFlows += c[caller.Excused]
	}
	res.WrongService = r.wrongService()
	c := r.ledger.sum(r.began)
	res.NonRepeatableRunTwice = c.RunTwice
	res.FalseRefusals = c.FalseRefusals
	res.LostAnswers = c.Lost
	res.CrossedAnswers = c.Crossed
	res.Unanswered = c.Unanswered
	res.Refused = c.Refused
	res.UnknownAfterCrash = c.UnknownAfterCrash
	res.Doubtful = c.Doubtful
	res.judge()
}

// totals returns the counts of all callers together.
func (r *run) totals() caller.Counts {
	var sum caller.Counts
	if r.callers == nil {
		return sum
	}
	for _, c := range r.callers.Counts() {
		sum = sum.Plus(c)
	}
	return sum
}

// phase runs one part and notes what was tried in it.
func (r *run) phase(name string, part func() error) error {
	began := time.Now()
	r.say("%s", name)
	err := part()
	total, sent := r.totals(), r.ledger.sent()
	tried := total.Since(r.counted)
	p := Phase{
		Name: name, Seconds: time.Since(began).Seconds(), Flows: tried[caller.Flows], Packets: tried[caller.Packets],
		Requests: sent - r.sent, Broken: tried.Broken(), Retransmits: tried[caller.Retransmits],
	}
	r.result.Phases = append(r.result.Phases, p)
	r.counted, r.sent = total, sent
	r.say("  %d flows, %d packets, %d requests; %d flows live, %d broken", p.Flows, p.Packets, p.Requests, total.Live(), p.Broken)
	return err
}

func (r *run) say(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	fmt.Fprintf(r.options.Progress, "%5.1fs "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// scaled returns a time of the scenario as the options stretch it.
func (r *run) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.options.Scale)
}

// hold lets the traffic go on.
func (r *run) hold(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(r.scaled(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
