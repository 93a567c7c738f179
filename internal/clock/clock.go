// Package clock tells the steady time of a process, with the time for which its
// machine was suspended. Go's monotonic clock leaves that out, and the time of day
// jumps; so a jump of the time of day is the hint on which the clock of the time
// since boot, a system call, is asked.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// jump is by how much the time of day must run ahead of the steady clock to be a
// hint. Shorter suspensions change no decision.
const jump = 200 * time.Millisecond

// Sources are the clocks beneath, in nanoseconds.
type Sources struct {
	// Now returns the steady time and the time of day.
	Now func() (steady, wall int64)
	// Boot returns the time since boot, suspensions included.
	Boot func() (int64, error)
}

// Clock is a steady clock. Its methods may be called from several goroutines.
type Clock struct {
	sources Sources
	boot    int64
	steady  int64
	// ahead is how much the time of day was ahead of the steady time when last
	// looked at, and suspended how long the machine was suspended.
	ahead     atomic.Int64
	suspended atomic.Int64
}

// New returns a clock that starts at 1.
func New() *Clock { return NewFrom(systemSources()) }

// NewFrom returns a clock over other sources. Without a clock of the time since boot
// it counts no suspensions.
func NewFrom(s Sources) *Clock {
	c := &Clock{sources: s}
	steady, wall := s.Now()
	c.steady = steady
	c.ahead.Store(wall - steady)
	boot, err := s.Boot()
	if err == nil {
		c.boot = boot
	}
	return c
}

// Now returns the time since the clock was made, in nanoseconds, and never 0.
func (c *Clock) Now() int64 {
	steady, wall := c.sources.Now()
	ahead := wall - steady
	if before := c.ahead.Load(); ahead-before > int64(jump) || before-ahead > int64(jump) {
		c.ahead.Store(ahead)
		c.measure(steady)
	}
	return steady - c.steady + c.suspended.Load() + 1
}

// measure asks how long the machine has been suspended in all.
func (c *Clock) measure(steady int64) {
	boot, err := c.sources.Boot()
	if err != nil || c.boot == 0 {
		return
	}
	suspended := (boot - c.boot) - (steady - c.steady)
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
