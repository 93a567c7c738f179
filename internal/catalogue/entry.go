package catalogue

import (
	"cmp"
	"math"
	"time"
)

// evacuationGracePeriod is how long an evacuation stays in force after a restored store
// was found without it: the operator writes again what the store has lost.
const evacuationGracePeriod = 3 * time.Second

// entry holds the newest record of an entity and what the mirror derives from its
// records.
type entry struct {
	record Record
	// readAt is when the record was read. removed is when its removal was read, and 0 if
	// the record is no removal.
	readAt  int64
	removed int64
	// lost is set if the record is a removal only because a restored store lacks the
	// entity.
	lost bool
	// created is the position at which the entity was created.
	created Position
	// server and configuration are the newest ones that could be decoded.
	server        *Server
	configuration *Configuration
}

// supersededBy reports whether a record is newer than that of the entry. Within an epoch
// the higher revision is newer. A restored store may hold what its writer has replaced
// or removed since, so between epochs the writer's own order decides, if it is known.
func (e *entry) supersededBy(r Record) bool {
	if r.Epoch == e.record.Epoch {
		return r.Revision > e.record.Revision
	}
	order, known := e.compareWriting(r)
	switch {
	case known && order != 0:
		return order > 0
	case r.Epoch < e.record.Epoch:
		return false
	}
	restoredFromBeforeRemoval := known && e.removed != 0 && !e.lost
	return !restoredFromBeforeRemoval
}

// compareWriting compares a record with what the entry holds in the order in which the
// entity's writer wrote them. It returns false if that order is unknown.
func (e *entry) compareWriting(r Record) (order int, known bool) {
	switch {
	case r.Configuration != nil && e.configuration != nil:
		return cmp.Compare(r.Configuration.Version, e.configuration.Version), true
	case r.Server != nil && e.server != nil:
		return r.Server.compareReport(e.server)
	}
	return 0, false
}

// set replaces the record of the entry. A report that was read in an earlier epoch stays
// as it was then, since the server's warm-up counts from that time.
func (e *entry) set(r Record, readAt int64) {
	if e.repeatedBy(r) {
		r.Server, readAt = e.record.Server, e.readAt
	}
	e.readAt = readAt
	if r.Created != 0 {
		e.created = Position{Epoch: r.Epoch, Revision: r.Created}
	}
	e.record, e.removed, e.lost = r, 0, false
	if r.Removed {
		e.removed = readAt
	}
	if r.Server != nil {
		e.server = r.Server
	}
	if r.Configuration != nil {
		e.configuration = r.Configuration
	}
}

// repeatedBy reports whether a record of another epoch has the report of a server that
// the record of the entry has.
func (e *entry) repeatedBy(r Record) bool {
	if r.Epoch == e.record.Epoch || r.Server == nil || e.record.Server == nil {
		return false
	}
	order, known := r.Server.compareReport(e.record.Server)
	return known && order == 0
}

// removeImplied sets a removal that follows from the absence of the entity in a complete
// delta.
func (e *entry) removeImplied(r Record, readAt int64) {
	lost := e.record.Epoch != r.Epoch
	e.set(r, readAt)
	e.lost = lost
}

// asOf returns the record with the warm-up time that remains at a time.
func (e *entry) asOf(asOf int64) Record {
	r := e.record
	if r.Server == nil || r.Server.Warmup == 0 {
		return r
	}
	server := *r.Server
	server.Warmup = max(0, server.Warmup-time.Duration(asOf-e.readAt))
	r.Server = &server
	return r
}

func (e *entry) backend() *Backend {
	b := &Backend{Server: *e.server, Name: e.record.Name, Revision: e.record.Revision, Removed: e.removed, created: e.created}
	b.Unreadable = e.record.Server == nil && !e.record.Removed
	if b.Warmup > 0 {
		b.WarmAt = e.readAt + int64(b.Warmup)
	}
	return b
}

// evacuatedUntil returns the end of an evacuation, or 0 if it has been removed.
func (e *entry) evacuatedUntil() int64 {
	switch {
	case e.lost:
		return e.removed + int64(evacuationGracePeriod)
	case e.record.Removed:
		return 0
	}
	return math.MaxInt64
}
