package serverload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The sampler runs for each request on the packet path, which must not allocate.
func TestBoundSamplerDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := NewSampler(1)
	s.Begin(1, 7, 0)
	now := int64(0)
	is.Equal(testing.AllocsPerRun(1000, func() {
		now += ms
		s.Begin(1, 7, now)
		s.End(1, 7, time.Millisecond, now)
		s.Begin(1, 7, now)
		s.Abandon(1, 7, now)
	}), 0.0)
}

// BenchmarkLoadSharing measures what load sharing costs one instance, per second of
// operation: its requests (20 a second, or 200 at the planned size), its own reports,
// those of the others, and the table. Each instance has flows at all servers of its data
// centre. Bytes are those sent, before the base64 of the message.
func BenchmarkLoadSharing(b *testing.B) {
	for _, size := range []struct{ instances, servers, rate int }{
		{24, 50, 20}, {45, 50, 20}, {59, 472, 200}, {100, 472, 200},
	} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			interval := max(500, 20*time.Duration(size.instances)) * time.Millisecond
			rng := rand.New(rand.NewPCG(1, 1))
			m := members(size.servers, 1_700_000_000_000)
			for i := range m {
				m[i].Server, m[i].Started = rng.Uint32(), m[i].Started+rng.Int64N(86_400_000)
			}
			now := int64(0)
			traffic := func(s *Sampler) {
				for range int(float64(size.rate) * interval.Seconds()) {
					to := m[rng.IntN(len(m))]
					s.Begin(to.Server, to.Started, now)
					s.End(to.Server, to.Started, 25*time.Millisecond, now+25*ms)
				}
			}
			var samplers []*Sampler
			var received [][]byte
			for i := range size.instances {
				s := NewSampler(rng.Uint64())
				for _, to := range m {
					s.SetFlows(to.Server, to.Started, 1+rng.IntN(3))
				}
				samplers = append(samplers, s)
				if i > 0 {
					traffic(s)
					r := s.Report(int64(interval))
					received = append(received, r.Append(nil))
				}
			}
			table := NewTable()
			table.SetInstances(size.instances)
			table.SetMembers(m)
			sequence, bytes := uint64(0), 0
			for b.Loop() {
				sequence++
				now += int64(interval)
				traffic(samplers[0])
				own := samplers[0].Report(now)
				bytes += len(own.Append(nil))
				if table.Apply(address(0), own, now) != nil {
					b.Fatal("own report refused")
				}
				for i, data := range received {
					r, err := Decode(data)
					r.Sequence = sequence
					if err != nil || table.Apply(address(i+1), r, now) != nil {
						b.Fatal("report refused")
					}
				}
				for range int(interval / (250 * time.Millisecond)) {
					table.Advance(now)
					samplers[0].LimitResponses(table)
				}
			}
			perSecond := 1 / interval.Seconds()
			messages := float64(size.instances-1) * perSecond
			b.ReportMetric(messages, "messages/s")
			b.ReportMetric(float64(bytes)/float64(b.N)*messages, "B/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)*perSecond, "µs/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
