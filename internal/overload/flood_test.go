package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// usedAtLeast is the part of the capacity that must be used while more is asked for.
const usedAtLeast = 0.8

// flooded returns a loop in which the second kind has just risen to six times a usual rate,
// with a capacity of 400 flows a second and an urgent kind of 100.
func flooded(usual float64) *loop {
	l := newLoop(20, kind{rank: 1, rate: 100}, kind{rank: 2, rate: usual})
	l.run(10 * time.Second)
	l.kinds[1].rate *= 6
	return l
}

func mean(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += load
	}
	return sum / float64(len(loads))
}

// checkServed checks that a loop serves what it can for some time, and refuses no urgent flow.
func checkServed(is *is.I, l *loop, d time.Duration) {
	is.Helper()
	used := l.run(d)
	is.True(used >= usedAtLeast)
	is.True(mean(l.loads) <= l.limits.Full)
	is.Equal(l.kinds[0].refused, 0) // urgent flows
	is.True(l.kinds[1].refused > 0)
}

// TestFlood is the load of a low priority at six times its usual rate beside an unchanged
// urgent one. It guards against refused urgent flows, an overload that lasts, unused servers,
// and a limit that outlives the flood.
func TestFlood(t *testing.T) {
	is := is.New(t)
	for _, withPlaced := range []bool{false, true} {
		for _, usual := range []float64{100, 150, 200, 290} {
			l := flooded(usual)
			l.withPlaced = withPlaced
			is.Equal(l.kinds[1].refused, 0) // before the flood
			l.run(8 * time.Second)
			is.Equal(l.kinds[0].refused, 0)
			checkServed(is, l, 30*time.Second)

			l.kinds[1].rate = usual
			// The sums and the queues are out of date for 2 s. The rises may take longer than
			// adaptInterval until settlePeriod is over.
			steps := math.Ceil((1 - floorPart) / riseStep)
			l.run(2*time.Second + settlePeriod + time.Duration(steps*float64(adaptInterval)))
			is.Equal(l.admission.Level(), 1.0)
		}
	}
}

// TestEvacuatedInABurst is the failure of a data centre that is evacuated at the height of a
// burst. It guards against refused urgent flows while half of the servers can serve them, and
// against refusals where none is left and other data centres decide.
func TestEvacuatedInABurst(t *testing.T) {
	is := is.New(t)
	l := flooded(150)
	l.run(4 * time.Second)
	l.slots /= 2
	checkServed(is, l, 20*time.Second)
	l.report = func(r Room) Room { r.Slots = 0; return r }
	l.run(6 * time.Second)
	l.run(5 * time.Second)
	is.Equal(l.kinds[1].refused, 0)
}

// TestPrioritiesChangedHalfway is the failure of priorities that the operator changes during a
// flood. It guards against limits that stay with the ranks of before.
func TestPrioritiesChangedHalfway(t *testing.T) {
	is := is.New(t)
	l := flooded(150)
	l.run(6 * time.Second)
	l.kinds[1].rank = 3
	checkServed(is, l, 20*time.Second)
	l.kinds[1].rank = 2
	checkServed(is, l, 20*time.Second)
	l.kinds[0].rank, l.kinds[1].rank = 2, 1 // the flood has become the urgent kind
	l.run(10 * time.Second)
	l.run(20 * time.Second)
	is.True(l.kinds[0].refused > l.kinds[1].refused*l.kinds[0].asked/l.kinds[1].asked)
	is.True(mean(l.loads) <= l.limits.Full)
}

// TestReportThatLies is the failure of a report that lies in either direction. It guards
// against a full refusal, one that outlives the report, and one without a reason.
func TestReportThatLies(t *testing.T) {
	is := is.New(t)
	l := newLoop(20, kind{rank: 1, rate: 100}, kind{rank: 2, rate: 100})
	l.report = func(r Room) Room { r.Load = 9; return r }
	l.run(15 * time.Second)
	l.run(60 * time.Second)
	for _, k := range l.kinds {
		is.True(float64(k.asked-k.refused) >= 0.9*floorPart*60*k.rate)
	}
	l.report = func(Room) Room { return Room{} }
	l.run(6 * time.Second)
	l.run(time.Second)
	is.Equal(l.kinds[0].refused+l.kinds[1].refused, 0)

	l = flooded(150)
	l.report = func(r Room) Room { r.Load = 0; return r }
	l.run(10 * time.Second)
	is.Equal(l.kinds[0].refused+l.kinds[1].refused, 0)
}
