package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// conditions is the table of announced conditions in order of Server.
type conditions struct {
	list   []flow.Announcement
	news   []flow.Announcement
	digest uint64
}

// merge takes an announcement in if it is later than the one held.
func (c *conditions) merge(a flow.Announcement) bool {
	at, found := slices.BinarySearchFunc(c.list, a.Server, func(x flow.Announcement, n config.Number) int {
		return cmp.Compare(x.Server, n)
	})
	switch {
	case !found:
		c.list = slices.Insert(c.list, at, a)
	case later(a, c.list[at]):
		c.digest ^= announcementHash(c.list[at])
		c.list[at] = a
	default:
		return false
	}
	c.digest ^= announcementHash(a)
	c.news = append(c.news, a)
	return true
}

// later orders announcements of one backend server, so that all instances keep
// the same one of two with one Sequence.
func later(a, b flow.Announcement) bool {
	return cmp.Or(
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Since, b.Since),
	) > 0
}

func (c *conditions) takeNews() []flow.Announcement {
	out := c.news
	c.news = nil
	return out
}

// without returns the announcements that are not in a list.
func (c *conditions) without(known []flow.Announcement) []flow.Announcement {
	var out []flow.Announcement
	for _, a := range c.list {
		if !slices.Contains(known, a) {
			out = append(out, a)
		}
	}
	return out
}

// prune drops the healthy conditions that were announced before a time: they
// only served to end an earlier one.
func (c *conditions) prune(before int64) {
	c.list = slices.DeleteFunc(c.list, func(a flow.Announcement) bool {
		return a.Condition == flow.Healthy && a.Since < before
	})
}

// announcementHash is zero for a healthy condition, which may be pruned.
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
