// Package suspicion finds backend servers and data centres that don't answer, from
// the traffic itself: an opening packet that a caller repeats has not been
// answered. One unanswered packet may be lost, and one instance may be at fault
// itself, so a server is suspected on two accounts, of this instance or of its
// peers, since its last sign of life. The package does no I/O and reads no clock;
// it belongs to one goroutine.
package suspicion

import "time"

const (
	// evidenceFor is how long an unanswered packet counts. Two copies of an opening
	// packet lie within it.
	evidenceFor = 1500 * time.Millisecond
	// needed is how many accounts make a suspicion.
	needed = 2
	// firstTerm and lastTerm bound how long a suspicion lasts before the server is
	// tried again; it doubles each time that the server still doesn't answer. The
	// store drops the entry of a dead server within about 5 s.
	firstTerm = 2 * time.Second
	lastTerm  = 8 * time.Second
	// memory is how long a past suspicion makes the next one longer.
	memory = 20 * time.Second
	// silentServers is how many suspected servers of a data centre, none of whose
	// servers has answered since, make it unreachable.
	silentServers = 2
)

// Report is one account of an unanswered opening packet.
type Report struct {
	// Source identifies the instance that saw it; 0 is this one.
	Source uint64
	// Server is the cookie of the server, DataCentre where it is.
	Server     uint32
	DataCentre string
}

// account is one recent report on a server.
type account struct {
	source uint64
	at     int64
}

type server struct {
	dataCentre string
	accounts   [needed]account
	answered   int64
	since      int64
	until      int64
	term       time.Duration
}

type dataCentre struct {
	answered int64
}

// Table holds the evidence on all backend servers.
type Table struct {
	servers     map[uint32]*server
	dataCentres map[string]*dataCentre
}

// New returns a table without evidence.
func New() *Table {
	return &Table{servers: map[uint32]*server{}, dataCentres: map[string]*dataCentre{}}
}

// Missed takes a report and says whether it made the server suspected.
func (t *Table) Missed(r Report, now int64) bool {
	s := t.server(r.Server, r.DataCentre)
	if now-s.answered < 0 || s.until > now {
		return false
	}
	s.replaceOldest(account{source: r.Source, at: now})
	for _, a := range s.accounts {
		if a.at == 0 || a.at <= s.answered || now-a.at > int64(evidenceFor) {
			return false
		}
	}
	s.suspect(now)
	return true
}

func (s *server) replaceOldest(a account) {
	oldest := 0
	for i := range s.accounts {
		if s.accounts[i].at < s.accounts[oldest].at {
			oldest = i
		}
	}
	s.accounts[oldest] = a
}

func (s *server) suspect(now int64) {
	if s.term == 0 || now-s.until > int64(memory) {
		s.term = firstTerm
	} else {
		s.term = min(2*s.term, lastTerm)
	}
	s.since, s.until = now, now+int64(s.term)
}

// Answered notes a sign of life of a server and says whether it ends a suspicion.
func (t *Table) Answered(id uint32, where string, now int64) bool {
	s := t.server(id, where)
	ended := s.until > now
	s.answered, s.until = now, min(s.until, now)
	t.dataCentre(where).answered = now
	return ended
}

// Answers returns when a server last gave a sign of life, 0 if never.
func (t *Table) Answers(id uint32) int64 {
	if s := t.servers[id]; s != nil {
		return s.answered
	}
	return 0
}

// Suspected reports whether a server is to get no new flows.
func (t *Table) Suspected(id uint32, now int64) bool {
	s := t.servers[id]
	return s != nil && s.until > now
}

// Unreachable reports whether the servers of a data centre don't answer.
func (t *Table) Unreachable(where string, now int64) bool {
	silent := 0
	answered := t.dataCentre(where).answered
	for _, s := range t.servers {
		if s.dataCentre == where && s.until > now && s.since > answered {
			silent++
		}
	}
	return silent >= silentServers
}

// Forget drops the servers that keep reports false for.
func (t *Table) Forget(keep func(id uint32) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

func (t *Table) server(id uint32, where string) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{dataCentre: where}
		t.servers[id] = s
	}
	return s
}

func (t *Table) dataCentre(where string) *dataCentre {
	d := t.dataCentres[where]
	if d == nil {
		d = &dataCentre{}
		t.dataCentres[where] = d
	}
	return d
}
