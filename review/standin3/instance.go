package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// command is the program that deploy/system.toml runs on each machine.
const command = "target/balsamfork-flowd"

// instance is one machine of the system with its process.
type instance struct {
	w       *world
	name    string
	zone    string
	address netip.Addr
	starts  int
	process *exec.Cmd
	done    chan struct{}
	// misses counts the status checks that failed in a row; the machine is in rotation
	// while it is below two.
	misses  atomic.Int32
	leaving atomic.Bool
}

func (i *instance) start() error {
	i.w.starting.Lock()
	defer i.w.starting.Unlock()
	if i.w.closed {
		return errors.New("the case has ended")
	}
	data, err := i.w.settings(i)
	if err != nil {
		return err
	}
	path := filepath.Join(i.w.dir, i.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.starts++
	i.leaving.Store(false)
	p := exec.Command(command)
	p.Env = []string{"BALSAMFORK_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=2"}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.process, i.done = p, done
	go func() {
		err := p.Wait()
		if !i.leaving.Load() {
			i.w.logf("process of %s ended by itself: %v", i.name, err)
			i.w.count("ended-by-itself")
		}
		_ = log.Close()
		close(done)
	}()
	return nil
}

// terminate ends the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (i *instance) terminate() {
	i.leaving.Store(true)
	_ = i.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.done:
	case <-time.After(6 * time.Second):
		_ = i.process.Process.Kill()
		<-i.done
	}
}

func (i *instance) kill() {
	i.leaving.Store(true)
	_ = i.process.Process.Kill()
	<-i.done
}

// probe checks the status twice per second, as the fabric does.
func (i *instance) probe(stop <-chan struct{}) {
	client := http.Client{Timeout: 450 * time.Millisecond}
	url := fmt.Sprintf("http://%s/readyz", netip.AddrPortFrom(i.address, readyPort))
	i.misses.Store(2)
	for {
		begin := time.Now()
		r, err := client.Get(url)
		if err == nil {
			_ = r.Body.Close()
		}
		before := i.misses.Load()
		if err == nil && r.StatusCode == http.StatusOK {
			i.misses.Store(0)
			if before >= 2 {
				i.w.logf("in rotation: %s", i.name)
			}
		} else if i.misses.Add(1) == 2 {
			i.w.logf("out of rotation: %s", i.name)
		}
		select {
		case <-stop:
			return
		case <-time.After(500*time.Millisecond - time.Since(begin)):
		}
	}
}

func (i *instance) ready() bool { return i.misses.Load() < 2 }

// machines returns the machines of a zone.
func (w *world) machines(zone string) []*instance {
	var all []*instance
	for _, i := range w.instances {
		if i.zone == zone {
			all = append(all, i)
		}
	}
	return all
}

// rotation returns the machines of a zone that get packets.
func (w *world) rotation(zone string) []*instance {
	var ready []*instance
	all := w.machines(zone)
	for _, i := range all {
		if i.ready() {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(all) && len(ready) > 0 {
		return all
	}
	return ready
}

// receiver returns the machine that gets the packets of a flow now: a hash of the four
// addresses and ports modulo the machines in rotation.
func (w *world) receiver(zone string, from, to netip.AddrPort) *instance {
	in := w.rotation(zone)
	for _, z := range w.zones {
		if len(in) > 0 {
			break
		}
		in = w.rotation(z)
	}
	if len(in) == 0 {
		// The pages don't say what happens if no machine is in rotation anywhere. All machines
		// of the zone still run, so they get the packets.
		in = w.machines(zone)
	}
	h := uint64(14695981039346656037)
	for _, end := range []netip.AddrPort{from, to} {
		a := end.Addr().As4()
		for _, x := range []byte{a[0], a[1], a[2], a[3], byte(end.Port() >> 8), byte(end.Port())} {
			h = (h ^ uint64(x)) * 1099511628211
		}
	}
	h ^= h >> 32
	return in[h%uint64(len(in))]
}
