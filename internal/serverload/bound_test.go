package serverload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The sampler runs for each request on the packet path, which must not allocate.
func TestBoundSamplerDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := NewSampler(1)
	s.Begin(1, 7, 0)
	now := int64(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += ms
		s.Begin(1, 7, now)
		s.End(1, 7, time.Millisecond, now)
		s.Begin(1, 7, now)
		s.Abandon(1, 7, now)
	}), 0.0)
}
