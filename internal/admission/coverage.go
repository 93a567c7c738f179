package admission

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
)

// grantCoverage tracks for which backend servers an instance knows all grants that may
// still be in effect: it has been a member of their pair for as long as a grant and the
// requests admitted under it can last. One of the two members that grant a lease must
// know them; the other may just have started, or just have joined the pair.
type grantCoverage struct {
	self fleet.ID
	// minMembership is how long an instance must have been a member of a pair, in
	// nanoseconds.
	minMembership int64
	// contactSince is since when this instance has been in contact with every instance
	// of the data centre that counts as a member, in nanoseconds; zero is not in
	// contact. Once it is minMembership ago, a loss of contact no longer clears it.
	contactSince int64
	// memberSince is when this instance joined the pair of each shard of its data
	// centre, in nanoseconds; zero is not a member.
	memberSince [shards]int64
	// local holds the backend servers of the data centre, rows those passed to
	// SetServers, foreign the memberships in pairs of other data centres' servers.
	local   map[config.Number]bool
	rows    []Server
	foreign map[config.Number]foreignMembership
}

// foreignMembership is the membership of an instance in the pair of a backend server
// whose data centre has no instances.
type foreignMembership struct {
	// since is when a grant of the server was first requested, in nanoseconds.
	since              int64
	dataCentre, region string
}

func newGrantCoverage(self fleet.ID, t Timing) *grantCoverage {
	return &grantCoverage{
		self:          self,
		minMembership: int64(t.Settle + t.GrantDuration + t.MaxRun + 2*t.Margin),
		local:         make(map[config.Number]bool),
		foreign:       make(map[config.Number]foreignMembership),
	}
}

func (c *grantCoverage) setRows(rows []Server) { c.rows = rows }

// update recomputes contact and memberships from a new table of instances.
func (c *grantCoverage) update(now int64, members *pair.Table) {
	dc := members.DataCentre(c.self)
	clear(c.local)
	for _, row := range c.rows {
		if row.DataCentre == dc {
			c.local[row.Number] = true
		}
	}
	switch silent := len(members.UnreachableCounted(dc, now)) > 0; {
	case silent && now < c.contactSince+c.minMembership:
		c.contactSince = 0
	case !silent && c.contactSince == 0:
		c.contactSince = now
	}
	for shard := range c.memberSince {
		p := members.Pair(shardKey(shard), dc, "", now)
		switch in := p.Has(c.self); {
		case !in:
			c.memberSince[shard] = 0
		case c.memberSince[shard] == 0:
			c.memberSince[shard] = now
		}
	}
	for n, f := range c.foreign {
		p := members.Pair(ServerKey(n), f.dataCentre, f.region, now)
		if !p.Has(c.self) {
			delete(c.foreign, n)
		}
	}
}

// addForeign records that the instance is a member of the pair of a backend server, if
// that is not one of its own data centre.
func (c *grantCoverage) addForeign(now int64, n config.Number, dataCentre, region string) {
	if _, known := c.foreign[n]; !known && !c.local[n] {
		c.foreign[n] = foreignMembership{since: now, dataCentre: dataCentre, region: region}
	}
}

// covers reports whether the instance is a member of the pair of a backend server, and
// whether it knows all earlier grants of it.
func (c *grantCoverage) covers(now int64, n config.Number) (member, complete bool) {
	memberSince := c.memberSince[n%shards]
	if !c.local[n] {
		memberSince = c.foreign[n].since
	}
	if memberSince == 0 {
		return false, false
	}
	return true, c.contactSince != 0 && now >= max(memberSince, c.contactSince)+c.minMembership
}
