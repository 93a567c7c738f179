// Package atmostonce keeps what is needed to run a request that may not be
// repeated at most once. Before such a request is sent to a backend server, both
// instances of the pair of its key must have recorded the claim of the one attempt
// that may run it, so that there is only one. A claim that one of them has recorded
// and that is then given up keeps the key from ever being run. What a member cannot know, because it has restarted,
// has dropped it, or the key is too old, it never claims to know. The package does
// no I/O.
package atmostonce

import (
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Retention is how long after its creation a key may still be run or answered.
// Later copies are answered unknown.
const Retention = 2 * time.Minute

// MaxClaims bounds the claims that an instance holds.
const MaxClaims = 1 << 18

// Claimant is the one entry of an owner's table that claims a key.
type Claimant struct {
	Holder pair.Holder `json:"holder"`
	Seq    uint64      `json:"seq"`
}

// KeyHash stands for the ID of a key among the claims.
type KeyHash = xxh3.Uint128

// Hash returns the hash of a key's ID.
func Hash(id string) KeyHash { return xxh3.HashString128(id) }

// Verdict is the answer to a claim.
type Verdict uint8

// The verdicts on a claim. CannotTell means that the member does not know whether
// the key was claimed before.
const (
	Granted Verdict = iota + 1
	Denied
	CannotTell
	// Disagree means that the member sees another pair for the key; it may see the
	// same one a little later.
	Disagree
)

type claim struct {
	by      Claimant
	created int64
}

type claimAge struct {
	key KeyHash
	// until is when no member would grant the key any more.
	until int64
}

// Claims is the table of a member. It must not be used by several goroutines at
// once. Times are in nanoseconds of Unix time.
type Claims struct {
	most   int
	settle time.Duration
	// from is the earliest creation, and horizon the latest one among those
	// dropped early: only keys created after both are known for certain.
	from, horizon int64
	// before is the latest creation while the instance leaves.
	before int64
	// alone is set while instances that count have never been in contact with this
	// one since its start.
	alone bool
	byKey map[KeyHash]claim
	ages  []claimAge
}

// NewClaims returns the table of an instance that starts now, for at most so many
// claims. Settle is pair.Timing.Settle.
func NewClaims(now int64, settle time.Duration, most int) *Claims {
	return &Claims{
		most:   most,
		settle: settle,
		from:   now + int64(settle+request.MaxAhead),
		byKey:  make(map[KeyHash]claim),
	}
}

// SetLeaving makes the member grant no key that is created from now on.
func (c *Claims) SetLeaving(now int64) {
	if c.before == 0 {
		c.before = now
	}
}

// NotBefore makes the member grant no key that was created earlier.
func (c *Claims) NotBefore(created int64) { c.from = max(c.from, created) }

// SetAlone says whether an instance of the data centre that counts has not been in
// contact with this one since its start: what its earlier run granted may then
// still be acted on, and others may not know that this one is back.
func (c *Claims) SetAlone(now int64, alone bool) {
	if c.alone && !alone {
		c.from = max(c.from, now+int64(c.settle+request.MaxAhead))
	}
	c.alone = alone
}

// Claim records a claim, or says by whom the key was claimed.
func (c *Claims) Claim(now int64, key KeyHash, created int64, by Claimant) (Verdict, Claimant) {
	c.forget(now)
	if old, found := c.byKey[key]; found {
		if old.by == by {
			return Granted, by
		}
		return Denied, old.by
	}
	if !c.tells(now, created) {
		return CannotTell, Claimant{}
	}
	if len(c.byKey) >= c.most {
		c.drop()
	}
	c.byKey[key] = claim{by: by, created: created}
	c.ages = append(c.ages, claimAge{key: key, until: now + int64(Retention+request.MaxAhead+c.settle)})
	return Granted, by
}

// tells reports whether an unknown key that was created then was never claimed.
func (c *Claims) tells(now, created int64) bool {
	if Expired(now, created) || created > now+int64(request.MaxAhead) {
		return false
	}
	if c.before != 0 && created >= c.before {
		return false
	}
	return !c.alone && created > c.from && created > c.horizon
}

// Expired reports whether a key created then may no longer be run.
func Expired(now, created int64) bool { return now-created > int64(Retention) }

// forget drops the claims that are of no use any more.
func (c *Claims) forget(now int64) {
	n := 0
	for n < len(c.ages) && c.ages[n].until < now {
		delete(c.byKey, c.ages[n].key)
		n++
	}
	c.ages = c.ages[n:]
}

// drop makes room by forgetting the oldest claim; keys created no later than it
// are then not known any more.
func (c *Claims) drop() {
	old := c.ages[0]
	c.ages = c.ages[1:]
	c.horizon = max(c.horizon, c.byKey[old.key].created)
	delete(c.byKey, old.key)
}

// Len returns the number of claims held.
func (c *Claims) Len() int { return len(c.byKey) }
