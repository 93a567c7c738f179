package coldstart

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/flow"
)

const ms = int64(time.Millisecond)

func warmUp(l *Limiter) (now int64) {
	l.Configure(0.1, 4*time.Second)
	for range 100 {
		now += 10 * ms
		l.Observe(now, l.Classify(20*time.Millisecond), 20*time.Millisecond)
	}
	return now
}

// TestShareFallsOnColdStart checks that the share falls within a few samples of a
// cold server, and that neither a single slow answer nor latencies below the
// threshold for slow answers change it.
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
			var l Limiter
			now := warmUp(&l)
			is.Equal(l.Share(now), 1.0)
			l.Observe(now, flow.Slow, time.Second)
			is.Equal(l.Share(now), 1.0)
			decreased := false
			for range 5 {
				now += 100 * ms
				kind := c.kind
				if kind == 0 {
					kind = l.Classify(c.latency)
				}
				decreased = l.Observe(now, kind, c.latency) || decreased
			}
			is.Equal(decreased, c.decreases)
			is.Equal(l.Share(now) < 0.3, c.decreases)
		})
	}
}

// TestRampAndRelapse checks that the ramp is linear, starts again lower and slower
// after a relapse, and ends.
func TestRampAndRelapse(t *testing.T) {
	is := is.New(t)
	var l Limiter
	now := warmUp(&l)
	l.StartRamp(now)
	is.True(l.Share(now) <= 0.1+1e-9)
	is.True(l.Share(now+2000*ms) > 0.5 && l.Share(now+2000*ms) < 0.6)
	is.Equal(l.Share(now+4000*ms), 1.0)
	now += 2000 * ms
	before := l.Share(now)
	for range minBadSamples {
		now += ms
		l.Observe(now, flow.Shed, 0)
	}
	is.True(l.Share(now) < before*0.6)
	is.True(l.Share(now+2000*ms) < before) // the second ramp is slower
	low := l.Share(now)
	l.Observe(now+ms, flow.Shed, 0)
	is.True(l.Share(now+ms) >= low) // one decrease per window
	is.Equal(l.Share(now+20_000*ms), 1.0)
	l.HandleColdAnnouncement(now+20_000*ms, now+20_000*ms)
	is.True(l.Share(now+20_000*ms) < 0.2)
	for range minBadSamples {
		l.Observe(now+21_000*ms, flow.Shed, 0)
	}
	afterRelapse := l.Share(now + 21_000*ms)
	l.HandleColdAnnouncement(now+22_000*ms, now+22_000*ms) // the same cold start, announced later
	is.True(l.Share(now+22_000*ms) > afterRelapse)
	is.True(l.Share(now+25_000*ms) < 0.9) // still the slower ramp
	var withoutRamp Limiter               // a service without a ramp
	for range 10 {
		is.True(!withoutRamp.Observe(now, flow.Failed, 0))
	}
	is.Equal(withoutRamp.Share(now), 1.0)
}

// TestBaselineFollowsLastingSlowdown checks that the baseline latency of a server
// that remains slower rises until its answers are no longer slow.
func TestBaselineFollowsLastingSlowdown(t *testing.T) {
	is := is.New(t)
	var l Limiter
	now := warmUp(&l)
	latency := 90 * time.Millisecond
	for range 2000 {
		now += 50 * ms
		l.Observe(now, l.Classify(latency), latency)
	}
	is.Equal(l.Classify(latency), flow.Answered)
	is.Equal(l.Share(now+16_000*ms), 1.0)
}
