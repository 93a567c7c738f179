package confstore

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
)

// TestAuditLimit reads the newest entries of a trail, with each limit: as many as asked
// for, and the newest. An entry that a writer has appended without swapping the head does
// not count.
func TestAuditLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		r := b.repository()
		const changes = 5
		for i := range changes {
			doc := document(2, 4)
			if i%2 == 1 {
				doc = withDrainedServer(t, doc, 0, 0)
			}
			_, err := r.Apply(b.ctx, doc, change(fmt.Sprint("c", i), config.Version(i)))
			is.NoErr(err)
		}
		check := func() {
			for limit := 1; limit <= changes+1; limit++ {
				entries, err := r.Audit(b.ctx, limit)
				is.NoErr(err)
				is.Equal(len(entries), min(limit, changes))
				is.Equal(entries[len(entries)-1].Sequence, uint64(changes))
			}
		}
		check()
		current, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		is.NoErr(r.Trail().Append(b.ctx, current.Head.Entry))
		check()
		next := audit.Seal(current.Head.Entry, audit.Entry{Version: changes + 1, From: changes, ChangeID: "never", Who: "w", When: time.Now()})
		is.NoErr(r.Trail().Append(b.ctx, next))
		check()
	})
}

// TestValuesOutliveTheirHead counts the heads for which a value stays readable after the
// head that named it, while other keys of the store change as well.
func TestValuesOutliveTheirHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newTestBed(t)
		r := b.repository()
		doc := document(1, 4)
		_, err := r.Apply(b.ctx, doc, change("first", 0))
		is.NoErr(err)
		first, err := r.Read(b.ctx, Snapshot{})
		is.NoErr(err)
		c := b.client()
		for i := range retainedHeads {
			for k := range 10 {
				_, err := c.CompareAndSwap(b.ctx, fmt.Sprint("other/", i, "-", k), 0, []byte("x"))
				is.NoErr(err)
			}
			toggled := doc
			if i%2 == 0 {
				toggled = withDrainedServer(t, doc, 0, 0)
			}
			_, err = r.Apply(b.ctx, toggled, change(fmt.Sprint("c", i), config.Version(i+1)))
			is.NoErr(err)
			value, err := c.Get(b.ctx, valueKey(first.Head.Values[0].Number))
			is.NoErr(err)
			is.Equal(digest(value.Data), first.Head.Values[0].Digest)
		}
	})
}
