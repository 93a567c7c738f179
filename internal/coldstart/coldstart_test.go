package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/flow"
)

const ms = int64(time.Millisecond)

func warmUp(g *Guard) (now int64) {
	g.Configure(0.1, 4*time.Second)
	for range 100 {
		now += 10 * ms
		g.Observe(now, g.Judge(20*time.Millisecond), 20*time.Millisecond)
	}
	return now
}

// TestShareFallsOnColdStart checks that the share falls within a few samples of a
// cold server, and that noise or a single slow answer doesn't change it.
func TestShareFallsOnColdStart(t *testing.T) {
	for name, c := range map[string]struct {
		latency   time.Duration
		kind      flow.EvidenceKind
		decreases bool
	}{
		"slow":       {200 * time.Millisecond, 0, true},
		"shedding":   {time.Millisecond, flow.Shed, true},
		"failing":    {0, flow.Failed, true},
		"a bit slow": {50 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g Guard
			now := warmUp(&g)
			is.Equal(g.Share(now), 1.0)
			g.Observe(now, flow.Slow, time.Second)
			is.Equal(g.Share(now), 1.0)
			decreased := false
			for range 5 {
				now += 100 * ms
				kind := c.kind
				if kind == 0 {
					kind = g.Judge(c.latency)
				}
				decreased = g.Observe(now, kind, c.latency) || decreased
			}
			is.Equal(decreased, c.decreases)
			is.Equal(g.Share(now) < 0.3, c.decreases)
		})
	}
}

// TestRampAndRelapse checks that the ramp is linear, starts again lower and slower
// after a relapse, and ends.
func TestRampAndRelapse(t *testing.T) {
	is := is.New(t)
	var g Guard
	now := warmUp(&g)
	g.StartRamp(now)
	is.True(g.Share(now) <= 0.1+1e-9)
	is.True(g.Share(now+2000*ms) > 0.5 && g.Share(now+2000*ms) < 0.6)
	is.Equal(g.Share(now+4000*ms), 1.0)
	now += 2000 * ms
	before := g.Share(now)
	for range minBadSamples {
		now += ms
		g.Observe(now, flow.Shed, 0)
	}
	is.True(g.Share(now) < before*0.6)
	is.True(g.Share(now+2000*ms) < before) // the second ramp is slower
	low := g.Share(now)
	g.Observe(now+ms, flow.Shed, 0)
	is.True(g.Share(now+ms) >= low) // one decrease per window
	is.Equal(g.Share(now+20_000*ms), 1.0)
	g.Announced(now+20_000*ms, now+20_000*ms)
	is.True(g.Share(now+20_000*ms) < 0.2)
	for range minBadSamples {
		g.Observe(now+21_000*ms, flow.Shed, 0)
	}
	afterRelapse := g.Share(now + 21_000*ms)
	g.Announced(now+22_000*ms, now+22_000*ms) // the same cold start, announced later
	is.True(g.Share(now+22_000*ms) > afterRelapse)
	is.True(g.Share(now+25_000*ms) < 0.9) // still the slower ramp
	var withoutRamp Guard                 // a service without a ramp
	for range 10 {
		is.True(!withoutRamp.Observe(now, flow.Failed, 0))
	}
	is.Equal(withoutRamp.Share(now), 1.0)
}

// TestBaselineFollowsLastingSlowdown checks that the baseline latency of a server
// that remains slower rises until its answers are no longer slow.
func TestBaselineFollowsLastingSlowdown(t *testing.T) {
	is := is.New(t)
	var g Guard
	now := warmUp(&g)
	latency := 90 * time.Millisecond
	for range 2000 {
		now += 50 * ms
		g.Observe(now, g.Judge(latency), latency)
	}
	is.Equal(g.Judge(latency), flow.Answered)
	is.Equal(g.Share(now+16_000*ms), 1.0)
}
