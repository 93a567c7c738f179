package prober

import (
	"context"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/handover"
	"balsamfork/internal/health"
	"balsamfork/internal/placement"
)

const (
	// releasePeriod is the time between two looks at recovering servers, and the
	// least time recovering.
	releasePeriod = 5 * time.Second
	// askTimeout bounds one question to a peer.
	askTimeout = time.Second
)

// Records knows of the flow records of this instance: package placement's Engine.
type Records interface {
	Summary(now int64, service string) (placement.Summary, bool)
}

// releaseLoop releases recovering servers whose flows are all where the tables
// say, until the context ends.
func (p *Prober) releaseLoop(ctx context.Context) {
	t := time.NewTicker(releasePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.releaseRound(ctx)
		}
	}
}

func (p *Prober) releaseRound(ctx context.Context) {
	p.mu.Lock()
	view := p.view
	list := p.table.Recovering(p.now(), releasePeriod)
	p.mu.Unlock()
	for _, s := range list {
		if p.cleared(ctx, view, s) {
			p.Release(s.Number)
		}
	}
}

// cleared asks one instance after the other and stops at the first that objects.
func (p *Prober) cleared(ctx context.Context, view *fleet.View, s health.Server) bool {
	told := make(map[fleet.ID]placement.Summary, len(view.Instances))
	for _, i := range view.Instances {
		if !i.Reachable() {
			continue
		}
		summary, ok := p.summary(ctx, i.ID, s.Service)
		if !ok {
			return false
		}
		told[i.ID] = summary
		one := &fleet.View{Instances: []fleet.Instance{i}}
		if !health.Cleared(one, told, s.Number) {
			return false
		}
	}
	return health.Cleared(view, told, s.Number)
}

func (p *Prober) summary(ctx context.Context, id fleet.ID, service string) (placement.Summary, bool) {
	if id == p.self {
		return p.records.Summary(p.now(), service)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s placement.Summary
	err := p.caller.Call(ctx, id, handover.SummaryMethod, handover.SummaryRequest{Service: service}, &s)
	return s, err == nil
}
