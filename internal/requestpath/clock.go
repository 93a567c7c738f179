package requestpath

import "time"

// clock tells the time that all decisions use. It starts from the wall clock and
// goes on by the monotonic one, so that a step of the wall clock prolongs no lease.
type clock struct{ base time.Time }

func newClock() clock { return clock{base: time.Now()} }

// now returns nanoseconds of Unix time.
func (c clock) now() int64 { return c.base.UnixNano() + int64(time.Since(c.base)) }

// time returns the local time of an instant in nanoseconds of Unix time, for
// contexts and timers.
func (c clock) time(ns int64) time.Time { return c.base.Add(time.Duration(ns - c.base.UnixNano())) }

// step returns how far the wall clock has been set since the start.
func (c clock) step() time.Duration {
	return time.Duration(time.Now().Round(0).UnixNano() - c.now()).Abs()
}
