package overload

import (
	"math"
	"time"
)

// Parameters of the adaptation.
const (
	// adaptInterval is the shortest time between two adaptations.
	adaptInterval = 500 * time.Millisecond
	// firstCutFactor is the least that the first cut of an admitted part leaves of it, and
	// laterCutFactor multiplies it at each later one.
	firstCutFactor = 0.3
	laterCutFactor = 0.7
	// riseStep is added to an admitted part if the load is below Busy.
	riseStep = 0.1
	// freePart is the part of Busy below which an admitted part doubles, without waiting for
	// the effect of the last rise: slots are free, so a refusal would be needless.
	freePart = 0.25
	// keptPart is the part of the room up to Full that is kept for the higher priorities that
	// ask.
	keptPart = 0.25
	// floorPart is the lowest admitted part. It bounds what a wrong load refuses.
	floorPart = 0.05
	// settlePeriod is the time after a cut in which a part rises only by a sum that shows the
	// last adaptation. Without it the part rises several steps before a sum shows the first
	// of them, so a lasting flood fills the service every few seconds. It is bounded, since
	// the rises after a flood would else take some 2 s each.
	settlePeriod = 5 * time.Second
	// cutDelay is the time after a priority's last cut from which a sum shows its effect: the
	// sum covers 0.5 s, queues drain, and callers that servers have shed come back for 0.6 s.
	// With 0.5 s urgent flows were refused while the load of before was still in the sums.
	cutDelay = 2 * time.Second
	// askPeriod is the time for which a priority counts as asking after its last flow.
	askPeriod = 5 * time.Second
	// maxPriorities is the number of priorities that are told apart, so that the state of
	// a service is bounded.
	maxPriorities = 8
	// minorPart is the flows of lower priorities as a part of those of a priority below which
	// it may be limited although they ask: limiting them alone can't end the overload. Above it
	// the load is theirs, or that of open flows, which no limit touches.
	minorPart = 0.25
)

// Admission limits the new flows to one service by priority: the lowest priority first, and
// the next higher one only once the lower one is at its floor. The zero value admits all. It
// is not safe for concurrent use.
//
// All times are in nanoseconds from one origin. Instances whose times have the same origin
// agree on the turns of callers, so that a refused caller is not admitted by the next
// instance in the same second.
type Admission struct {
	priorities [maxPriorities]priority // by rank, the highest priority first
	count      int

	adapted     bool  // an adaptation has taken place, and the next four fields are set
	adaptedAt   int64 // time of the last adaptation
	sumAt       int64 // time of the sum of the last adaptation
	cutAt       int64 // time of the last cut
	effectiveAt int64 // time from which the last cut or rise is in force

	latest int64 // time of the last call
	turn   int64 // number of the turn in force
}

// priority is the state of one priority.
type priority struct {
	rank    int
	part    float64 // admitted part, from floorPart to 1
	askedAt int64
	asked   float64 // flows asked for, halved at each turn
	cutAt   int64   // time of the last cut
	window  window  // callers admitted in the turn in force
}

func (p *priority) asks(now int64) bool { return now-p.askedAt <= int64(askPeriod) }

// Update adapts the admitted parts to the service's load, if the last adaptation is at
// least 0.5 s ago and the load is newer than the one that it used. If nothing recent is
// known, or no server is usable, all parts rise. Room.Age must grow with now while the sums
// stand still, so that the same sums do not count twice.
func (a *Admission) Update(r Room, l Limits, now int64) {
	a.latest = now
	if a.adapted && now-a.adaptedAt < int64(adaptInterval) {
		return
	}
	if !r.counts() || r.Slots <= 0 {
		a.adapted, a.adaptedAt = true, now
		a.riseAll(now)
		return
	}
	sumAt := now - int64(max(r.Age, 0))
	if a.adapted && sumAt <= a.sumAt {
		return
	}
	limit := a.limit(l, now)
	free := r.Load < l.Busy*freePart
	if r.Load < l.Busy && !free && sumAt < a.effectiveAt && now-a.cutAt <= int64(settlePeriod) {
		return
	}
	a.adapted, a.adaptedAt, a.sumAt = true, now, sumAt
	switch {
	case r.Load > limit:
		a.cutLowest(r.Load, limit, sumAt, now)
	case r.Load < l.Busy:
		a.riseHighest(free, now)
	}
}

// limit returns the load above which the lowest priority that asks is cut: Full if it asks
// alone. If a higher one asks too, a quarter of the room up to Full is kept for it: servers
// differ in load, and those with full queues shed urgent requests as well.
func (a *Admission) limit(l Limits, now int64) float64 {
	asking := 0
	for i := range a.priorities[:a.count] {
		if a.priorities[i].asks(now) {
			asking++
		}
	}
	if asking > 1 {
		return l.Full * (1 - keptPart)
	}
	return l.Full
}

// cutFactor returns what multiplies the admitted part at a load above the limit. The first cut
// of a flood is as deep as the load asks for: servers shed until the sums show an overload,
// and long flows that were admitted stay.
func (p *priority) cutFactor(load, limit float64) float64 {
	if p.part < 1 {
		return laterCutFactor
	}
	return min(max(limit/load, firstCutFactor), laterCutFactor)
}

func (a *Admission) riseAll(now int64) {
	for i := range a.priorities[:a.count] {
		a.priorities[i].rise(false)
	}
	a.restoreOrder(now)
}

// cutLowest cuts the lowest priority that asks and is not at its floor. The cut is in force
// at once. A higher priority is cut only if the lower ones ask for little beside it, and by a
// sum that shows their last cut.
func (a *Admission) cutLowest(load, limit float64, sumAt, now int64) {
	lowerCutAt, lowerAsked := int64(math.MinInt64), 0.0
	for i := a.count - 1; i >= 0; i-- {
		p := &a.priorities[i]
		if !p.asks(now) {
			continue
		}
		if lowerAsked > minorPart*p.asked {
			a.restoreOrder(now)
			return
		}
		if p.part > floorPart {
			if sumAt < lowerCutAt+int64(cutDelay) {
				return
			}
			p.part = max(p.part*p.cutFactor(load, limit), floorPart)
			p.window = p.window.narrowed(p.part)
			p.cutAt, a.cutAt, a.effectiveAt = now, now, now
			return
		}
		lowerCutAt, lowerAsked = max(lowerCutAt, p.cutAt), lowerAsked+p.asked
	}
}

// riseHighest lets the highest limited priority that asks rise, the reverse of the order in
// which they were cut. One that has not asked for a turn rises too, but does not keep lower
// ones from it. The rise is in force from the next turn on.
func (a *Admission) riseHighest(free bool, now int64) {
	a.effectiveAt = (now/int64(turnDuration) + 1) * int64(turnDuration)
	risen := false
	for i := range a.priorities[:a.count] {
		p := &a.priorities[i]
		if !risen && p.part < 1 {
			p.rise(free)
			risen = now-p.askedAt <= int64(turnDuration)
		}
	}
	a.restoreOrder(now)
}

func (p *priority) rise(free bool) {
	if free {
		p.part = max(2*p.part, p.part+riseStep)
	} else {
		p.part += riseStep
	}
	if p.part > 1-riseStep/2 { // rounding errors must not cost a further step
		p.part = 1
	}
}

// restoreOrder lifts the limit of each priority for which a lower one asks that is not at
// its floor, or beside which the lower ones ask for much, at once.
func (a *Admission) restoreOrder(now int64) {
	lift, lowerAsked := false, 0.0
	for i := a.count - 1; i >= 0; i-- {
		p := &a.priorities[i]
		if p.part < 1 && (lift || lowerAsked > minorPart*p.asked) {
			p.part = 1
			p.startTurn()
		}
		if p.asks(now) {
			lift = lift || p.part > floorPart
			lowerAsked += p.asked
		}
	}
}

// Level returns the admitted part of the lowest priority that asks, from 0 to 1, as of the
// last call of Update or Admit. It is 1 if none asks.
func (a *Admission) Level() float64 {
	for i := a.count - 1; i >= 0; i-- {
		if p := &a.priorities[i]; p.asks(a.latest) {
			return p.part
		}
	}
	return 1
}

// Admit reports whether a new flow of a caller may go to the service. Rank is the route's
// priority, 0 the highest, and caller a hash of the caller's address without its port. Of a
// priority with an admitted part of a, each caller is admitted in at least one of
// ceil(1/a)+1 turns of a second. A caller that is refused stays refused until the turn ends,
// so that a refusal does not become three attempts. Admit does not allocate.
func (a *Admission) Admit(rank int, caller uint64, now int64) bool {
	a.latest = now
	if number := now / int64(turnDuration); number != a.turn {
		a.turn = number
		for i := range a.priorities[:a.count] {
			a.priorities[i].startTurn()
			a.priorities[i].asked /= 2
		}
	}
	p := a.find(rank, now)
	if !p.asks(now) {
		a.enter(p, now)
	}
	p.askedAt = now
	p.asked++
	return p.window.admits(caller, a.turn)
}

// find returns the state of a priority. If there are too many, the one that has been silent
// for longest makes room, or, if all ask, the next lower one stands for the priority.
func (a *Admission) find(rank int, now int64) *priority {
	at := 0
	for at < a.count && a.priorities[at].rank < rank {
		at++
	}
	if at < a.count && a.priorities[at].rank == rank {
		return &a.priorities[at]
	}
	if a.count == maxPriorities {
		silent := a.longestSilent()
		if a.priorities[silent].asks(now) {
			return &a.priorities[min(at, a.count-1)]
		}
		copy(a.priorities[silent:], a.priorities[silent+1:])
		a.count--
		if silent < at {
			at--
		}
	}
	copy(a.priorities[at+1:a.count+1], a.priorities[at:a.count])
	a.count++
	a.priorities[at] = priority{rank: rank, part: 1, askedAt: now - int64(askPeriod) - 1,
		cutAt: math.MinInt64 / 2}
	return &a.priorities[at]
}

func (a *Admission) longestSilent() int {
	silent := 0
	for i := range a.priorities {
		if a.priorities[i].askedAt < a.priorities[silent].askedAt {
			silent = i
		}
	}
	return silent
}

// enter lets a priority ask that is new or has not asked for some time. It starts at its
// floor while a higher one is limited, since it would be limited first.
func (a *Admission) enter(entering *priority, now int64) {
	for i := range a.priorities[:a.count] {
		p := &a.priorities[i]
		if p.rank >= entering.rank {
			break
		}
		if p.asks(now) && min(p.part, p.window.part) < 1 {
			entering.part = floorPart
		}
	}
	entering.asked, entering.askedAt = 0, now
	a.restoreOrder(now)
	entering.startTurn()
}

// startTurn puts the admitted part in force. Within a turn it is only cut, so that a refused
// caller that tries again is refused again.
func (p *priority) startTurn() { p.window = windowFor(p.part) }
