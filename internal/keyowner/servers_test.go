package keyowner_test

import (
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/request"
)

// backend is a backend server of the model.
type backend struct {
	row         admission.Server
	clockOffset int64
	runTime     time.Duration
	slowdown    func(now int64) float64
	running     map[admission.AttemptID]func()
	runsByKey   map[string]int
	// used is the slot time used up to usedAt, in nanoseconds.
	used          float64
	usedAt        int64
	starts        int
	slotsExceeded int
	completedRuns int
	// down is set after a crash until the restart; crashes counts the crashes.
	down    bool
	crashes int
}

// crash ends all running requests without an answer.
func (b *backend) crash(m *model) {
	b.accrueUse(m.now)
	b.down = true
	b.crashes++
	clear(b.running)
}

// deliver sends an attempt to its backend server.
func (m *model) deliver(n *node, a admission.Attempt) {
	b := m.servers[a.Server-1]
	incarnation := n.incarnation
	key := a.Request.Key.ID
	end := func(r admission.Run) {
		m.after(m.delay(), func() {
			n.runOn(incarnation, func() { n.admitter.Done(n.now(), a.ID, r); n.flush() })
		})
	}
	if b.down {
		end(admission.Run{Result: request.RefusedResult(request.NoServer), Ended: true})
		return
	}
	if m.rng.Float64() < m.lossRate {
		end(admission.Run{Result: request.UnknownResult(request.AnswerLost)})
		return
	}
	m.after(m.delay(), func() {
		left := time.Duration(a.Deadline - m.now - b.clockOffset)
		if b.down {
			end(admission.Run{Result: request.UnknownResult(request.AnswerLost)})
			return
		}
		if left <= 0 {
			end(admission.Run{Result: request.RefusedResult(request.DeadlinePassed), Shed: true, Ended: true})
			return
		}
		b.start(m, a.ID, key, left, end)
	})
}

// accrueUse updates used and usedAt to now.
func (b *backend) accrueUse(now int64) {
	b.used += float64(len(b.running)) * float64(now-b.usedAt)
	b.usedAt = now
}

func (b *backend) start(m *model, id admission.AttemptID, key string, left time.Duration, end func(admission.Run)) {
	if len(b.running) >= b.row.Slots {
		b.slotsExceeded++
		end(admission.Run{Result: request.RefusedResult(request.Overloaded), Shed: true, Ended: true})
		return
	}
	b.accrueUse(m.now)
	b.runsByKey[key]++
	runTime := time.Duration(float64(b.runTime) * (0.5 + m.rng.Float64()))
	if b.slowdown != nil {
		runTime = time.Duration(float64(runTime) * b.slowdown(m.now))
	}
	ended, crashes := false, b.crashes
	finish := func(r admission.Run) {
		if ended {
			return
		}
		if b.crashes != crashes {
			ended = true
			end(admission.Run{Result: request.UnknownResult(request.AnswerLost)})
			return
		}
		ended = true
		b.accrueUse(m.now)
		delete(b.running, id)
		if m.rng.Float64() < m.lossRate {
			r = admission.Run{Result: request.UnknownResult(request.AnswerLost)}
		}
		end(r)
	}
	b.running[id] = func() { finish(admission.Run{Result: request.UnknownResult(request.Cancelled), Ended: true}) }
	b.starts++
	if runTime > left {
		m.after(left, func() { finish(admission.Run{Result: request.UnknownResult(request.DeadlinePassed), Ended: true}) })
		return
	}
	m.after(runTime, func() {
		if !ended {
			b.completedRuns++
		}
		finish(admission.Run{Result: request.Result{Status: request.Answered, Value: []byte(`"` + key + `"`)}, Ended: true})
	})
}
