package prober

import (
	"context"
	"io"
	"net/http"
	"time"

	"balsamfork/internal/flow"
	"balsamfork/internal/health"
)

// maxBody is how much of an endpoint's answer is read, in bytes.
const maxBody = 4 << 10

// Run probes and decides until the context ends, and returns once no probe is
// under way.
func (p *Prober) Run(ctx context.Context) {
	if p.records != nil {
		p.busy.Go(func() { p.releaseLoop(ctx) })
	}
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		p.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			p.busy.Wait()
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
		p.busy.Go(func() { p.probe(ctx, x) })
	}
	for _, x := range out.Reports {
		p.busy.Go(func() { p.report(ctx, x) })
	}
	for _, a := range out.Announce {
		p.publish(a)
	}
	p.warn(now, out)
}

func (p *Prober) publish(a flow.Announcement) {
	p.count.verdict[a.Condition].Inc(1)
	p.log.Info("Condition announced.", "server", a.Server, "condition", a.Condition.String())
	for _, f := range p.announce {
		f(a)
	}
}

// warn says, now and then, that verdicts are withheld.
func (p *Prober) warn(now int64, out health.Outcome) {
	if len(out.Doubted) == 0 {
		return
	}
	p.count.doubted.Inc(int64(len(out.Doubted)))
	if now-p.doubted < int64(doubtPeriod) {
		return
	}
	p.doubted = now
	p.log.Warn("Kept in service: half of the service is down already.", "servers", out.Doubted)
}

func (p *Prober) report(ctx context.Context, o health.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	p.count.reports.Inc(1)
	if err := p.caller.Notify(ctx, o.To, Method, o.Report); err != nil {
		p.log.Debug("Report not sent.", "to", o.To, "error", err)
	}
}

func (p *Prober) probe(ctx context.Context, x health.Probe) {
	p.count.probes.Inc(1)
	err := p.ask(ctx, x.URL)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.count.failed.Inc(1)
		p.log.Debug("Probe failed.", "server", x.Server, "error", err)
	}
	p.with(func(t *health.Table, now int64) { t.Observe(now, x.Server, err == nil) })
}

// ask makes one request; an answer of class 2xx is a pass.
func (p *Prober) ask(ctx context.Context, url string) error {
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
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return unexpected.New("%s answers %s", url, resp.Status)
	}
	return nil
}
