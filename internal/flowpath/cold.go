package flowpath

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamfork/internal/catalogue"
)

// WarmupLimits bounds what a cold server may get in a second, over all instances:
// its stated rate in requests a second times Factor, plus Slack in requests.
type WarmupLimits struct {
	Factor, Slack float64
}

const (
	// plannedInstances is how many instances are assumed while an instance is young and
	// may know few of the others: the planned size, docs/CAPACITY.md.
	plannedInstances = 415
	// youngFor is how long that is: most instances of a fleet that starts together
	// know one another after some 1 s.
	youngFor = 2 * time.Second
	// usedShare is the part of a limit that is given out. The rest covers instances
	// that this one does not know yet, and copies of opening packets.
	usedShare = 0.6
	// deviations is how far the flows of a second may exceed their mean, in standard
	// deviations: many instances with a small share each act at random times.
	deviations = 4
)

// coldBudget gives this instance its share of the limits of cold servers. The shares
// of all instances stay within the limit in any second: an instance admits one
// flow, and the next only after a whole span of its share. The first of a server
// waits for a random part of that, or all instances would send one at once.
type coldBudget struct {
	limits    WarmupLimits
	instances int
	random    *rand.Rand
	shares    map[uint32]coldShare
}

// coldShare says when the next flow may go to a server: once the part of a span that
// was left at a time has passed. Spans change with the number of instances.
type coldShare struct {
	left float64
	at   int64
}

func newColdBudget(limits WarmupLimits, random *rand.Rand) *coldBudget {
	return &coldBudget{limits: limits, instances: plannedInstances, random: random, shares: map[uint32]coldShare{}}
}

// admit takes one flow of the share, and reports false if there is none now. A young
// instance may know only some of the others.
func (c *coldBudget) admit(b *catalogue.Backend, young bool, now int64) bool {
	limit := b.WarmupRate*c.limits.Factor + c.limits.Slack
	if limit <= 0 {
		return false
	}
	instances := c.instances
	if young {
		instances = max(instances, plannedInstances)
	}
	span := float64(time.Second) * float64(instances) / given(limit)
	share, found := c.shares[b.Cookie]
	if !found {
		share = coldShare{left: c.random.Float64(), at: now}
	}
	share.left -= float64(now-share.at) / span
	share.at = now
	admitted := share.left <= 0
	if admitted {
		share.left = 1
	}
	c.shares[b.Cookie] = share
	return admitted
}

// given returns the mean number of flows a second, over all instances, that stays
// within a limit.
func given(limit float64) float64 {
	// The mean m with m + deviations * sqrt(m) = limit.
	const half = deviations / 2.0
	root := math.Sqrt(half*half+limit) - half
	return min(usedShare*limit, root*root)
}

// forget drops the servers that keep reports false for.
func (c *coldBudget) forget(keep func(cookie uint32) bool) {
	for cookie := range c.shares {
		if !keep(cookie) {
			delete(c.shares, cookie)
		}
	}
}
