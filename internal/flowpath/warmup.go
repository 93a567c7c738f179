package flowpath

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamfork/internal/catalogue"
)

// WarmupLimits bounds the flows that a cold server may get in a second, over all
// instances: its configured rate in requests a second times Factor, plus Slack in
// requests.
type WarmupLimits struct {
	Factor, Slack float64
}

const (
	// plannedInstances is the number of instances assumed while an instance is
	// starting and may know few of the others: the planned size, docs/CAPACITY.md.
	plannedInstances = 415
	// startupPeriod is how long an instance counts as starting: most instances of a
	// fleet that starts together discover one another within about 1 s.
	startupPeriod = 2 * time.Second
	// maxUtilisation is the fraction of a limit that is allocated. The rest covers
	// instances that this one does not know yet, and copies of opening packets.
	maxUtilisation = 0.6
	// burstDeviations is how far the flows of a second may exceed their mean, in
	// standard deviations: many instances with a small share each admit flows at
	// random times.
	burstDeviations = 4
)

// warmupBudget limits the flows that this instance sends to cold servers to its share
// of their limits. An instance admits one flow to a server, and the next only after a
// full interval of its share, so that the sum over all instances stays within the
// limit in any second. The first flow to a server waits for a random part of the
// interval; otherwise all instances would send one at once. The same holds for each later
// warm-up of the server: shares that are left over would be used at once.
type warmupBudget struct {
	limits     WarmupLimits
	instances  int
	random     *rand.Rand
	admissions map[uint32]admission
}

// admission tracks when the next flow to a server may be admitted: remaining is the
// fraction of the interval that was left at updatedAt. It is a fraction because the
// interval changes with the number of instances. The admission belongs to the warm-up that
// ends at warmAt.
type admission struct {
	remaining float64
	updatedAt int64
	warmAt    int64
}

func newWarmupBudget(limits WarmupLimits, random *rand.Rand) *warmupBudget {
	return &warmupBudget{limits: limits, instances: plannedInstances, random: random, admissions: map[uint32]admission{}}
}

// admit reports whether a flow may go to a cold server now, and uses up this
// instance's share if so. The server's warm-up ends at warmAt. An instance that is starting
// may know only some of the others.
func (w *warmupBudget) admit(b *catalogue.Backend, warmAt int64, starting bool, now int64) bool {
	limit := b.WarmupRate*w.limits.Factor + w.limits.Slack
	if limit <= 0 {
		return false
	}
	instances := w.instances
	if starting {
		instances = max(instances, plannedInstances)
	}
	interval := float64(time.Second) * float64(instances) / meanRate(limit)
	next, found := w.admissions[b.Cookie]
	if !found || next.warmAt < now {
		next = admission{remaining: w.random.Float64(), updatedAt: now}
	}
	next.remaining -= float64(now-next.updatedAt) / interval
	next.updatedAt, next.warmAt = now, warmAt
	admitted := next.remaining <= 0
	if admitted {
		next.remaining = 1
	}
	w.admissions[b.Cookie] = next
	return admitted
}

// meanRate returns the mean number of flows a second, over all instances, that stays
// within a limit.
func meanRate(limit float64) float64 {
	// Solves m + burstDeviations * sqrt(m) = limit for the mean m.
	const half = burstDeviations / 2.0
	root := math.Sqrt(half*half+limit) - half
	return min(maxUtilisation*limit, root*root)
}

// remove removes a server.
func (w *warmupBudget) remove(cookie uint32) { delete(w.admissions, cookie) }

// prune removes the servers for which keep returns false.
func (w *warmupBudget) prune(keep func(cookie uint32) bool) {
	for cookie := range w.admissions {
		if !keep(cookie) {
			delete(w.admissions, cookie)
		}
	}
}
