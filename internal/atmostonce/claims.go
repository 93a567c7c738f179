// Package atmostonce holds the state that ensures that a non-repeatable request
// runs at most once. Before such a request is sent to a backend server, both
// instances of the pair responsible for its key must have recorded the claim of
// the same attempt, so that no other attempt can run it. If only one of them
// records a claim and the attempt is then abandoned, the request never runs. A
// member answers CannotTell if it cannot know whether a key was claimed, because
// it has restarted or may have evicted the claim, or because the key is too old.
// The package does no I/O.
package atmostonce

import (
	"time"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/pair"
	"balsamfork/internal/request"
)

// Retention is how long after the creation of its key a non-repeatable request may
// still be run. If it is received later and its result is not known, it is answered
// with status unknown. Table keeps the entry of a completed request for as long
// after its completion.
const Retention = 2 * time.Minute

// MaxClaims is the maximum number of claims that an instance holds.
const MaxClaims = 1 << 18

// Claimant identifies the entry in an owner's Table that claims a key.
type Claimant struct {
	Holder pair.Holder `json:"holder"`
	Seq    uint64      `json:"seq"`
}

// KeyHash is the hash of a key's ID, by which Claims indexes it.
type KeyHash = xxh3.Uint128

// Hash returns the hash of a key's ID.
func Hash(id string) KeyHash { return xxh3.HashString128(id) }

// Verdict is the answer to a claim.
type Verdict uint8

// The verdicts on a claim. CannotTell means that the member does not know whether
// the key has been claimed before.
const (
	Granted Verdict = iota + 1
	Denied
	CannotTell
	// PairMismatch means that the member computes a different pair for the key. This
	// may be temporary, until both have the same view of the instances.
	PairMismatch
)

// String returns the verdict in words; the zero value means that there is none.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Denied:
		return "denied"
	case CannotTell:
		return "cannot tell"
	case PairMismatch:
		return "pair mismatch"
	}
	return "no answer"
}

type claim struct {
	claimant Claimant
	created  int64
}

type claimExpiry struct {
	key KeyHash
	// expiresAt is the time from which no member grants the key any more.
	expiresAt int64
}

// Claims is the table of claims that one instance has recorded as a member of
// pairs. It is not safe for concurrent use. Times are in nanoseconds of Unix time.
type Claims struct {
	limit  int
	settle time.Duration
	// knownAfter is the creation time up to which an earlier run may have granted
	// keys, evictedUpTo the latest creation time of a claim evicted before it
	// expired. An unrecorded key is known to be unclaimed only if it was created
	// after both.
	knownAfter, evictedUpTo int64
	// leavingSince is when the instance began to leave, or zero; keys created from
	// then on are not granted.
	leavingSince int64
	// awaitingContact is set while an instance that counts for pairs has not been
	// in contact with this one since its start.
	awaitingContact bool
	byKey           map[KeyHash]claim
	expiries        []claimExpiry
}

// NewClaims returns an empty table for an instance that starts at now. It holds at
// most limit claims; settle is pair.Timing.Settle.
func NewClaims(now int64, settle time.Duration, limit int) *Claims {
	return &Claims{
		limit:      limit,
		settle:     settle,
		knownAfter: now + int64(settle+request.MaxClockAhead),
		byKey:      make(map[KeyHash]claim),
	}
}

// SetLeaving stops the member from granting keys that are created at now or later.
func (c *Claims) SetLeaving(now int64) {
	if c.leavingSince == 0 {
		c.leavingSince = now
	}
}

// SetKnownAfter stops the member from granting keys that were created at the given
// time or earlier.
func (c *Claims) SetKnownAfter(created int64) { c.knownAfter = max(c.knownAfter, created) }

// SetAwaitingContact sets whether an instance of the data centre that counts for
// pairs has not yet been in contact with this one since its start. While that is
// so, claims granted by this instance's earlier run may still be acted on, and
// others may not know that it has restarted, so no new key is granted.
func (c *Claims) SetAwaitingContact(now int64, awaitingContact bool) {
	if c.awaitingContact && !awaitingContact {
		c.knownAfter = max(c.knownAfter, now+int64(c.settle+request.MaxClockAhead))
	}
	c.awaitingContact = awaitingContact
}

// Claim records a claim. If another claimant holds the key, it returns Denied and
// that claimant.
func (c *Claims) Claim(now int64, key KeyHash, created int64, claimant Claimant) (Verdict, Claimant) {
	c.removeExpired(now)
	if existing, found := c.byKey[key]; found {
		if existing.claimant == claimant {
			return Granted, claimant
		}
		return Denied, existing.claimant
	}
	if !c.knowsUnclaimed(now, created) {
		return CannotTell, Claimant{}
	}
	if len(c.byKey) >= c.limit {
		c.evictOldest()
	}
	c.byKey[key] = claim{claimant: claimant, created: created}
	c.expiries = append(c.expiries, claimExpiry{key: key, expiresAt: now + int64(Retention+request.MaxClockAhead+c.settle)})
	return Granted, claimant
}

// knowsUnclaimed reports whether an unrecorded key with this creation time is
// certain never to have been claimed.
func (c *Claims) knowsUnclaimed(now, created int64) bool {
	if Expired(now, created) || created > now+int64(request.MaxClockAhead) {
		return false
	}
	if c.leavingSince != 0 && created >= c.leavingSince {
		return false
	}
	return !c.awaitingContact && created > c.knownAfter && created > c.evictedUpTo
}

// Expired reports whether a request whose key has this creation time is too old to
// be run.
func Expired(now, created int64) bool { return now-created > int64(Retention) }

// removeExpired removes the claims on keys that no member grants any more.
func (c *Claims) removeExpired(now int64) {
	n := 0
	for n < len(c.expiries) && c.expiries[n].expiresAt < now {
		delete(c.byKey, c.expiries[n].key)
		n++
	}
	c.expiries = c.expiries[n:]
}

// evictOldest removes the oldest claim to make room. From then on, unrecorded keys
// created no later than the evicted one are answered CannotTell.
func (c *Claims) evictOldest() {
	oldest := c.expiries[0]
	c.expiries = c.expiries[1:]
	c.evictedUpTo = max(c.evictedUpTo, c.byKey[oldest.key].created)
	delete(c.byKey, oldest.key)
}

// Len returns the number of claims held.
func (c *Claims) Len() int { return len(c.byKey) }
