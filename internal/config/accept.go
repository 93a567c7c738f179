package config

import (
	"reflect"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// NeedsForce is the class of errors for a disruptive change without Force: it would
// leave a service without active backend servers, take out the last data centre or
// undo accepted changes.
var NeedsForce = errs.Class("config: needs force")

// Conflict is the class of errors for a change that is based on an outdated or
// unknown version.
var Conflict = errs.Class("config: conflict")

// Change describes a change request: its author and the version it is based on.
type Change struct {
	// ID identifies the change across retries.
	ID string
	// BaseVersion is the version that the change is based on, zero for the first.
	BaseVersion Version
	// Force allows a change that would otherwise be rejected with NeedsForce.
	Force bool
	// HashKey is a random key. The first version requires one and keeps it; later
	// changes ignore it.
	HashKey [HashKeySize]byte
	// Who, When, What and Commit are recorded in the audit trail. What may be empty.
	Who    string
	When   time.Time
	What   string
	Commit string
}

// Accept validates a document and derives the version that follows old, which is
// nil before the first. It returns old itself if nothing changes. Errors are
// strictjson.Problems, Conflict, NeedsForce, Newer or Invalid.
func Accept(old *State, doc Document, change Change) (*State, *Diff, error) {
	doc = doc.Clone()
	doc.applyDefaults()
	if err := doc.Validate().Err(); err != nil {
		return nil, nil, err
	}
	if err := checkPreconditions(old, change); err != nil {
		return nil, nil, err
	}
	return derive(old, doc, change, nil)
}

// derive builds the version after old from a valid document and an optional mark
// change. The caller has checked the preconditions.
func derive(old *State, doc Document, change Change, mark *markChange) (*State, *Diff, error) {
	next := nextState(old, change)
	next.DataCentres = updateDataCentres(next.DataCentres, doc.DataCentres, mark)
	b := recordBuilder{version: next.Version, nextNumber: next.NextNumber, mark: mark, outBefore: map[string]bool{}, outAfter: next.outDataCentres()}
	if old != nil {
		b.outBefore = old.outDataCentres()
	}
	for _, service := range doc.Services {
		next.Services = append(next.Services, b.service(old.findService(service.Name), service))
	}
	if b.nextNumber > MaxNumber+1 {
		return nil, nil, Invalid.New("no backend server numbers are left")
	}
	next.NextNumber = b.nextNumber
	next.Declared = next.Version
	next.ReadableFrom = ReadableFrom
	if len(next.Marks()) > 0 {
		next.ReadableFrom = markedReadableFrom
	}
	diff := Compare(old, next)
	if diff.Empty() && mark == nil {
		return old, diff, nil
	}
	if !change.Force {
		if err := checkStillServing(old, next); err != nil {
			return nil, diff, err
		}
	}
	return next, diff, nil
}

// checkPreconditions checks what every change requires, whatever its content.
func checkPreconditions(old *State, change Change) error {
	if change.ID == "" {
		return Invalid.New("the change has no ID")
	}
	var declared, newest Version
	if old != nil {
		declared, newest = old.Declared, old.Version
	} else if change.HashKey == ([HashKeySize]byte{}) {
		return Invalid.New("the first version requires a random hash key, so that callers cannot choose their buckets")
	}
	if change.BaseVersion < declared || change.BaseVersion > newest {
		return Conflict.New("the change is based on version %d; the last declaration is version %d, the latest version is %d",
			change.BaseVersion, declared, newest)
	}
	if old != nil && old.Format > StoredFormat {
		return Newer.New("version %d has format %d; this release writes format %d", old.Version, old.Format, StoredFormat)
	}
	return nil
}

// nextState returns the version that follows old, without its services.
func nextState(old *State, change Change) *State {
	if old == nil {
		h := StateHeader{Format: StoredFormat, ReadableFrom: ReadableFrom, Version: 1, NextNumber: 1}
		h.HashKey = slices.Clone(change.HashKey[:])
		h.Recent = []AcceptedChange{{ID: change.ID, Version: 1}}
		return &State{StateHeader: h}
	}
	h := old.successor(change.ID)
	h.Format = StoredFormat
	return &State{StateHeader: h}
}

// successor returns the header of the next version, made by the change.
func (h StateHeader) successor(changeID string) StateHeader {
	h.Version++
	h.Recent = trimRecent(append(slices.Clone(h.Recent), AcceptedChange{ID: changeID, Version: h.Version}))
	return h
}

// trimRecent keeps the last maxRecentChanges changes.
func trimRecent(all []AcceptedChange) []AcceptedChange {
	return all[max(0, len(all)-maxRecentChanges):]
}

// updateDataCentres merges the declared data centres into the records of the same
// name. Records of data centres that are no longer declared are dropped.
func updateDataCentres(old []DataCentreRecord, declared []DataCentreSpec, mark *markChange) []DataCentreRecord {
	known := make(map[string]DataCentreRecord, len(old))
	for _, record := range old {
		known[record.Name] = record
	}
	var out []DataCentreRecord
	for _, spec := range declared {
		record := known[spec.Name]
		record.DataCentreSpec = spec
		record.Marked = mark.resolve(Mark{DataCentre: spec.Name}, record.Marked)
		out = append(out, record)
	}
	return out
}

// findService returns the record with the given name, or nil. A nil State has none.
func (s *State) findService(name string) *ServiceRecord {
	if s == nil {
		return nil
	}
	return s.Service(name)
}

// recordBuilder builds the service records of one new version. nextNumber is the next
// Number to assign. outBefore and outAfter hold the data centres that are out before
// and after the change.
type recordBuilder struct {
	version    Version
	nextNumber Number
	mark       *markChange
	outBefore  map[string]bool
	outAfter   map[string]bool
}

func (b *recordBuilder) service(old *ServiceRecord, doc ServiceDocument) ServiceRecord {
	if old == nil {
		old = &ServiceRecord{}
	}
	r := ServiceRecord{ServiceSpec: doc.ServiceSpec, Written: old.Written, unknown: old.unknown}
	r.Servers = b.servers(doc.Name, old.Servers, doc.BackendServers)
	r.Current = r.activeSet(b.outAfter)
	if old.Written == 0 {
		r.Settled = r.Current
	} else {
		r.Settled = old.Settled
		r.Past = nextPast(old, r.Current)
	}
	r.pruneServers(b.version)
	if !reflect.DeepEqual(*old, r) {
		r.Written = b.version
	}
	return r
}

func (b *recordBuilder) servers(service string, old []ServerRecord, declared []ServerSpec) []ServerRecord {
	records := slices.Clone(old)
	matched := make([]bool, len(records))
	var added []ServerRecord
	for _, spec := range declared {
		i := findRecord(records, matched, spec)
		if i < 0 {
			added = append(added, ServerRecord{ServerSpec: spec, Number: b.nextNumber, Joined: b.version})
			b.nextNumber++
			continue
		}
		matched[i] = true
		records[i] = b.updateServer(service, records[i], spec)
	}
	for i := range records {
		if !matched[i] && records[i].Removed == 0 {
			records[i].Removed = b.version
			records[i].Marked = false
		}
	}
	return append(records, added...)
}

// findRecord returns the index of the newest unmatched record of the declared
// server, or -1.
func findRecord(records []ServerRecord, matched []bool, spec ServerSpec) int {
	for i := len(records) - 1; i >= 0; i-- {
		if !matched[i] && records[i].isSameServer(spec) {
			return i
		}
	}
	return -1
}

// updateServer merges a declaration and the mark into an existing record. A server
// that becomes active gets a new Joined version, and with it a new ramp, since it may
// be cold.
func (b *recordBuilder) updateServer(service string, server ServerRecord, spec ServerSpec) ServerRecord {
	was := server.effectiveState(b.outBefore)
	server.ServerSpec = spec
	server.Removed = 0
	server.Marked = b.mark.resolve(Mark{Service: service, Server: spec.Name}, server.Marked)
	if was != Active && server.effectiveState(b.outAfter) == Active {
		server.Joined = b.version
	}
	return server
}

func (r *ServiceRecord) activeSet(out map[string]bool) Set {
	set := Set{}
	for _, server := range r.Servers {
		if server.effectiveState(out) == Active {
			set = append(set, Member{Number: server.Number, Weight: server.Weight})
		}
	}
	return set
}

// nextPast returns Past for a record whose Current is replaced by next. Sets that
// equal Settled or next, and duplicates, are omitted: they unsettle no further
// bucket. If more than MaxPast remain, a single empty set replaces them: its table
// agrees with no other, so every bucket counts as unsettled.
func nextPast(old *ServiceRecord, next Set) []Set {
	if old.Current.Equal(next) {
		return old.Past
	}
	past := uniqueSets(append(slices.Clone(old.Past), old.Current), old.Settled, next)
	if len(past) > MaxPast {
		return []Set{{}}
	}
	return past
}

// uniqueSets returns the sets without duplicates and without those in others.
func uniqueSets(sets []Set, others ...Set) []Set {
	var out []Set
	for _, s := range sets {
		if !slices.ContainsFunc(out, s.Equal) && !slices.ContainsFunc(others, s.Equal) {
			out = append(out, s)
		}
	}
	return out
}

// pruneServers deletes the records of backend servers that an earlier version removed
// and that no set refers to. Records of those that this version removed are kept until
// a later one.
func (r *ServiceRecord) pruneServers(version Version) {
	sets := r.sets()
	r.Servers = slices.DeleteFunc(r.Servers, func(server ServerRecord) bool {
		if server.Removed == 0 || server.Removed == version {
			return false
		}
		return !slices.ContainsFunc(sets, func(s Set) bool { return s.Contains(server.Number) })
	})
}

// checkStillServing returns NeedsForce if the change leaves a service without an
// active backend server, or takes out the last data centre. A condition that held
// before the change is not an error.
func checkStillServing(old, next *State) error {
	var group errs.Group
	for i := range next.Services {
		record := &next.Services[i]
		before := old.findService(record.Name)
		if len(record.Current) == 0 && (before == nil || len(before.Current) > 0) {
			group.Add(NeedsForce.New("service %q would have no active backend servers", record.Name))
		}
	}
	if allDataCentresOut(next) && !allDataCentresOut(old) {
		group.Add(NeedsForce.New("all data centres would be out of service"))
	}
	return group.Err()
}

func allDataCentresOut(s *State) bool {
	if s == nil {
		return false
	}
	return len(s.outDataCentres()) == len(s.DataCentres)
}
