package prober

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/handover"
	"balsamfork/internal/health"
	"balsamfork/internal/placement"
)

const (
	// releasePeriod is the minimum time for which a server is recovering, and the
	// initial interval between two checks of it; releaseMaxPeriod is the maximum
	// interval.
	releasePeriod    = 5 * time.Second
	releaseMaxPeriod = time.Minute
	// summaryTimeout is the time limit of one request for a summary to a peer.
	summaryTimeout = time.Second
)

// Records summarises the flow records of this instance. It is implemented by
// placement.Engine.
type Records interface {
	Summary(now int64, service string) (placement.Summary, bool)
}

// releaseLoop releases recovering servers once no flows that belong on them are
// recorded elsewhere, until the context ends.
func (p *Prober) releaseLoop(ctx context.Context) {
	t := time.NewTicker(releasePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.releaseCleared(ctx)
		}
	}
}

func (p *Prober) releaseCleared(ctx context.Context) {
	p.mu.Lock()
	view := p.view
	list := p.table.Recovering(p.now(), releasePeriod)
	p.mu.Unlock()
	releaseChecks := make(map[config.Number]*releaseCheck, len(list))
	for _, s := range list {
		check := p.releaseChecks[s.Number]
		if check == nil {
			check = newReleaseCheck()
		}
		releaseChecks[s.Number] = check
		if check.due(time.Now()) && p.cleared(ctx, view, s) {
			p.Release(s.Number)
		}
	}
	p.releaseChecks = releaseChecks
}

// releaseCheck schedules the checks of a recovering server. Their interval grows,
// since each check sends a request to every instance.
type releaseCheck struct {
	next    time.Time
	backOff *backoff.ExponentialBackOff
}

func newReleaseCheck() *releaseCheck {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = releasePeriod
	backOff.MaxInterval = releaseMaxPeriod
	return &releaseCheck{backOff: backOff}
}

// due reports whether to check now, and if so schedules the next check.
func (check *releaseCheck) due(now time.Time) bool {
	if now.Before(check.next) {
		return false
	}
	check.next = now.Add(check.backOff.NextBackOff())
	return true
}

// cleared reports whether no reachable instance has flows recorded elsewhere that
// belong on the server. It requests a summary from one instance after the other, and
// stops at the first that fails to answer or has such flows.
func (p *Prober) cleared(ctx context.Context, view *fleet.View, s health.Server) bool {
	summaries := make(map[fleet.ID]placement.Summary, len(view.Instances))
	for _, i := range view.Instances {
		if !i.Reachable() {
			continue
		}
		summary, ok := p.summary(ctx, i.ID, s.Service)
		if !ok {
			return false
		}
		summaries[i.ID] = summary
		single := &fleet.View{Instances: []fleet.Instance{i}}
		if !health.FlowsCleared(single, summaries, s.Number) {
			return false
		}
	}
	return health.FlowsCleared(view, summaries, s.Number)
}

func (p *Prober) summary(ctx context.Context, id fleet.ID, service string) (placement.Summary, bool) {
	if id == p.self {
		return p.records.Summary(p.now(), service)
	}
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	var s placement.Summary
	err := p.caller.Call(ctx, id, handover.SummaryMethod, handover.SummaryRequest{Service: service}, &s)
	return s, err == nil
}
