// Package clock provides a monotonic clock that includes the time during which the
// machine was suspended. Go's monotonic clock excludes it, and the wall clock can be
// stepped. Reading CLOCK_BOOTTIME takes a system call, so it is read only after the
// wall clock has jumped.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// jumpThreshold is the change of the wall clock relative to the monotonic clock above
// which the boot time is read. Shorter suspensions affect no decision.
const jumpThreshold = 200 * time.Millisecond

// Sources are the underlying clocks, in nanoseconds.
type Sources struct {
	// Now returns the monotonic time and the wall time.
	Now func() (monotonic, wall int64)
	// Boot returns the time since boot, including suspensions.
	Boot func() (int64, error)
}

// Clock is a monotonic clock that includes suspensions. It is safe for concurrent
// use.
type Clock struct {
	sources Sources
	// boot and monotonic are the times that the sources returned at the start.
	boot      int64
	monotonic int64
	// wallOffset is the wall time minus the monotonic time at the start or at
	// the last jump, and suspended the total time that the machine was suspended,
	// both in nanoseconds.
	wallOffset atomic.Int64
	suspended  atomic.Int64
}

// New returns a clock that starts at 1 ns.
func New() *Clock { return NewFrom(systemSources()) }

// NewFrom returns a clock that reads the given sources. If Boot fails, the clock does
// not include suspensions.
func NewFrom(s Sources) *Clock {
	c := &Clock{sources: s}
	monotonic, wall := s.Now()
	c.monotonic = monotonic
	c.wallOffset.Store(wall - monotonic)
	boot, err := s.Boot()
	if err == nil {
		c.boot = boot
	}
	return c
}

// Now returns the time since the clock was created, in nanoseconds. It is never 0.
func (c *Clock) Now() int64 {
	monotonic, wall := c.sources.Now()
	wallOffset := wall - monotonic
	if before := c.wallOffset.Load(); wallOffset-before > int64(jumpThreshold) || before-wallOffset > int64(jumpThreshold) {
		c.wallOffset.Store(wallOffset)
		c.updateSuspended(monotonic)
	}
	return monotonic - c.monotonic + c.suspended.Load() + 1
}

// updateSuspended computes the total time that the machine was suspended.
func (c *Clock) updateSuspended(monotonic int64) {
	boot, err := c.sources.Boot()
	if err != nil || c.boot == 0 {
		return
	}
	suspended := (boot - c.boot) - (monotonic - c.monotonic)
	if suspended > c.suspended.Load() {
		c.suspended.Store(suspended)
	}
}

func systemSources() Sources {
	start := time.Now()
	return Sources{
		Now: func() (int64, int64) {
			now := time.Now()
			return int64(now.Sub(start)), now.UnixNano()
		},
		Boot: func() (int64, error) {
			var t unix.Timespec
			err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
			return t.Nano(), err
		},
	}
}
