package table

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/flow"
)

// members returns a set of the Numbers from first to first+n-1 with equal weights.
func members(first, n int) config.Set {
	s := config.Set{}
	for i := range n {
		s = append(s, config.Member{Number: config.Number(first + i), Weight: 100})
	}
	return s
}

func withoutMember(s config.Set, i int) config.Set {
	return slices.Delete(slices.Clone(s), i, i+1)
}

func numbers(s config.Set) []config.Number {
	a := Assignment{Set: s, Table: Build(s)}
	out := make([]config.Number, Buckets)
	for b := range out {
		out[b] = a.Number(b)
	}
	return out
}

// boundedRendezvous is the baseline that Build is compared with: it assigns the pairs
// of bucket and member in descending order of their hash, and gives no member more
// than its share of the buckets.
func boundedRendezvous(s config.Set) []config.Number {
	type pair struct {
		score  uint64
		bucket int
		member int
	}
	var pairs []pair
	free := make([]int, len(s))
	for i, m := range s {
		free[i] = Buckets/len(s) + 1
		for b := range Buckets {
			pairs = append(pairs, pair{Mix(uint64(m.Number)<<20 | uint64(b)), b, i})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]config.Number, Buckets)
	for _, p := range pairs {
		if out[p.bucket] == 0 && free[p.member] > 0 {
			out[p.bucket] = s[p.member].Number
			free[p.member]--
		}
	}
	return out
}

func movedShare(a, b []config.Number) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / Buckets
}

// flows returns the hashes of n flows with a hash key derived from a seed.
func flows(seed uint64, n int) []uint64 {
	var key [config.HashKeySize]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	h := NewHasher(key)
	out := make([]uint64, n)
	for i := range out {
		k := flow.Key{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 40000),
			Destination: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: config.TCP,
		}
		out[i] = h.Flow(&k)
	}
	return out
}

func imbalance(assigned []config.Number, hashes []uint64, servers int) float64 {
	counts := map[config.Number]int{}
	most := 0
	for _, f := range hashes {
		n := assigned[Bucket(f)]
		counts[n]++
		most = max(most, counts[n])
	}
	return float64(most) * float64(servers) / float64(len(hashes))
}

func TestBoundImbalance(t *testing.T) {
	is := is.New(t)
	const maxImbalance, maxChangedImbalance = 1.05, 1.10
	all := numbers(members(1, 14))
	var found []float64
	for seed := range uint64(20) {
		hashes := flows(seed, 60000)
		found = append(found, imbalance(all, hashes, 14))
		for _, s := range []config.Set{members(1, 13), members(1, 15), withoutMember(members(1, 14), 3)} {
			is.True(imbalance(numbers(s), hashes, len(s)) <= maxChangedImbalance)
		}
	}
	slices.Sort(found)
	t.Logf("imbalance of 14 at 60,000 flows under 20 keys: median %.3f, most %.3f", found[10], found[19])
	is.True(found[19] <= maxImbalance)
}

func TestBoundDisruption(t *testing.T) {
	is := is.New(t)
	for name, build := range map[string]func(config.Set) []config.Number{"maglev": numbers, "bounded rendezvous": boundedRendezvous} {
		all := members(1, 14)
		before := build(all)
		sum, most := 0.0, 0.0
		for i := range all {
			m := movedShare(before, build(withoutMember(all, i)))
			sum += m
			most = max(most, m)
		}
		added := movedShare(before, build(members(1, 15)))
		t.Logf("%s: removal of 1 in 14 moves %.2f%% on average, %.2f%% at most; an addition %.2f%%", name, sum/14*100, most*100, added*100)
		is.True(most <= 0.10)
		is.True(added <= 0.10)
	}
}

func TestBucketsAreProportionalToWeights(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		set, total := config.Set{}, 0.0
		for i := range 1 + rng.IntN(30) {
			w := uint32(rng.IntN(1000))
			set = append(set, config.Member{Number: config.Number(i + 1), Weight: w})
			total += float64(w)
		}
		counts := map[config.Number]float64{}
		for _, n := range numbers(set) {
			counts[n]++
		}
		for _, m := range set {
			if total > 0 {
				want := Buckets * float64(m.Weight) / total
				is.True(counts[m.Number] > want-2 && counts[m.Number] < want+2)
			}
		}
	}
}

func TestEqualSetsShareOneTable(t *testing.T) {
	is := is.New(t)
	c := NewCache()
	a := c.Get(members(1, 14))
	is.True(a == c.Get(members(1, 14)))
	is.True(a != c.Get(members(1, 13)))
	held, built := c.EndRound()
	is.Equal([]int{held, built}, []int{2, 2})
	is.True(a == c.Get(members(1, 14)))
	held, built = c.EndRound()
	is.Equal([]int{held, built}, []int{1, 0})
}

func TestUnsettledMarksDifferingAndAnnouncedBuckets(t *testing.T) {
	is := is.New(t)
	all, fewer := members(1, 14), members(1, 13)
	assignments := []Assignment{{all, Build(all)}, {fewer, Build(fewer)}}
	none := func(config.Number) bool { return false }
	m := Unsettled(assignments, none)
	for b := range Buckets {
		is.Equal(m.Has(b), assignments[0].Number(b) != assignments[1].Number(b))
	}
	announced := Unsettled(assignments[:1], func(n config.Number) bool { return n == 3 })
	is.True(announced.Count() == 292 || announced.Count() == 293)
	empty := Assignment{Table: Build(nil)}
	is.Equal(Unsettled([]Assignment{assignments[0], empty}, none).Count(), Buckets)
}

func BenchmarkHash(b *testing.B) {
	h := NewHasher([config.HashKeySize]byte{1})
	k := flow.Key{Source: netip.MustParseAddrPort("10.0.0.1:1"), Destination: netip.MustParseAddrPort("192.0.2.1:443"), Protocol: config.TCP}
	b.ReportAllocs()
	for b.Loop() {
		h.Flow(&k)
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{4, 11, 14, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := members(1, n)
			b.ReportAllocs()
			for b.Loop() {
				Build(s)
			}
		})
	}
}
