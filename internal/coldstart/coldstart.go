// Package coldstart limits what a backend server gets while it warms up, and
// finds from its own answers that it has turned cold. It never asks what a health
// or load endpoint says. The share falls at once and climbs linearly; a relapse
// halves it, and each relapse makes the next climb slower, so that it does not
// oscillate (additive increase, multiplicative decrease: Chiu and Jain, 1989).
// The package does no I/O.
package coldstart

import (
	"time"

	"balsamfork/internal/flow"
)

// Settings of the detection.
const (
	// Window is the time over which samples are weighed.
	Window = 500 * time.Millisecond
	// SlowFactor times the usual latency is slow.
	SlowFactor = 3
	// SlowFloor is the least latency that counts as slow.
	SlowFloor = 20 * time.Millisecond
	// minBad is how many bad samples within Window show that a server is cold.
	minBad = 3
	// warmSamples is how many answers make the usual latency known.
	warmSamples = 10
	// takeOver is how long a server climbs at a new admitting instance.
	takeOver = time.Second
	// sameStart is how much later than found here a cold start may be announced.
	sameStart = 3 * time.Second
	// maxRelapses bounds how often the climb is made slower.
	maxRelapses = 2
)

// Guard holds what one backend server may get. The zero value is warm.
type Guard struct {
	start    float64
	duration time.Duration

	share    float64
	since    int64
	climb    time.Duration
	climbing bool
	// short marks a climb that TakeOver has started.
	short bool

	relapses  int
	decreased int64

	usual   float64
	samples int

	windowAt int64
	bad, all int
}

// Configure sets the ramp: the share at its start, and its duration. It leaves a
// climb under way.
func (g *Guard) Configure(start float64, duration time.Duration) {
	g.start, g.duration = start, duration
}

// Begin starts a climb at a time in nanoseconds; the server has just been started.
func (g *Guard) Begin(now int64) {
	g.relapses = 0
	g.begin(now, g.start, g.duration)
}

// Announced starts a climb because others have said at a time that the server is
// cold. What this guard has found itself shortly before is the same cold start, and
// its climb goes on.
func (g *Guard) Announced(now, since int64) {
	if g.climbing && !g.short && g.since >= since-int64(sameStart) {
		return
	}
	g.Begin(min(since, now))
}

// TakeOver starts a short climb: what its former admitting instance knew of the
// server is lost.
func (g *Guard) TakeOver(now int64) {
	if !g.climbing && g.duration > 0 {
		g.begin(now, g.start, min(takeOver, g.duration))
		g.short = true
	}
}

func (g *Guard) begin(now int64, share float64, climb time.Duration) {
	g.share, g.since, g.climb = share, now, climb
	g.climbing = climb > 0 && share < 1
	g.short = false
	g.decreased = now
	g.windowAt, g.bad, g.all = now, 0, 0
}

// Share returns the part of a warm server's load that the server may get, above
// zero and at most 1.
func (g *Guard) Share(now int64) float64 {
	if !g.climbing {
		return 1
	}
	slope := (1 - g.start) / float64(g.climb)
	return min(g.share+slope*float64(max(now-g.since, 0)), 1)
}

// Usual returns the usual latency, and false while it is not known.
func (g *Guard) Usual() (time.Duration, bool) {
	return time.Duration(g.usual), g.samples >= warmSamples
}

// SlowAfter returns the latency from which on an answer is slow, and false while
// the usual latency is not known.
func (g *Guard) SlowAfter() (time.Duration, bool) {
	usual, known := g.Usual()
	return max(SlowFactor*usual, SlowFloor), known
}

// Judge says what an answer after the latency shows.
func (g *Guard) Judge(latency time.Duration) flow.EvidenceKind {
	if slow, known := g.SlowAfter(); known && latency > slow {
		return flow.Slow
	}
	return flow.Answered
}

// Observe takes in one sample: what it shows, and the latency of an answer. It
// reports whether the sample showed that the server has turned cold.
func (g *Guard) Observe(now int64, kind flow.EvidenceKind, latency time.Duration) bool {
	g.endClimb(now)
	g.learn(kind, latency)
	if now-g.windowAt > int64(Window) {
		g.windowAt, g.bad, g.all = now, 0, 0
	}
	g.all++
	if kind == flow.Answered {
		return false
	}
	g.bad++
	if g.bad < minBad || 2*g.bad < g.all {
		return false
	}
	return g.decrease(now)
}

func (g *Guard) endClimb(now int64) {
	if g.climbing && g.Share(now) >= 1 {
		g.climbing = false
	}
}

// learn follows the usual latency. Slow answers move it as well, but slowly, so
// that a server that has become slower for good is in the end taken as it is.
func (g *Guard) learn(kind flow.EvidenceKind, latency time.Duration) {
	if kind != flow.Answered && kind != flow.Slow || latency <= 0 {
		return
	}
	weight := 0.05
	if kind == flow.Slow {
		weight = 0.005
	}
	if g.samples < warmSamples {
		g.samples++
		weight = 1 / float64(g.samples)
	}
	g.usual += weight * (float64(latency) - g.usual)
}

// decrease lowers the share, at most once in a Window.
func (g *Guard) decrease(now int64) bool {
	if g.climbing && now-g.decreased < int64(Window) {
		return false
	}
	share, climb := g.start, g.duration
	if climb <= 0 {
		return false
	}
	if g.climbing || now-g.decreased < int64(4*g.duration) && g.decreased != 0 {
		g.relapses = min(g.relapses+1, maxRelapses)
	} else {
		g.relapses = 0
	}
	if g.climbing {
		share = max(g.start, g.Share(now)/2)
	}
	g.begin(now, share, climb<<g.relapses)
	return true
}
