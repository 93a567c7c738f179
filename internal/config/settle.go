package config

import "slices"

// Rebase derives the version in which a service's base is its current target:
// Settled becomes Current, and Past the sets before, so that buckets which
// moved stay unsettled until Clear. It returns old itself if the base is the
// target already. Errors are Invalid or Newer.
func Rebase(old *State, service, changeID string) (*State, error) {
	return settle(old, service, changeID, func(r *ServiceRecord) bool {
		if r.Settled.Equal(r.Current) {
			return false
		}
		r.Past = distinct(append([]Set{r.Settled}, r.Past...), r.Current)
		if len(r.Past) > MaxPast {
			r.Past = []Set{{}}
		}
		r.Settled = r.Current
		return true
	})
}

// Clear derives the version in which a service has no past sets. It returns old
// itself if there are none. Errors are Invalid or Newer.
func Clear(old *State, service, changeID string) (*State, error) {
	return settle(old, service, changeID, func(r *ServiceRecord) bool {
		if len(r.Past) == 0 {
			return false
		}
		r.Past = nil
		return true
	})
}

func settle(old *State, service, changeID string, change func(*ServiceRecord) bool) (*State, error) {
	if err := old.Readable(); err != nil {
		return nil, err
	}
	i := slices.IndexFunc(old.Services, func(r ServiceRecord) bool { return r.Name == service })
	if i < 0 {
		return nil, Invalid.New("no service %q", service)
	}
	record := old.Services[i]
	record.Servers = slices.Clone(record.Servers)
	if !change(&record) {
		return old, nil
	}
	next := &State{StateHeader: old.following(changeID), Services: slices.Clone(old.Services)}
	record.Written = next.Version
	record.dropForgotten(next.Version)
	next.Services[i] = record
	return next, nil
}
