package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"balsamfork/internal/standin/caller"
)

// Options configure a demonstration.
type Options struct {
	Deployment Deployment
	// Seed determines the traffic and the faults, so that a run can be repeated.
	Seed uint64
	// FlowsPerServer is the number of flows kept open for each backend server; zero
	// means Deployment.DefaultFlowsPerServer.
	FlowsPerServer int
	// RequestsPerSecond is the total rate of requests.
	RequestsPerSecond int
	// Scale multiplies the durations of the phases; with 1, a run takes less than a
	// minute.
	Scale float64
	// Progress receives progress messages, one per line; nil discards them.
	Progress io.Writer
}

// DefaultRequestsPerSecond is the default rate of requests.
const DefaultRequestsPerSecond = 150

// The traffic of the callers, as in caller.Config. Durations are multiplied by
// Options.Scale.
const (
	openTime     = 7 * time.Second
	meanInterval = 8 * time.Second
	shortShare   = 0.1
	shortLife    = 6 * time.Second
)

// Run runs the demonstration. The error is the failure that aborted it; promises
// that were not kept are in the result.
func Run(ctx context.Context, o Options, p Platform) (*Result, error) {
	if o.FlowsPerServer == 0 {
		o.FlowsPerServer = o.Deployment.DefaultFlowsPerServer
	}
	env, err := newEnvironment(o, p)
	if err != nil {
		return nil, err
	}
	r := &run{environment: env, result: &Result{Deployment: o.Deployment.Name, Seed: o.Seed, Violations: []string{}}, began: time.Now()}
	r.logf("seed %d selects %+v", o.Seed, env.scenario)
	err = r.runPhases(ctx)
	if stopErr := env.close(context.WithoutCancel(ctx)); stopErr != nil {
		r.result.addViolation("graceful shutdown: %v", stopErr)
	}
	if err != nil {
		return nil, err
	}
	r.collectResults()
	return r.result, nil
}

// run is one running demonstration.
type run struct {
	*environment
	result *Result
	began  time.Time
	// lastCounts and lastSent are the totals at the end of the previous phase.
	lastCounts caller.Counts
	lastSent   int
}

// collectResults adds up the counts of the callers and the backend servers.
func (r *run) collectResults() {
	res := r.result
	for _, c := range r.callers.Counts() {
		res.BrokenFlows += c.Broken()
		res.UnopenedFlows += c[caller.OpenFailed]
		res.ExcusedFlows += c[caller.ExpectedBreak]
	}
	res.WrongService = r.wrongService()
	c := r.requestLog.sum(r.began)
	res.NonRepeatableRunTwice = c.RunTwice
	res.FalseRefusals = c.FalseRefusals
	res.LostAnswers = c.Lost
	res.CrossedAnswers = c.Crossed
	res.Unanswered = c.Unanswered
	res.Refused = c.Refused
	res.UnknownAfterCrash = c.UnknownAfterCrash
	res.SuspectRequests = c.SuspectRequests
	res.checkBounds()
}

// totals returns the sum of the counts of all callers.
func (r *run) totals() caller.Counts {
	var sum caller.Counts
	if r.callers == nil {
		return sum
	}
	for _, c := range r.callers.Counts() {
		sum = sum.Add(c)
	}
	return sum
}

// phase runs one phase and records its duration and traffic.
func (r *run) phase(name string, body func() error) error {
	began := time.Now()
	r.logf("%s", name)
	err := body()
	total, sent := r.totals(), r.requestLog.sent()
	delta := total.Sub(r.lastCounts)
	p := Phase{
		Name: name, Seconds: time.Since(began).Seconds(), Flows: delta[caller.Flows], Packets: delta[caller.Packets],
		Requests: sent - r.lastSent, Broken: delta.Broken(), Retransmits: delta[caller.Retransmits],
	}
	r.result.Phases = append(r.result.Phases, p)
	r.lastCounts, r.lastSent = total, sent
	r.logf("  %d flows, %d packets, %d requests; %d flows live, %d broken", p.Flows, p.Packets, p.Requests, total.Live(), p.Broken)
	return err
}

func (r *run) logf(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	fmt.Fprintf(r.options.Progress, "%5.1fs "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// scaled returns a duration multiplied by Options.Scale.
func (r *run) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.options.Scale)
}

// sleep waits for the scaled duration while the traffic continues.
func (r *run) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(r.scaled(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
