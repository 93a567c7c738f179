// Package suspicion detects backend servers and data centres that don't answer, from
// the traffic itself (passive health checking): a failure is an opening packet that
// gets no handshake, or a request that gets no data in return. A single packet may be
// lost, and a single instance may itself be faulty, so a server is suspected after two
// failures since its last success; failures and successes seen by peers count as well.
// When a suspicion ends, the server gets single flows as trials until one is answered
// (the half-open state of a circuit breaker).
//
// A server that holds as many flows as it may ignores opening packets as well, but serves
// its open flows. Only data on open flows that is sent again without an acknowledgement
// shows that a server is dead.
//
// Servers answer callers directly, so a caller may still receive data from a server
// that the instances can't reach, and a server that accepts flows may answer no
// request. Hence a handshake shows that a server can be reached, and data shows that it
// serves requests. Neither implies the other, but both show that the server is alive.
//
// The package does no I/O and reads no clock. It is not safe for concurrent use. Times
// are in nanoseconds of a monotonic clock.
package suspicion

import (
	"iter"
	"time"
)

const (
	// failureWindow is how long an unanswered packet counts towards a suspicion. An
	// opening packet and its retransmission fall within it.
	failureWindow = 1500 * time.Millisecond
	// suspicionThreshold is the number of failures that make a server suspected.
	suspicionThreshold = 2
	// deadThreshold is the number of retransmissions within deadWindow, reported by at
	// least two instances, that make a suspected server dead. The open flows of a dead server
	// are reset, which must never happen to a server that is alive: at a loss of 1 % of
	// datagrams, four losses in a row without an answer between have a probability of 10^-8.
	deadThreshold = 4
	deadWindow    = 3 * time.Second
	// verdictMargin is how much sooner a verdict ends than a server's flows must hold
	// again. It covers packets and reports in flight.
	verdictMargin = time.Second
	// minSuspicion and maxSuspicion limit how long a suspicion lasts before the server
	// is tried again. The duration doubles each time the server still doesn't answer.
	// The store drops the entry of a dead server within about 5 s.
	minSuspicion = 2 * time.Second
	maxSuspicion = 8 * time.Second
	// trialInterval is the minimum interval between two trials of a server.
	trialInterval = 300 * time.Millisecond
	// unreachableThreshold is the number of suspected servers that make a data centre
	// unreachable, if none of its servers has answered since.
	unreachableThreshold = 2
	// unreachableDuration is how long a data centre counts as unreachable without a
	// contact. Partitions between data centres last about 6 s, and instances keep trying
	// to make contact meanwhile.
	unreachableDuration = 12 * time.Second
)

// Kind states what a report says about a server.
type Kind string

// The kinds of reports: failures and successes of a server.
const (
	// NoHandshake is a failure: an opening packet was not answered.
	NoHandshake Kind = "no_handshake"
	// NoAcknowledgement is a failure: data on an open flow was sent again, so that nothing
	// that the server has sent since has reached the caller.
	NoAcknowledgement Kind = "no_acknowledgement"
	// NoData is a failure: a request got no data in return.
	NoData Kind = "no_data"
	// Handshake is a success: a server that had failures has answered an opening
	// packet.
	Handshake Kind = "handshake"
	// Absent says that a server of the source's data centre is suspected, and Returned that
	// it answers again and may have started again meanwhile. Neither counts as a failure or a
	// success.
	Absent   Kind = "absent"
	Returned Kind = "returned"
	// Data is a success: a caller has received data from a server that had failures.
	Data Kind = "data"
)

// Report is an observation of a server by an instance.
type Report struct {
	Kind Kind
	// Source identifies the observing instance; 0 is this instance.
	Source uint64
	// Server is the cookie of the server, DataCentre the data centre that it is in.
	Server     uint32
	DataCentre string
	// Started is when the server started, as in catalogue.Server; 0 if it does not state
	// that.
	Started int64
	// Age is how long before the report the packet was forwarded that was not answered, the
	// server was alive at the latest, became suspected, or answered again.
	Age time.Duration
}

// Finding is the result of recording a failure.
type Finding struct {
	// Suspected is set if the server has become suspected, Unreachable if its data
	// centre has become unreachable.
	Suspected   bool
	Unreachable bool
	// Failures is the number of failures of the same circuit within deadWindow since the
	// last success.
	// Silent is the time since that success; 0 if there was none.
	Failures int
	Silent   time.Duration
}

type server struct {
	dataCentre string
	// handshakes records unanswered opening packets as failures and handshakes as
	// successes; requests records unanswered requests as failures and data as successes.
	handshakes circuit
	requests   circuit
	// unacknowledged holds data that was sent again without an acknowledgement.
	unacknowledged failureList
	// lastAlive is the time of the last handshake, or of data that was certainly sent
	// just then. lastTrial is when a flow was last sent to the server.
	lastAlive int64
	lastTrial int64
}

type dataCentre struct {
	// lastAnswer is when one of its servers last answered an opening packet, lastContact
	// when one of its instances last answered this one.
	lastAnswer  int64
	lastContact int64
	// until is the end of the time for which it counts as unreachable.
	until int64
}

// Table holds the failures and successes of all backend servers and data centres.
type Table struct {
	// verdict is how long a server counts as dead after its last failure. Without an end
	// the verdict would outlast a network partition: a server whose packets are all reset
	// cannot show that it is alive.
	verdict     time.Duration
	servers     map[uint32]*server
	dataCentres map[string]*dataCentre
}

// New returns an empty table. The open flows of a server must hold again stabilityWindow
// after a disturbance of it.
func New(stabilityWindow time.Duration) *Table {
	return &Table{
		verdict:     max(0, stabilityWindow-verdictMargin),
		servers:     map[uint32]*server{},
		dataCentres: map[string]*dataCentre{},
	}
}

// RecordFailure records a failure, which counts from the time when its packet was
// forwarded: it may be reported late.
func (t *Table) RecordFailure(r Report, now int64) Finding {
	s := t.server(r.Server, r.DataCentre)
	c := &s.handshakes
	if r.Kind == NoData {
		c = &s.requests
	}
	failed := failure{source: r.Source, at: now - int64(r.Age)}
	if r.Kind == NoAcknowledgement {
		s.unacknowledged.insert(failed)
	}
	f := Finding{Suspected: c.recordFailure(failed, now), Failures: c.failures.count(c.lastSuccess, now, deadWindow)}
	if c.lastSuccess != 0 {
		f.Silent = time.Duration(now - c.lastSuccess)
	}
	f.Unreachable = f.Suspected && r.Kind == NoHandshake && t.detectUnreachable(r.DataCentre, now)
	return f
}

// RecordRetransmission records that this instance forwarded data on an open flow at a time,
// and that it was sent again without an acknowledgement. Unlike a failure, it does not
// prolong a suspicion.
func (t *Table) RecordRetransmission(id uint32, dc string, at int64) {
	t.server(id, dc).unacknowledged.insert(failure{at: at, unreported: true})
}

// TakeRetransmissions returns the time of each retransmission by RecordRetransmission since
// the server was last alive that still counts, and returns it once only: a peer would count
// a second report as another retransmission.
func (t *Table) TakeRetransmissions(id uint32, now int64) []int64 {
	s := t.servers[id]
	if s == nil {
		return nil
	}
	var times []int64
	for i := range s.unacknowledged {
		f := &s.unacknowledged[i]
		if f.unreported && f.at > s.lastAlive && now-f.at <= int64(deadWindow) {
			f.unreported = false
			times = append(times, f.at)
		}
	}
	return times
}

// Dead reports whether it is certain that a server answers no instance: it is suspected of
// not answering opening packets, and data on open flows was sent again without an
// acknowledgement deadThreshold times, through at least two instances, since the server was
// last alive, the last of them within the duration of a verdict. Unanswered opening packets
// alone show only that a server takes no new flows.
func (t *Table) Dead(id uint32, now int64) bool {
	s := t.servers[id]
	if s == nil || !s.handshakes.tripped {
		return false
	}
	newest := s.unacknowledged[0]
	if now-newest.at > int64(t.verdict) || s.unacknowledged.count(s.lastAlive, newest.at, deadWindow) < deadThreshold {
		return false
	}
	for _, f := range s.unacknowledged[1:] {
		if f.source != newest.source {
			return true
		}
	}
	return false
}

// detectUnreachable reports whether a data centre has become unreachable, and marks it
// as such.
func (t *Table) detectUnreachable(dc string, now int64) bool {
	d := t.dataCentre(dc)
	if d.until > now {
		return false
	}
	silent := 0
	for _, s := range t.servers {
		c := &s.handshakes
		if s.dataCentre == dc && c.until > now && c.since > max(d.lastAnswer, d.lastContact) {
			silent++
		}
	}
	if silent < unreachableThreshold {
		return false
	}
	d.until = now + int64(unreachableDuration)
	return true
}

// Refutation is the effect of a success on earlier failures.
type Refutation struct {
	// Refutes is set if there were any that still counted, Ended if the server was
	// suspected.
	Refutes, Ended bool
}

// RecordHandshake records that a server has answered an opening packet.
func (t *Table) RecordHandshake(id uint32, dc string, now int64) Refutation {
	s := t.server(id, dc)
	r := s.handshakes.recordSuccess(now)
	r.Refutes = s.recordAlive(now, now) || r.Refutes
	d := t.dataCentre(dc)
	d.lastAnswer, d.until = now, min(d.until, now)
	return r
}

// RecordPossibleData records that a caller has received data from a server at some time
// after since: its acknowledgement number has advanced since then at this instance, but
// other instances may have seen that before.
func (t *Table) RecordPossibleData(id uint32, dc string, since, now int64) Refutation {
	s := t.server(id, dc)
	r := s.requests.recordSuccess(now)
	r.Refutes = s.recordAlive(since, now) || r.Refutes
	return r
}

// RecordData records that a caller has just received data from a server.
func (t *Table) RecordData(id uint32, dc string, now int64) Refutation {
	return t.RecordPossibleData(id, dc, now, now)
}

// recordAlive records that the server was alive at a time, and reports whether failures that
// still counted are from before that.
func (s *server) recordAlive(at, now int64) bool {
	if at <= s.lastAlive {
		return false
	}
	before := s.countSilence(now)
	s.lastAlive = at
	return s.countSilence(now) < before
}

// countSilence returns the number of failures since the server was last alive that still
// count. Retransmissions don't count against a server that accepts flows.
func (s *server) countSilence(now int64) int {
	n := s.handshakes.failures.count(s.lastAlive, now, deadWindow)
	if s.handshakes.tripped {
		n += s.unacknowledged.count(s.lastAlive, now, deadWindow)
	}
	return n
}

// RecordContact records that an instance in a data centre has answered this one.
func (t *Table) RecordContact(dc string, now int64) {
	d := t.dataCentre(dc)
	d.lastContact, d.until = now, min(d.until, now)
}

// RecordTrial records that a flow was sent to a server.
func (t *Table) RecordTrial(id uint32, now int64) {
	if s := t.servers[id]; s != nil {
		s.lastTrial = now
	}
}

// LastHandshake returns when a server last answered an opening packet, or 0 if never.
func (t *Table) LastHandshake(id uint32) int64 {
	if s := t.servers[id]; s != nil {
		return s.handshakes.lastSuccess
	}
	return 0
}

// LastData returns when RecordPossibleData or RecordData was last called for a
// server, or 0 if never.
func (t *Table) LastData(id uint32) int64 {
	if s := t.servers[id]; s != nil {
		return s.requests.lastSuccess
	}
	return 0
}

// Suspected reports whether a server must not get a new flow now.
func (t *Table) Suspected(id uint32, now int64) bool {
	s := t.servers[id]
	return s != nil && (s.handshakes.blocks(s.lastTrial, now) || s.requests.blocks(s.lastTrial, now))
}

// HandshakeSuspected reports whether a server must not get a new flow now
// because it does not answer opening packets.
func (t *Table) HandshakeSuspected(id uint32, now int64) bool {
	s := t.servers[id]
	return s != nil && s.handshakes.blocks(s.lastTrial, now)
}

// Silent reports whether a server is suspected of not answering opening packets and has
// shown no sign of being alive since the suspicion started.
func (t *Table) Silent(id uint32, now int64) bool {
	return t.HandshakeSuspected(id, now) && t.servers[id].lastAlive < t.servers[id].handshakes.since
}

// Tripped reports whether a server is suspected and has not answered since.
func (t *Table) Tripped(id uint32) bool {
	s := t.servers[id]
	return s != nil && (s.handshakes.tripped || s.requests.tripped)
}

// Suspicions returns the servers of a data centre that are suspected and have not answered
// since, with the start of the last suspicion.
func (t *Table) Suspicions(dc string) iter.Seq2[uint32, int64] {
	return func(yield func(id uint32, since int64) bool) {
		for id, s := range t.servers {
			if s.dataCentre == dc && t.Tripped(id) && !yield(id, max(s.handshakes.since, s.requests.since)) {
				return
			}
		}
	}
}

// EverAnswered reports whether a data centre has ever answered.
func (t *Table) EverAnswered(dc string) bool {
	d := t.dataCentres[dc]
	return d != nil && (d.lastAnswer != 0 || d.lastContact != 0)
}

// Unreachable reports whether a data centre can't be reached.
func (t *Table) Unreachable(dc string, now int64) bool {
	d := t.dataCentres[dc]
	return d != nil && d.until > now
}

// Remove removes a server.
func (t *Table) Remove(id uint32) { delete(t.servers, id) }

// Retain removes all servers except those for which keep returns true.
func (t *Table) Retain(keep func(id uint32) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

func (t *Table) server(id uint32, dc string) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{dataCentre: dc}
		t.servers[id] = s
	}
	return s
}

func (t *Table) dataCentre(dc string) *dataCentre {
	d := t.dataCentres[dc]
	if d == nil {
		d = &dataCentre{}
		t.dataCentres[dc] = d
	}
	return d
}
