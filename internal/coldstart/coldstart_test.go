package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/flow"
)

const ms = int64(time.Millisecond)

func warm(g *Guard) (now int64) {
	g.Configure(0.1, 4*time.Second)
	for range 100 {
		now += 10 * ms
		g.Observe(now, g.Judge(20*time.Millisecond), 20*time.Millisecond)
	}
	return now
}

// TestFall feeds what a server that turns cold shows: the share falls within few
// samples; noise and a single slow answer leave it.
func TestFall(t *testing.T) {
	for name, c := range map[string]struct {
		latency time.Duration
		kind    flow.EvidenceKind
		falls   bool
	}{
		"slow":       {200 * time.Millisecond, 0, true},
		"shedding":   {time.Millisecond, flow.Shed, true},
		"failing":    {0, flow.Failed, true},
		"a bit slow": {50 * time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var g Guard
			now := warm(&g)
			is.Equal(g.Share(now), 1.0)
			g.Observe(now, flow.Slow, time.Second)
			is.Equal(g.Share(now), 1.0)
			fell := false
			for range 5 {
				now += 100 * ms
				kind := c.kind
				if kind == 0 {
					kind = g.Judge(c.latency)
				}
				fell = g.Observe(now, kind, c.latency) || fell
			}
			is.Equal(fell, c.falls)
			is.Equal(g.Share(now) < 0.3, c.falls)
		})
	}
}

// TestClimb is linear, starts again lower and slower after a relapse, and ends.
func TestClimb(t *testing.T) {
	is := is.New(t)
	var g Guard
	now := warm(&g)
	g.Begin(now)
	is.True(g.Share(now) <= 0.1+1e-9)
	is.True(g.Share(now+2000*ms) > 0.5 && g.Share(now+2000*ms) < 0.6)
	is.Equal(g.Share(now+4000*ms), 1.0)
	now += 2000 * ms
	before := g.Share(now)
	for range minBad {
		now += ms
		g.Observe(now, flow.Shed, 0)
	}
	is.True(g.Share(now) < before*0.6)
	is.True(g.Share(now+2000*ms) < before) // the second climb is slower
	low := g.Share(now)
	g.Observe(now+ms, flow.Shed, 0)
	is.True(g.Share(now+ms) >= low) // one decrease in a window
	is.Equal(g.Share(now+20_000*ms), 1.0)
	g.Announced(now+20_000*ms, now+20_000*ms)
	is.True(g.Share(now+20_000*ms) < 0.2)
	for range minBad {
		g.Observe(now+21_000*ms, flow.Shed, 0)
	}
	found := g.Share(now + 21_000*ms)
	g.Announced(now+22_000*ms, now+22_000*ms) // the same cold start, announced later
	is.True(g.Share(now+22_000*ms) > found)
	is.True(g.Share(now+25_000*ms) < 0.9) // still the slower climb
	var none Guard                        // a service without a ramp
	for range 10 {
		is.True(!none.Observe(now, flow.Failed, 0))
	}
	is.Equal(none.Share(now), 1.0)
}

// TestSlowForGood raises the usual latency of a server that stays slower.
func TestSlowForGood(t *testing.T) {
	is := is.New(t)
	var g Guard
	now := warm(&g)
	latency := 90 * time.Millisecond
	for range 2000 {
		now += 50 * ms
		g.Observe(now, g.Judge(latency), latency)
	}
	is.Equal(g.Judge(latency), flow.Answered)
	is.Equal(g.Share(now+16_000*ms), 1.0)
}
