package config

import "slices"

// SettleAction says how a service settles.
type SettleAction string

const (
	// RebaseService makes the current target of a service its base: Settled becomes
	// Current, and Past the sets before, so that buckets which moved stay
	// unsettled until ClearService.
	RebaseService SettleAction = "rebase"
	// ClearService forgets the past sets of a service.
	ClearService SettleAction = "clear"
)

// Settlement asks to settle one service.
type Settlement struct {
	Service string       `json:"service"`
	Action  SettleAction `json:"action"`
	// Seen is the version that the decision was made by. A service that was
	// changed since does not settle.
	Seen Version `json:"seen"`
}

// Settle derives one version with all settlements, and for each whether it is
// done: nil also if there was nothing to do, Conflict if the service has changed
// since, or Invalid. It returns old itself if nothing changes. The last error is
// Newer if this release must not change the stored form.
func Settle(old *State, all []Settlement, changeID string) (*State, []error, error) {
	if err := old.Readable(); err != nil {
		return nil, nil, err
	}
	next := &State{StateHeader: old.following(changeID), Services: slices.Clone(old.Services)}
	outcomes := make([]error, len(all))
	changed := false
	for i, s := range all {
		done, err := s.in(next)
		outcomes[i] = err
		changed = changed || done
	}
	if !changed {
		return old, outcomes, nil
	}
	return next, outcomes, nil
}

// in settles the service in next, which shares its records with the version
// before, and reports whether that changed it.
func (s Settlement) in(next *State) (bool, error) {
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
	if before > s.Seen {
		return false, Conflict.New("service %q has changed since version %d", s.Service, s.Seen)
	}
	record.Written = next.Version
	record.Servers = slices.Clone(record.Servers)
	record.dropForgotten(next.Version)
	next.Services[i] = record
	return true, nil
}

func (r *ServiceRecord) rebase() bool {
	if r.Settled.Equal(r.Current) {
		return false
	}
	r.Past = distinct(append([]Set{r.Settled}, r.Past...), r.Current)
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
