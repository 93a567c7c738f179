package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// firstCut is the admitted part of a single priority after the first cut at a load of 9.
const firstCut = 4.0 / 9

// TestOrder guards against an urgent priority that is limited while a lower one could be,
// against parts outside their bounds, and against a priority that reserves something after
// it has stopped asking, whatever the loads are and whichever priorities come and go.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var a Admission
		asked := map[int]int64{}
		now := int64(0)
		for range 200 {
			now += rapid.SampledFrom([]int64{250 * ms, 500 * ms, 3 * sec, 6 * sec}).Draw(t, "pause")
			for rank := range 4 {
				if rapid.Bool().Draw(t, "asks") {
					a.Admit(rank, 1, now)
					asked[rank] = now
				}
			}
			r := known(rapid.SampledFrom([]float64{0, 3, 5, 5, 5, 5}).Draw(t, "load"))
			r.Known = rapid.IntRange(0, 9).Draw(t, "known") > 0
			a.Update(r, LimitsFor(0, 0), now)
			limited := false // a higher priority that asks is
			level := 1.0
			for _, p := range a.priorities[:a.count] {
				is.True(p.part >= floorPart && p.part <= 1)
				if at, ok := asked[p.rank]; ok && now-at <= 5*sec {
					is.True(!limited || p.part == floorPart)
					limited = limited || p.part < 1
					level = p.part
				}
			}
			is.Equal(a.Level(), level)
		}
	})
}

// TestManyPriorities guards against a state that grows with the priorities, and against an
// urgent priority that gets the limit of a lower one when there are too many.
func TestManyPriorities(t *testing.T) {
	is := is.New(t)
	var a Admission
	for rank := 100; rank > 0; rank-- {
		is.True(a.Admit(rank, 1, 0))
	}
	is.Equal(a.count, maxPriorities)
	is.True(a.Admit(3, 1, 6*sec)) // the others no longer ask and make room
	is.Equal(a.count, maxPriorities)
	is.Equal(a.find(3, 6*sec).rank, 3)
}

// TestAdmitDoesNotAllocate guards the packet path.
func TestAdmitDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var a Admission
	now := int64(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += 100 * ms
		a.Admit(int(now/ms/100%12), uint64(now), now)
	}), 0.0)
}

// TestOneSumCountsOnce guards against a report that stands still, as of a frozen sender,
// and cuts the admitted part again and again. After 5 s it no longer counts.
func TestOneSumCountsOnce(t *testing.T) {
	is := is.New(t)
	var a Admission
	r, l := known(9), LimitsFor(0, 0)
	for now := int64(0); now <= 5*sec; now += 250 * ms {
		a.Admit(2, 1, now)
		r.Age = time.Duration(now)
		a.Update(r, l, now)
		is.Equal(a.Level(), firstCut)
	}
	r.Age = maxRoomAge + 1
	a.Update(r, l, 6*sec)
	is.True(math.Abs(a.Level()-firstCut-riseStep) < 1e-9)
}

// TestRiseShowsItsEffect guards against several rises before a sum shows the first one, which
// fill the service again, and against a slow return after the overload is over.
func TestRiseShowsItsEffect(t *testing.T) {
	is := is.New(t)
	var a Admission
	update := func(load float64, sumAt, now int64) float64 {
		a.Admit(2, 1, now)
		r := known(load)
		r.Age = time.Duration(now - sumAt)
		a.Update(r, LimitsFor(0, 0), now)
		return math.Round(a.Level() * 100)
	}
	is.Equal(update(5, 9*sec, 10*sec), 70.0)
	is.Equal(update(5, 10100*ms, 10400*ms), 70.0)   // too early
	is.Equal(update(1.5, 9900*ms, 10500*ms), 70.0)  // from before the cut
	is.Equal(update(1.5, 10*sec, 10750*ms), 80.0)   // in force from 11 s on
	is.Equal(update(1.5, 10900*ms, 11500*ms), 80.0) // from before the rise
	is.Equal(update(1.5, 11*sec, 11750*ms), 90.0)
	is.Equal(update(1.5, 11800*ms, 15001*ms), 100.0) // settlePeriod is over
}

// TestFreeServiceAdmitsSoon guards against refusals that go on for seconds while slots are
// free.
func TestFreeServiceAdmitsSoon(t *testing.T) {
	is := is.New(t)
	var a Admission
	for now := int64(0); now < 4*sec; now += 500 * ms {
		a.Admit(2, 1, now)
		a.Update(known(9), LimitsFor(0, 0), now)
	}
	is.Equal(a.Level(), floorPart)
	for now := 4 * sec; now < 6*sec; now += 500 * ms {
		a.Admit(2, 1, now)
		a.Update(known(0.3), LimitsFor(0, 0), now)
	}
	is.Equal(a.Level(), 1.0)
}

// TestFewUrgentFlowsAreNotLimited guards against refused urgent flows while the lower priority
// at its floor has most of the flows, since then the load is that of its open flows. A
// priority that itself floods is limited although a lower one asks now and then.
func TestFewUrgentFlowsAreNotLimited(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		urgent, others int
		limited        bool
	}{{1, 20, false}, {3, 1, false}, {20, 1, true}} {
		var a Admission
		for now := int64(0); now < 20*sec; now += 500 * ms {
			for range c.urgent {
				a.Admit(1, 1, now)
			}
			for range c.others {
				a.Admit(2, 1, now)
			}
			a.Update(known(9), LimitsFor(0, 0), now)
		}
		is.Equal(a.priorities[1].part, floorPart)
		is.Equal(a.priorities[0].part < 1, c.limited)
	}
}

// TestPriorityComesAndGoes guards against a new low priority that lifts the limit of a higher
// one, and against one that has gone and keeps a lower one from rising.
func TestPriorityComesAndGoes(t *testing.T) {
	is := is.New(t)
	var a Admission
	a.Admit(2, 1, 0)
	a.Update(known(9), LimitsFor(0, 0), 0)
	a.Admit(3, 1, 0)
	is.Equal(a.Level(), floorPart)
	is.Equal(a.priorities[0].part, firstCut)
	a.Admit(3, 1, 2*sec) // the higher one no longer does
	a.Update(known(0), LimitsFor(0, 0), 2*sec)
	is.True(a.Level() > floorPart)
}

// TestSilentPriorityReservesNothing guards against an overload that lasts while the parts of
// priorities are cut that no longer ask.
func TestSilentPriorityReservesNothing(t *testing.T) {
	is := is.New(t)
	var a Admission
	a.Admit(3, 1, 0)
	a.Admit(2, 1, 6*sec)
	a.Update(known(9), LimitsFor(0, 0), 6*sec)
	is.Equal(a.Level(), firstCut)
}

// TestReturnOfALowerPriority guards against the flows of a lower priority from long ago, which
// kept the higher one from being limited when both began to ask again.
func TestReturnOfALowerPriority(t *testing.T) {
	is := is.New(t)
	var a Admission
	for range 10_000 {
		a.Admit(2, 1, 0)
	}
	now := 60 * sec
	a.Admit(1, 1, now)
	a.Admit(2, 1, now)
	is.Equal(a.find(2, now).asked, 1.0)
}
