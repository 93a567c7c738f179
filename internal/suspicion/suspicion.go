// Package suspicion finds backend servers and data centres that don't answer, from
// the traffic itself: the handshake of an opening packet that was sent there does
// not come, or a request gets no data in return. One packet may be lost, and one
// instance may be at fault itself, so a server is suspected on two accounts, of this
// instance or of its peers, since the last sign to the contrary, which other
// instances may have seen. When a suspicion ends, the server gets single flows as
// trials until one is answered (a circuit breaker's half-open state).
//
// Servers answer callers directly, so a caller may still receive data of a server
// that the instances can't reach, and a server that accepts flows may answer no
// request. Hence a handshake shows that a server can be reached, and data that it
// works; neither stands for the other, but both show that it lives.
//
// The package does no I/O and reads no clock; it belongs to one goroutine. Times are in
// nanoseconds of a steady clock.
package suspicion

import "time"

const (
	// evidenceFor is how long an unanswered packet counts. Two copies of an opening
	// packet lie within it.
	evidenceFor = 1500 * time.Millisecond
	// needed is how many accounts make a suspicion.
	needed = 2
	// deadAccounts is how many accounts, of two instances at least and within
	// deadWithin, make a server dead: its open flows are reset then, which must never
	// happen to a server that lives. At one lost datagram in a hundred, four in a row
	// without an answer between are one in 10^8.
	deadAccounts = 4
	deadWithin   = 3 * time.Second
	// firstTerm and lastTerm bound how long a suspicion lasts before the server is
	// tried again; it doubles each time that the server still doesn't answer. The
	// store drops the entry of a dead server within about 5 s.
	firstTerm = 2 * time.Second
	lastTerm  = 8 * time.Second
	// trialEvery is the time between the trials of a server.
	trialEvery = 300 * time.Millisecond
	// silentServers is how many suspected servers of a data centre, none of whose
	// servers has answered since, make it unreachable.
	silentServers = 2
	// unreachableFor is how long a data centre counts as unreachable without a
	// contact: cuts between data centres last some 6 s, and contact is sought meanwhile.
	unreachableFor = 12 * time.Second
)

// Kind is what a report tells of a server.
type Kind string

// The kinds of reports: accounts against a server, and signs to the contrary.
const (
	// NoHandshake is an account of an opening packet that was not answered.
	NoHandshake Kind = "no_handshake"
	// NoData is an account of a request that got no data in return.
	NoData Kind = "no_data"
	// Handshake tells that a server has answered an opening packet although there
	// were accounts against it.
	Handshake Kind = "handshake"
	// Data tells that a caller has received data from such a server.
	Data Kind = "data"
)

// Report is what an instance has seen of a server.
type Report struct {
	Kind Kind
	// Source identifies the instance that saw it; 0 is this one.
	Source uint64
	// Server is the cookie of the server, DataCentre where it is.
	Server     uint32
	DataCentre string
}

// Finding is what an account leads to.
type Finding struct {
	// Suspected says that the server has become suspected, Unreachable that its
	// data centre has become unreachable.
	Suspected   bool
	Unreachable bool
	// Accounts is how many accounts there are since the last sign to the contrary,
	// and Silent how long ago that was; 0 if there was none.
	Accounts int
	Silent   time.Duration
}

type server struct {
	dataCentre string
	// handshakes has the accounts of opening packets, and is cleared by handshakes;
	// requests has those of requests, and is cleared by data.
	handshakes circuit
	requests   circuit
	// alive is the last sign of life of either kind, tried when a flow was last sent.
	alive int64
	tried int64
}

type dataCentre struct {
	answered  int64
	contacted int64
	until     int64
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

// Missed takes an account.
func (t *Table) Missed(r Report, now int64) Finding {
	s := t.server(r.Server, r.DataCentre)
	c := &s.handshakes
	if r.Kind == NoData {
		c = &s.requests
	}
	f := Finding{Suspected: c.miss(r.Source, now), Accounts: c.count(c.cleared, now, deadWithin)}
	if c.cleared != 0 {
		f.Silent = time.Duration(now - c.cleared)
	}
	f.Unreachable = f.Suspected && r.Kind == NoHandshake && t.judge(r.DataCentre, now)
	return f
}

// Dead reports whether a server is certain not to answer any instance.
func (t *Table) Dead(id uint32) bool {
	s := t.servers[id]
	if s == nil || !s.handshakes.doubtful {
		return false
	}
	newest := s.handshakes.accounts[0]
	if s.handshakes.count(s.alive, newest.at, deadWithin) < deadAccounts {
		return false
	}
	for _, a := range s.handshakes.accounts[1:] {
		if a.source != newest.source {
			return true
		}
	}
	return false
}

// judge reports whether a data centre has become unreachable.
func (t *Table) judge(where string, now int64) bool {
	d := t.dataCentre(where)
	if d.until > now {
		return false
	}
	silent := 0
	for _, s := range t.servers {
		c := &s.handshakes
		if s.dataCentre == where && c.until > now && c.since > max(d.answered, d.contacted) {
			silent++
		}
	}
	if silent < silentServers {
		return false
	}
	d.until = now + int64(unreachableFor)
	return true
}

// Refutation is what a sign to the contrary does to the accounts before it.
type Refutation struct {
	// Refutes says that there were any, Ended that the server was suspected.
	Refutes, Ended bool
}

// Answered notes that a server has answered an opening packet.
func (t *Table) Answered(id uint32, where string, now int64) Refutation {
	s := t.server(id, where)
	r := s.handshakes.clear(now)
	s.alive = now
	d := t.dataCentre(where)
	d.answered, d.until = now, min(d.until, now)
	return r
}

// Served notes that a caller may have received data from a server: its
// acknowledgement has moved here, but other instances may have seen that before.
func (t *Table) Served(id uint32, where string, now int64) Refutation {
	return t.server(id, where).requests.clear(now)
}

// Alive notes that a caller has received data from a server just now.
func (t *Table) Alive(id uint32, where string, now int64) Refutation {
	s := t.server(id, where)
	r := s.requests.clear(now)
	r.Refutes = r.Refutes || s.handshakes.count(s.alive, now, deadWithin) > 0
	s.alive = now
	return r
}

// Contact notes that an instance of a data centre has answered this one.
func (t *Table) Contact(where string, now int64) {
	d := t.dataCentre(where)
	d.contacted, d.until = now, min(d.until, now)
}

// Tried notes that a flow was sent to a server.
func (t *Table) Tried(id uint32, now int64) {
	if s := t.servers[id]; s != nil {
		s.tried = now
	}
}

// LastHandshake returns when a server last answered an opening packet, 0 if never.
func (t *Table) LastHandshake(id uint32) int64 {
	if s := t.servers[id]; s != nil {
		return s.handshakes.cleared
	}
	return 0
}

// LastData returns when a server last sent data, 0 if never.
func (t *Table) LastData(id uint32) int64 {
	if s := t.servers[id]; s != nil {
		return s.requests.cleared
	}
	return 0
}

// Suspected reports whether a server is to get no new flow now.
func (t *Table) Suspected(id uint32, now int64) bool {
	s := t.servers[id]
	return s != nil && (s.handshakes.refuses(s.tried, now) || s.requests.refuses(s.tried, now))
}

// Unanswering reports whether a server is to get no new flow now because it does not
// answer opening packets.
func (t *Table) Unanswering(id uint32, now int64) bool {
	s := t.servers[id]
	return s != nil && s.handshakes.refuses(s.tried, now)
}

// Silent reports whether a server does not answer opening packets and has shown no
// life since this is known.
func (t *Table) Silent(id uint32, now int64) bool {
	return t.Unanswering(id, now) && t.servers[id].alive < t.servers[id].handshakes.since
}

// Seen reports whether a data centre has ever answered.
func (t *Table) Seen(where string) bool {
	d := t.dataCentres[where]
	return d != nil && (d.answered != 0 || d.contacted != 0)
}

// Unreachable reports whether a data centre can't be reached.
func (t *Table) Unreachable(where string, now int64) bool {
	d := t.dataCentres[where]
	return d != nil && d.until > now
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
