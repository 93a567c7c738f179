package health

import (
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/placement"
)

// Recovering returns the backend servers whose primary prober is this instance and
// that have been recovering for at least age.
func (t *Table) Recovering(now int64, age time.Duration) []Server {
	var out []Server
	for _, r := range t.rows {
		recovering := r.condition.Condition == flow.Recovering
		if r.primary && recovering && now-r.condition.Since >= int64(age) {
			out = append(out, r.Server)
		}
	}
	return out
}

// FlowsCleared reports whether every reachable instance has sent a complete summary
// of the service, and none has a flow recorded on another backend server whose base
// is this one.
func FlowsCleared(v *fleet.View, summaries map[fleet.ID]placement.Summary, n config.Number) bool {
	for _, i := range v.Instances {
		if !i.Reachable() {
			continue
		}
		s, ok := summaries[i.ID]
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
