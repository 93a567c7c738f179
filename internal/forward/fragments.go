package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"balsamfork/internal/flow"
	"balsamfork/internal/packet"
)

const (
	// fragmentSlots is the maximum number of fragmented packets with a stored verdict.
	fragmentSlots = 4096
	// waitingSlots is the maximum number of fragments waiting for a first fragment.
	waitingSlots = 64
	// maxWaitingSize is the maximum size of a waiting fragment, in bytes.
	maxWaitingSize = 2048
	// verdictLifetime is how long the verdict on a first fragment is kept, in
	// nanoseconds.
	verdictLifetime = int64(5 * time.Second)
	// waitingTimeout is how long a fragment waits for the first fragment, in
	// nanoseconds.
	waitingTimeout = int64(500 * time.Millisecond)
)

// fragmentTable stores the verdicts on first fragments, and later fragments that
// arrived before their first fragment. Its size is fixed: on a hash collision
// the newer packet replaces the older one.
type fragmentTable struct {
	slots [fragmentSlots]fragmentSlot

	mu           sync.Mutex
	waiting      [waitingSlots]waitingFragment
	next         int
	waitingCount atomic.Int32
}

type fragmentSlot struct {
	mu        sync.Mutex
	key       packet.FragmentKey
	verdict   flow.Verdict
	expiresAt int64
}

type waitingFragment struct {
	key       packet.FragmentKey
	expiresAt int64
	// buf holds maxHeaderSize bytes for a GRE header, then the IP packet.
	buf  [maxHeaderSize + maxWaitingSize]byte
	size int
	hops uint8
}

// record stores the verdict on a first fragment.
func (f *fragmentTable) record(now int64, key packet.FragmentKey, v flow.Verdict) {
	slot := &f.slots[key.Hash()%fragmentSlots]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.key, slot.verdict, slot.expiresAt = key, v, now+verdictLifetime
}

// lookUp returns the verdict on the first fragment of the packet with the given
// key, or false if none is stored or it has expired.
func (f *fragmentTable) lookUp(now int64, key packet.FragmentKey) (flow.Verdict, bool) {
	slot := &f.slots[key.Hash()%fragmentSlots]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.key != key || slot.expiresAt < now {
		return flow.Verdict{}, false
	}
	return slot.verdict, true
}

// addWaiting stores a later fragment until its first fragment arrives. The slots
// are reused in turn, so that the oldest fragment is replaced. It returns false if
// the fragment is too large.
func (f *fragmentTable) addWaiting(now int64, d *packet.Decoder) bool {
	if len(d.Inner) > maxWaitingSize {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.waiting[f.next]
	f.next = (f.next + 1) % waitingSlots
	if w.size == 0 {
		f.waitingCount.Add(1)
	}
	w.key, w.expiresAt, w.hops = d.Fragment.Key, now+waitingTimeout, d.Packet.Hops
	w.size = copy(w.buf[maxHeaderSize:], d.Inner)
	return true
}

// takeWaiting moves one fragment that waits for key into dst, and returns false
// if there is none. It drops the expired fragments that it comes across.
func (f *fragmentTable) takeWaiting(now int64, key packet.FragmentKey, dst *waitingFragment) bool {
	if f.waitingCount.Load() == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.waiting {
		w := &f.waiting[i]
		if w.size == 0 {
			continue
		}
		matches := w.key == key && w.expiresAt >= now
		if matches {
			*dst = *w
		}
		if matches || w.expiresAt < now {
			w.size = 0
			f.waitingCount.Add(-1)
		}
		if matches {
			return true
		}
	}
	return false
}
