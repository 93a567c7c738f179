package gossip

import (
	"context"
	"time"

	"balsamfork/internal/fleet"
	"balsamfork/internal/member"
)

// Run takes part in the fleet until the context ends; an instance that has
// announced its leaving then says that it has left. It returns once nothing is
// being sent any more.
func (g *Gossip) Run(ctx context.Context) {
	t := time.NewTicker(g.params.Tick)
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

// finish says that this instance has left, if it was leaving.
func (g *Gossip) finish() {
	g.with(func(t *member.Table, now int64) {
		self, _ := t.View().Get(g.self)
		if self.State == fleet.Leaving {
			t.Finish(now)
		}
	})
	g.tick()
	g.sending.Wait()
}

func (g *Gossip) tick() {
	g.mu.Lock()
	now := g.now()
	out := g.table.Tick(now)
	joined, alone := g.table.Joined(now)
	g.mu.Unlock()
	g.publish(out)
	if joined {
		g.readyOnce.Do(func() { g.becomeReady(alone) })
	}
	for _, o := range out.Send {
		g.send(o)
	}
}

func (g *Gossip) becomeReady(alone bool) {
	g.alone.Store(alone)
	if alone {
		g.log.Warn("No other instance was reached.")
	}
	close(g.ready)
}

func (g *Gossip) publish(out member.Outcome) {
	if out.View != nil {
		g.logChanges(g.view.Load(), out.View)
		g.view.Store(out.View)
		g.measure(out.View)
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

// logChanges says which instances changed their state.
func (g *Gossip) logChanges(before, after *fleet.View) {
	if before.Epoch == after.Epoch {
		return
	}
	for _, i := range after.Instances {
		old, known := before.Get(i.ID)
		if known && old.State == i.State && old.Incarnation == i.Incarnation {
			continue
		}
		g.log.Info("Instance changed.", "instance", i.ID, "state", i.State.String(), "incarnation", i.Incarnation)
	}
}

func (g *Gossip) measure(v *fleet.View) {
	usable := 0
	for _, i := range v.Instances {
		if i.Usable() {
			usable++
		}
	}
	g.count.usable.Update(float64(usable))
	g.count.known.Update(float64(len(v.Instances)))
}

// send hands a message to the link without waiting for it.
func (g *Gossip) send(o member.Outgoing) {
	if !g.depart(o.To) {
		g.count.dropped.Inc(1)
		return
	}
	data := member.Encode(o.Message)
	g.count.sent.Inc(1)
	g.count.bytes.Inc(int64(len(data)))
	g.sending.Go(func() {
		defer g.arrive(o.To)
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := g.caller.Notify(ctx, o.To, Method, data); err != nil {
			g.count.failed.Inc(1)
		}
	})
}

// depart counts a message on its way to an instance, unless there are too many.
func (g *Gossip) depart(to fleet.ID) bool {
	g.flightMu.Lock()
	defer g.flightMu.Unlock()
	if g.flight[to] >= maxInFlight {
		return false
	}
	g.flight[to]++
	return true
}

func (g *Gossip) arrive(to fleet.ID) {
	g.flightMu.Lock()
	defer g.flightMu.Unlock()
	g.flight[to]--
	if g.flight[to] == 0 {
		delete(g.flight, to)
	}
}
