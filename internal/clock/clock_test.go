package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type fakeSources struct{ monotonic, wall, boot, bootReads int64 }

func (f *fakeSources) clock() *Clock {
	return NewFrom(Sources{
		Now:  func() (int64, int64) { return f.monotonic, f.wall },
		Boot: func() (int64, error) { f.bootReads++; return f.boot, nil },
	})
}

func (f *fakeSources) advance(d time.Duration) {
	f.monotonic += int64(d)
	f.wall += int64(d)
	f.boot += int64(d)
}

func TestSuspensionIsIncluded(t *testing.T) {
	is := is.New(t)
	f := &fakeSources{monotonic: 5, wall: 1e18, boot: 7e9}
	c := f.clock()
	f.advance(time.Second)
	is.Equal(c.Now(), int64(time.Second)+1)
	f.wall += int64(4 * time.Second) // suspended: the monotonic clock does not advance
	f.boot += int64(4 * time.Second)
	is.Equal(c.Now(), int64(5*time.Second)+1)
	f.advance(time.Second)
	is.Equal(c.Now(), int64(6*time.Second)+1)
}

func TestWallClockStepsAreExcluded(t *testing.T) {
	is := is.New(t)
	f := &fakeSources{wall: 1e18, boot: 7e9}
	c := f.clock()
	last := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		f.wall += int64(step)
		f.advance(time.Millisecond)
		now := c.Now()
		is.Equal(now-last, int64(time.Millisecond))
		last = now
	}
}

func TestBootTimeIsReadOnlyAfterJump(t *testing.T) {
	is := is.New(t)
	f := &fakeSources{wall: 1e18, boot: 7e9}
	c := f.clock()
	for range 1000 {
		f.advance(time.Millisecond)
		c.Now()
	}
	is.Equal(f.bootReads, int64(1)) // at the start
}
