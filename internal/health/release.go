package health

import (
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/placement"
)

// Recovering returns the backend servers that this instance keeps and that have
// been recovering for a time at least.
func (t *Table) Recovering(now int64, age time.Duration) []Server {
	var out []Server
	for _, r := range t.rows {
		recovering := r.condition.Condition == flow.Recovering
		if r.keeping && recovering && now-r.condition.Since >= int64(age) {
			out = append(out, r.Server)
		}
	}
	return out
}

// Cleared reports whether every reachable instance has told what it knows of the
// service, and none holds a flow elsewhere that belongs on the backend server.
func Cleared(v *fleet.View, told map[fleet.ID]placement.Summary, n config.Number) bool {
	for _, i := range v.Instances {
		if !i.Reachable() {
			continue
		}
		s, ok := told[i.ID]
		if !ok || !s.Complete {
			return false
		}
		for _, a := range s.Away {
			if a.Base == n && a.Flows > 0 {
				return false
			}
		}
	}
	return true
}
