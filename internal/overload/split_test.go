package overload

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/table"
)

func known(load float64) Room { return Room{Load: load, Slots: 20, Known: true} }

var noServer, unknownRoom = Room{Known: true}, Room{Slots: 20}

// roomsOf returns a callback that knows the rooms of services a, b and c, with Busy at 2.
func roomsOf(rooms ...Room) func(string) (Room, Limits) {
	return func(service string) (Room, Limits) {
		return rooms[service[0]-'a'], LimitsFor(0, 0)
	}
}

func split(weights ...int) []catalogue.Share {
	var shares []catalogue.Share
	for i, w := range weights {
		shares = append(shares, catalogue.Share{Service: string(rune('a' + i)), Weight: w})
	}
	return shares
}

// byWeight is the choice of a deployment without overload control.
func byWeight(shares []catalogue.Share, hash uint64) string {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	at := int(hash % uint64(total))
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// TestWeightsDecideWhileThereIsRoom guards against another choice than before where no
// service is full, and against flows at a service that has no weight or is not in the route.
func TestWeightsDecideWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		shares := split(rapid.SliceOfN(rapid.IntRange(0, 100), 1, 3).Draw(t, "weights")...)
		room := rapid.Custom(func(t *rapid.T) Room {
			return Room{
				Load:  rapid.SampledFrom([]float64{0, 0.5, 1.9, 2, 3.9, 4, 9, -1, math.NaN(), math.Inf(1)}).Draw(t, "load"),
				Slots: rapid.IntRange(0, 2).Draw(t, "slots"),
				Known: rapid.Bool().Draw(t, "known"),
				Age:   time.Duration(rapid.IntRange(0, 6).Draw(t, "age")) * time.Second,
			}
		})
		rooms := roomsOf(room.Draw(t, "a"), room.Draw(t, "b"), room.Draw(t, "c"))
		hash := rapid.Uint64().Draw(t, "hash")
		got := SelectService(shares, hash, rooms)
		total := 0
		for _, s := range shares {
			total += s.Weight
		}
		if total == 0 {
			is.Equal(got, Selection{})
			return
		}
		weighted := byWeight(shares, hash)
		from := ""
		if got.Service != weighted {
			from = weighted
		}
		is.Equal(got.OverflowFrom, from)
		is.True(slices.ContainsFunc(shares, func(s catalogue.Share) bool { return s.Service == got.Service && s.Weight > 0 }))
		r, l := rooms(weighted)
		if r.Slots > 0 && r.State(l) != Full {
			is.Equal(got, Selection{Service: weighted})
		}
		if o, l := rooms(got.Service); got.OverflowFrom != "" {
			is.True(o.Slots > 0 && o.State(l) != Full && o.State(l) != Busy)
		}
	})
}

// parts returns which part of the flows that the weights give to service a goes to the
// others, of 20,000 flows.
func parts(shares []catalogue.Share, room func(string) (Room, Limits)) map[string]float64 {
	count, taken := 0.0, map[string]float64{}
	for i := range uint64(20000) {
		hash := table.Mix(i)
		if byWeight(shares, hash) == "a" {
			count++
			taken[SelectService(shares, hash, room).Service]++
		}
	}
	for service := range taken {
		taken[service] /= count
	}
	return taken
}

// TestOverflow guards against flows that are shed by a full service while another one has
// room, and against an overflow that fills the other service.
func TestOverflow(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		a, b, c Room
		toB     float64
	}{
		{known(4), known(0), noServer, 1},
		{known(4), known(0.5), noServer, 0.75},
		{known(4), known(1.5), noServer, 0.25},
		{known(4), known(2), noServer, 0},                                                   // b is Busy
		{known(4), known(4), noServer, 0},                                                   // both are full
		{known(3.9), known(0), noServer, 0},                                                 // a is not full
		{known(4), unknownRoom, noServer, 0},                                                // an unknown service takes no overflow
		{unknownRoom, known(0), noServer, 0},                                                // an unknown service is not full
		{noServer, known(0.5), noServer, 0.75},                                              // a has no usable server
		{Room{}, known(0.5), noServer, 0.75},                                                // the same, as the catalogue alone tells
		{noServer, unknownRoom, noServer, 1},                                                // nothing is known of the only one with servers
		{noServer, known(1.5), unknownRoom, 0.25},                                           // what is known goes first
		{known(4), known(1), known(0), 0.5 * 0.25},                                          // by weight, 1 to 3, and by room
		{known(4), known(1), known(3), 0.5},                                                 // c is Busy
		{noServer, noServer, noServer, 0},                                                   // nowhere to go
		{Room{Load: 9, Slots: 1, Known: true, Age: 6 * time.Second}, known(0), noServer, 0}, // too old
	} {
		taken := parts(split(10, 10, 30), roomsOf(c.a, c.b, c.c))
		is.True(math.Abs(taken["b"]-c.toB) < 0.02) // overflow to b
	}
}

// TestOverflowIsDrawnApart guards against an overflow that takes flows by the bits that
// choose by weight, or by those that choose the flows that spill: some flows would then
// always overflow, and others never.
func TestOverflowIsDrawnApart(t *testing.T) {
	is := is.New(t)
	shares, rooms := split(90, 10), roomsOf(known(4), known(1))
	var count, moved [2][3]float64
	for i := range uint64(60000) {
		hash := table.Mix(i)
		if at := hash % 100; at < 90 {
			for kind, group := range [2]uint64{at / 30, table.Mix(hash) >> 32 * 3 >> 32} {
				count[kind][group]++
				if SelectService(shares, hash, rooms).OverflowFrom != "" {
					moved[kind][group]++
				}
			}
		}
	}
	for kind := range count {
		for group := range count[kind] {
			is.True(math.Abs(moved[kind][group]/count[kind][group]-0.5) < 0.02)
		}
	}
}

// TestWeightsChangedHalfway guards against flows that go by the weights of before, and
// against an overflow to a service that the operator has just taken out of the route.
func TestWeightsChangedHalfway(t *testing.T) {
	is := is.New(t)
	rooms := roomsOf(known(4), known(0), known(0))
	is.Equal(parts(split(50, 0, 50), rooms), map[string]float64{"c": 1}) // b has weight 0
	is.Equal(parts(split(50, 50), rooms), map[string]float64{"b": 1})    // c left the route
	is.Equal(parts(split(100, 0), rooms), map[string]float64{"a": 1})    // nowhere to go
}

// TestSelectServiceDoesNotAllocate guards the packet path.
func TestSelectServiceDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	shares := split(50, 20, 30)
	rooms := roomsOf(known(4), known(1), unknownRoom)
	hash := uint64(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		hash++
		_ = SelectService(shares, table.Mix(hash), rooms)
	}), 0.0)
}

// splitLoop runs two services with a capacity of 400 flows a second each behind a route for
// 40 s, with sums 0.5 to 1 s old and the placements since, and returns which part of the flows
// is shed, and the mean load of the second service.
func splitLoop(shares []catalogue.Share, rate float64, byRoom bool) (shed, load float64) {
	const slots, steps = 20, 800
	var queues, placed [2]int
	sums, next := make([]Room, 3), make([]Room, 3)
	flow, due, at := uint64(0), 0.0, 0
	for step := range steps {
		for due += rate * float64(loopStep) / float64(sec); due >= 1; due-- {
			flow++
			since := time.Duration(step-at) * time.Duration(loopStep)
			s := SelectService(shares, table.Mix(flow), func(service string) (Room, Limits) {
				if !byRoom {
					return known(0), LimitsFor(0, 0)
				}
				s := service[0] - 'a'
				return sums[s].WithPlaced(float64(placed[s]), since), LimitsFor(0, 0)
			}).Service[0] - 'a'
			placed[s]++
			if queues[s] == slots*(1+queuePerSlot) {
				shed++
			} else {
				queues[s]++
			}
		}
		load += float64(queues[1]) / slots / steps
		if step%int(sumInterval/loopStep) == 0 {
			copy(sums, next)
			placed, at = [2]int{}, step
			for s := range queues {
				next[s] = known(float64(queues[s]) / slots)
				next[s].ServiceTime = time.Duration(loopStep)
			}
		}
		for s := range queues {
			queues[s] -= min(queues[s], slots)
		}
	}
	return shed / float64(flow), load
}

// TestSplitWithOneServiceFull is the load of a service that is full while another one of its
// route has room, and of both full. It guards against flows that are shed in the first case,
// and against an overflow that fills the other service or adds to what both shed.
func TestSplitWithOneServiceFull(t *testing.T) {
	is := is.New(t)
	before, _ := splitLoop(split(90, 10), 500, false)
	shed, load := splitLoop(split(90, 10), 500, true)
	is.True(shed <= before/10)
	is.True(load < LimitsFor(0, 0).Busy)

	before, _ = splitLoop(split(90, 10), 800, false) // all that both can serve
	shed, load = splitLoop(split(90, 10), 800, true)
	is.True(shed <= before/2)
	is.True(load < LimitsFor(0, 0).Busy)

	before, _ = splitLoop(split(50, 50), 1200, false) // both are full
	shed, _ = splitLoop(split(50, 50), 1200, true)
	is.True(shed <= before+0.01)
}

// TestHugeWeights guards against a division by zero, and against services that get no flow,
// where the sum of the weights overflows.
func TestHugeWeights(t *testing.T) {
	is := is.New(t)
	huge := split(1<<62, 1<<62, 1<<62, 1<<62)
	counts := map[string]int{}
	for i := range uint64(4000) {
		counts[SelectService(huge, table.Mix(i), roomsOf(unknownRoom, unknownRoom, unknownRoom, unknownRoom)).Service]++
		counts[SelectService(huge, table.Mix(i), roomsOf(known(9), known(0), known(0), known(0))).Service]++
	}
	for _, s := range huge {
		is.True(counts[s.Service] > 800)
	}
}
