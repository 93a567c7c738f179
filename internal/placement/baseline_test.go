package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/table"
)

// assign returns the backend server of a flow in a set.
type assign func(config.Set, uint64) config.Number

// baseline is a placement scheme that the Engine is compared with: a table over
// the current set, and records by one of three rules.
type baseline struct {
	assign assign
	// relayToOwner sends each packet to the owner of its flow, which records it.
	// Otherwise the instance that the fabric picked records flows itself: all, or
	// with onlyMoved only those that the next change would move.
	relayToOwner bool
	onlyMoved    bool
	next         config.Set

	self       fleet.ID
	view       *fleet.View
	config     *config.Config
	records    map[uint64]config.Number
	maxRecords int
}

func (b *baseline) SetConfig(_ int64, c *config.Config) {
	if b.config == nil || c.Version > b.config.Version {
		b.config = c
	}
}
func (b *baseline) SetView(_ int64, v *fleet.View)              { b.view = v }
func (b *baseline) SetAnnouncements(int64, []flow.Announcement) {}
func (b *baseline) forward(n config.Number) flow.Verdict {
	return flow.Verdict{Action: flow.Forward, Server: n}
}

func (b *baseline) Decide(_ int64, p *flow.Packet) flow.Verdict {
	p.Flow = table.NewHasher(b.config.HashKey).Flow(&p.Key)
	if owner := b.owner(p.Flow); b.relayToOwner && owner != b.self && p.Hops < 2 {
		return flow.Verdict{Action: flow.Relay, Peer: owner, As: flow.Steered}
	}
	if n, ok := b.records[p.Flow]; ok && !p.Flags.Has(flow.Syn) {
		if p.Flags.Has(flow.Fin) {
			delete(b.records, p.Flow)
		}
		return b.forward(n)
	}
	n := b.assign(b.config.Services[0].Current, p.Flow)
	if !b.onlyMoved || n != b.assign(b.next, p.Flow) {
		b.records[p.Flow] = n
		b.maxRecords = max(b.maxRecords, len(b.records))
	}
	return b.forward(n)
}

func (b *baseline) owner(hash uint64) fleet.ID {
	var best fleet.ID
	top := uint64(0)
	for _, i := range b.view.Instances {
		if s := table.Mix(xxh3.HashString(string(i.ID)) ^ hash); i.Usable() && s >= top {
			best, top = i.ID, s
		}
	}
	return best
}

func byRendezvous(s config.Set, hash uint64) config.Number {
	var best config.Number
	top := uint64(0)
	for _, m := range s {
		if score := table.Mix(hash ^ table.Mix(uint64(m.Number))); score >= top {
			best, top = m.Number, score
		}
	}
	return best
}

func byMaglev(cache *table.Cache) assign {
	return func(s config.Set, hash uint64) config.Number {
		return table.Assignment{Set: s, Table: cache.Get(s)}.Number(table.Bucket(hash))
	}
}

// runComparison runs a drain during which one instance joins and one crashes.
func runComparison(build func(fleet.ID) (decider, *Engine)) *model {
	s := testService(1, 1, 14)
	s.IdleLimit = 10 * time.Second
	m := newModel(1, 6, testConfig(s), build)
	m.run(2 * time.Second)
	for i := range 4000 {
		m.schedule(time.Duration(i)*40*time.Second/4000, func() { m.openFlow(0, 30*time.Second+m.randomDelay(30*time.Second)) })
	}
	m.schedule(10*time.Second, func() { m.applyChange(change{operation: drain, pick: 13}) })
	m.schedule(20*time.Second, func() { m.enter(6, 1) })
	m.schedule(30*time.Second, func() { m.applyChange(change{operation: crash, pick: 2}) })
	m.run(45 * time.Second)
	return m
}

func TestCompareAssignmentSchemes(t *testing.T) {
	is := is.New(t)
	cache := table.NewCache()
	s := testService(1, 1, 14)
	schemes := map[string]baseline{
		"rendezvous, local records":     {assign: byRendezvous},
		"Maglev, local records":         {assign: byMaglev(cache)},
		"Maglev, foreseen moves, local": {assign: byMaglev(cache), onlyMoved: true, next: s.Settled[:13]},
		"owner for every flow":          {assign: byMaglev(cache), relayToOwner: true},
	}
	for name, scheme := range schemes {
		var all []*baseline
		m := runComparison(func(id fleet.ID) (decider, *Engine) {
			b := scheme
			b.self, b.records = id, map[uint64]config.Number{}
			all = append(all, &b)
			return &b, nil
		})
		records := 0
		for _, b := range all {
			records = max(records, b.maxRecords)
		}
		t.Logf("%-32s broken %d of %d, records of an instance %d, relays a packet %.3f, bytes between instances 0",
			name, m.broken(excludeNone), len(m.clients), records, float64(m.relays)/float64(m.packets))
	}
	maxRecords := 0
	var engines []*Engine
	m := runComparison(func(id fleet.ID) (decider, *Engine) {
		e := New(Options{Self: id, Records: testLimits})
		engines = append(engines, e)
		return e, e
	})
	for _, e := range engines {
		maxRecords = max(maxRecords, e.records.Total())
	}
	t.Logf("%-32s broken %d of %d, records of an instance %d, relays a packet %.3f, bytes between instances %d",
		"settled buckets, owners", m.broken(excludeNone), len(m.clients), maxRecords, float64(m.relays)/float64(m.packets), m.bytes)
	is.Equal(m.broken(excludeNone), 0)
}

func BenchmarkNewMembership(b *testing.B) {
	for _, n := range []int{16, 205} {
		v := testView("i00", n, 1)
		b.Run(v.Instances[n-1].DataCentre+string(v.Instances[n-1].ID), func(b *testing.B) {
			for b.Loop() {
				newMembership(v, "i00", nil)
			}
		})
	}
}

// plannedConfig returns a configuration with 11 or 12 backend servers a
// service: for 290 services, about 3,300.
func plannedConfig(services int) *config.Config {
	c := testConfig()
	for i := range services {
		c.Services = append(c.Services, testService(i+1, 1+i*12, 11+i%3/2))
	}
	return c
}

func BenchmarkRebuild(b *testing.B) {
	for _, n := range []int{29, 290} {
		c := plannedConfig(n)
		b.Run("all", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newCompiler().compile(0, c, nil, nil)
			}
		})
		b.Run("one", func(b *testing.B) {
			b.ReportAllocs()
			k := newCompiler()
			p := k.compile(0, c, nil, nil)
			next := *c
			next.Services = append([]config.Service(nil), c.Services...)
			for i := 0; b.Loop(); i++ {
				s := &next.Services[i%n]
				s.Current = s.Settled[:len(s.Settled)-1]
				k.compile(0, &next, nil, p)
				s.Current = s.Settled
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	settled := testEngine(testConfig(testService(1, 1, 14)), 16)
	b.Run("settled", func(b *testing.B) {
		b.ReportAllocs()
		p := flow.Packet{Key: testKey(1, 1)}
		for b.Loop() {
			settled.Decide(second, &p)
		}
	})
	e := drainedEngine(testLimits, 0)
	k, _ := unsettledKey(e, 0)
	p := flow.Packet{Key: k, Flags: flow.Syn}
	e.Decide(second, &p)
	b.Run("recorded", func(b *testing.B) {
		b.ReportAllocs()
		p := flow.Packet{Key: k}
		for b.Loop() {
			e.Decide(second, &p)
		}
	})
}
