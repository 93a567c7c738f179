package flowpath

import (
	"maps"
	"math"
	"sync/atomic"
	"time"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/selection"
	"balsamfork/internal/suspicion"
)

const (
	// sameReturn is the difference up to which two instances may tell the time of the same
	// return: their reports take some milliseconds.
	sameReturn = 100 * time.Millisecond
	// maxAbsence is how long a server counts as absent after a peer's report: suspicions last
	// up to 8 s.
	maxAbsence = 10 * time.Second
	// returnReadDelay is how long after the return of a server the store is read: the server
	// registers, and the peers learn of the return, meanwhile.
	returnReadDelay = 20 * time.Millisecond
	// readRetryDelay is the time after which a read is allowed again after one before.
	readRetryDelay = 250 * time.Millisecond
	// returnReportDelay is how long after the return of a server other data centres are told,
	// if the store has not been read by then.
	returnReportDelay = 400 * time.Millisecond
)

// returns tracks servers that answer again after a suspicion. Such a server may have started
// again, and be cold, as long as no read of the store covers the time of its return. A flow
// that it held before the suspicion shows that it has not.
type returns struct {
	servers map[uint32]*serverReturn
	// known is when the catalogue was last confirmed to be complete, and covered the time up
	// to which it has the starts of all servers. resumed is when reads began again after an
	// interruption.
	known, covered, resumed int64
	// changed says that the shared reports are out of date.
	changed bool
	shared  atomic.Pointer[[]sharedReport]
}

// serverReturn is the return of one server, or its absence as peers see it.
type serverReturn struct {
	// at is when the server answered again or became suspected, and lastAnswer when it had
	// answered before that.
	at, lastAnswer int64
	// absentUntil is the end of an absence that peers have reported, 0 for a return.
	absentUntil int64
	// confirmed says that the server has not started again.
	confirmed bool
}

// sharedReport is a report for instances that have started since.
type sharedReport struct {
	report    suspicion.Report
	at, until int64
}

// observe updates the time up to which starts are known. After an interruption servers need
// time to register.
func (r *returns) observe(known int64) {
	if known == r.known {
		return
	}
	if r.known != 0 && known-r.known > int64(maxCatalogueAge) {
		r.resumed = known
	}
	r.known = known
	if r.resumed == 0 || known-r.resumed > int64(selection.RemovedGracePeriod) {
		r.covered = known
		r.changed = r.changed || r.shared.Load() != nil
		r.delete(func(_ uint32, s *serverReturn) bool { return s.at <= known })
	}
}

// record records that a suspicion of a server has ended. If an earlier return is not
// confirmed either, the server may have started again before that.
func (r *returns) record(server uint32, lastAnswer, now int64) {
	if before := r.servers[server]; before != nil && before.at > r.covered && !before.confirmed {
		lastAnswer = min(lastAnswer, before.lastAnswer)
	}
	r.set(server, &serverReturn{at: now, lastAnswer: lastAnswer})
}

// learn records a return that a peer has observed, unless it is known.
func (r *returns) learn(server uint32, at int64) {
	known := r.servers[server]
	if at <= r.covered || known != nil && known.absentUntil == 0 && at <= known.at+int64(sameReturn) {
		return
	}
	r.set(server, &serverReturn{at: at})
}

// learnAbsence records that a server has been absent for peers since a time, unless it is
// known to have returned.
func (r *returns) learnAbsence(server uint32, since, now int64) {
	known := r.servers[server]
	if since <= r.covered || known != nil && known.absentUntil == 0 && since <= known.at {
		return
	}
	r.set(server, &serverReturn{at: since, absentUntil: now + int64(maxAbsence)})
}

// absent reports whether a server counts as absent by the reports of peers.
func (r *returns) absent(server uint32) bool {
	s := r.unconfirmed(server)
	return s != nil && s.absentUntil != 0
}

func (r *returns) set(server uint32, s *serverReturn) {
	r.servers[server] = s
	r.changed = true
}

// unconfirmed returns the return or absence of a server that may have started again, or nil.
func (r *returns) unconfirmed(server uint32) *serverReturn {
	if len(r.servers) == 0 {
		return nil
	}
	s := r.servers[server]
	if s == nil || s.confirmed || s.at <= r.covered {
		return nil
	}
	return s
}

// confirm records that a server has sent data, after since, on a flow that was opened at a
// time.
func (r *returns) confirm(server uint32, opened, since int64) {
	if s := r.unconfirmed(server); s != nil && opened <= s.lastAnswer && since >= s.at {
		s.confirmed, r.changed = true, true
	}
}

func (r *returns) delete(where func(server uint32, s *serverReturn) bool) {
	before := len(r.servers)
	maps.DeleteFunc(r.servers, where)
	r.changed = r.changed || len(r.servers) < before
}

func (r *returns) remove(server uint32) {
	r.delete(func(other uint32, _ *serverReturn) bool { return other == server })
}

// prune removes the servers for which keep returns false.
func (r *returns) prune(keep func(cookie uint32) bool) {
	r.delete(func(server uint32, _ *serverReturn) bool { return !keep(server) })
}

// mayBeColdUntil returns the end of the warm-up of a server that may have started again, 0 if
// it has not.
func (d *Decider) mayBeColdUntil(b *catalogue.Backend) int64 {
	s := d.returns.unconfirmed(b.Cookie)
	if s == nil {
		return 0
	}
	service := d.observed.Service(b.Service)
	if service == nil || service.Warmup == 0 {
		return 0
	}
	return max(s.absentUntil, s.at+int64(service.Warmup))
}

// reportReturn reports a return that this instance has observed, if the server may be cold.
func (d *Decider) reportReturn(b *catalogue.Backend, now int64) {
	if d.mayBeColdUntil(b) > now {
		d.observer.Returned(reportOn(b, suspicion.Returned))
	}
}

// shareReturns makes the servers that may have started again, or may do so while they are
// suspected, known to Returns. An instance knows this of the servers of its own data centre:
// a suspicion of others is often that of the links between.
func (d *Decider) shareReturns(now int64) {
	if !d.returns.changed {
		return
	}
	d.returns.changed = false
	var shared []sharedReport
	add := func(server uint32, kind suspicion.Kind, at, until int64) {
		if b := d.observed.ByCookie(server); b != nil && b.DataCentre == d.selector.DataCentre && until > now {
			shared = append(shared, sharedReport{report: reportOn(b, kind), at: at, until: until})
		}
	}
	for server, s := range d.returns.servers {
		b := d.observed.ByCookie(server)
		if b != nil && s.absentUntil == 0 {
			add(server, suspicion.Returned, s.at, d.mayBeColdUntil(b))
		}
	}
	for server, since := range d.suspicion.Suspicions(d.selector.DataCentre) {
		if since > d.returns.covered {
			add(server, suspicion.Absent, since, math.MaxInt64)
		}
	}
	if shared == nil {
		d.returns.shared.Store(nil)
		return
	}
	d.returns.shared.Store(&shared)
}

// Returns returns reports on the servers of this data centre that may have started again
// without an entry in the store, or are suspected. It is safe for concurrent use.
func (d *Decider) Returns(now int64) []suspicion.Report {
	shared := d.returns.shared.Load()
	if shared == nil {
		return nil
	}
	var reports []suspicion.Report
	for _, s := range *shared {
		if s.until > now {
			s.report.Age = time.Duration(now - s.at)
			reports = append(reports, s.report)
		}
	}
	return reports
}
