package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimits guards against a service that counts as full before its slots are busy, or only
// after its servers shed, whatever the routes state.
func TestLimits(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	for _, c := range []struct {
		target, serviceTime time.Duration
		full                float64
	}{{0, 50 * ms, 4}, {400 * ms, 0, 4}, {400 * ms, 50 * ms, 4}, {100 * ms, 50 * ms, 2}, {10 * ms, 50 * ms, 1.5}, {-1, -1, 4}} {
		is.Equal(LimitsFor(c.target, c.serviceTime), Limits{Busy: c.full / 2, Full: c.full})
	}
}

// TestState guards against a decision by a load that is unknown, old or absurd.
func TestState(t *testing.T) {
	is := is.New(t)
	old, limit := known(9), known(9)
	old.Age, limit.Age = maxRoomAge+1, maxRoomAge
	for r, want := range map[Room]State{
		known(1.9): Available, known(2): Busy, known(4): Full, known(math.Inf(1)): Full, noServer: Full, limit: Full,
		unknownRoom: Unknown, old: Unknown, known(-1): Unknown, known(math.NaN()): Unknown, {}: Unknown,
	} {
		is.Equal(r.State(LimitsFor(0, 0)), want)
	}
}

// TestWithPlaced guards against a load that falls below what was reported, and against
// placements that make an unknown service known.
func TestWithPlaced(t *testing.T) {
	is := is.New(t)
	r := known(1)
	is.Equal(r.WithPlaced(20, time.Second).Load, 2.0) // the service time is not known
	r.ServiceTime = 500 * time.Millisecond
	is.Equal(r.WithPlaced(60, time.Second).Load, 2.0)
	is.Equal(r.WithPlaced(20, time.Second), r)
	is.Equal(unknownRoom.WithPlaced(60, 0), unknownRoom)
	is.Equal(noServer.WithPlaced(60, 0), noServer)
}
