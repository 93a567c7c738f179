package overload

import (
	"math"
	"time"

	"balsamfork/internal/table"
)

// turnDuration is the time after which other callers are admitted.
const turnDuration = time.Second

// window is the part of the callers' hashes that is admitted in a turn. It advances with each
// turn by a little less than its width, so that each caller gets a turn. The advance depends
// only on the number of turns that a round takes, so instances whose admitted parts differ
// slightly admit nearly the same callers.
type window struct {
	part        float64
	width, step uint64 // in parts of 1<<64; not used if part is 1
}

// windowFor returns the window of an admitted part from floorPart to 1. With m as ceil(1/part),
// the step is at most 1/m, so consecutive windows leave no gap, and m+1 of them cover all
// hashes. The step is less than 1/m by 1/32, which floorPart makes up for, so that later
// rounds have other borders and no caller is preferred for good.
func windowFor(part float64) window {
	w := window{part: part}
	if part < 1 {
		w.width = uint64(part * (1 << 64))
		w.step = math.MaxUint64 / uint64(math.Ceil(1/part)) / 32 * 31
	}
	return w
}

// narrowed returns the window with at most the given part, which is below 1, of the callers.
// It admits no caller that the window does not admit.
func (w window) narrowed(part float64) window {
	if w.part >= 1 {
		return windowFor(part)
	}
	w.part = min(w.part, part)
	w.width = min(w.width, uint64(w.part*(1<<64)))
	return w
}

// admits reports whether the window of a turn has a caller.
func (w window) admits(caller uint64, turn int64) bool {
	return w.part >= 1 || table.Mix(caller)+uint64(turn)*w.step < w.width
}
