package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["roll"] = rollCase }

// rollCase restarts the machines in turn while consumers open long flows and some datagrams are
// lost. No backend and no link is disturbed.
func rollCase(w *world, trouble bool) (bool, error) {
	const (
		perZone      = 4
		servers      = 3 // in each zone
		flowsASecond = 1500
		length       = 85 * time.Second
		flowLength   = 3 * time.Second
	)
	w.loss = 0.005
	w.aftermath = 10 * time.Second // a backend repeats its answer for so long
	if err := w.startStore(); err != nil {
		return false, err
	}
	to := netip.MustParseAddrPort("198.18.0.1:8443")
	w.configure(1, route{to, "desk"})
	for z, zone := range w.zones {
		for k := range servers {
			b := &backend{
				w: w, number: uint64(0xa0 + 16*z + k), service: "desk", zone: zone, slots: 64, queue: 1000, maxConns: 4333,
				work: 50 * time.Millisecond, address: netip.AddrPortFrom(w.address(40+z, 1+k), 8080),
			}
			if err := b.start(); err != nil {
				return false, err
			}
			w.backends = append(w.backends, b)
		}
	}
	stop := make(chan struct{})
	if err := w.startInstances(perZone, stop); err != nil {
		return false, err
	}
	var consumers []*consumer
	for z, zone := range w.zones {
		for k := range 4 {
			c, err := w.newConsumer(zone, w.address(70+z, 1+k))
			if err != nil {
				return false, err
			}
			consumers = append(consumers, c)
		}
	}
	var broken atomic.Int64
	fail := func(format string, args ...any) {
		if !w.calm() {
			w.logf("not counted, as the stand-ins were held up: "+format, args...)
			return
		}
		broken.Add(1)
		w.logf("FLOW broken: "+format, args...)
	}
	go w.watchStrays(stop, fail)
	var rolling sync.WaitGroup
	rolling.Go(func() {
		for n := 0; trouble; n++ {
			i := w.instances[n%len(w.instances)]
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			w.logf("SIGTERM to %s", i.name)
			i.terminate()
			time.Sleep(300 * time.Millisecond)
			if err := i.start(); err != nil {
				w.logf("start of %s: %v", i.name, err)
				return
			}
		}
	})
	var all sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / flowsASecond)))
		c := consumers[rand.IntN(len(consumers))]
		all.Add(1)
		go func() {
			defer all.Done()
			f, outcome := c.open(to)
			w.count("open-" + outcome)
			if f == nil {
				return
			}
			for k := 0; time.Since(f.openedAt) < flowLength; k++ {
				id := fmt.Sprintf("%v-%d-%d", f.local, n, k)
				outcome := f.request(id, 2500*time.Millisecond)
				w.count("request-" + outcome)
				if outcome == answered {
					outcome = f.idle(time.Duration(1200+rand.IntN(1000)) * time.Millisecond)
				}
				if outcome == lost {
					w.logf("no answer: %s of a flow at %x", id, f.server)
				}
				if outcome == resetSys || len(outcome) > len(resetElse) && outcome[:len(resetElse)] == resetElse {
					fail("flow %v, opened at backend %x, got: %s", f.local, f.server, outcome)
				}
				if outcome != "" {
					break
				}
			}
			f.close()
		}()
	}
	all.Wait()
	close(stop)
	rolling.Wait()
	return broken.Load() > 0, nil
}

// watchStrays looks for flows whose packets reach other backends only.
func (w *world) watchStrays(stop <-chan struct{}, fail func(string, ...any)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		now := time.Now()
		var found []string
		w.mu.Lock()
		for key, f := range w.flows {
			if !f.judged && !f.closed && f.strays(now) {
				f.judged = true
				found = append(found, fmt.Sprintf("packets of flow %v, open at backend %x, reached other backends only for 2 s; offered to %x", key, f.backend.number, f.offered))
			}
		}
		w.mu.Unlock()
		for _, text := range found {
			fail("%s", text)
		}
	}
}
