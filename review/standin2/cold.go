package main

import (
	"fmt"
	"sync"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// warmup is the warmup_s of the services, and coldRate their warmup_per_s; coldLimit is
	// the limit of the rule, coldRate x warmup_burst_factor + warmup_slack.
	warmup    = 2 * time.Second
	coldRate  = 4.0
	coldLimit = 11
)

// orderRates are the order lines a second of each zone.
var orderRates = []int{29, 24, 30}

// cold lets the backend of a zone end and come back cold, under the id that it had, while
// the store is away.
func cold(w *world, trouble bool) (int, error) {
	w.configure(7, coldRate, "order-desk")
	for _, zone := range []int{0, 0, 1, 2} {
		if _, err := w.addBackend("order-desk", zone); err != nil {
			return 0, err
		}
	}
	if err := w.startNodes([]int{3, 2, 2}); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	sent := &sentTimes{at: map[string]time.Time{}}
	for zone, rate := range orderRates {
		c, err := newConsumer(w, zone, 0)
		if err != nil {
			return 0, err
		}
		all.Go(func() { w.order(c, rate, stop, sent) })
	}
	target := w.backends[3]
	time.Sleep(4 * time.Second)
	if trouble {
		w.note("the store is down")
		w.store.SetFailure(platformtest.Silent)
	}
	time.Sleep(500 * time.Millisecond)
	w.note("backend %s ends", target.id)
	target.crash()
	time.Sleep(time.Second)
	if err := target.start(warmup); err != nil {
		return 0, err
	}
	back := time.Now()
	w.note("backend %s is back, cold", target.id)
	if !trouble {
		target.register()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.store.SetFailure(platformtest.None)
		w.note("the store is back")
		target.register()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	all.Wait()
	return w.judgeCold(target, back, sent), nil
}

// sentTimes holds when the first opening packet of each flow was sent.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

// order sends order lines at a rate, a flow each.
func (w *world) order(c *consumer, rate int, stop chan struct{}, sent *sentTimes) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		all.Go(func() {
			at := time.Now()
			f, ok := c.open(w.routeTo)
			if !ok {
				return
			}
			sent.mu.Lock()
			sent.at[f.local.String()] = at
			sent.mu.Unlock()
			f.request(fmt.Sprintf("order %d-%d", c.zone, n), 3*time.Second)
			f.close()
		})
	}
}

// judgeCold returns the number of flows in the busiest second of a cold backend beyond the
// limit. It counts flows whose opening packet was sent and arrived in that second.
func (w *world) judgeCold(b *backend, back time.Time, sent *sentTimes) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var times []opening
	for _, o := range b.openings {
		if o.at.After(back) && o.at.Before(back.Add(warmup)) {
			times = append(times, o)
			w.note("cold backend=%s opening flow=%v after %d ms", b.id, o.flow, o.at.Sub(back).Milliseconds())
		}
	}
	most := 0
	for i, first := range times {
		n := 0
		for _, o := range times[i:] {
			at, known := sent.at[o.flow.String()]
			if known && !at.Before(first.at.Add(-5*time.Millisecond)) && o.at.Sub(first.at) < 995*time.Millisecond {
				n++
			}
		}
		most = max(most, n)
	}
	w.note("FAILBACK backend=%s: %d flows in the busiest second while cold, limit %d", b.id, most, coldLimit)
	return max(0, most-coldLimit)
}
