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
	// knownAfter is the creation time after which a member that starts at start
	// knows all claims.
	knownAfter = start + 4*second
)

func claimant(seq uint64) Claimant {
	return Claimant{Holder: pair.Holder{ID: "a", Incarnation: 1}, Seq: seq}
}

// TestClaimVerdicts checks which claims a member grants: after a start, after an
// eviction, while it awaits contact and while it leaves.
func TestClaimVerdicts(t *testing.T) {
	is := is.New(t)
	c := NewClaims(start, 2*time.Second, 4)
	now := knownAfter + second
	submit := func(key string, created int64, seq uint64) Verdict {
		v, _ := c.Claim(now, Hash(key), created, claimant(seq))
		return v
	}
	is.Equal(submit("before", knownAfter, 1), CannotTell) // an earlier run may have granted it
	is.Equal(submit("k", now, 1), Granted)
	is.Equal(submit("k", now, 1), Granted) // the same claim again
	is.Equal(submit("k", now, 2), Denied)
	is.Equal(submit("ahead", now+3*second, 1), CannotTell)
	for i := range 4 {
		is.Equal(submit(fmt.Sprint(i), now+int64(i), 1), Granted)
	}
	is.Equal(c.Len(), 4)
	is.Equal(submit("k", now, 3), CannotTell) // evicted to make room
	now += int64(Retention) + second
	is.Equal(submit("0", now-int64(Retention)-second, 3), Denied)
	is.Equal(submit("old", now-int64(Retention)-1, 3), CannotTell)
	c.SetAwaitingContact(now, true)
	is.Equal(submit("alone", now, 1), CannotTell)
	c.SetAwaitingContact(now, false)
	is.Equal(submit("alone", now+second, 1), CannotTell)
	now += 4*second + 2
	is.Equal(submit("in contact", now, 1), Granted)
	c.SetLeaving(now)
	is.Equal(submit("late", now, 3), CannotTell)
	is.Equal(submit("early", now-1, 3), Granted)
	now += int64(Retention) + 10*second
	is.Equal(submit("0", now-2*int64(Retention), 3), CannotTell)
	is.Equal(c.Len(), 0)
}

// TestTableLimits checks the limits on entries and bytes, and that a key remains
// marked as used after its answer is evicted.
func TestTableLimits(t *testing.T) {
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
	is.Equal(all[0].Result, request.UnknownResult(request.Expired)) // its answer was evicted
	is.Equal(all[3].Result, body)
	is.True(table.answerBytes <= 100)
	is.True(add("more") != nil)
	is.Equal(table.Find("0"), nil)
	is.Equal(table.Len(), 8)
	table.Finish(start, all[4], request.UnknownResult(request.AnswerLost))
	table.Finish(start, all[4], body) // a late answer
	is.Equal(table.Find("4").Result, body)
	table.removeExpired(start + int64(Retention) + 1)
	is.Equal(table.Len(), 4) // those in progress
	is.Equal(table.answerBytes, 0)
}

// TestDigestDistinguishesRequests checks that the digest covers service, method,
// repeatability, parameters and home, and not the timeout.
func TestDigestDistinguishesRequests(t *testing.T) {
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
