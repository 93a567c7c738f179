package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// conditions holds the latest announcement for each backend server, sorted by
// Server. Its changes are the announcements merged since the last takeChanges.
type conditions struct {
	list    []flow.Announcement
	changes []flow.Announcement
	digest  uint64
}

// merge stores an announcement if it supersedes the stored one for its backend
// server, and reports whether it did.
func (c *conditions) merge(a flow.Announcement) bool {
	at, found := slices.BinarySearchFunc(c.list, a.Server, func(x flow.Announcement, n config.Number) int {
		return cmp.Compare(x.Server, n)
	})
	switch {
	case !found:
		c.list = slices.Insert(c.list, at, a)
	case supersedes(a, c.list[at]):
		c.digest ^= announcementHash(c.list[at])
		c.list[at] = a
	default:
		return false
	}
	c.digest ^= announcementHash(a)
	c.changes = append(c.changes, a)
	return true
}

// supersedes reports whether a replaces b as the announcement for a backend server.
// The order is total, so that all instances keep the same one of two announcements
// with equal Sequence.
func supersedes(a, b flow.Announcement) bool {
	return cmp.Or(
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Since, b.Since),
	) > 0
}

func (c *conditions) takeChanges() []flow.Announcement {
	out := c.changes
	c.changes = nil
	return out
}

// missingFrom returns the stored announcements that known does not contain.
func (c *conditions) missingFrom(known []flow.Announcement) []flow.Announcement {
	var out []flow.Announcement
	for _, a := range c.list {
		if !slices.Contains(known, a) {
			out = append(out, a)
		}
	}
	return out
}

// prune removes healthy conditions announced before the given time: they were kept
// only to override an earlier condition.
func (c *conditions) prune(before int64) {
	c.list = slices.DeleteFunc(c.list, func(a flow.Announcement) bool {
		return a.Condition == flow.Healthy && a.Since < before
	})
}

// announcementHash returns the contribution of an announcement to the digest. It is
// zero for a healthy condition, so that pruning one does not change the digest.
func announcementHash(a flow.Announcement) uint64 {
	if a.Condition == flow.Healthy {
		return 0
	}
	b := make([]byte, 0, 32)
	b = binary.BigEndian.AppendUint32(b, uint32(a.Server))
	b = append(b, byte(a.Condition))
	b = binary.BigEndian.AppendUint64(b, a.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(a.Since))
	return xxh3.Hash(b)
}
