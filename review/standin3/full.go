package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["full"] = fullCase }

// fullCase takes one backend in six away, as planned, so that the others hold as many flows as
// they may. All that remain live, and answer each request on their open flows. The consumers'
// screens ask again in shifts.
func fullCase(w *world, trouble bool) (bool, error) {
	const (
		machines = 3 // in each zone
		servers  = 4 // in each zone
		leaving  = 2 // of 12: a share of 0.167
		maxConns = 60
		usual    = 47 // users of each backend
		work     = 330 * time.Millisecond
		period   = 2400 * time.Millisecond // screens ask again in shifts
		pause    = 8 * time.Second         // at least, and up to pauseMore longer, to the next shift
		// pauseMore keeps all pauses below idle_timeout_ms: 8 + 4.2 + 2.4 + 0.1 s.
		pauseMore = 4200 * time.Millisecond
		spread    = 100 * time.Millisecond
		life      = 20 * time.Second
		scaleIn   = 8 * time.Second
		length    = 75 * time.Second
		deadline  = 2500 * time.Millisecond
	)
	if err := w.startStore(); err != nil {
		return false, err
	}
	to := netip.MustParseAddrPort("198.18.0.1:8443")
	w.maxConns = maxConns
	w.configure(1, route{to, "desk"})
	for z, zone := range w.zones {
		for k := range servers {
			b := &backend{
				w: w, number: uint64(0xa0 + 16*z + k), service: "desk", zone: zone, slots: 4, queue: 16, maxConns: maxConns,
				work: work, address: netip.AddrPortFrom(w.address(40+z, 1+k), 8080),
			}
			if err := b.start(); err != nil {
				return false, err
			}
			w.backends = append(w.backends, b)
		}
	}
	stop := make(chan struct{})
	if err := w.startInstances(machines, stop); err != nil {
		return false, err
	}
	var broken atomic.Int64
	began := time.Now()
	var all sync.WaitGroup
	user := func(c *consumer) {
		defer all.Done()
		time.Sleep(time.Duration(rand.Int64N(int64(3 * time.Second))))
		for time.Since(began) < length {
			f, outcome := c.open(to)
			w.count("open-" + outcome)
			if f == nil {
				time.Sleep(time.Second + time.Duration(rand.Int64N(int64(time.Second))))
				continue
			}
			end := f.openedAt.Add(life/2 + time.Duration(rand.Int64N(int64(life))))
			for k := 0; time.Since(began) < length && time.Now().Before(end); k++ {
				id := fmt.Sprintf("%v-%d", f.local, k)
				outcome = f.request(id, deadline)
				w.count("request-" + outcome)
				if outcome == answered || outcome == shed {
					next := nextShift(began, period, pause+time.Duration(rand.Int64N(int64(pauseMore))))
					outcome = f.idle(time.Until(next) + time.Duration(rand.Int64N(int64(spread))))
				}
				if outcome == resetSys && (!w.alive(f.server) || !w.calm() || f.longestPause() > idleTimeout || time.Since(f.openedAt) > maxFlowAge) {
					w.logf("not counted, as the backend has left, the stand-ins were held up or the flow is too old or idle: flow %v, backend %x, got: %s", f.local, f.server, outcome)
				} else if outcome == resetSys || strings.HasPrefix(outcome, resetElse) {
					broken.Add(1)
					w.logf("FLOW broken: flow %v, open at backend %x, got: %s; request %s had run %d times", f.local, f.server, outcome, id, w.runsOf(id))
				}
				if outcome != "" {
					break
				}
			}
			f.close()
		}
	}
	for z, zone := range w.zones {
		c, err := w.newConsumer(zone, w.address(70+z, 1))
		if err != nil {
			return false, err
		}
		for range usual * servers {
			all.Add(1)
			go user(c)
		}
	}
	if trouble {
		for n := range leaving {
			b := w.backends[(n+1)*servers]
			all.Go(func() {
				time.Sleep(scaleIn)
				w.logf("backend %x drains", b.number)
				b.leave(20 * time.Second)
				w.logf("backend %x has left", b.number)
			})
		}
	}
	all.Wait()
	close(stop)
	for _, b := range w.backends {
		b.mu.Lock()
		w.logf("backend %x (%s): opening packets that it ignored since it was full: %d", b.number, b.state, b.refused)
		b.mu.Unlock()
	}
	return broken.Load() > 0, nil
}

// alive reports whether a backend has not left.
func (w *world) alive(number uint64) bool {
	for _, b := range w.backends {
		if b.number == number {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.state != "gone"
		}
	}
	return false
}

func (w *world) runsOf(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[request]
}

// nextShift returns the beginning of the first shift that is at least a pause away.
func nextShift(began time.Time, period, pause time.Duration) time.Time {
	return began.Add((time.Since(began) + pause).Truncate(period) + period)
}
