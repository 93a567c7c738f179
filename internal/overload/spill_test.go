package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSpillHysteresis guards against flows that go to and fro between data centres with
// similar loads, and against a spill while slots are free here.
func TestSpillHysteresis(t *testing.T) {
	is := is.New(t)
	var s Spill
	for _, c := range []struct{ local, remote, share float64 }{
		{0.9, 0, 0},             // a slot is free here
		{1.4, 1, 0},             // the difference is below the margin
		{1.6, 1, 1 - 1.3/1.6},   // both at the mean
		{1.3, 1, 1 - 1.15/1.3},  // goes on with a smaller difference
		{1.2, 1, 0},             // ends
		{1.4, 1, 0},             // and does not start again with the same
		{3, 0.2, 1 - 1.6/3},     // starts again
		{1.5, 0.2, 1 - 1.0/1.5}, // no more than what brings the load to 1
		{1, 0.2, 0},
	} {
		got := s.Share(known(c.local), []Room{known(c.remote)})
		is.True(math.Abs(got-c.share) < 1e-9)
	}
}

// TestSpillWeighsBySlots guards against a small idle data centre that gets the flows of a
// large one.
func TestSpillWeighsBySlots(t *testing.T) {
	is := is.New(t)
	small, large := Room{Load: 0, Slots: 5, Known: true}, Room{Load: 4, Slots: 75, Known: true}
	var s Spill
	is.Equal(s.Share(known(4), []Room{small, large}), 0.0) // 3.75 is too near
	got := s.Share(known(4), []Room{small, {Load: 3, Slots: 15, Known: true}})
	is.True(math.Abs(got-(1-(0+45.0+80)/40/4)) < 1e-9)
}

// TestSpillWithoutSums guards against a spill by sums that are missing or old, as behind a
// cut link, and against data centres or a data centre of our own without usable servers.
func TestSpillWithoutSums(t *testing.T) {
	is := is.New(t)
	var s Spill
	old := known(0)
	old.Age = 5*time.Second + 1
	lying := known(math.NaN())
	for _, r := range []Room{old, noServer, unknownRoom, lying} {
		is.Equal(s.Share(known(4), []Room{r}), 0.0)
	}
	is.Equal(s.Share(known(4), nil), 0.0)
	is.Equal(s.Share(unknownRoom, []Room{known(0)}), 0.0)
	is.Equal(s.Share(noServer, []Room{known(0)}), 0.0)
	is.True(s.Share(known(4), []Room{known(0)}) > 0)
}

// TestRemoteSums guards against a sum that is used after a data centre is cut off, and
// against a reordered, late or absurd digest.
func TestRemoteSums(t *testing.T) {
	is := is.New(t)
	var r RemoteSums
	is.Equal(len(r.Rooms("a", 0)), 0)
	now := 100 * sec
	r.Record("y", "a", known(2), time.Second, now)
	r.Record("x", "a", known(1), 0, now)
	r.Record("y", "a", known(9), 2*time.Second, now) // older than what is recorded
	r.Record("z", "a", known(9), 6*time.Second, now)
	r.Record("z", "a", known(math.NaN()), 0, now)
	r.Record("z", "a", known(-1), 0, now)
	r.Record("z", "a", Room{Slots: -1}, 0, now)
	r.Record("x", "b", known(3), -time.Hour, now) // not from the future
	want := []Room{known(1), known(2)}
	want[1].Age = time.Second
	is.Equal(r.Rooms("a", now), want)
	is.Equal(len(r.Rooms("a", now+4*sec)), 2)
	is.Equal(len(r.Rooms("a", now+4*sec+1)), 1) // 5 s old
	is.Equal(len(r.Rooms("b", now+5*sec+1)), 0)
	r.Record("x", "c", known(1), 0, now+6*sec)
	is.Equal(len(r.services), 1) // services that are gone take no memory
}

// TestSumsOfUnknownDataCentres guards against memory that grows with each name of a data centre
// that a message brings.
func TestSumsOfUnknownDataCentres(t *testing.T) {
	is := is.New(t)
	var r RemoteSums
	for i := range 10_000 {
		r.Record(fmt.Sprint(i), "a", known(1), 0, int64(i)*int64(100*time.Millisecond))
	}
	is.True(len(r.services["a"]) <= 52) // those of the last 5 s
}
