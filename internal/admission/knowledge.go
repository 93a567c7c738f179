package admission

import (
	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/pair"
)

// knowledge says for which backend servers an instance knows of all promises that
// may still matter: it has been one of their pair for as long as a promise and the
// requests admitted under it may last. Of both who grant, one must know; the other
// may have started, or come into the pair, a moment ago.
type knowledge struct {
	self fleet.ID
	// after is how long an instance must have been of a pair, in nanoseconds.
	after int64
	// heard is since when every instance of the data centre that counts has been
	// in contact with this one, in nanoseconds; zero is not yet.
	heard int64
	// since is when this instance came into the pair of each shard of its data
	// centre; zero is not in it.
	since [shards]int64
	// own is the backend servers of the data centre, foreign since when others
	// were asked for.
	own     map[config.Number]bool
	rows    []Server
	foreign map[config.Number]int64
}

func newKnowledge(self fleet.ID, t Timing) *knowledge {
	return &knowledge{
		self:    self,
		after:   int64(t.Settle + t.Hold + t.MaxRun + 2*t.Margin),
		own:     make(map[config.Number]bool),
		foreign: make(map[config.Number]int64),
	}
}

func (k *knowledge) setRows(rows []Server) { k.rows = rows }

// update takes in a new table of instances.
func (k *knowledge) update(now int64, members *pair.Table) {
	dc := members.DataCentre(k.self)
	clear(k.own)
	for _, row := range k.rows {
		if row.DataCentre == dc {
			k.own[row.Number] = true
		}
	}
	switch silent := len(members.Silent(dc, now)) > 0; {
	case silent && now < k.heard+k.after:
		k.heard = 0
	case !silent && k.heard == 0:
		k.heard = now
	}
	for shard := range k.since {
		p := members.Pair(shardName(shard), dc, "", now)
		switch in := p.Has(k.self); {
		case !in:
			k.since[shard] = 0
		case k.since[shard] == 0:
			k.since[shard] = now
		}
	}
}

// of reports whether the instance is of the pair of a backend server, and whether
// it knows of all promises about it.
func (k *knowledge) of(now int64, n config.Number) (in, sure bool) {
	since := k.since[n%shards]
	if !k.own[n] {
		// The backend server of a data centre without instances.
		if k.foreign[n] == 0 {
			k.foreign[n] = now
		}
		since = k.foreign[n]
	}
	if since == 0 {
		return false, false
	}
	return true, k.heard != 0 && now >= max(since, k.heard)+k.after
}
