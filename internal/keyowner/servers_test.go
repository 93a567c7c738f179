package keyowner_test

import (
	"time"

	"balsamfork/internal/admission"
	"balsamfork/internal/request"
)

// backend is a backend server of the model.
type backend struct {
	row     admission.Server
	offset  int64
	took    time.Duration
	cold    func(now int64) float64
	running map[admission.AttemptID]func()
	keys    map[string]int
	// used is the slot time used so far, in nanoseconds.
	used     float64
	usedAt   int64
	starts   int
	exceeded int
	done     int
	// down is set while it has crashed; crashes counts how often.
	down    bool
	crashes int
}

// crash ends everything that runs, without an answer.
func (b *backend) crash(m *model) {
	b.use(m.now)
	b.down = true
	b.crashes++
	clear(b.running)
}

// arrive brings an attempt to its backend server.
func (m *model) arrive(n *node, a admission.Attempt) {
	b := m.servers[a.Server-1]
	inc := n.inc
	key := a.Request.Key.ID
	end := func(r admission.Run) {
		m.after(m.delay(), func() {
			n.on(inc, func() { n.adm.Done(n.now(), a.ID, r); n.flush() })
		})
	}
	if b.down {
		end(admission.Run{Result: request.Refuse(request.NoServer), Ended: true})
		return
	}
	if m.rng.Float64() < m.loss {
		end(admission.Run{Result: request.Unsure(request.Lost)})
		return
	}
	m.after(m.delay(), func() {
		left := time.Duration(a.Deadline - m.now - b.offset)
		if b.down {
			end(admission.Run{Result: request.Unsure(request.Lost)})
			return
		}
		if left <= 0 {
			end(admission.Run{Result: request.Refuse(request.TooLate), Shed: true, Ended: true})
			return
		}
		b.start(m, a.ID, key, left, end)
	})
}

func (b *backend) use(now int64) {
	b.used += float64(len(b.running)) * float64(now-b.usedAt)
	b.usedAt = now
}

func (b *backend) start(m *model, id admission.AttemptID, key string, left time.Duration, end func(admission.Run)) {
	if len(b.running) >= b.row.Slots {
		b.exceeded++
		end(admission.Run{Result: request.Refuse(request.Overloaded), Shed: true, Ended: true})
		return
	}
	b.use(m.now)
	b.keys[key]++
	took := time.Duration(float64(b.took) * (0.5 + m.rng.Float64()))
	if b.cold != nil {
		took = time.Duration(float64(took) * b.cold(m.now))
	}
	ended, crashes := false, b.crashes
	finish := func(r admission.Run) {
		if ended {
			return
		}
		if b.crashes != crashes {
			ended = true
			end(admission.Run{Result: request.Unsure(request.Lost)})
			return
		}
		ended = true
		b.use(m.now)
		delete(b.running, id)
		if m.rng.Float64() < m.loss {
			r = admission.Run{Result: request.Unsure(request.Lost)}
		}
		end(r)
	}
	b.running[id] = func() { finish(admission.Run{Result: request.Unsure(request.Cancelled), Ended: true}) }
	b.starts++
	if took > left {
		m.after(left, func() { finish(admission.Run{Result: request.Unsure(request.TooLate), Ended: true}) })
		return
	}
	m.after(took, func() {
		if !ended {
			b.done++
		}
		finish(admission.Run{Result: request.Result{Status: request.Answered, Value: []byte(`"` + key + `"`)}, Ended: true})
	})
}
