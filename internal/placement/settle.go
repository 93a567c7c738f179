package placement

import (
	"slices"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

// Summary is what one instance knows of a service that is not settled.
type Summary struct {
	Service string `json:"service"`
	// Version is the configuration version that the instance serves by.
	Version config.Version `json:"version"`
	// Complete says that the instance holds all records that it must hold.
	Complete bool `json:"complete"`
	// Watched says that every live flow of the unsettled buckets that the instance
	// holds is recorded, or belongs to a base that is gone.
	Watched bool `json:"watched"`
	// Ramping says that a backend server is still on its ramp.
	Ramping bool `json:"ramping"`
	// Away counts the records of flows that are not on their base, by base.
	Away []DisplacedFlows `json:"away,omitempty"`
}

// DisplacedFlows is the number of recorded flows of one base that are on
// another backend server.
type DisplacedFlows struct {
	Base  config.Number `json:"base"`
	Flows int           `json:"flows"`
}

// Step is a configuration change towards a settled service.
type Step uint8

// The steps. Rebase makes the current set the base of all buckets, and moves
// the sets before it into the past. Clear empties the past.
const (
	NoStep Step = iota
	Rebase
	Clear
)

// Summary returns this instance's summary of a service, and false if its
// configuration has no such service.
func (e *Engine) Summary(now int64, name string) (Summary, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.state.Load()
	if st.plan == nil || st.plan.byName[name] == nil {
		return Summary{}, false
	}
	s := st.plan.byName[name]
	round := st.membership.syncRound
	return Summary{
		Service:  name,
		Version:  st.plan.config.Version,
		Complete: round.authorityTaken && len(round.pending)+len(round.pendingOwners) == 0 && st.confirmedVersion >= s.since,
		Watched:  !s.tablesDiffer || s.basesGone || s.watchedAt() != 0 && round.fullCompareAt >= s.watchedAt(),
		Ramping:  s.ramping(now),
		Away:     e.countDisplaced(s),
	}, true
}

// ramping reports whether a backend server that new flows go to is on its ramp.
func (s *service) ramping(now int64) bool {
	return slices.ContainsFunc(s.target, func(i uint16) bool {
		b := &s.servers[i]
		start := b.times.ramp.Load()
		return !b.warm && (start == 0 || rampShare(s.ramp, now-start) < 1)
	})
}

func (e *Engine) countDisplaced(s *service) []DisplacedFlows {
	flows := map[config.Number]int{}
	for bucket := range table.Buckets {
		b := e.records.Lock(bucket)
		b.Each(func(r records.Record) bool {
			base := s.baseOf(bucket)
			if base != nil && base.number != r.Server() && s.server(r.Server()) != nil {
				flows[base.number]++
			}
			return true
		})
		b.Unlock()
	}
	out := make([]DisplacedFlows, 0, len(flows))
	for n, count := range flows {
		out = append(out, DisplacedFlows{Base: n, Flows: count})
	}
	slices.SortFunc(out, func(a, b DisplacedFlows) int { return int(a.Base) - int(b.Base) })
	return out
}

// WaitReason is the reason why a service has no next step.
type WaitReason uint8

// The reasons for which Settle waits, in the order in which it checks them.
const (
	WaitNone WaitReason = iota
	DataCentreOutOfReach
	SummaryMissing
	VersionNotInForce
	RecordsIncomplete
	ServerOnRamp
	OlderFlowsUnknown
	FlowsAwayFromBase
)

// String returns the reason in words.
func (w WaitReason) String() string {
	return [...]string{
		"nothing", "data centre out of reach", "summary missing", "version not in force everywhere",
		"records incomplete at an instance", "backend server on its ramp", "older flows not all known",
		"flows away from their base",
	}[w]
}

// Settle determines the next step of a service from the summaries of the
// reachable instances, or the reason to wait if there is none. It waits for all
// of them, and while a data centre that was not taken out has instances but
// none in reach, since those may still place flows.
func Settle(c *config.Config, service string, v *fleet.View, all map[fleet.ID]Summary) (Step, WaitReason) {
	i := slices.IndexFunc(c.Services, func(s config.Service) bool { return s.Name == service })
	if i < 0 || c.Services[i].IsSettled() {
		return NoStep, WaitNone
	}
	if dataCentreUnreachable(c, v) {
		return NoStep, DataCentreOutOfReach
	}
	rebase := !slices.Equal(c.Services[i].Settled, c.Services[i].Current)
	for _, instance := range v.Instances {
		if !instance.Reachable() {
			continue
		}
		summary, ok := all[instance.ID]
		if !ok {
			return NoStep, SummaryMissing
		}
		if w := summary.waitReason(c.Version, rebase); w != WaitNone {
			return NoStep, w
		}
	}
	if rebase {
		return Rebase, WaitNone
	}
	return Clear, WaitNone
}

// waitReason returns why this instance's summary does not permit a step.
func (s Summary) waitReason(version config.Version, rebase bool) WaitReason {
	switch {
	case s.Version != version:
		return VersionNotInForce
	case !s.Complete:
		return RecordsIncomplete
	case rebase && s.Ramping:
		return ServerOnRamp
	case rebase && !s.Watched:
		return OlderFlowsUnknown
	case !rebase && len(s.Away) > 0:
		return FlowsAwayFromBase
	default:
		return WaitNone
	}
}

// DisplacedFlowCount returns how many recorded flows of one base are on another backend
// server, and false while the summary of a reachable instance is missing. A
// condition may be withdrawn once there are none.
func DisplacedFlowCount(v *fleet.View, all map[fleet.ID]Summary, base config.Number) (int, bool) {
	n := 0
	for _, instance := range v.Instances {
		summary, ok := all[instance.ID]
		if instance.Reachable() && !ok {
			return 0, false
		}
		for _, a := range summary.Away {
			if a.Base == base {
				n += a.Flows
			}
		}
	}
	return n, true
}

// dataCentreUnreachable reports whether some data centre that was not taken out
// has instances but none in reach.
func dataCentreUnreachable(c *config.Config, v *fleet.View) bool {
	for _, d := range c.DataCentres {
		known, reachable := false, false
		for _, i := range v.Instances {
			known = known || i.DataCentre == d.Name
			reachable = reachable || i.DataCentre == d.Name && i.Reachable()
		}
		if known && !reachable && !d.Out {
			return true
		}
	}
	return false
}

// Unsettled returns the names of the services that are not settled.
func Unsettled(c *config.Config) []string {
	var out []string
	for i := range c.Services {
		if !c.Services[i].IsSettled() {
			out = append(out, c.Services[i].Name)
		}
	}
	return out
}

// String returns the name of the step.
func (s Step) String() string {
	return [...]string{"none", "rebase", "clear"}[s]
}
