package exchange

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/catalogue"
)

// at returns a position in the first epoch.
func at(revision uint64) catalogue.Position { return catalogue.Position{Revision: revision} }

// TestAnswersAreCached covers a change that many instances pull at once, as after a
// store that lost all entries has returned.
func TestAnswersAreCached(t *testing.T) {
	is := is.New(t)
	encoded := 0
	encode := func(since catalogue.Position) ([]byte, int64, error) {
		encoded++
		return []byte{byte(since.Revision)}, 77, nil
	}
	var cache answerCache
	for range 100 {
		a, err := cache.answer(at(3), at(9), 1000, encode)
		is.NoErr(err)
		is.Equal(a.delta, []byte{3})
		is.Equal(a.known, int64(77))
	}
	is.Equal(encoded, 1)
	for _, c := range []struct {
		since, until catalogue.Position
		now          int64
	}{
		{at(4), at(9), 1000},                                      // another revision
		{at(3), at(10), 1000},                                     // a newer state
		{at(3), at(10), 1000 + int64(cacheLifetime)},              // too old
		{catalogue.Position{Epoch: 1, Revision: 3}, at(10), 1000}, // another epoch
	} {
		_, err := cache.answer(c.since, c.until, c.now, encode)
		is.NoErr(err)
	}
	is.Equal(encoded, 5)
	for since := range uint64(100) {
		_, err := cache.answer(at(since), at(10), 1000, encode)
		is.NoErr(err)
		is.True(len(cache.answers) <= maxCachedAnswers)
	}
}

func TestFailedAnswerIsNotCached(t *testing.T) {
	is := is.New(t)
	var cache answerCache
	_, err := cache.answer(at(1), at(2), 0, func(catalogue.Position) ([]byte, int64, error) { return nil, 0, errors.New("no") })
	is.True(err != nil)
	is.Equal(len(cache.answers), 0)
}
