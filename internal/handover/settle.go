package handover

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/placement"
	"balsamfork/internal/table"
)

// Settler changes the configuration by compare-and-swap on the version seen. It
// returns an error when that version is not the newest any more.
type Settler interface {
	// Rebase makes the current set of a service the base of all its buckets, and
	// keeps the sets before in the past.
	Rebase(ctx context.Context, service string, seen config.Version) error
	// Clear empties the past of a service.
	Clear(ctx context.Context, service string, seen config.Version) error
}

// Source gives the newest configuration and view that this instance knows. Both
// may be nil at the start.
type Source interface {
	Config() *config.Config
	View() *fleet.View
}

// Coordinator settles the services that fall to this instance: each service to
// the first usable instance by rendezvous over its name. Two instances that take
// themselves for the first do no harm, since of two changes one is refused.
type Coordinator struct {
	self    fleet.ID
	engine  Engine
	caller  peer.Caller
	source  Source
	settler Settler
	log     *slog.Logger
	pace    *pace
	steps   tally.Counter
	refused tally.Counter
	// waits is what was logged last for each service. Only Run uses it.
	waits map[string]placement.Wait
}

// NewCoordinator returns a Coordinator, whose Run does the work.
func NewCoordinator(self fleet.ID, e Engine, c peer.Caller, src Source, s Settler, scope tally.Scope, log *slog.Logger) *Coordinator {
	scope = scope.SubScope("settling")
	return &Coordinator{
		self: self, engine: e, caller: c, source: src, settler: s, log: log.With("part", part),
		waits: map[string]placement.Wait{},
		pace:  newPace(), steps: scope.Counter("steps"), refused: scope.Counter("refused"),
	}
}

// Run settles services until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.round(ctx)
		}
	}
}

// round looks at each unsettled service once. One step ends the round, since the
// configuration is another one afterwards.
func (c *Coordinator) round(ctx context.Context) {
	cfg, view := c.source.Config(), c.source.View()
	if cfg == nil || view == nil {
		return
	}
	for _, name := range c.due(cfg, view) {
		step, wait := placement.Settle(cfg, name, view, c.summaries(ctx, view, name))
		c.explain(name, wait)
		if step != placement.NoStep {
			c.take(ctx, step, name, cfg.Version)
			return
		}
	}
}

// due returns the unsettled services of this instance that it is time to look at.
func (c *Coordinator) due(cfg *config.Config, view *fleet.View) []string {
	mine := map[string]bool{}
	for _, name := range placement.Unsettled(cfg) {
		mine[name] = First(view, name) == c.self
	}
	c.pace.keep(mine)
	var names []string
	now := time.Now()
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if mine[s.Name] && c.pace.due(now, s) {
			names = append(names, s.Name)
		}
	}
	return names
}

// explain logs what a service waits for when that has changed.
func (c *Coordinator) explain(service string, wait placement.Wait) {
	if c.waits[service] == wait {
		return
	}
	c.waits[service] = wait
	if wait != placement.Nothing {
		c.log.Info("Service waits.", "service", service, "for", wait.String())
	}
}

func (c *Coordinator) take(ctx context.Context, step placement.Step, service string, seen config.Version) {
	act := c.settler.Clear
	if step == placement.Rebase {
		act = c.settler.Rebase
	}
	if err := act(ctx, service, seen); err != nil {
		c.refused.Inc(1)
		c.log.Info("Service was not settled.", "service", service, "version", seen, "error", err)
		return
	}
	c.steps.Inc(1)
	c.log.Info("Service came nearer to being settled.", "service", service, "version", seen, "step", step.String())
}

// First returns the usable instance that settles a service, or "".
func First(v *fleet.View, service string) fleet.ID {
	var first fleet.ID
	var top uint64
	name := xxh3.HashString(service)
	for _, i := range v.Instances {
		score := table.Mix(xxh3.HashString(string(i.ID)) ^ name)
		if i.Usable() && (first == "" || score > top) {
			first, top = i.ID, score
		}
	}
	return first
}

// summaries asks all reachable instances for theirs, and leaves out the ones that
// do not answer.
func (c *Coordinator) summaries(ctx context.Context, v *fleet.View, service string) map[fleet.ID]placement.Summary {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	all := map[fleet.ID]placement.Summary{}
	group := errgroup.Group{}
	group.SetLimit(maxCalls)
	for _, i := range slices.DeleteFunc(slices.Clone(v.Instances), unreachable) {
		group.Go(func() error {
			if s, ok := c.summary(ctx, i.ID, service); ok {
				mu.Lock()
				defer mu.Unlock()
				all[i.ID] = s
			}
			return nil
		})
	}
	_ = group.Wait()
	return all
}

// FlowsAway asks all reachable instances how many flows of a service live
// elsewhere since their base was not healthy. It returns false when some instance
// did not answer; the condition has to stay announced then.
func (c *Coordinator) FlowsAway(ctx context.Context, service string, base config.Number) (int, bool) {
	view := c.source.View()
	if view == nil {
		return 0, false
	}
	return placement.FlowsAway(view, c.summaries(ctx, view, service), base)
}

func unreachable(i fleet.Instance) bool { return !i.Reachable() }

func (c *Coordinator) summary(ctx context.Context, id fleet.ID, service string) (placement.Summary, bool) {
	if id == c.self {
		return c.engine.Summary(time.Now().UnixNano(), service)
	}
	var s placement.Summary
	err := c.caller.Call(ctx, id, SummaryMethod, SummaryRequest{Service: service}, &s)
	return s, err == nil
}
