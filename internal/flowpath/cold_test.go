package flowpath

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
)

// peak returns the most times in a span of a second.
func peak(times []int64) int {
	slices.Sort(times)
	most, first := 0, 0
	for n, at := range times {
		for at-times[first] >= 1000*ms {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// TestColdDataCentre answers servers that come back cold together, the only ones
// there are: over all instances they get no more in any second than the limit, and
// not much less than what may be given out.
func TestColdDataCentre(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		// starts says that all instances start as the servers come back, and know one
		// other at first, and all after a second.
		starts bool
	}{
		{"a few instances", 13, false},
		{"many", 150, false},
		{"the planned number", 415, false},
		{"a few that start", 13, true},
		{"many that start", 150, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sent := map[string][]int64{}
			for range c.instances {
				w := newWorld(2, func(s *catalogue.Server) { s.Warmup = time.Minute })
				w.press(c.instances, c.starts, func(server string) { sent[server] = append(sent[server], w.now) })
			}
			is.Equal(len(sent), 2)
			const limit = 10*1.5 + 5.0
			for _, times := range sent {
				is.True(peak(times) <= limit)
				if !c.starts {
					is.True(float64(len(times)) >= given(limit)*pressFor.Seconds()/2)
				}
			}
		})
	}
}

// pressFor is how long callers press.
const pressFor = 4 * time.Second

// press opens flows all the time at one of several instances.
func (w *world) press(instances int, starts bool, took func(server string)) {
	w.SetInstances(instances, 4)
	if starts {
		w.reaches()
		w.SetInstances(2, 2)
	}
	began := w.now
	for port := uint16(1); w.now < began+int64(pressFor); port++ {
		w.now += 10 * ms
		if starts && w.now-began >= 1000*ms {
			w.SetInstances(instances, 4)
		}
		if v := w.open(port, 0); v.Action == Forward {
			took(v.Backend.Name)
		}
	}
}
