package requestpath

import "time"

// clock is the time source of all decisions. It reads the wall clock once and then
// advances by the monotonic clock, so that a step of the wall clock extends no lease.
type clock struct{ base time.Time }

func newClock() clock { return clock{base: time.Now()} }

// now returns nanoseconds of Unix time.
func (c clock) now() int64 { return c.base.UnixNano() + int64(time.Since(c.base)) }

// time converts nanoseconds of Unix time to a time.Time with a monotonic reading,
// for contexts and timers.
func (c clock) time(ns int64) time.Time { return c.base.Add(time.Duration(ns - c.base.UnixNano())) }

// step returns the absolute difference by which the wall clock has been stepped
// since the start.
func (c clock) step() time.Duration {
	return time.Duration(time.Now().Round(0).UnixNano() - c.now()).Abs()
}
