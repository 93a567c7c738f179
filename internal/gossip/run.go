package gossip

import (
	"context"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/member"
)

// Run runs the membership protocol until the context ends; an instance that has
// announced that it is leaving then announces that it has left. Run returns after the
// last send has ended.
func (g *Gossip) Run(ctx context.Context) {
	t := time.NewTicker(g.params.TickInterval)
	defer t.Stop()
	for {
		g.tick()
		select {
		case <-t.C:
		case <-ctx.Done():
			g.finish()
			return
		}
	}
}

// finish announces that this instance has left, if it was leaving, and waits for
// messages being sent.
func (g *Gossip) finish() {
	g.withTable(func(t *member.Table, now int64) {
		self, _ := t.View().Get(g.self)
		if self.State == fleet.Leaving {
			t.AnnounceLeft(now)
		}
	})
	g.tick()
	g.sends.Wait()
}

func (g *Gossip) tick() {
	g.mu.Lock()
	now := g.now()
	out := g.table.Tick(now)
	joined, alone := g.table.Joined(now)
	g.mu.Unlock()
	g.publish(out)
	if joined {
		g.readyOnce.Do(func() { g.markReady(alone) })
	}
	for _, o := range out.Send {
		g.send(o)
	}
}

func (g *Gossip) markReady(alone bool) {
	g.alone.Store(alone)
	if alone {
		g.log.Warn("No other instance could be reached.")
	}
	close(g.ready)
}

func (g *Gossip) publish(out member.TickResult) {
	if out.View != nil {
		g.logChanges(g.view.Load(), out.View)
		g.view.Store(out.View)
		g.updateGauges(out.View)
		for _, f := range g.onView {
			f(out.View)
		}
	}
	if len(out.Announcements) > 0 {
		for _, f := range g.onAnnouncements {
			f(out.Announcements)
		}
	}
	for _, n := range out.Newer {
		for _, f := range g.onVersion {
			f(n.ID, n.Version)
		}
	}
}

// logChanges logs the instances whose state or incarnation changed.
func (g *Gossip) logChanges(before, after *fleet.View) {
	if before.Epoch == after.Epoch {
		return
	}
	for _, i := range after.Instances {
		old, known := before.Get(i.ID)
		if known && old.State == i.State && old.Incarnation == i.Incarnation {
			continue
		}
		g.log.Info("Instance state changed.", "instance", i.ID, "state", i.State.String(), "incarnation", i.Incarnation)
	}
}

func (g *Gossip) updateGauges(v *fleet.View) {
	usable := 0
	for _, i := range v.Instances {
		if i.Usable() {
			usable++
		}
	}
	g.metrics.usable.Update(float64(usable))
	g.metrics.known.Update(float64(len(v.Instances)))
}

// send sends a message over the link in the background.
func (g *Gossip) send(o member.Outgoing) {
	if !g.acquireSlot(o.To) {
		g.metrics.dropped.Inc(1)
		return
	}
	data := member.Encode(o.Message)
	g.metrics.sent.Inc(1)
	g.metrics.bytesEncoded.Inc(int64(len(data)))
	g.sends.Go(func() {
		defer g.releaseSlot(o.To)
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := g.caller.Notify(ctx, o.To, Method, data); err != nil {
			g.metrics.failed.Inc(1)
		}
	})
}

// acquireSlot reserves one of the maxInFlight sends to an instance, and reports whether
// one was free.
func (g *Gossip) acquireSlot(to fleet.ID) bool {
	g.inFlightMu.Lock()
	defer g.inFlightMu.Unlock()
	if g.inFlight[to] >= maxInFlight {
		return false
	}
	g.inFlight[to]++
	return true
}

func (g *Gossip) releaseSlot(to fleet.ID) {
	g.inFlightMu.Lock()
	defer g.inFlightMu.Unlock()
	g.inFlight[to]--
	if g.inFlight[to] == 0 {
		delete(g.inFlight, to)
	}
}
