package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

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
		is.Equal(a.Level(), cutFactor)
	}
	r.Age = maxRoomAge + 1
	a.Update(r, l, 6*sec)
	is.True(math.Abs(a.Level()-cutFactor-riseStep) < 1e-9)
}
