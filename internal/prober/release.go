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
	// releasePeriod is the least time recovering, and the time between the first
	// two looks at a server; releaseMax bounds the later ones.
	releasePeriod = 5 * time.Second
	releaseMax    = time.Minute
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
	looks := make(map[config.Number]*look, len(list))
	for _, s := range list {
		l := p.looks[s.Number]
		if l == nil {
			l = newLook()
		}
		looks[s.Number] = l
		if l.due(time.Now()) && p.cleared(ctx, view, s) {
			p.Release(s.Number)
		}
	}
	p.looks = looks
}

// look is when to ask about a recovering server again: ever less often, since the
// question goes to every instance.
type look struct {
	at   time.Time
	wait *backoff.ExponentialBackOff
}

func newLook() *look {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = releasePeriod
	wait.MaxInterval = releaseMax
	return &look{wait: wait}
}

// due reports whether to ask now, and moves to the next time.
func (l *look) due(now time.Time) bool {
	if now.Before(l.at) {
		return false
	}
	l.at = now.Add(l.wait.NextBackOff())
	return true
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
