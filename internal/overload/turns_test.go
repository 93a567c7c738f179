package overload

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestEveryCallerGetsItsTurns guards against callers that a constant admitted part starves,
// against a refusal that becomes an admission within its second, and against a part of the
// callers far from the admitted one.
func TestEveryCallerGetsItsTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		part := rapid.Float64Range(floorPart, 1).Draw(t, "part")
		first := rapid.Int64Range(0, 1<<32).Draw(t, "turn")
		caller := rapid.Uint64().Draw(t, "caller")
		w := windowFor(part)
		cut := w.narrowed(max(part*cutFactor, floorPart))
		bound := int64(math.Ceil(1/part)) + 1
		missed, admitted := int64(0), 0
		const turns = 2000
		for turn := first; turn < first+turns; turn++ {
			missed++
			is.True(!cut.admits(caller, turn) || w.admits(caller, turn)) // refused, so refused again
			if w.admits(caller, turn) {
				missed = 0
				admitted++
			}
			is.True(missed < bound)
		}
		is.True(math.Abs(float64(admitted)/turns-part) < 0.03) // no caller is preferred for good
	})
}
