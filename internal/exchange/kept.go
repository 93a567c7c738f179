package exchange

import (
	"sync"
	"time"
)

const (
	// keepFor is how long an encoded answer serves others: a wave of pulls after a
	// change lasts about that long, and its age is told with it.
	keepFor = 300 * time.Millisecond
	// keepMost bounds the answers that are kept: most instances ask from the same
	// revision on.
	keepMost = 8
)

// given is an encoded answer to a pull.
type given struct {
	delta []byte
	// until is the revision to which the changes lead, known the time as of which
	// they are told, and encoded when they were.
	until          uint64
	known, encoded int64
}

// kept holds the last answers to pulls, by the revision from which they lead on. Large
// changes are pulled by many instances at once, and encoding one takes long on a small
// machine. It may be used by several goroutines.
type kept struct {
	mu      sync.Mutex
	answers map[uint64]given
}

// answer returns a kept answer that leads to the present revision, or encodes one;
// its errors are those of encode, and now is in nanoseconds. Others wait meanwhile,
// since they mostly want the same.
func (k *kept) answer(since, until uint64, now int64, encode func(since uint64) ([]byte, int64, error)) (given, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a, found := k.answers[since]; found && a.until == until && now-a.encoded < int64(keepFor) {
		return a, nil
	}
	delta, known, err := encode(since)
	if err != nil {
		return given{}, err
	}
	a := given{delta: delta, until: until, known: known, encoded: now}
	k.keep(since, a)
	return a, nil
}

func (k *kept) keep(since uint64, a given) {
	if k.answers == nil || len(k.answers) >= keepMost {
		k.answers = map[uint64]given{}
	}
	k.answers[since] = a
}
