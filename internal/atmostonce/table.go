package atmostonce

import (
	"github.com/zeebo/xxh3"

	"balsamfork/internal/request"
)

// Bounds of the table of an owner.
const (
	MaxEntries     = 1 << 16
	MaxAnswerBytes = 16 << 20
)

// Entry is one key at its owner.
type Entry struct {
	ID      string
	Digest  uint64
	Created int64
	Seq     uint64
	// Done is set once Result holds. A late answer may still replace an unknown
	// result.
	Done   bool
	Result request.Result
	until  int64
}

// Table is the keys that an owner has met, in progress and done. It must not be
// used by several goroutines at once.
type Table struct {
	entries map[string]*Entry
	// done is the entries that are done, oldest first; bodies is the part of it
	// that may still hold its answer.
	done   []*Entry
	bodies []*Entry
	bytes  int
	seq    uint64
	most   int
	room   int
}

// NewTable returns an empty table for so many entries and bytes of answers.
func NewTable(entries, bytes int) *Table {
	return &Table{entries: make(map[string]*Entry), most: entries, room: bytes}
}

// Digest sums up what a key stands for. Copies of a request have the same.
func Digest(r *request.Request) uint64 {
	var h xxh3.Hasher
	for _, s := range [...]string{r.Service, r.Method, r.Key.Home} {
		h.WriteString(s)
		h.Write([]byte{0})
	}
	if r.Repeatable {
		h.Write([]byte{1})
	}
	h.Write(r.Params)
	return h.Sum64()
}

// Find returns the entry of a key, or nil.
func (t *Table) Find(id string) *Entry { return t.entries[id] }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Add makes an entry for a key that has none. It drops done entries to make room,
// and returns nil if all are in progress.
func (t *Table) Add(now int64, k *request.Key, digest uint64) *Entry {
	t.forget(now)
	if len(t.entries) >= t.most && !t.dropDone() {
		return nil
	}
	t.seq++
	e := &Entry{ID: k.ID, Digest: digest, Created: k.CreatedAt(), Seq: t.seq}
	t.entries[k.ID] = e
	return e
}

// Finish records the result of an entry.
func (t *Table) Finish(now int64, e *Entry, r request.Result) {
	if !e.Done {
		e.until = now + int64(Retention)
		t.done = append(t.done, e)
	}
	t.bytes += r.Size() - e.Result.Size()
	e.Done, e.Result = true, r
	if r.Size() > 0 {
		t.bodies = append(t.bodies, e)
	}
	for t.bytes > t.room {
		t.dropBody()
	}
}

// dropBody gives up the oldest answer: its key stays used.
func (t *Table) dropBody() {
	e := t.bodies[0]
	t.bodies[0] = nil
	t.bodies = t.bodies[1:]
	t.clear(e)
}

func (t *Table) clear(e *Entry) {
	if n := e.Result.Size(); n > 0 {
		t.bytes -= n
		e.Result = request.Unsure(request.Expired)
	}
}

func (t *Table) dropDone() bool {
	if len(t.done) == 0 {
		return false
	}
	e := t.done[0]
	t.done[0] = nil
	t.done = t.done[1:]
	t.clear(e)
	for len(t.bodies) > 0 && t.bodies[0].Result.Size() == 0 {
		t.bodies[0] = nil
		t.bodies = t.bodies[1:]
	}
	delete(t.entries, e.ID)
	return true
}

func (t *Table) forget(now int64) {
	for len(t.done) > 0 && t.done[0].until < now {
		t.dropDone()
	}
}
