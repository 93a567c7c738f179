package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["cold"] = coldCase }

// coldCase lets the backends of one zone after the other crash and start again under their ids while the store is
// slow. Each has its entry, with warmup_left_ms, in the store as soon as it listens again.
func coldCase(w *world, trouble bool) (bool, error) {
	const (
		machines    = 4   // in each zone
		servers     = 4   // in each zone
		feeds       = 100 // in each zone, with a request a second
		orders      = 36  // flows of one request a second, in each zone
		storeAnswer = 4 * time.Millisecond
		slower      = 60 // x of platform_slow
		slowFor     = 4500 * time.Millisecond
		downFor     = 100 * time.Millisecond
		warmup      = 2 * time.Second
		rounds      = 3 // one for each zone
		period      = 14 * time.Second
		deadline    = 2500 * time.Millisecond
	)
	limit := w.warmupRate*1.5 + 5
	if err := w.startStore(); err != nil {
		return false, err
	}
	to := netip.MustParseAddrPort("198.18.0.1:8443")
	w.configure(1, route{to, "desk"})
	stop := make(chan struct{})
	for z, zone := range w.zones {
		for k := range servers {
			b := &backend{
				w: w, number: uint64(0xa0 + 16*z + k), service: "desk", zone: zone, slots: 4, queue: 16, maxConns: 4333,
				work: 30 * time.Millisecond, address: netip.AddrPortFrom(w.address(40+z, 1+k), 8080),
			}
			if err := b.start(); err != nil {
				return false, err
			}
			go b.heartbeat(stop)
			w.backends = append(w.backends, b)
		}
	}
	if err := w.startInstances(machines, stop); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	ending := make(chan struct{})
	ended := func() bool {
		select {
		case <-ending:
			return true
		default:
			return false
		}
	}
	for z, zone := range w.zones {
		c, err := w.newConsumer(zone, w.address(70+z, 1))
		if err != nil {
			return false, err
		}
		for n := range feeds {
			all.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
				for k := 0; !ended(); {
					f, outcome := c.open(to)
					w.count("open-" + outcome)
					for f != nil && !ended() {
						k++
						outcome = f.request(fmt.Sprintf("%v-feed-%d-%d", f.local, n, k), deadline)
						w.count("request-" + outcome)
						if outcome == answered || outcome == shed {
							outcome = f.idle(800*time.Millisecond + time.Duration(rand.Int64N(int64(400*time.Millisecond))))
						}
						if outcome != "" {
							break
						}
					}
					if f != nil {
						f.close()
					}
				}
			})
		}
		all.Go(func() {
			for n := 0; !ended(); n++ {
				time.Sleep(time.Second / orders)
				all.Go(func() {
					f, outcome := c.open(to)
					w.count("open-" + outcome)
					if f != nil {
						w.count("request-" + f.request(fmt.Sprintf("%v-order-%d", f.local, n), deadline))
						f.close()
					}
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	broken := false
	for z := range rounds {
		returning := w.backends[z*servers : (z+1)*servers]
		if trouble {
			w.logf("the store is slow")
			w.store.SetDelay(slower * storeAnswer)
		}
		time.Sleep(slowFor / 2)
		if trouble {
			var cold sync.WaitGroup
			for _, b := range returning {
				cold.Go(func() { b.crash(downFor, warmup) })
			}
			cold.Wait()
			w.logf("the backends of %s have started again, cold", w.zones[z])
		}
		time.Sleep(slowFor/2 - downFor - 50*time.Millisecond) // slowFor is not exceeded
		w.store.SetDelay(storeAnswer)
		w.logf("the store is as fast as before")
		time.Sleep(period - slowFor)
		for _, b := range returning {
			peak, at := b.coldPeak()
			w.logf("%s: %d flows in its busiest cold second, from %.3f s on; %.0f are allowed", b.key(), peak, at.Sub(w.began).Seconds(), limit)
			if float64(peak) > limit {
				broken = true
				w.logf("FAILBACK broken: %s", b.key())
			}
		}
	}
	close(ending)
	all.Wait()
	close(stop)
	return broken, nil
}

// crash ends the backend without a word, and starts it again under its id.
func (b *backend) crash(downFor, warmup time.Duration) {
	b.mu.Lock()
	b.silent = true
	b.flows, b.ended, b.waiting, b.busy = map[netip.AddrPort]*served{}, map[netip.AddrPort]bool{}, nil, 0
	b.mu.Unlock()
	time.Sleep(downFor)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent, b.born, b.seq = false, time.Now().UnixMilli(), 0
	b.warmAt, b.openings = time.Now().Add(warmup), nil
	b.register()
}

// coldPeak returns the most flows whose opening packets were sent and arrived within one second
// while the backend was cold.
func (b *backend) coldPeak() (peak int, from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, first := range b.openings {
		n := 0
		for _, o := range b.openings {
			if !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) <= time.Second && o.arrived.Before(b.warmAt) {
				n++
			}
		}
		if n > peak {
			peak, from = n, first.sent
		}
	}
	return peak, from
}
