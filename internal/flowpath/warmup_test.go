package flowpath

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
)

// peakRate returns the largest number of events within one second, given their times.
func peakRate(times []int64) int {
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

// TestColdDataCentre covers all servers of a service returning cold at the same time:
// over all instances they must get no more flows in any second than the limit, and at
// least half of the mean rate that the limit allows.
func TestColdDataCentre(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		// starts says that all instances start together with the servers: each knows
		// one other at first, and all of them after a second.
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
				h := newHarness(2, func(s *catalogue.Server) { s.Warmup = time.Minute })
				h.offerLoad(c.instances, c.starts, func(server string) { sent[server] = append(sent[server], h.now) })
			}
			is.Equal(len(sent), 2)
			const limit = 10*1.5 + 5.0
			for _, times := range sent {
				is.True(peakRate(times) <= limit)
				if !c.starts {
					is.True(float64(len(times)) >= meanRate(limit)*loadDuration.Seconds()/2)
				}
			}
		})
	}
}

// loadDuration is how long callers keep opening flows.
const loadDuration = 4 * time.Second

// offerLoad opens flows continuously at one of several instances.
func (h *harness) offerLoad(instances int, starts bool, onForward func(server string)) {
	h.SetInstances(instances, 4)
	if starts {
		h.ready()
		h.SetInstances(2, 2)
	}
	startedAt := h.now
	for port := uint16(1); h.now < startedAt+int64(loadDuration); port++ {
		h.now += 10 * ms
		if starts && h.now-startedAt >= 1000*ms {
			h.SetInstances(instances, 4)
		}
		if v := h.open(port, 0); v.Action == Forward {
			onForward(v.Backend.Name)
		}
	}
}
