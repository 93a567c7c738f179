package table

import (
	"encoding/binary"

	"balsamfork/internal/config"
)

// Cache shares tables between equal sets. It retains the tables that were used in
// the current or the previous round, so that a configuration change builds only the
// tables of new sets. It is not safe for concurrent use.
type Cache struct {
	current map[string]*Table
	next    map[string]*Table
	built   int
}

// NewCache returns an empty Cache.
func NewCache() *Cache {
	return &Cache{current: map[string]*Table{}, next: map[string]*Table{}}
}

// Get returns the table of a set, building it if needed, and retains it for the next
// round.
func (c *Cache) Get(set config.Set) *Table {
	key := encode(set)
	if t, ok := c.next[key]; ok {
		return t
	}
	t, ok := c.current[key]
	if !ok {
		t = Build(set)
		c.built++
	}
	c.next[key] = t
	return t
}

// EndRound ends a round: it evicts the tables that were not requested by Get since the
// last EndRound. It returns how many tables are cached and how many were built in this
// round.
func (c *Cache) EndRound() (held, built int) {
	c.current, c.next = c.next, map[string]*Table{}
	built, c.built = c.built, 0
	return len(c.current), built
}

// encode returns a cache key that is the same only for equal sets.
func encode(set config.Set) string {
	b := make([]byte, 0, 8*len(set))
	for _, m := range set {
		b = binary.LittleEndian.AppendUint32(b, uint32(m.Number))
		b = binary.LittleEndian.AppendUint32(b, m.Weight)
	}
	return string(b)
}
