package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

// The bounds of RULES.md and of the settings that the judge applies.
const (
	stabilityWindow = 4 * time.Second
	flowReorder     = 2 * time.Second
	maxFlowAge      = 60 * time.Second
	idleTimeout     = 15 * time.Second
	evacuateTime    = 5 * time.Second
	// strays is the number of packets at other servers from which a flow counts as lost.
	strays = 3
)

// flowRecord is what the judge knows of a flow that its server considers open.
type flowRecord struct {
	server           *server
	openedAt, lastAt time.Time
	// misled holds the packets that reached other servers since the last that reached the
	// flow's own.
	misled   []stray
	reported bool
}

type stray struct {
	at       time.Time
	server   *server
	instance netip.Addr
}

// judge applies the rule FLOW to what servers and callers see, and writes the record.
type judge struct {
	// rule is the name of the rule that the case is about. Breaches of others are noted and
	// not counted.
	rule       string
	mu         sync.Mutex
	out        *bufio.Writer
	file       *os.File
	began      time.Time
	flows      map[flowKey]*flowRecord
	violations int
	excused    int
	// disturbed holds the end of the last disturbance of each instance and server, or the far future
	// while it lasts. Planned work is no disturbance.
	disturbed map[netip.Addr]time.Time
	// evacuated holds when the evacuation of each zone was acknowledged.
	evacuated map[string]time.Time
	sent      int
	answered  int
	runs      int
}

func newJudge(path, rule string) (*judge, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &judge{
		rule: rule, out: bufio.NewWriter(file), file: file, began: time.Now(), flows: map[flowKey]*flowRecord{},
		disturbed: map[netip.Addr]time.Time{}, evacuated: map[string]time.Time{},
	}, nil
}

// note writes a line to the record.
func (j *judge) note(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(format, a...)
}

func (j *judge) write(format string, a ...any) {
	fmt.Fprintf(j.out, "%8.3f %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, a...))
}

// violation records that a rule was broken.
func (j *judge) violation(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach(format, a...)
}

func (j *judge) breach(format string, a ...any) {
	if !strings.HasPrefix(format, j.rule) {
		j.write("not of this case: "+format, a...)
		return
	}
	j.violations++
	j.write("BROKEN: "+format, a...)
}

// disturb records that an instance or server is disturbed until further notice, calm that it no
// longer is.
func (j *judge) disturb(a netip.Addr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed[a] = time.Now().Add(time.Hour)
}

func (j *judge) calm(a netip.Addr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed[a] = time.Now()
}

// inTouch reports whether the instance or server at an address has been without a
// disturbance for the stability window at a time.
func (j *judge) inTouch(a netip.Addr, at time.Time) bool {
	end, found := j.disturbed[a]
	return !found || at.Sub(end) >= stabilityWindow
}

// opened records that a server has the end of a flow's handshake.
func (j *judge) opened(k flowKey, s *server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.flows[k] = &flowRecord{server: s, openedAt: time.Now(), lastAt: time.Now()}
	j.write("flow %v -> %v: open at %v", k.source, k.destination, s)
}

// closed records that a flow has ended at its server.
func (j *judge) closed(k flowKey, s *server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.flows[k]; r != nil && r.server == s {
		delete(j.flows, k)
		j.write("flow %v -> %v: closed at %s", k.source, k.destination, s.name)
	}
}

// forget ends the judgement of a flow that its caller has left.
func (j *judge) forget(k flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.flows, k)
}

// evacuate records that the evacuation of a zone has been acknowledged.
func (j *judge) evacuate(zone string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuated[zone] = time.Now()
	j.write("evacuation of %s acknowledged", zone)
}

// took judges by the rule EVAC that a server has taken an opening packet from an instance.
func (j *judge) took(k flowKey, s *server, instance netip.Addr) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at, found := j.evacuated[s.zone]
	now := time.Now()
	if !found || now.Sub(at) <= evacuateTime {
		return
	}
	if !j.inTouch(instance, now) {
		j.excused++
		j.write("excused: flow %v -> %v: opened through %v, not in touch, at %v, evacuated", k.source, k.destination, instance, s)
		return
	}
	j.breach("EVAC: flow %v -> %v: opened through %v at %v, %.1f s after the evacuation was acknowledged",
		k.source, k.destination, instance, s, now.Sub(at).Seconds())
}

// exempt reports whether a flow is too old or has been idle for too long to count.
func (r *flowRecord) exempt(now time.Time) bool {
	return now.Sub(r.openedAt) > maxFlowAge || now.Sub(r.lastAt) > idleTimeout
}

// arrived records that a packet of a flow has reached a server, through an instance.
func (j *judge) arrived(k flowKey, s *server, instance netip.Addr, opening bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.flows[k]
	if r == nil {
		return
	}
	now := time.Now()
	if r.server == s {
		r.lastAt, r.misled = now, nil
		return
	}
	if opening {
		j.write("flow %v -> %v: opening packet through %v at %s, though open at %s", k.source, k.destination, instance, s.name, r.server.name)
		return
	}
	j.write("flow %v -> %v: packet through %v at %s, though open at %s", k.source, k.destination, instance, s.name, r.server.name)
	r.misled = append(r.misled, stray{now, s, instance})
}

// check looks for flows of which packets have reached only other servers for flowReorder.
func (j *judge) check() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for k, r := range j.flows {
		if r.reported || len(r.misled) < strays || now.Sub(r.misled[0].at) < flowReorder {
			continue
		}
		first := r.misled[0]
		count, touched := 0, j.inTouch(r.server.address.Addr(), first.at)
		for _, m := range r.misled {
			if m.at.Sub(first.at) <= flowReorder {
				count++
				touched = touched && j.inTouch(m.instance, m.at)
			}
		}
		if count < strays || r.exempt(first.at) {
			continue
		}
		r.reported = true
		if !touched {
			j.excused++
			j.write("excused: flow %v -> %v: %d packets at %s for %v and none at %s, a disturbance was less than the stability window ago", k.source, k.destination, count, first.server.name, flowReorder, r.server.name)
			continue
		}
		j.breach("FLOW (b): flow %v -> %v: %d packets at %s within %v through %v and none at %s, where it is open",
			k.source, k.destination, count, first.server.name, flowReorder, first.instance, r.server.name)
	}
}

// reset judges a reset that the caller of a flow got from an address, after its last packet
// went to an instance at a time.
func (j *judge) reset(k flowKey, from netip.Addr, last netip.Addr, lastAt time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.flows[k]
	now := time.Now()
	switch {
	case r == nil:
		j.write("flow %v -> %v: reset by %v, not open at any server", k.source, k.destination, from)
		return
	case r.server.address.Addr() == from:
		j.write("flow %v -> %v: reset by its own server %s", k.source, k.destination, r.server.name)
	case r.exempt(now):
		j.write("flow %v -> %v: reset by %v, too old or idle", k.source, k.destination, from)
	case !j.inTouch(last, lastAt) || !j.inTouch(from, now) || !j.inTouch(r.server.address.Addr(), now):
		j.excused++
		j.write("excused: flow %v -> %v: reset by %v, though open at %s: a disturbance was less than %v ago", k.source, k.destination, from, r.server.name, stabilityWindow)
	default:
		j.breach("FLOW (a): flow %v -> %v: reset by %v after a packet through %v, though open at %s (%v) for %.1f s",
			k.source, k.destination, from, last, r.server.name, r.server.address, now.Sub(r.openedAt).Seconds())
	}
	delete(j.flows, k)
}

func (j *judge) asked(text string) { j.count(&j.sent, "sent", text) }

func (j *judge) gotAnswer(text string) { j.count(&j.answered, "answered", text) }

func (j *judge) ran(text string, s *server) { j.count(&j.runs, "run at "+s.name, text) }

func (j *judge) count(n *int, what, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*n++
	j.write("request %s: %s", text, what)
}

// finish writes the result and returns the number of violations.
func (j *judge) finish() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write("requests: %d sent, %d run, %d answered; rule broken %d times, excused %d times", j.sent, j.runs, j.answered, j.violations, j.excused)
	_ = j.out.Flush()
	_ = j.file.Close()
	return j.violations
}
