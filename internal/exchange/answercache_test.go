package exchange

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestAnswersAreCached covers a change that many instances pull at once, as after a
// store that lost all entries has returned.
func TestAnswersAreCached(t *testing.T) {
	is := is.New(t)
	encoded := 0
	encode := func(since uint64) ([]byte, int64, error) {
		encoded++
		return []byte{byte(since)}, 77, nil
	}
	var cache answerCache
	for range 100 {
		a, err := cache.answer(3, 9, 1000, encode)
		is.NoErr(err)
		is.Equal(a.delta, []byte{3})
		is.Equal(a.known, int64(77))
	}
	is.Equal(encoded, 1)
	for _, c := range []struct {
		since, until uint64
		now          int64
	}{
		{4, 9, 1000},                         // another revision
		{3, 10, 1000},                        // a newer state
		{3, 10, 1000 + int64(cacheLifetime)}, // too old
	} {
		_, err := cache.answer(c.since, c.until, c.now, encode)
		is.NoErr(err)
	}
	is.Equal(encoded, 4)
	for since := range uint64(100) {
		_, err := cache.answer(since, 10, 1000, encode)
		is.NoErr(err)
		is.True(len(cache.answers) <= maxCachedAnswers)
	}
}

func TestFailedAnswerIsNotCached(t *testing.T) {
	is := is.New(t)
	var cache answerCache
	_, err := cache.answer(1, 2, 0, func(uint64) ([]byte, int64, error) { return nil, 0, errors.New("no") })
	is.True(err != nil)
	is.Equal(len(cache.answers), 0)
}
