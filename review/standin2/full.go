package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// feedConsumers is the number of consumers in each zone. Each opens a feed every
	// openingGap: 100 a second in each zone, less than the site's usual requests there.
	feedConsumers = 40
	openingGap    = 400 * time.Millisecond
	// fullFlows is the max_conns of the service.
	fullFlows = 200
	// newcomers are the consumers that come when the backend is full.
	newcomers = 40
	// pauseOfFeeds is the time in which the feeds send nothing, before newcomers come.
	pauseOfFeeds = time.Second
	// calmFlows is the number of flows up to which the backend is filled without trouble.
	calmFlows = fullFlows * 7 / 10
	// maxIdle is how long a backend keeps an idle flow; flows that were idle for longer don't
	// count.
	maxIdle = 12 * time.Second
	// margin is how many flows are opened one by one at the end, singleGap apart.
	margin    = 20
	singleGap = 10 * time.Millisecond
)

// full lets consumers open feeds until the only backend of a zone holds its max_conns, and
// then some more come in that zone. The feeds, which have paused meanwhile, go on.
func full(w *world, trouble bool) (int, error) {
	w.maxConns = fullFlows
	w.configure(7, 0, "roast-catalogue")
	for _, zone := range []int{0, 0, 1, 2} {
		if _, err := w.addBackend("roast-catalogue", zone); err != nil {
			return 0, err
		}
	}
	if err := w.startNodes([]int{3, 2, 2}); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	target, number := w.backends[2], fullFlows
	if !trouble {
		number = calmFlows
	}
	flows, err := w.openFeeds(target, number)
	if err != nil {
		return 0, err
	}
	w.note("%d feeds of consumers in zone %s are open at backend %s", len(flows), target.zone, target.id)
	time.Sleep(pauseOfFeeds)
	w.sendNewcomers(1)
	w.note("the feeds go on")
	var mu sync.Mutex
	var all sync.WaitGroup
	broken, answered := 0, 0
	for n, f := range flows {
		all.Go(func() {
			time.Sleep(2 * time.Second * time.Duration(n) / time.Duration(len(flows)))
			held := target.holds(f.local) && time.Since(f.answeredAt) < maxIdle
			ok := f.request(fmt.Sprintf("feed %d again", n), 2500*time.Millisecond)
			from, bySystem, _, reset := f.foreignReset()
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answered++
			}
			if reset && held && target.holds(f.local) {
				broken++
				w.note("FLOW flow=%v open at %s, which holds it, was reset by %v, system's own %v", f.local, target.id, from, bySystem)
			}
		})
	}
	all.Wait()
	w.note("of %d feeds %d were answered, %d reset by others than their backend", len(flows), answered, broken)
	return broken, nil
}

// openFeeds opens flows in all zones until a backend holds the given number, and returns
// those of consumers in its zone that it holds.
func (w *world) openFeeds(target *backend, number int) ([]*flow, error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var flows []*flow
	for n := range len(zones) * feedConsumers {
		c, err := newConsumer(w, n%len(zones), n/len(zones))
		if err != nil {
			return nil, err
		}
		all.Go(func() {
			for target.size() < number-margin && time.Since(w.started) < time.Minute {
				go func() {
					if f, ok := c.open(w.routeTo); ok && f.request("feed", 2500*time.Millisecond) {
						mu.Lock()
						defer mu.Unlock()
						flows = append(flows, f)
					}
				}()
				time.Sleep(openingGap)
			}
		})
	}
	all.Wait()
	// The last ones come one by one, so that the backend ignores none yet.
	time.Sleep(time.Second)
	c, err := newConsumer(w, 1, feedConsumers+1)
	if err != nil {
		return nil, err
	}
	for n := 0; n < 20*margin && target.size() < number; n++ {
		if f, ok := c.open(w.routeTo); ok && f.request("feed", 2500*time.Millisecond) {
			flows = append(flows, f)
		}
		time.Sleep(singleGap)
	}
	mu.Lock()
	defer mu.Unlock()
	var there []*flow
	for _, f := range flows {
		if zones[f.c.zone] == target.zone && target.holds(f.local) {
			there = append(there, f)
		}
	}
	if target.size() < number || len(there) == 0 {
		return nil, fmt.Errorf("backend %s holds %d of %d feeds", target.id, target.size(), number)
	}
	return there, nil
}

// sendNewcomers opens further flows, within 0.4 s, and waits a moment.
func (w *world) sendNewcomers(zone int) {
	c, err := newConsumer(w, zone, feedConsumers)
	if err != nil {
		w.note("%v", err)
		return
	}
	var opened atomic.Int64
	for n := range newcomers {
		go func() {
			if f, ok := c.open(w.routeTo); ok {
				opened.Add(1)
				f.request(fmt.Sprintf("newcomer %d", n), 2500*time.Millisecond)
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	w.note("newcomers=%d opened=%d", newcomers, opened.Load())
}
