package watch

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// regularInterval is the interval between reads of a regular reader: six reads
	// within the platform's shortest bound for a change to take effect (3 s).
	regularInterval = 500 * time.Millisecond
	// minTakeoverDelay and maxTakeoverDelay limit the takeover delay of instances that
	// are not regular readers: a single lost digest does not make any of them read,
	// and one of them takes over within the same bound of 3 s.
	minTakeoverDelay = 1200 * time.Millisecond
	maxTakeoverDelay = 2200 * time.Millisecond
	// onDemandInterval is the minimum time between a read and the next one triggered by
	// a packet: a packet that still cannot be decided is retransmitted after 200 ms.
	onDemandInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed read: an instance that
	// the store rejects relies on what its peers pass on.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// sharedRetryInterval is the mean time between the retries of all instances of a
	// data centre while the store fails: the first that succeeds passes on what it has
	// read. maxSharedRetryDelay bounds the delay of one instance, whose peers may be
	// gone.
	sharedRetryInterval = 100 * time.Millisecond
	maxSharedRetryDelay = 10 * time.Second
	// settlingTime is how long a regular reader has been one before it waits for changes
	// and asks for standbys: while instances start, several are regular readers for a moment.
	settlingTime = 1500 * time.Millisecond
	// standbyPeriod is how long an instance is a standby after a regular reader has asked
	// for it. It covers the loss of that reader: another takes over within
	// maxTakeoverDelay, and asks for standbys itself after settlingTime.
	standbyPeriod = 5 * time.Second
)

// Plan schedules this instance's reads of the store. Times are nanoseconds of the
// monotonic clock. It is safe for concurrent use.
type Plan struct {
	mu            sync.Mutex
	takeoverDelay time.Duration
	lastRead      int64
	// regularRead is the time of the last read as a regular reader, 0 if this instance
	// is not one. It becomes one when its takeover delay has passed, not by its first
	// read or by reads that packets trigger.
	regularRead int64
	// regularSince is since when it has been one.
	regularSince int64
	failedAt     int64
	// backoff is the delay after the last failure, by which reads that packets trigger
	// are delayed too. retryDelay is that of the next planned read.
	backoff, retryDelay time.Duration
	// standbyUntil is the end of the last standbyPeriod. started receives a value when this
	// instance may have to start waiting for changes.
	standbyUntil int64
	started      chan struct{}
	random       *rand.Rand
}

// NewPlan returns a Plan with a random takeover delay, for an instance that has not
// read yet.
func NewPlan(random *rand.Rand) *Plan {
	takeoverDelay := minTakeoverDelay + time.Duration(random.Int64N(int64(maxTakeoverDelay-minTakeoverDelay)))
	return &Plan{takeoverDelay: takeoverDelay, started: make(chan struct{}, 1), random: random}
}

// NextRead returns the time of the next read, given the time at which the catalogue
// was last known to be complete, 0 for never, and the number of other instances in the
// data centre. An instance that is alone reads only for itself, and less often.
func (p *Plan) NextRead(known int64, peers int) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known == 0 {
		return p.failedAt + int64(p.backoff)
	}
	if p.regularRead != 0 && peers > 0 {
		return p.regularRead + int64(regularInterval)
	}
	return max(known+int64(p.takeoverDelay), p.failedAt+int64(p.retryDelay))
}

// Regular reports whether this instance is a regular reader.
func (p *Plan) Regular() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.regularRead != 0
}

// Yield makes this instance stop being a regular reader, in favour of another.
func (p *Plan) Yield() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regularRead = 0
}

// StandBy makes this instance a standby for standbyPeriod: it waits for changes of the
// store beside the regular reader.
func (p *Plan) StandBy(now int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standbyUntil = now + int64(standbyPeriod)
	p.notify()
}

// Settled reports whether this instance has been a regular reader for a while.
func (p *Plan) Settled(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled(now)
}

func (p *Plan) settled(now int64) bool {
	return p.regularRead != 0 && now-p.regularSince >= int64(settlingTime)
}

// Awaits reports whether this instance waits for changes of the store: it is a settled
// regular reader or a standby.
func (p *Plan) Awaits(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled(now) || now < p.standbyUntil
}

func (p *Plan) notify() {
	select {
	case p.started <- struct{}{}:
	default:
	}
}

// MayRead reports whether a packet may trigger a read at the given time.
func (p *Plan) MayRead(now int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backoff > 0 && now < p.failedAt+int64(p.backoff) {
		return false
	}
	return p.lastRead == 0 || now >= p.lastRead+int64(onDemandInterval)
}

// RecordSuccess records a successful read that began at the given time; planned is
// false if a packet triggered it.
func (p *Plan) RecordSuccess(began int64, planned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if planned && p.lastRead != 0 {
		if p.regularRead == 0 {
			p.regularSince = began
		}
		p.regularRead = began
		p.notify()
	}
	p.lastRead, p.failedAt, p.backoff, p.retryDelay = began, 0, 0, 0
}

// RecordFailure records a failed read. The data centre has the given number of other
// instances, which probably fail as well and share the retries.
func (p *Plan) RecordFailure(now int64, peers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt, p.regularRead = now, 0
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	shared := min(time.Duration(peers+1)*sharedRetryInterval, maxSharedRetryDelay)
	p.retryDelay = max(p.backoff, time.Duration(p.random.Int64N(2*int64(shared))))
}
