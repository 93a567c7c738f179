// Command standin3 runs the scripted cases of the third review: it starts the processes of the
// system as separate processes, and plays the platform, the backend servers and the consumers.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return exitNotRun
	}
	network, release, err := platformtest.ClaimNetwork(60)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer release()
	w, err := newWorld(network, []string{"zone-a", "zone-b", "zone-c"}, filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, with the disruption: %v", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	w.summary()
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}

// close ends all processes.
func (w *world) close() {
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, i := range w.instances {
		if i.process != nil {
			i.kill()
		}
	}
	if w.storeServer != nil {
		_ = w.storeServer.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, w.dir)
	} else {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// startInstances starts n instances in each zone, and waits until all are in rotation.
func (w *world) startInstances(n int, stop <-chan struct{}) error {
	go w.watchStalls(stop)
	for z, zone := range w.zones {
		for k := range n {
			w.instances = append(w.instances, &instance{w: w, name: fmt.Sprintf("edge-%s-%d", zone, k+1), zone: zone, address: w.address(10+z, 1+k)})
		}
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
		go i.probe(stop)
	}
	for end := time.Now().Add(15 * time.Second); ; {
		ready := 0
		for _, i := range w.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines are in rotation", ready, len(w.instances))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
