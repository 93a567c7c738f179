package serverload

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet replays traffic in steps of 1 ms. All instances receive the same reports, so one
// table stands for those of all.
type fleet struct {
	rng      *rand.Rand
	now      int64 // ns
	due      map[int64][]func()
	samplers []*Sampler
	table    *Table
	// delay is how long reports take, onReport runs before an instance's report, and
	// onAdvance after the table has new sums.
	delay     time.Duration
	onReport  func(instance int)
	onAdvance func()
}

// newFleet returns instances whose reports are spread evenly over the part of the interval.
func newFleet(instances int, interval, part time.Duration, m []Member) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(1, 2)), due: map[int64][]func(){}, table: NewTable(),
		onReport: func(int) {}, onAdvance: func() {},
	}
	f.table.SetInstances(instances)
	f.table.SetMembers(m)
	for i := range instances {
		s := NewSampler(uint64(i))
		f.samplers = append(f.samplers, s)
		f.every(interval, part*time.Duration(i)/time.Duration(instances), func() {
			f.onReport(i)
			r := s.Report(f.now)
			data := r.Append(nil)
			f.after(f.delay, func() {
				if r, err := Decode(data); err != nil || f.table.Apply(address(i), r, f.now) != nil {
					panic("report refused")
				}
			})
		})
	}
	f.every(250*time.Millisecond, 0, func() {
		f.table.Advance(f.now)
		f.onAdvance()
		for _, s := range f.samplers {
			s.LimitResponses(f.table)
		}
	})
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	at := max((f.now+int64(d))/ms, f.now/ms+1)
	f.due[at] = append(f.due[at], do)
}

func (f *fleet) every(interval, first time.Duration, do func()) {
	var again func()
	again = func() { f.after(interval, again); do() }
	f.after(first, again)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + int64(d); f.now < end; {
		f.now += ms
		for _, do := range f.due[f.now/ms] {
			do()
		}
		delete(f.due, f.now/ms)
	}
}

// pause returns a random time with the given mean.
func (f *fleet) pause(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

// traffic sends requests to each member at random times, each through some instance, at a
// rate and speed that may change.
func (f *fleet) traffic(m []Member, rate *float64, speed func(server uint32) float64) {
	for _, m := range m {
		var next func()
		next = func() {
			f.request(f.rng.IntN(len(f.samplers)), m, speed(m.Server))
			f.after(f.pause(seconds(1 / *rate)), next)
		}
		f.after(f.pause(seconds(1 / *rate)), next)
	}
}

// request takes 19 to 25 ms at speed 1, and 3% of the requests seven times as long.
func (f *fleet) request(instance int, m Member, speed float64) time.Duration {
	d := 19*time.Millisecond + time.Duration(f.rng.Int64N(6*ms))
	if f.rng.Float64() < 0.03 {
		d *= 7
	}
	d = time.Duration(float64(d) / speed)
	s := f.samplers[instance]
	s.Begin(m.Server, m.Started, f.now)
	f.after(d, func() { s.End(m.Server, m.Started, d, f.now) })
	return d
}

func (f *fleet) speed(server uint32) float64 { return f.table.Server(server, 0).Speed }

// until runs until a condition holds, at most 20 s, and returns how long that took.
func (f *fleet) until(condition func() bool) time.Duration {
	start := f.now
	for !condition() && f.now < start+20_000*ms {
		f.run(10 * time.Millisecond)
	}
	return time.Duration(f.now - start)
}

// sizes are the instances in a data centre of the two deployments, and their intervals.
var sizes = map[string]struct {
	instances int
	interval  time.Duration
}{"24 instances": {24, 500 * time.Millisecond}, "45 instances": {45, 900 * time.Millisecond}}

// The rate of requests a second at a server of the first deployment.
const usualRate = 11

// Load: three speeds of servers. Failures: they are not told apart within 4 s, or a
// speed is off by more than the credited median explains.
func TestThreeSpeedsAreFound(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, rate := members(39, 0), float64(usualRate)
			f := newFleet(size.instances, size.interval, size.interval, m)
			speeds := []float64{0.6, 1, 1.6}
			lowest, highest := []float64{0.55, 0.85, 1.15}, []float64{0.8, 1.15, 1.7}
			f.traffic(m, &rate, func(server uint32) float64 { return speeds[server%3] })
			f.run(4 * time.Second)
			var groups [3][]float64
			for i := range uint32(39) {
				groups[i%3] = append(groups[i%3], f.speed(i))
			}
			for i := range groups {
				slices.Sort(groups[i])
				t.Logf("%v: %.2f", speeds[i], groups[i])
				middle := groups[i][6]
				is.True(middle > lowest[i] && middle < highest[i])
			}
			is.True(groups[0][12] < groups[2][0])
			is.True(groups[0][12] < groups[1][6])
		})
	}
}

// Load: a long tail of request durations. Failure: a server with a few long requests is
// taken for a slow one, which is below 0.5.
func TestLongTailDoesNotSwingTheSpeed(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, rate := members(40, 0), float64(usualRate)
			f := newFleet(size.instances, size.interval, size.interval, m)
			f.traffic(m, &rate, func(uint32) float64 { return 1 })
			f.run(4 * time.Second)
			var all []float64
			for range 80 {
				f.run(250 * time.Millisecond)
				for i := range uint32(40) {
					all = append(all, f.speed(i))
				}
			}
			slices.Sort(all)
			n := len(all)
			t.Logf("lowest %.2f, 1%% below %.2f, median %.2f, highest %.2f", all[0], all[n/100], all[n/2], all[n-1])
			is.True(all[0] > 0.5)
			is.True(all[n/100] > 0.7)
		})
	}
}

// Load: a server that turns five times slower and recovers. Failures: it does not show as
// slow (below 0.5) within 2 s, or as normal (above 0.7) within 4 s. At random times, 11
// requests a second are sometimes 5 in a second, so 1 of 20 may show later than 2 s.
func TestSlowServerIsFoundAndRecovers(t *testing.T) {
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m, rate, slow := members(40, 0), float64(usualRate), 1.0
			f := newFleet(size.instances, size.interval, size.interval, m)
			f.traffic(m, &rate, func(server uint32) float64 {
				if server == 0 {
					return slow
				}
				return 1
			})
			var found, recovered []time.Duration
			for range 40 {
				f.run(6*time.Second + time.Duration(f.rng.Int64N(1000*ms)))
				slow = 0.2
				found = append(found, f.until(func() bool { return f.speed(0) < 0.5 }))
				f.run(6*time.Second + time.Duration(f.rng.Int64N(1000*ms)))
				slow = 1
				recovered = append(recovered, f.until(func() bool { return f.speed(0) > 0.7 }))
			}
			slices.Sort(found)
			slices.Sort(recovered)
			t.Logf("slow after %v, at most %v; normal after %v, at most %v", found[20], found[39], recovered[20], recovered[39])
			is.True(found[37] <= 2*time.Second)
			is.True(recovered[39] <= 4*time.Second)
		})
	}
}

// Failure: a verdict that sustains itself. A slow server that gets no requests any more
// returns towards 1, also if the next responses are normal.
func TestVerdictDoesNotSustainItself(t *testing.T) {
	is := is.New(t)
	m, rate := members(40, 0), float64(usualRate)
	f := newFleet(24, 500*time.Millisecond, 500*time.Millisecond, m)
	slow := 0.2
	f.traffic(m[:39], &rate, func(uint32) float64 { return 1 })
	for range 50 {
		f.run(100 * time.Millisecond)
		f.request(0, m[39], slow)
	}
	is.True(f.speed(39) < 0.4)
	f.run(10 * time.Second)
	is.True(f.speed(39) > 0.7)
	f.request(0, m[39], 1)
	f.run(time.Second)
	is.True(f.speed(39) > 0.7)
}

// Load: a swing of demand. Failure: the sums lag by more than 2 s, or the speeds swing
// with the demand.
func TestSumsFollowASwingOfDemand(t *testing.T) {
	is := is.New(t)
	m, rate := members(40, 0), float64(usualRate)
	f := newFleet(45, 900*time.Millisecond, 900*time.Millisecond, m)
	f.traffic(m, &rate, func(uint32) float64 { return 1 })
	f.run(4 * time.Second)
	for _, next := range []float64{usualRate * 1.55, usualRate * 0.45, usualRate * 4} {
		rate = next
		f.run(2 * time.Second)
		got := f.table.Service("a", nil)
		t.Logf("%.0f requests a second, sum %.0f, %.1f in progress, capacity %.1f", 40*next, got.Rate, got.InProgress, got.Capacity)
		is.True(got.Rate > 0.8*40*next && got.Rate < 1.2*40*next)
		is.True(got.InProgress > 0.8*40*next*0.026 && got.InProgress < 1.2*40*next*0.026)
		is.True(got.Capacity > 70 && got.Capacity < 90)
	}
}

// Failure: 30 servers replaced by cold ones, which are three times slower at first. The
// cold ones start without load, and make the service neither slow nor fast.
func TestColdServersReplaceOthers(t *testing.T) {
	is := is.New(t)
	m, rate, cold := members(120, 0), float64(usualRate), 1.0
	f := newFleet(24, 500*time.Millisecond, 500*time.Millisecond, m)
	f.traffic(m[:90], &rate, func(uint32) float64 { return 1 })
	f.run(4 * time.Second)
	for i := range m[90:] {
		m[90+i].Server += 1000
	}
	f.table.SetMembers(m)
	f.traffic(m[90:], &rate, func(uint32) float64 { return cold })
	cold = 1 / 3.0
	for _, m := range m[90:] {
		is.Equal(f.table.Load(m.Server, 0), 0.0)
		is.Equal(f.speed(m.Server), 1.0)
	}
	f.run(3 * time.Second)
	is.True(f.table.Service("a", nil).ServiceTime < 35*time.Millisecond)
	normal, slow := 0.0, 0.0
	for i, m := range m {
		if i < 90 {
			normal += f.speed(m.Server) / 90
		} else {
			slow += f.speed(m.Server) / 30
		}
	}
	t.Logf("others %.2f, cold ones %.2f", normal, slow)
	is.True(normal > 0.9 && normal < 1.15)
	is.True(slow < 0.6)
}

// herd places flows at servers that are alike, choosing the least load of three random
// candidates, and returns the requests that each server got within 10 s. Flows open at a
// rate a second and send as many requests as given, with pauses of about a second.
func herd(f *fleet, m []Member, opened, requests float64) []float64 {
	arrivals := make([]float64, len(m))
	held := make([][]int, len(f.samplers))       // flows, by instance and server
	placed := make([][]float64, len(f.samplers)) // not reported yet
	sent := make([][]float64, len(f.samplers))   // reported, but not in the sum yet
	for i := range f.samplers {
		held[i], placed[i], sent[i] = make([]int, len(m)), make([]float64, len(m)), make([]float64, len(m))
	}
	f.onReport = func(i int) {
		for server, flows := range held[i] {
			f.samplers[i].SetFlows(uint32(server), 0, flows)
		}
		sent[i], placed[i] = placed[i], sent[i]
		clear(placed[i])
	}
	open := func() {
		i := f.rng.IntN(len(f.samplers))
		best, least := 0, 0.0
		for n, server := range f.rng.Perm(len(m))[:3] {
			own := (placed[i][server] + sent[i][server]) * f.table.FlowLoad(uint32(server), 0)
			if load := f.table.Load(uint32(server), 0) + own; n == 0 || load < least {
				best, least = server, load
			}
		}
		held[i][best]++
		placed[i][best]++
		var next func()
		next = func() {
			arrivals[best]++
			d := f.request(i, m[best], 1)
			if f.rng.Float64()*requests < 1 {
				f.after(d, func() { held[i][best]-- })
				return
			}
			f.after(d+f.pause(time.Second), next)
		}
		next()
	}
	var arrive func()
	arrive = func() { open(); f.after(f.pause(seconds(1/opened)), arrive) }
	f.after(0, arrive)
	f.run(10 * time.Second)
	clear(arrivals)
	f.run(10 * time.Second)
	return arrivals
}

// Load: 45 instances that learn the same sums at once, 0.5 s or more after the reports
// were made. Failure: all choose the same servers (herd). The busiest server gets at most
// 1.5 times the mean.
func TestInstancesDoNotHerd(t *testing.T) {
	for name, tc := range map[string]struct{ opened, requests float64 }{
		"flows of 10 requests": {48, 10},
		"flows of 2 requests":  {240, 2},
		"flows of 1 request":   {480, 1},
	} {
		for spread, part := range map[string]time.Duration{"reports at once": 0, "reports spread": 900 * time.Millisecond} {
			t.Run(name+", "+spread, func(t *testing.T) {
				is := is.New(t)
				var busiest []float64
				for seed := range uint64(10) {
					m := members(40, 0)
					f := newFleet(45, 900*time.Millisecond, part, m)
					f.rng, f.delay = rand.New(rand.NewPCG(seed, 9)), 500*time.Millisecond
					arrivals, sum := herd(f, m, tc.opened, tc.requests), 0.0
					for _, n := range arrivals {
						sum += n
					}
					busiest = append(busiest, slices.Max(arrivals)/(sum/float64(len(m))))
				}
				t.Logf("busiest server %.2f of the mean", busiest)
				is.True(slices.Max(busiest) <= 1.5)
			})
		}
	}
}
