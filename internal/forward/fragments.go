package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"balsamfork/internal/flow"
	"balsamfork/internal/packet"
)

const (
	// fragmentSlots bounds the fragmented packets that are remembered at once.
	fragmentSlots = 4096
	// waitingSlots bounds the fragments that wait for the first one of theirs.
	waitingSlots = 64
	// waitingPacket is the largest fragment that may wait, in bytes.
	waitingPacket = 2048
	// fragmentLife is how long the first fragment's way is remembered.
	fragmentLife = int64(5 * time.Second)
	// waitingLife is how long a fragment waits for the first one.
	waitingLife = int64(500 * time.Millisecond)
)

// fragments remembers where the first fragments of packets went, and holds
// later fragments that came before them. A colliding packet takes the place of
// an older one, so that its size is fixed.
type fragments struct {
	slots [fragmentSlots]fragmentSlot

	mu      sync.Mutex
	waiting [waitingSlots]waitingFragment
	next    int
	count   atomic.Int32
}

type fragmentSlot struct {
	mu      sync.Mutex
	key     packet.FragmentKey
	verdict flow.Verdict
	until   int64
}

type waitingFragment struct {
	key   packet.FragmentKey
	until int64
	// buf holds room for a GRE header, then the IP packet.
	buf  [headerRoom + waitingPacket]byte
	size int
	hops uint8
}

// remember notes the verdict on a first fragment.
func (f *fragments) remember(now int64, key packet.FragmentKey, v flow.Verdict) {
	slot := &f.slots[key.Hash()%fragmentSlots]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.key, slot.verdict, slot.until = key, v, now+fragmentLife
}

// find returns the verdict on the first fragment of the same packet.
func (f *fragments) find(now int64, key packet.FragmentKey) (flow.Verdict, bool) {
	slot := &f.slots[key.Hash()%fragmentSlots]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.key != key || slot.until < now {
		return flow.Verdict{}, false
	}
	return slot.verdict, true
}

// hold keeps a later fragment until its first one comes. The oldest held
// fragment makes room. It returns false if the fragment is too large.
func (f *fragments) hold(now int64, d *packet.Decoder) bool {
	if len(d.Inner) > waitingPacket {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &f.waiting[f.next]
	f.next = (f.next + 1) % waitingSlots
	if w.size == 0 {
		f.count.Add(1)
	}
	w.key, w.until, w.hops = d.Fragment.Key, now+waitingLife, d.Packet.Hops
	w.size = copy(w.buf[headerRoom:], d.Inner)
	return true
}

// take moves one fragment that waits for key into dst, and returns false if
// there is none. Fragments that have waited too long are given up on the way.
func (f *fragments) take(now int64, key packet.FragmentKey, dst *waitingFragment) bool {
	if f.count.Load() == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.waiting {
		w := &f.waiting[i]
		if w.size == 0 {
			continue
		}
		found := w.key == key && w.until >= now
		if found {
			*dst = *w
		}
		if found || w.until < now {
			w.size = 0
			f.count.Add(-1)
		}
		if found {
			return true
		}
	}
	return false
}
