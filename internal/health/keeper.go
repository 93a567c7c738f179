package health

import (
	"slices"
	"time"

	"balsamfork/internal/flow"
)

// keep decides about the condition of a server that this instance keeps.
func (t *Table) keep(now int64, r *row) {
	switch r.condition.Condition {
	case flow.Down:
		t.keepDown(now, r)
	case flow.Cold:
		t.keepCold(now, r)
	case flow.Recovering:
		if !t.failed(now, r) && !t.cooled(now, r) && r.released {
			t.announce(now, r, flow.Healthy)
		}
	default:
		if !t.failed(now, r) {
			t.cooled(now, r)
		}
	}
}

// cooled announces a server cold if traffic has shown it, and reports whether it did.
func (t *Table) cooled(now int64, r *row) bool {
	if !r.says(SaysCold, now-int64(t.params.Fresh)) {
		return false
	}
	t.announce(now, r, flow.Cold)
	return true
}

// failed announces a server down if all there is to know agrees, and reports
// whether it did.
func (t *Table) failed(now int64, r *row) bool {
	since := now - int64(t.params.Fresh)
	byTraffic := r.says(TrafficDown, since)
	byProbes := r.down && t.confirmed(r, since)
	if !r.down && !byTraffic {
		r.asked = 0
		return false
	}
	if r.asked == 0 {
		t.ask(now, r)
	}
	contradicted := r.says(SaysUp, since) || r.traffic.alive(now, t.params)
	switch {
	case contradicted || !(byProbes || byTraffic):
		t.askAgain(now, r)
		return false
	case now-r.asked < int64(t.params.Ask):
		return false
	case t.tooMany(r):
		t.out.Doubted = append(t.out.Doubted, r.Number)
		return false
	}
	t.fall(now, r)
	return true
}

// confirmed reports whether another prober finds the server down as well, or
// there is none and the own probes have failed for twice as long.
func (t *Table) confirmed(r *row, since int64) bool {
	if len(r.probers) < probers {
		return r.fails >= 2*t.params.Failures
	}
	return slices.ContainsFunc(r.heard, func(s statement) bool {
		return s.from != t.self && s.kind == SaysDown && s.at >= since
	})
}

func (t *Table) askAgain(now int64, r *row) {
	if now-r.asked >= int64(t.params.Fresh) {
		t.ask(now, r)
	}
}

func (t *Table) fall(now int64, r *row) {
	r.fallen = slices.DeleteFunc(r.fallen, func(at int64) bool { return now-at > int64(t.params.Memory) })
	r.fallen = append(r.fallen, now)
	t.announce(now, r, flow.Down)
}

// keepDown ends a verdict that was one too many, or after its time once the
// probes pass and no request fails. Without an endpoint only a trial can tell.
func (t *Table) keepDown(now int64, r *row) {
	if t.excess(r) {
		t.out.Doubted = append(t.out.Doubted, r.Number)
		t.announce(now, r, flow.Recovering)
		return
	}
	held := now-r.condition.Since >= t.hold(r)
	proven := r.URL == "" || r.passes >= t.params.Passes
	if held && proven && !r.traffic.failing(now, t.params) {
		t.announce(now, r, flow.Cold)
	}
}

// hold is the least time down: twice as long for each recent failure.
func (t *Table) hold(r *row) int64 {
	hold := int64(t.params.Hold)
	for range max(0, len(r.fallen)-1) {
		hold = min(2*hold, int64(t.params.MaxHold))
	}
	return hold
}

func (t *Table) keepCold(now int64, r *row) {
	if !t.failed(now, r) && now-r.condition.Since >= int64(r.Ramp) {
		t.announce(now, r, flow.Recovering)
	}
}

// announce makes an announcement. Sequence is a time in milliseconds that never
// goes back, so that a keeper without a memory of earlier ones overtakes them.
func (t *Table) announce(now int64, r *row, c flow.Condition) {
	r.released = false
	r.asked = 0
	r.heard = nil
	r.condition = flow.Announcement{
		Server:    r.Number,
		Condition: c,
		Sequence:  max(r.condition.Sequence+1, uint64(now/int64(time.Millisecond))),
		Since:     now,
	}
	t.out.Announce = append(t.out.Announce, r.condition)
}

// tooMany reports whether half of the service is down already.
func (t *Table) tooMany(r *row) bool {
	down, all := t.downOf(r.Service)
	return len(down) >= all/2
}

// excess reports whether keepers that decided at once have found more than half
// of the service down, and this server is among the last.
func (t *Table) excess(r *row) bool {
	down, all := t.downOf(r.Service)
	if len(down) <= all/2 {
		return false
	}
	slices.SortFunc(down, func(a, b *row) int {
		if a.condition.Since != b.condition.Since {
			return int(a.condition.Since - b.condition.Since)
		}
		return int(a.Number) - int(b.Number)
	})
	return slices.Index(down, r) >= all/2
}

func (t *Table) downOf(service string) (down []*row, all int) {
	for _, r := range t.rows {
		if r.Service != service {
			continue
		}
		all++
		if r.condition.Condition == flow.Down {
			down = append(down, r)
		}
	}
	return down, all
}
