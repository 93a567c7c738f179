package overload

import (
	"math/rand/v2"
	"time"
)

// loop is a closed loop of one service and its admission. A step takes one service time, in
// which each slot serves one request. Sums are taken every 0.5 s and arrive 0.5 s later, so
// that they are 0.5 to 1 s old. Servers shed what exceeds their queues. A refused or shed flow
// comes back after 200 ms and after 600 ms.
type loop struct {
	admission Admission
	limits    Limits
	slots     int
	now       int64
	kinds     []kind
	random    *rand.Rand
	// report changes what is known of the room, if set.
	report func(Room) Room
	// withPlaced adds to a sum what has been admitted since.
	withPlaced bool

	queue     int
	work      int // work in progress, summed over the steps since the last sum
	sum, next Room
	admitted  [2]int // since the last sum, and between the last two
	sumAt     int64
	retries   map[int64][]attempt
	served    int
	loads     []float64 // the sums
}

const (
	loopStep      = 50 * ms
	sumInterval   = 500 * ms
	updateEvery   = 250 * ms
	queuePerSlot  = 4
	callersByKind = 300
)

// kind is a kind of flow, with what became of its flows.
type kind struct {
	rank                 int
	rate                 float64 // flows a second, without those that come back
	asked, refused, shed int
	due                  float64
}

type attempt struct {
	kind   int
	caller uint64
	tries  int
}

func newLoop(slots int, kinds ...kind) *loop {
	return &loop{limits: LimitsFor(400*time.Millisecond, time.Duration(loopStep)), slots: slots, kinds: kinds,
		random: rand.New(rand.NewPCG(1, 2)), retries: map[int64][]attempt{}}
}

// run runs the loop for a time, and returns what was served as a part of the capacity.
func (l *loop) run(d time.Duration) float64 {
	l.served, l.loads = 0, nil
	for i := range l.kinds {
		l.kinds[i].asked, l.kinds[i].refused, l.kinds[i].shed = 0, 0, 0
	}
	steps := int(int64(d) / loopStep)
	capacity := 0
	for range steps {
		l.step()
		capacity += l.slots
	}
	return float64(l.served) / float64(capacity)
}

func (l *loop) step() {
	l.now += loopStep
	attempts := l.retries[l.now]
	delete(l.retries, l.now)
	for i := range l.kinds {
		k := &l.kinds[i]
		for k.due += k.rate * float64(loopStep) / float64(sec); k.due >= 1; k.due-- {
			attempts = append(attempts, attempt{i, uint64(i*callersByKind + l.random.IntN(callersByKind)), 0})
		}
	}
	l.random.Shuffle(len(attempts), func(i, j int) { attempts[i], attempts[j] = attempts[j], attempts[i] })
	for _, a := range attempts {
		l.open(a)
	}
	l.work += l.queue
	served := min(l.queue, l.slots)
	l.queue -= served
	l.served += served
	if l.now%sumInterval == 0 {
		l.sum = l.next
		l.admitted = [2]int{0, l.admitted[0]}
		l.sumAt = l.now - sumInterval
		l.next = Room{Load: float64(l.work) / float64(sumInterval/loopStep) / float64(l.slots), Slots: l.slots, Known: true}
		l.work = 0
		l.loads = append(l.loads, l.next.Load)
	}
	if l.now%updateEvery == 0 {
		r := l.sum
		r.Age = time.Duration(l.now - l.sumAt)
		if l.withPlaced {
			r.ServiceTime = time.Duration(loopStep)
			r = r.WithPlaced(float64(l.admitted[0]+l.admitted[1]), r.Age)
		}
		if l.report != nil {
			r = l.report(r)
		}
		l.admission.Update(r, l.limits, l.now)
	}
}

func (l *loop) open(a attempt) {
	k := &l.kinds[a.kind]
	k.asked++
	admitted := l.admission.Admit(k.rank, a.caller, l.now)
	if admitted {
		l.admitted[0]++
	}
	if admitted && l.queue < l.slots*(1+queuePerSlot) {
		l.queue++
		return
	}
	if admitted {
		k.shed++
	} else {
		k.refused++
	}
	if a.tries < 2 {
		at := l.now + int64(200+200*a.tries)*ms
		l.retries[at] = append(l.retries[at], attempt{a.kind, a.caller, a.tries + 1})
	}
}
