package atmostonce

import (
	"github.com/zeebo/xxh3"

	"balsamfork/internal/request"
)

// Limits of the Table of an owner: the number of entries, and the bytes of the
// answers that it holds.
const (
	MaxEntries     = 1 << 16
	MaxAnswerBytes = 16 << 20
)

// Entry is the state of one key at its owner.
type Entry struct {
	ID      string
	Digest  uint64
	Created int64
	Seq     uint64
	// Done is set once Result is valid. A late answer may still replace an unknown
	// result.
	Done      bool
	Result    request.Result
	expiresAt int64
}

// Table holds the keys that an owner has received, both in progress and completed.
// It is not safe for concurrent use.
type Table struct {
	entries map[string]*Entry
	// completed lists the completed entries, oldest first; withAnswer lists those
	// that may still hold an answer.
	completed   []*Entry
	withAnswer  []*Entry
	answerBytes int
	seq         uint64
	maxEntries  int
	maxBytes    int
}

// NewTable returns an empty table that holds at most the given number of entries
// and bytes of answers.
func NewTable(entries, bytes int) *Table {
	return &Table{entries: make(map[string]*Entry), maxEntries: entries, maxBytes: bytes}
}

// Digest returns a hash of the request that a key stands for. Copies of a request
// have the same digest.
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

// Add creates the entry of a key that has none. If the table is full, it evicts the
// oldest completed entry; it returns nil if all entries are in progress.
func (t *Table) Add(now int64, k *request.Key, digest uint64) *Entry {
	t.removeExpired(now)
	if len(t.entries) >= t.maxEntries && !t.evictCompleted() {
		return nil
	}
	t.seq++
	e := &Entry{ID: k.ID, Digest: digest, Created: k.CreatedAt(), Seq: t.seq}
	t.entries[k.ID] = e
	return e
}

// Finish records the result of an entry, and evicts the oldest answers if the
// table then holds too many bytes.
func (t *Table) Finish(now int64, e *Entry, r request.Result) {
	if !e.Done {
		e.expiresAt = now + int64(Retention)
		t.completed = append(t.completed, e)
	}
	t.answerBytes += r.Size() - e.Result.Size()
	e.Done, e.Result = true, r
	if r.Size() > 0 {
		t.withAnswer = append(t.withAnswer, e)
	}
	for t.answerBytes > t.maxBytes {
		t.evictAnswer()
	}
}

// evictAnswer discards the oldest answer. Its key remains marked as used.
func (t *Table) evictAnswer() {
	e := t.withAnswer[0]
	t.withAnswer[0] = nil
	t.withAnswer = t.withAnswer[1:]
	t.discardAnswer(e)
}

func (t *Table) discardAnswer(e *Entry) {
	if n := e.Result.Size(); n > 0 {
		t.answerBytes -= n
		e.Result = request.UnknownResult(request.Expired)
	}
}

func (t *Table) evictCompleted() bool {
	if len(t.completed) == 0 {
		return false
	}
	e := t.completed[0]
	t.completed[0] = nil
	t.completed = t.completed[1:]
	t.discardAnswer(e)
	for len(t.withAnswer) > 0 && t.withAnswer[0].Result.Size() == 0 {
		t.withAnswer[0] = nil
		t.withAnswer = t.withAnswer[1:]
	}
	delete(t.entries, e.ID)
	return true
}

func (t *Table) removeExpired(now int64) {
	for len(t.completed) > 0 && t.completed[0].expiresAt < now {
		t.evictCompleted()
	}
}
