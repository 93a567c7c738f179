package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type fake struct{ steady, wall, boot, asked int64 }

func (f *fake) clock() *Clock {
	return NewFrom(Sources{
		Now:  func() (int64, int64) { return f.steady, f.wall },
		Boot: func() (int64, error) { f.asked++; return f.boot, nil },
	})
}

func (f *fake) pass(d time.Duration) {
	f.steady += int64(d)
	f.wall += int64(d)
	f.boot += int64(d)
}

func TestSuspensionCounts(t *testing.T) {
	is := is.New(t)
	f := &fake{steady: 5, wall: 1e18, boot: 7e9}
	c := f.clock()
	f.pass(time.Second)
	is.Equal(c.Now(), int64(time.Second)+1)
	f.wall += int64(4 * time.Second) // suspended: the steady clock stands still
	f.boot += int64(4 * time.Second)
	is.Equal(c.Now(), int64(5*time.Second)+1)
	f.pass(time.Second)
	is.Equal(c.Now(), int64(6*time.Second)+1)
}

func TestStepsOfTheTimeOfDayDoNotCount(t *testing.T) {
	is := is.New(t)
	f := &fake{wall: 1e18, boot: 7e9}
	c := f.clock()
	last := c.Now()
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		f.wall += int64(step)
		f.pass(time.Millisecond)
		now := c.Now()
		is.Equal(now-last, int64(time.Millisecond))
		last = now
	}
}

func TestBootTimeIsAskedOnlyOnAHint(t *testing.T) {
	is := is.New(t)
	f := &fake{wall: 1e18, boot: 7e9}
	c := f.clock()
	for range 1000 {
		f.pass(time.Millisecond)
		c.Now()
	}
	is.Equal(f.asked, int64(1)) // at the start
}
