package records

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"balsamfork/internal/config"
	"balsamfork/internal/table"
)

// operations generates puts, touches and deletes of a few flows of one bucket.
var operations = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
	return [3]int{rapid.IntRange(0, 3).Draw(t, "op"), rapid.IntRange(0, 40).Draw(t, "flow"), rapid.IntRange(0, 2).Draw(t, "kind")}
}), 1, 400)

// hashOf maps many flows of bucket 5 to few home slots, so that probes collide.
func hashOf(flow int) uint64 { return uint64(flow%7)<<bucketBits | uint64(flow)<<40 | 5 }

func TestBucketMatchesMap(t *testing.T) {
	is := is.New(t)
	for seed := range 60 {
		tbl := NewTable(LimitsFor(1000))
		b := tbl.Lock(5)
		want := map[uint64]Record{}
		for _, op := range operations.Example(seed) {
			f, kind := hashOf(op[1]), Kind(op[2])
			switch r, known := want[f]; {
			case op[0] < 2:
				want[f] = New(f, config.Number(op[1]+1), kind, 9)
				is.True(b.Put(want[f]))
			case op[0] == 2 && known:
				b.Touch(f, r.Kind(), 10, true)
				r.server, r.Seen = r.server|closedFlag, 10
				want[f] = r
			default:
				b.Delete(f)
				delete(want, f)
			}
		}
		counts := [kindCount]int{}
		for f, r := range want {
			got, ok := b.Get(f)
			is.True(ok)
			is.Equal(got, r)
			counts[r.Kind()]++
		}
		is.Equal(b.Len(), len(want))
		is.Equal([kindCount]int{tbl.Len(Opening), tbl.Len(Placed), tbl.Len(Observed)}, counts)
		is.Equal(b.Sweep(func(r Record) bool { return r.Closed() })+b.Len(), len(want))
		b.Sweep(func(Record) bool { return true })
		is.Equal(tbl.Total(), 0)
		is.True(b.slots == nil)
		b.Unlock()
	}
}

func TestBoundOpeningFloodKeepsPlacedRecords(t *testing.T) {
	is := is.New(t)
	tbl := NewTable(LimitsFor(4000))
	put := func(flow int, k Kind) bool {
		f := table.Mix(uint64(flow))
		b := tbl.Lock(table.Bucket(f))
		defer b.Unlock()
		return b.Put(New(f, 1, k, 0))
	}
	for i := range 1500 {
		is.True(put(i, Placed))
	}
	for i := range 100000 {
		put(10000+i, Opening)
		put(1000000+i, Observed)
	}
	is.Equal([]int{tbl.Len(Placed), tbl.Len(Opening), tbl.Len(Observed)}, []int{1500, 500, 2000})
	is.True(tbl.Refused() > 0)
	for i := range 1500 {
		f := table.Mix(uint64(i))
		b := tbl.Lock(table.Bucket(f))
		_, known := b.Get(f)
		b.Unlock()
		is.True(known)
	}
	is.True(put(10000, Placed)) // an Opening always has room to become Placed
	is.Equal([]int{tbl.Len(Placed), tbl.Len(Opening)}, []int{1501, 499})
	is.Equal(unsafe.Sizeof(Record{}), uintptr(16))
}

func TestBucketsEncodeAsDistances(t *testing.T) {
	is := is.New(t)
	m := &table.Bitmap{}
	for _, b := range []int{0, 1, 63, 64, 4000, 4095} {
		m.Set(b)
	}
	got, err := DecodeBuckets(AppendBuckets(nil, m))
	is.NoErr(err)
	is.Equal(got, m)
}

func FuzzDecode(f *testing.F) {
	f.Add(Append(nil, New(7, 9, Placed, 0)))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		all, err := Decode(b, 1)
		if err != nil {
			if !Invalid.Has(err) {
				t.Fatal(err)
			}
			return
		}
		var encoded []byte
		for _, r := range all {
			if r.Server() == 0 || r.Kind() >= kindCount {
				t.Fatalf("record %v", r)
			}
			encoded = Append(encoded, r)
		}
		if !bytes.Equal(encoded, b) {
			t.Fatal("encodes to different bytes")
		}
	})
}

func FuzzDecodeBuckets(f *testing.F) {
	f.Add([]byte{1, 1, 0x80, 0x10})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeBuckets(b)
		if err != nil {
			if !Invalid.Has(err) {
				t.Fatal(err)
			}
			return
		}
		decoded, err := DecodeBuckets(AppendBuckets(nil, m))
		if err != nil || *decoded != *m {
			t.Fatal(decoded, err)
		}
	})
}

// TestConcurrentReservationsKeepJointLimit reserves room for placed and opening records
// from several goroutines at once: together they never exceed the joint limit.
func TestConcurrentReservationsKeepJointLimit(t *testing.T) {
	is := is.New(t)
	const limit = 8
	for range 3000 {
		tbl := NewTable(Limits{Placed: limit, Opening: limit, Observed: limit})
		var wg sync.WaitGroup
		var ready atomic.Int32
		for i := range 4 {
			wg.Go(func() {
				for ready.Add(1); ready.Load() < 4; {
				}
				for range limit {
					tbl.reserve([]Kind{Opening, Placed}[i%2])
				}
			})
		}
		wg.Wait()
		is.True(tbl.Len(Opening)+tbl.Len(Placed) <= limit)
	}
}
