package atmostonce

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

const (
	second = int64(time.Second)
	start  = 1000 * second
	// sure is when a member that starts at start knows all keys made from then on.
	sure = start + 4*second
)

func by(seq uint64) Claimant {
	return Claimant{Holder: pair.Holder{ID: "a", Incarnation: 1}, Seq: seq}
}

// TestClaims goes through what a member may and may not grant.
func TestClaims(t *testing.T) {
	is := is.New(t)
	c := NewClaims(start, 2*time.Second, 4)
	now := sure + second
	ask := func(key string, created int64, seq uint64) Verdict {
		v, _ := c.Claim(now, Hash(key), created, by(seq))
		return v
	}
	is.Equal(ask("before", sure, 1), CannotTell) // an earlier run may have granted it
	is.Equal(ask("k", now, 1), Granted)
	is.Equal(ask("k", now, 1), Granted) // the same claim again
	is.Equal(ask("k", now, 2), Denied)
	is.Equal(ask("ahead", now+3*second, 1), CannotTell)
	for i := range 4 {
		is.Equal(ask(fmt.Sprint(i), now+int64(i), 1), Granted)
	}
	is.Equal(c.Len(), 4)
	is.Equal(ask("k", now, 3), CannotTell) // dropped for room
	now += int64(Retention) + second
	is.Equal(ask("0", now-int64(Retention)-second, 3), Denied)
	is.Equal(ask("old", now-int64(Retention)-1, 3), CannotTell)
	c.SetAlone(now, true)
	is.Equal(ask("alone", now, 1), CannotTell)
	c.SetAlone(now, false)
	is.Equal(ask("alone", now+second, 1), CannotTell)
	now += 4*second + 2
	is.Equal(ask("in contact", now, 1), Granted)
	c.SetLeaving(now)
	is.Equal(ask("late", now, 3), CannotTell)
	is.Equal(ask("early", now-1, 3), Granted)
	now += int64(Retention) + 10*second
	is.Equal(ask("0", now-2*int64(Retention), 3), CannotTell)
	is.Equal(c.Len(), 0)
}

// TestTable bounds entries and bytes, and never forgets that a key was used while
// its entry is held.
func TestTable(t *testing.T) {
	is := is.New(t)
	table := NewTable(8, 100)
	add := func(id string) *Entry { return table.Add(start, &request.Key{ID: id, Created: 1}, 7) }
	var all []*Entry
	for i := range 8 {
		all = append(all, add(fmt.Sprint(i)))
	}
	is.Equal(add("full"), nil)
	body := request.Result{Status: request.Answered, Value: make([]byte, 40)}
	for _, e := range all[:4] {
		table.Finish(start, e, body)
	}
	is.Equal(all[0].Result, request.Unsure(request.Expired)) // its answer was dropped
	is.Equal(all[3].Result, body)
	is.True(table.bytes <= 100)
	is.True(add("more") != nil)
	is.Equal(table.Find("0"), nil)
	is.Equal(table.Len(), 8)
	table.Finish(start, all[4], request.Unsure(request.Lost))
	table.Finish(start, all[4], body) // a late answer
	is.Equal(table.Find("4").Result, body)
	table.forget(start + int64(Retention) + 1)
	is.Equal(table.Len(), 4) // those in progress
	is.Equal(table.bytes, 0)
}

// TestDigest tells requests apart by everything that matters.
func TestDigest(t *testing.T) {
	is := is.New(t)
	seen := make(map[uint64]bool)
	for _, r := range []request.Request{
		{Service: "s", Method: "m"}, {Service: "sm"}, {Service: "s", Method: "m", Repeatable: true},
		{Service: "s", Method: "m", Params: []byte("1")}, {Service: "s", Method: "m", Key: request.Key{Home: "a"}},
	} {
		seen[Digest(&r)] = true
	}
	is.Equal(len(seen), 5)
	is.Equal(Digest(&request.Request{TimeoutMs: 1}), Digest(&request.Request{TimeoutMs: 2}))
}
