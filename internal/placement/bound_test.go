package placement

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/records"
	"balsamfork/internal/table"
)

const second = int64(time.Second)

var hashKey = [config.HashKeySize]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}

func testKey(service, caller int) flow.Key {
	return flow.Key{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(caller >> 24), byte(caller >> 16), byte(caller >> 8)}), uint16(1024+caller&255)),
		Destination: testAddress(service),
		Protocol:    config.TCP,
	}
}

func testAddress(service int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(service)}), uint16(443+service>>8))
}

// testService has servers with Numbers from first on, alternating between three
// data centres.
func testService(index, first, n int) config.Service {
	s := config.Service{
		Name: fmt.Sprint("service-", index), Address: testAddress(index), Protocol: config.TCP,
		IdleLimit: 60 * time.Second, Ramp: config.Ramp{Start: 0.1, Duration: 20 * time.Second},
	}
	for i := range n {
		number := config.Number(first + i)
		s.Servers = append(s.Servers, config.Server{
			Number: number, State: config.Active, Weight: 100, Joined: 1,
			DataCentre: string(rune('a' + i%3)),
			Packets:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)}), 4754),
		})
		s.Settled = append(s.Settled, config.Member{Number: number, Weight: 100})
	}
	s.Current = s.Settled
	return s
}

func testConfig(services ...config.Service) *config.Config {
	return &config.Config{Version: 1, HashKey: hashKey, Services: services}
}

func testView(self fleet.ID, n int, applied config.Version) *fleet.View {
	v := &fleet.View{Self: self, Epoch: 1}
	for i := range n {
		v.Instances = append(v.Instances, fleet.Instance{
			ID: fleet.ID(fmt.Sprintf("i%02d", i)), DataCentre: string(rune('a' + i%3)), Region: "r",
			State: fleet.Alive, Incarnation: 1, Applied: applied,
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 4754),
		})
	}
	return v
}

func testEngine(c *config.Config, instances int) *Engine {
	e := New(Options{Self: "i00", Records: records.LimitsFor(1 << 16)})
	e.SetView(0, testView("i00", instances, c.Version))
	e.SetConfig(0, c)
	return e
}

func TestBoundSettledPacket(t *testing.T) {
	is := is.New(t)
	e := testEngine(testConfig(testService(1, 1, 14), testService(2, 20, 4)), 16)
	h := table.NewHasher(hashKey)
	keys := make([]flow.Key, 4096)
	for i := range keys {
		keys[i] = testKey(1+i%2, i)
	}
	p := flow.Packet{Key: keys[0], Origin: flow.FromFabric}
	is.Equal(testing.AllocsPerRun(1000, func() { e.Decide(second, &p) }), 0.0)

	var sum uint64
	hash, decide := time.Hour, time.Hour
	for range 9 {
		start := time.Now()
		for r := range 20 * len(keys) {
			sum += h.Flow(&keys[r%len(keys)])
		}
		hash = min(hash, time.Since(start))
		start = time.Now()
		for r := range 20 * len(keys) {
			p := flow.Packet{Key: keys[r%len(keys)], Origin: flow.FromFabric}
			sum += uint64(e.Decide(second, &p).Server)
		}
		decide = min(decide, time.Since(start))
	}
	ratio := float64(decide) / float64(hash)
	t.Logf("settled packet %.1f ns, keyed hash %.1f ns, ratio %.2f (%d)",
		float64(decide)/float64(20*len(keys)), float64(hash)/float64(20*len(keys)), ratio, sum&1)
	is.True(ratio <= 3)
}
