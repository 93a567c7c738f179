package handover

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/placement"
	"balsamfork/internal/rendezvous"
)

// Settler changes the configuration by compare-and-swap on the version seen. Its
// methods return an error if that is no longer the newest version.
type Settler interface {
	// Rebase makes the current set of a service the base of all its buckets, and
	// keeps the earlier sets in Past.
	Rebase(ctx context.Context, service string, seen config.Version) error
	// Clear empties Past of a service.
	Clear(ctx context.Context, service string, seen config.Version) error
}

// Source returns the newest configuration and view that this instance knows. Both
// may be nil at the start.
type Source interface {
	Config() *config.Config
	View() *fleet.View
}

// Coordinator settles the services assigned to this instance. Each service is
// assigned to the first usable instance by rendezvous hashing of its name. If views
// differ and two instances settle the same service, compare-and-swap rejects one of
// the two changes.
type Coordinator struct {
	self     fleet.ID
	engine   Engine
	caller   peer.Caller
	source   Source
	settler  Settler
	log      *slog.Logger
	schedule *schedule
	steps    tally.Counter
	refused  tally.Counter
	// loggedWaits is the reason that was last logged for each service. Only Run uses
	// it.
	loggedWaits map[string]placement.WaitReason
}

// NewCoordinator returns a Coordinator. Call Run to settle services.
func NewCoordinator(self fleet.ID, e Engine, c peer.Caller, src Source, s Settler, scope tally.Scope, log *slog.Logger) *Coordinator {
	scope = scope.SubScope("settling")
	return &Coordinator{
		self: self, engine: e, caller: c, source: src, settler: s, log: log.With("part", part),
		loggedWaits: map[string]placement.WaitReason{},
		schedule:    newSchedule(), steps: scope.Counter("steps"), refused: scope.Counter("refused"),
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
			c.pollServices(ctx)
		}
	}
}

// pollServices polls each service that is due. It returns after one step, since the
// step changes the configuration; the services after it remain due.
func (c *Coordinator) pollServices(ctx context.Context) {
	cfg, view := c.source.Config(), c.source.View()
	if cfg == nil || view == nil {
		return
	}
	for _, name := range c.due(cfg, view) {
		c.schedule.polled(time.Now(), name)
		step, wait := placement.Settle(cfg, name, view, c.summaries(ctx, view, name))
		c.logWait(name, wait)
		if step != placement.NoStep {
			c.applyStep(ctx, step, name, cfg.Version)
			return
		}
	}
}

// due returns the unsettled services of this instance whose poll is due.
func (c *Coordinator) due(cfg *config.Config, view *fleet.View) []string {
	assigned := map[string]bool{}
	for _, name := range placement.Unsettled(cfg) {
		assigned[name] = First(view, name) == c.self
	}
	c.schedule.retain(assigned)
	maps.DeleteFunc(c.loggedWaits, func(name string, _ placement.WaitReason) bool { return !assigned[name] })
	var names []string
	now := time.Now()
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if assigned[s.Name] && c.schedule.due(now, s) {
			names = append(names, s.Name)
		}
	}
	return names
}

// logWait logs why a service cannot be settled yet, if the reason has changed.
func (c *Coordinator) logWait(service string, wait placement.WaitReason) {
	if c.loggedWaits[service] == wait {
		return
	}
	c.loggedWaits[service] = wait
	if wait != placement.WaitNone {
		c.log.Info("Service cannot be settled yet.", "service", service, "for", wait.String())
	}
}

func (c *Coordinator) applyStep(ctx context.Context, step placement.Step, service string, seen config.Version) {
	apply := c.settler.Clear
	if step == placement.Rebase {
		apply = c.settler.Rebase
	}
	if err := apply(ctx, service, seen); err != nil {
		c.refused.Inc(1)
		c.log.Info("Settling step failed.", "service", service, "version", seen, "error", err)
		return
	}
	c.steps.Inc(1)
	c.log.Info("Settling step was applied.", "service", service, "version", seen, "step", step.String())
}

// First returns the usable instance that settles a service, or "" if no
// instance is usable.
func First(v *fleet.View, service string) fleet.ID {
	first, _ := rendezvous.First(v, rendezvous.KeyOf(service))
	return first
}

// summaries returns the summaries of all reachable instances that answer.
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

// DisplacedFlowCount asks all reachable instances how many flows of a service are
// served by another backend server because base was not healthy. It returns false
// if an instance did not answer; the condition must then stay announced.
func (c *Coordinator) DisplacedFlowCount(ctx context.Context, service string, base config.Number) (int, bool) {
	view := c.source.View()
	if view == nil {
		return 0, false
	}
	return placement.DisplacedFlowCount(view, c.summaries(ctx, view, service), base)
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
