package exchange

import (
	"sync"
	"time"

	"balsamfork/internal/catalogue"
)

const (
	// cacheLifetime is how long an encoded answer is reused: the burst of pulls after
	// a change lasts about that long, and the answer is sent with its age.
	cacheLifetime = 300 * time.Millisecond
	// maxCachedAnswers bounds the cached answers: most instances ask for the changes
	// since the same revision.
	maxCachedAnswers = 8
)

// cachedAnswer is an encoded answer to a pull.
type cachedAnswer struct {
	delta []byte
	// until is the position to which the changes lead, known the time as of which
	// they are valid, and encodedAt when they were encoded, in nanoseconds.
	until            catalogue.Position
	known, encodedAt int64
}

// answerCache holds the last answers to pulls, by the position from which their
// changes start. Large changes are pulled by many instances at once, and encoding one
// takes long on a small machine. It is safe for concurrent use.
type answerCache struct {
	mu      sync.Mutex
	answers map[catalogue.Position]cachedAnswer
}

// answer returns a cached answer that leads to the current position, or encodes one;
// its errors are those of encode, and now is in nanoseconds. Concurrent callers wait
// meanwhile, since most of them need the same answer.
func (c *answerCache) answer(since, until catalogue.Position, now int64, encode func(since catalogue.Position) ([]byte, int64, error)) (cachedAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, found := c.answers[since]; found && a.until == until && now-a.encodedAt < int64(cacheLifetime) {
		return a, nil
	}
	delta, known, err := encode(since)
	if err != nil {
		return cachedAnswer{}, err
	}
	a := cachedAnswer{delta: delta, until: until, known: known, encodedAt: now}
	c.store(since, a)
	return a, nil
}

func (c *answerCache) store(since catalogue.Position, a cachedAnswer) {
	if c.answers == nil || len(c.answers) >= maxCachedAnswers {
		c.answers = map[catalogue.Position]cachedAnswer{}
	}
	c.answers[since] = a
}
