package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// feeds are opened one after the other, feedGap apart. The accepting packet of every
	// lossEvery-th is lost once.
	feeds     = 80
	feedGap   = 130 * time.Millisecond
	lossEvery = 40
	// feedPause is the pause between two requests of a feed.
	feedPause = time.Second
	rollGap   = 1300 * time.Millisecond
)

// twice opens long flows of a quiet service, of which a few lose an accepting packet, while
// machines are stopped and started in turn.
func twice(w *world, trouble bool) (int, error) {
	w.configure(7, 0, "roast-catalogue")
	for _, zone := range []int{0, 0, 1, 2} {
		if _, err := w.addBackend("roast-catalogue", zone); err != nil {
			return 0, err
		}
	}
	if err := w.startNodes([]int{4, 2, 2}); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	c, err := newConsumer(w, 0, 0)
	if err != nil {
		return 0, err
	}
	var lost atomic.Int64
	c.lose = func(f *flow, p *packet) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := int(f.local.Port()) - 1024
		if p.flags&flagSYN == 0 || n%lossEvery != lossEvery/2 || f.echoLost {
			return false
		}
		f.echoLost = true
		lost.Add(1)
		w.note("an accepting packet of flow %v is lost", f.local)
		return true
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	if trouble {
		all.Go(func() { w.roll(stop) })
	}
	var broken atomic.Int64
	for n := range feeds {
		all.Go(func() {
			f, ok := c.open(w.routeTo)
			if !ok {
				w.note("a flow did not open")
				return
			}
			for i := 0; ; i++ {
				answered := f.request(fmt.Sprintf("feed %d-%d", n, i), 2500*time.Millisecond)
				if from, bySystem, _, reset := f.foreignReset(); reset && w.holds(f) {
					broken.Add(1)
					w.note("FLOW flow=%v open at %v, which holds it, was reset by %v, system's own %v", f.local, f.openAt, from, bySystem)
				}
				if !answered {
					w.note("feed %v ended, accepting packets received: %d", f.local, f.accepts)
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(feedPause):
				}
			}
		})
		time.Sleep(feedGap)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	all.Wait()
	w.note("lost packets: %d of %d flows", lost.Load(), feeds)
	return int(broken.Load()), nil
}

// holds reports whether the backend at which a flow was opened lives and holds it.
func (w *world) holds(f *flow) bool {
	for _, b := range w.backends {
		if b.addr.Addr() == f.openAt {
			return b.holds(f.local)
		}
	}
	return false
}

// roll stops the machines in turn with SIGTERM, and starts each again when it has ended.
func (w *world) roll(stop chan struct{}) {
	for _, i := range w.nodes {
		select {
		case <-stop:
			return
		default:
		}
		w.note("SIGTERM machine=%s", i.name)
		_ = i.cmd.Process.Signal(syscall.SIGTERM)
		<-i.exited
		time.Sleep(200 * time.Millisecond)
		if err := w.start(i); err != nil {
			w.note("%v", err)
			return
		}
		time.Sleep(rollGap)
	}
}
