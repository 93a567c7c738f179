package admission

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
)

// grantCoverage tracks for which backend servers an instance knows all grants that may
// still be in effect: it has been a member of their pair for as long as a grant and the
// requests admitted under it can last. One of the two members that grant a lease must
// know; the other may just have started, or just have joined the pair.
type grantCoverage struct {
	self fleet.ID
	// minMembership is how long an instance must have been a member of a pair, in
	// nanoseconds.
	minMembership int64
	// contactSince is since when this instance has been in contact with every instance
	// of the data centre that counts as a member, in nanoseconds; zero is not yet.
	contactSince int64
	// memberSince is when this instance joined the pair of each shard of its data
	// centre, in nanoseconds; zero is not a member.
	memberSince [shards]int64
	// local holds the backend servers of the data centre, foreignSince when grants of
	// others were first requested, in nanoseconds.
	local        map[config.Number]bool
	rows         []Server
	foreignSince map[config.Number]int64
}

func newGrantCoverage(self fleet.ID, t Timing) *grantCoverage {
	return &grantCoverage{
		self:          self,
		minMembership: int64(t.Settle + t.GrantDuration + t.MaxRun + 2*t.Margin),
		local:         make(map[config.Number]bool),
		foreignSince:  make(map[config.Number]int64),
	}
}

func (k *grantCoverage) setRows(rows []Server) { k.rows = rows }

// update recomputes contact and memberships from a new table of instances.
func (k *grantCoverage) update(now int64, members *pair.Table) {
	dc := members.DataCentre(k.self)
	clear(k.local)
	for _, row := range k.rows {
		if row.DataCentre == dc {
			k.local[row.Number] = true
		}
	}
	switch silent := len(members.UnreachableCounted(dc, now)) > 0; {
	case silent && now < k.contactSince+k.minMembership:
		k.contactSince = 0
	case !silent && k.contactSince == 0:
		k.contactSince = now
	}
	for shard := range k.memberSince {
		p := members.Pair(shardKey(shard), dc, "", now)
		switch in := p.Has(k.self); {
		case !in:
			k.memberSince[shard] = 0
		case k.memberSince[shard] == 0:
			k.memberSince[shard] = now
		}
	}
}

// covers reports whether the instance is a member of the pair of a backend server, and
// whether it knows all earlier grants of it.
func (k *grantCoverage) covers(now int64, n config.Number) (member, complete bool) {
	memberSince := k.memberSince[n%shards]
	if !k.local[n] {
		// A backend server in a data centre without instances.
		if k.foreignSince[n] == 0 {
			k.foreignSince[n] = now
		}
		memberSince = k.foreignSince[n]
	}
	if memberSince == 0 {
		return false, false
	}
	return true, k.contactSince != 0 && now >= max(memberSince, k.contactSince)+k.minMembership
}
