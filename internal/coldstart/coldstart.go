// Package coldstart limits the load of a backend server while it warms up, and
// detects from its answers to requests that it has become cold. It does not use
// health or load endpoints. On a cold start the share of load drops at once and then
// rises linearly. A relapse, a further cold start during the ramp or soon after,
// makes the next ramp slower, and one during the ramp halves the share, so that the
// load does not oscillate (additive increase, multiplicative decrease: Chiu and
// Jain, 1989). The package does no I/O.
package coldstart

import (
	"time"

	"balsamfork/internal/flow"
)

// Parameters of the detection and of the ramp.
const (
	// Window is the time over which bad samples are counted.
	Window = 500 * time.Millisecond
	// SlowFactor is the multiple of the baseline latency above which an answer is
	// slow.
	SlowFactor = 3
	// SlowFloor is the latency up to which an answer is never slow.
	SlowFloor = 20 * time.Millisecond
	// minBadSamples is the number of bad samples within Window from which a server
	// counts as cold, if they are at least half of the samples.
	minBadSamples = 3
	// minBaselineSamples is the number of answers from which the baseline latency
	// is known.
	minBaselineSamples = 10
	// takeOverRamp is the maximum duration of the ramp at a new admitting instance.
	takeOverRamp = time.Second
	// announcementTolerance is how long after its detection here a cold start may
	// be announced and still count as the same one.
	announcementTolerance = 3 * time.Second
	// maxRelapses is the maximum number of relapses that slow the ramp; each
	// doubles its duration.
	maxRelapses = 2
)

// Limiter limits the load of one backend server. The zero value is warm and has no
// ramp.
type Limiter struct {
	initialShare float64
	rampDuration time.Duration

	// The present ramp began at startedAt, in nanoseconds, with rampShare. A ramp
	// from initialShare to 1 takes fullRamp.
	rampShare float64
	startedAt int64
	fullRamp  time.Duration
	ramping   bool
	// takenOver is set during a ramp that TakeOver has started.
	takenOver bool

	relapses     int
	lastDecrease int64

	baseline        float64
	baselineSamples int

	windowStart               int64
	badSamples, windowSamples int
}

// Configure sets the share at the start of a ramp, and the duration of a ramp. It
// does not end a ramp in progress.
func (l *Limiter) Configure(initialShare float64, rampDuration time.Duration) {
	l.initialShare, l.rampDuration = initialShare, rampDuration
}

// StartRamp starts a ramp at now, in nanoseconds, for a server that has just been
// started.
func (l *Limiter) StartRamp(now int64) {
	l.relapses = 0
	l.startRamp(now, l.initialShare, l.rampDuration)
}

// HandleColdAnnouncement starts a ramp because others announced a cold start at
// startedAt. If this limiter has detected a cold start itself shortly before, it is
// the same one and the ramp in progress continues.
func (l *Limiter) HandleColdAnnouncement(now, startedAt int64) {
	if l.ramping && !l.takenOver && l.startedAt >= startedAt-int64(announcementTolerance) {
		return
	}
	l.StartRamp(min(startedAt, now))
}

// TakeOver starts a short ramp, since the state that the previous admitting
// instance held for the server is lost.
func (l *Limiter) TakeOver(now int64) {
	if !l.ramping && l.rampDuration > 0 {
		l.startRamp(now, l.initialShare, min(takeOverRamp, l.rampDuration))
		l.takenOver = true
	}
}

func (l *Limiter) startRamp(now int64, rampShare float64, fullRamp time.Duration) {
	l.rampShare, l.startedAt, l.fullRamp = rampShare, now, fullRamp
	l.ramping = fullRamp > 0 && rampShare < 1
	l.takenOver = false
	l.lastDecrease = now
	l.windowStart, l.badSamples, l.windowSamples = now, 0, 0
}

// Share returns the fraction of a warm server's load that the server may receive,
// above zero and at most 1.
func (l *Limiter) Share(now int64) float64 {
	if !l.ramping {
		return 1
	}
	slope := (1 - l.initialShare) / float64(l.fullRamp)
	return min(l.rampShare+slope*float64(max(now-l.startedAt, 0)), 1)
}

// Baseline returns the baseline latency, and false while it is not known.
func (l *Limiter) Baseline() (time.Duration, bool) {
	return time.Duration(l.baseline), l.baselineSamples >= minBaselineSamples
}

// SlowAfter returns the latency above which an answer is slow, and false while
// the baseline latency is not known.
func (l *Limiter) SlowAfter() (time.Duration, bool) {
	baseline, known := l.Baseline()
	return max(SlowFactor*baseline, SlowFloor), known
}

// Classify classifies an answer by its latency, as flow.Slow or flow.Answered.
func (l *Limiter) Classify(latency time.Duration) flow.EvidenceKind {
	if slow, known := l.SlowAfter(); known && latency > slow {
		return flow.Slow
	}
	return flow.Answered
}

// Observe records one sample: its kind and, for an answer, its latency. It reports
// whether the sample shows that the server has become cold.
func (l *Limiter) Observe(now int64, kind flow.EvidenceKind, latency time.Duration) bool {
	l.endRamp(now)
	l.updateBaseline(kind, latency)
	if now-l.windowStart > int64(Window) {
		l.windowStart, l.badSamples, l.windowSamples = now, 0, 0
	}
	l.windowSamples++
	if kind == flow.Answered {
		return false
	}
	l.badSamples++
	if l.badSamples < minBadSamples || 2*l.badSamples < l.windowSamples {
		return false
	}
	return l.decrease(now)
}

func (l *Limiter) endRamp(now int64) {
	if l.ramping && l.Share(now) >= 1 {
		l.ramping = false
	}
}

// updateBaseline updates the baseline latency, a moving average. Slow answers have
// a lower weight, so that the baseline adapts only gradually to a server that has
// become slower permanently.
func (l *Limiter) updateBaseline(kind flow.EvidenceKind, latency time.Duration) {
	if kind != flow.Answered && kind != flow.Slow || latency <= 0 {
		return
	}
	weight := 0.05
	if kind == flow.Slow {
		weight = 0.005
	}
	if l.baselineSamples < minBaselineSamples {
		l.baselineSamples++
		weight = 1 / float64(l.baselineSamples)
	}
	l.baseline += weight * (float64(latency) - l.baseline)
}

// decrease lowers the share, at most once per Window during a ramp, and reports
// whether it did.
func (l *Limiter) decrease(now int64) bool {
	if l.ramping && now-l.lastDecrease < int64(Window) {
		return false
	}
	rampShare, fullRamp := l.initialShare, l.rampDuration
	if fullRamp <= 0 {
		return false
	}
	if l.ramping || now-l.lastDecrease < int64(4*l.rampDuration) && l.lastDecrease != 0 {
		l.relapses = min(l.relapses+1, maxRelapses)
	} else {
		l.relapses = 0
	}
	if l.ramping {
		rampShare = max(l.initialShare, l.Share(now)/2)
	}
	l.startRamp(now, rampShare, fullRamp<<l.relapses)
	return true
}
