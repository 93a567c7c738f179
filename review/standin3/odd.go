package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["odd"] = oddCase }

// oddCase drains a backend, as planned. While it drains, another writer leaves entries under its
// key that lack fields; the backend writes its own entry again with its next heartbeat.
func oddCase(w *world, trouble bool) (bool, error) {
	const (
		machines     = 2 // in each zone
		servers      = 2 // in each zone
		flowsASecond = 100
		drainAt      = 5 * time.Second
		bound        = 3 * time.Second // drain_ms
		writes       = 3
		length       = 22 * time.Second
	)
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
				work: 20 * time.Millisecond, address: netip.AddrPortFrom(w.address(40+z, 1+k), 8080),
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
	var consumers []*consumer
	for z, zone := range w.zones {
		c, err := w.newConsumer(zone, w.address(70+z, 1))
		if err != nil {
			return false, err
		}
		consumers = append(consumers, c)
	}
	var all sync.WaitGroup
	leaving := w.backends[0]
	var acknowledged time.Time
	all.Go(func() {
		time.Sleep(drainAt)
		leaving.drain()
		acknowledged = time.Now()
		w.logf("the store has accepted that %s is draining", leaving.key())
		time.Sleep(bound + 1500*time.Millisecond)
		for range writes {
			if trouble {
				w.logf("another writer writes %s without version, warmup_left_ms, seq and born", leaving.key())
				w.store.Put(leaving.key(), map[string]any{
					"service": leaving.service, "address": leaving.address.String(), "zone": leaving.zone, "slots": leaving.slots, "state": "ready",
				})
			}
			time.Sleep(2 * time.Second)
		}
	})
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / flowsASecond)))
		c := consumers[rand.IntN(len(consumers))]
		all.Go(func() {
			f, outcome := c.open(to)
			w.count("open-" + outcome)
			if f == nil {
				return
			}
			w.count("request-" + f.request(fmt.Sprintf("%v-%d", f.local, n), 2500*time.Millisecond))
			f.close()
		})
	}
	all.Wait()
	close(stop)
	late := 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, o := range leaving.openings {
		if at := o.arrived; at.Sub(acknowledged) > bound {
			late++
			w.logf("DRAIN broken: %s took the opening packet of a flow %.3f s after the ack", leaving.key(), at.Sub(acknowledged).Seconds())
		}
	}
	return late > 0, nil
}
