package prober

import (
	"context"
	"io"
	"net/http"
	"time"

	"balsamfork/internal/flow"
	"balsamfork/internal/health"
)

// maxBodyBytes is the maximum number of bytes read of an endpoint's answer.
const maxBodyBytes = 4 << 10

// Run probes backend servers and updates their conditions until the context ends.
// It returns once no probe or report is in progress.
func (p *Prober) Run(ctx context.Context) {
	if p.records != nil {
		p.tasks.Go(func() { p.releaseLoop(ctx) })
	}
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		p.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			p.tasks.Wait()
			p.client.CloseIdleConnections()
			return
		}
	}
}

func (p *Prober) tick(ctx context.Context) {
	p.mu.Lock()
	now := p.now()
	out := p.table.Tick(now)
	p.mu.Unlock()
	for _, x := range out.Probes {
		p.tasks.Go(func() { p.probe(ctx, x) })
	}
	for _, x := range out.Reports {
		p.tasks.Go(func() { p.report(ctx, x) })
	}
	for _, a := range out.Announcements {
		p.publish(a)
	}
	p.warnWithheld(now, out)
}

func (p *Prober) publish(a flow.Announcement) {
	p.metrics.announced[a.Condition].Inc(1)
	p.log.Info("Backend server condition announced.", "server", a.Server, "condition", a.Condition.String())
	for _, f := range p.announce {
		f(a)
	}
}

// warnWithheld logs that servers are kept in service although they seem down, at
// most once per warnPeriod.
func (p *Prober) warnWithheld(now int64, out health.Outcome) {
	if len(out.Withheld) == 0 {
		return
	}
	p.metrics.withheld.Inc(int64(len(out.Withheld)))
	if now-p.withheld < int64(warnPeriod) {
		return
	}
	p.withheld = now
	p.log.Warn("Keeping backend servers that seem down in service: half of their service is already down.", "servers", out.Withheld)
}

func (p *Prober) report(ctx context.Context, o health.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	p.metrics.reports.Inc(1)
	if err := p.caller.Notify(ctx, o.To, Method, o.Report); err != nil {
		p.log.Debug("Failed to send a health report.", "to", o.To, "error", err)
	}
}

func (p *Prober) probe(ctx context.Context, x health.Probe) {
	p.metrics.probes.Inc(1)
	err := p.sendProbe(ctx, x.URL)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.metrics.failed.Inc(1)
		p.log.Debug("Probe failed.", "server", x.Server, "error", err)
	}
	p.withTable(func(t *health.Table, now int64) { t.Observe(now, x.Server, err == nil) })
}

// sendProbe sends one request to an endpoint. It returns nil if the status of the
// answer is 2xx.
func (p *Prober) sendProbe(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, p.params.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("User-Agent", "balsamfork")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return unexpectedAnswer.New("%s returned status %s", url, resp.Status)
	}
	return nil
}
