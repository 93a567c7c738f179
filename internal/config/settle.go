package config

import "slices"

// SettleAction is a step in settling a service.
type SettleAction string

const (
	// RebaseService makes the current target of a service its base: Settled is set to
	// Current, and the former base is added to Past, so that buckets which moved stay
	// unsettled until ClearService.
	RebaseService SettleAction = "rebase"
	// ClearService removes the past sets of a service.
	ClearService SettleAction = "clear"
)

// Settlement is a request to settle one service.
type Settlement struct {
	Service string       `json:"service"`
	Action  SettleAction `json:"action"`
	// BaseVersion is the version that the decision is based on. A service that has changed
	// since is not settled.
	BaseVersion Version `json:"seen"`
}

// Settle derives one version with all settlements, and returns an outcome for each:
// nil if it is done or there was nothing to do, Conflict if the service has changed
// since BaseVersion, or Invalid. It returns old itself if nothing changes. The last
// error is Newer if the stored form requires a newer release.
func Settle(old *State, all []Settlement, changeID string) (*State, []error, error) {
	if err := old.Readable(); err != nil {
		return nil, nil, err
	}
	next := &State{StateHeader: old.successor(changeID), Services: slices.Clone(old.Services)}
	outcomes := make([]error, len(all))
	changed := false
	for i, s := range all {
		done, err := s.apply(next)
		outcomes[i] = err
		changed = changed || done
	}
	if !changed {
		return old, outcomes, nil
	}
	return next, outcomes, nil
}

// apply settles the service in next and reports whether that changed it. Since next
// shares its records with the previous version, apply replaces the record rather
// than modifying it.
func (s Settlement) apply(next *State) (bool, error) {
	i := slices.IndexFunc(next.Services, func(r ServiceRecord) bool { return r.Name == s.Service })
	if i < 0 {
		return false, Invalid.New("no service %q", s.Service)
	}
	record := next.Services[i]
	before := record.Written
	var changed bool
	switch s.Action {
	case RebaseService:
		changed = record.rebase()
	case ClearService:
		changed = record.clear()
	default:
		return false, Invalid.New("unknown action %q", s.Action)
	}
	if !changed {
		return false, nil
	}
	if before > s.BaseVersion {
		return false, Conflict.New("service %q has changed since version %d", s.Service, s.BaseVersion)
	}
	record.Written = next.Version
	record.Servers = slices.Clone(record.Servers)
	record.pruneServers(next.Version)
	next.Services[i] = record
	return true, nil
}

func (r *ServiceRecord) rebase() bool {
	if r.Settled.Equal(r.Current) {
		return false
	}
	r.Past = uniqueSets(append([]Set{r.Settled}, r.Past...), r.Current)
	if len(r.Past) > MaxPast {
		r.Past = []Set{{}}
	}
	r.Settled = r.Current
	return true
}

func (r *ServiceRecord) clear() bool {
	if len(r.Past) == 0 {
		return false
	}
	r.Past = nil
	return true
}
