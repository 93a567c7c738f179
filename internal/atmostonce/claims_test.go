package atmostonce

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/request"
)

// A member says what it knows: it withholds new keys while it leaves, and cannot
// tell of keys that an earlier run of it may have granted.
func TestClaimVerdicts(t *testing.T) {
	is := is.New(t)
	const start = int64(time.Hour)
	certain := start + int64(time.Second+request.MaxAhead) + 1
	leaves := certain + int64(time.Second)
	c := NewClaims(start, time.Second, 10)
	by, rival := Claimant{Seq: 1}, Claimant{Seq: 2}
	claim := func(now int64, id string, created int64, by Claimant) Verdict {
		v, _ := c.Claim(now, Hash(id), created, by)
		return v
	}
	is.Equal(claim(certain, "early", certain-1, by), CannotTell)
	is.Equal(claim(certain, "a", certain, by), Granted)
	is.Equal(claim(certain, "a", certain, by), Granted)
	is.Equal(claim(certain, "a", certain, rival), Denied)
	c.SetLeaving(leaves)
	is.Equal(claim(leaves, "b", leaves-1, by), Granted)     // created before it left
	is.Equal(claim(leaves, "c", leaves, by), Withheld)      // known, and given to nobody
	is.Equal(claim(leaves, "c", leaves, rival), Withheld)   // not to a rival either
	is.Equal(claim(leaves, "b", leaves-1, rival), Denied)   // what was granted stays granted
	is.Equal(claim(leaves, "d", certain-1, by), CannotTell) // an earlier run may have
	old := leaves + int64(Retention) + 1
	is.Equal(claim(old, "e", leaves, by), CannotTell) // a claim may have been forgotten
}
