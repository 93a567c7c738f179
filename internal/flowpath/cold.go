package flowpath

import (
	"time"

	"balsamfork/internal/catalogue"
)

// WarmupLimits bounds what a cold server may get in a second, over all instances:
// its stated rate times Factor, plus Slack in requests.
type WarmupLimits struct {
	Factor, Slack float64
}

// defaultInstances is how many instances are assumed before any peer is known. It
// is the size of the larger deployment of today with its spare instances.
const defaultInstances = 24

// usedShare is the part of a limit that is given out. The rest covers instances
// that this one does not know yet, and copies of opening packets.
const usedShare = 0.6

// coldBudget gives this instance its share of the limits of cold servers. The
// shares of all instances add up to the limit in any span of a second: an instance
// admits one flow, and the next only after a whole span of its share.
type coldBudget struct {
	limits    WarmupLimits
	instances int
	next      map[uint32]int64
}

func newColdBudget(limits WarmupLimits) *coldBudget {
	return &coldBudget{limits: limits, instances: defaultInstances, next: map[uint32]int64{}}
}

// admit takes one flow of the share, and reports false if there is none now.
func (c *coldBudget) admit(b *catalogue.Backend, now int64) bool {
	if now < c.next[b.Cookie] {
		return false
	}
	limit := b.WarmupRate*c.limits.Factor + c.limits.Slack
	if limit <= 0 {
		return false
	}
	share := usedShare * limit / float64(c.instances)
	c.next[b.Cookie] = now + int64(float64(time.Second)/share)
	return true
}

// forget drops the servers that keep reports false for.
func (c *coldBudget) forget(keep func(cookie uint32) bool) {
	for cookie := range c.next {
		if !keep(cookie) {
			delete(c.next, cookie)
		}
	}
}
