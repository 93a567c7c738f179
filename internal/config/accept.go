package config

import (
	"reflect"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// NeedsForce is the class of errors for a change that would stop a service or
// the last data centre, and that was not forced.
var NeedsForce = errs.Class("config: needs force")

// Conflict is the class of errors for a change that was made without sight of
// the newest declaration.
var Conflict = errs.Class("config: conflict")

// Change says who asks for a change, and against which version.
type Change struct {
	// ID identifies the change through repeated attempts.
	ID string
	// Seen is the version that the change was made against, zero for the first.
	Seen Version
	// Force allows a change that stops a service or the last data centre.
	Force bool
	// HashKey, drawn at random, becomes the key of the first version and is
	// ignored afterwards. The first version needs one.
	HashKey [HashKeySize]byte
	// Who, When, What and Commit go into the audit trail. What may be empty.
	Who    string
	When   time.Time
	What   string
	Commit string
}

// Accept derives the version that follows old, which is nil before the first,
// from a declaration. It returns old itself if nothing changes. Errors are
// strictjson.Problems, Conflict, NeedsForce, Newer or Invalid.
func Accept(old *State, doc Document, change Change) (*State, *Diff, error) {
	doc = doc.Clone()
	doc.normalise()
	if err := doc.Validate().Err(); err != nil {
		return nil, nil, err
	}
	if err := admissible(old, change); err != nil {
		return nil, nil, err
	}
	return derive(old, doc, change, nil)
}

// derive builds the version after old from an admissible declaration and mark.
func derive(old *State, doc Document, change Change, mark *marking) (*State, *Diff, error) {
	next := start(old, change)
	next.DataCentres = dataCentreRecords(next.DataCentres, doc.DataCentres, mark)
	a := accepting{version: next.Version, number: next.NextNumber, mark: mark, wasOut: map[string]bool{}, isOut: next.outDataCentres()}
	if old != nil {
		a.wasOut = old.outDataCentres()
	}
	for _, service := range doc.Services {
		next.Services = append(next.Services, a.service(old.find(service.Name), service))
	}
	if a.number > MaxNumber+1 {
		return nil, nil, Invalid.New("the numbers of backend servers are used up")
	}
	next.NextNumber = a.number
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
		if err := mustNotStop(old, next); err != nil {
			return nil, diff, err
		}
	}
	return next, diff, nil
}

func admissible(old *State, change Change) error {
	if change.ID == "" {
		return Invalid.New("a change needs an identity")
	}
	var declared, newest Version
	if old != nil {
		declared, newest = old.Declared, old.Version
	} else if change.HashKey == ([HashKeySize]byte{}) {
		return Invalid.New("the first version needs a hash key, so that callers cannot choose their buckets")
	}
	if change.Seen < declared || change.Seen > newest {
		return Conflict.New("made against version %d, the newest declaration is %d, the newest version %d",
			change.Seen, declared, newest)
	}
	if old != nil && old.Format > StoredFormat {
		return Newer.New("version %d has format %d, this release writes %d", old.Version, old.Format, StoredFormat)
	}
	return nil
}

// start returns the header of the version that follows old.
func start(old *State, change Change) *State {
	if old == nil {
		h := StateHeader{Format: StoredFormat, ReadableFrom: ReadableFrom, Version: 1, NextNumber: 1}
		h.HashKey = slices.Clone(change.HashKey[:])
		h.Recent = []AcceptedChange{{ID: change.ID, Version: 1}}
		return &State{StateHeader: h}
	}
	h := old.following(change.ID)
	h.Format = StoredFormat
	return &State{StateHeader: h}
}

// following returns the header with the next version, made by the change.
func (h StateHeader) following(changeID string) StateHeader {
	h.Version++
	h.Recent = newestChanges(append(slices.Clone(h.Recent), AcceptedChange{ID: changeID, Version: h.Version}))
	return h
}

func newestChanges(all []AcceptedChange) []AcceptedChange {
	return all[max(0, len(all)-maxRecent):]
}

// dataCentreRecords puts the declarations into the records of the same names.
func dataCentreRecords(old []DataCentreRecord, declared []DataCentreSpec, mark *marking) []DataCentreRecord {
	known := make(map[string]DataCentreRecord, len(old))
	for _, record := range old {
		known[record.Name] = record
	}
	var out []DataCentreRecord
	for _, spec := range declared {
		record := known[spec.Name]
		record.DataCentreSpec = spec
		record.Marked = mark.after(Mark{DataCentre: spec.Name}, record.Marked)
		out = append(out, record)
	}
	return out
}

func (s *State) find(name string) *ServiceRecord {
	if s == nil {
		return nil
	}
	return s.Service(name)
}

// accepting carries what the records of one new version have in common.
type accepting struct {
	version Version
	number  Number
	mark    *marking
	wasOut  map[string]bool
	isOut   map[string]bool
}

func (a *accepting) service(old *ServiceRecord, doc ServiceDocument) ServiceRecord {
	if old == nil {
		old = &ServiceRecord{}
	}
	r := ServiceRecord{ServiceSpec: doc.ServiceSpec, Written: old.Written, more: old.more}
	r.Servers = a.servers(doc.Name, old.Servers, doc.BackendServers)
	r.Current = r.activeSet(a.isOut)
	if old.Written == 0 {
		r.Settled = r.Current
	} else {
		r.Settled = old.Settled
		r.Past = pushPast(old, r.Current)
	}
	r.dropForgotten(a.version)
	if !reflect.DeepEqual(*old, r) {
		r.Written = a.version
	}
	return r
}

func (a *accepting) servers(service string, old []ServerRecord, declared []ServerSpec) []ServerRecord {
	rows := slices.Clone(old)
	kept := make([]bool, len(rows))
	var fresh []ServerRecord
	for _, spec := range declared {
		i := match(rows, kept, spec)
		if i < 0 {
			fresh = append(fresh, ServerRecord{ServerSpec: spec, Number: a.number, Joined: a.version})
			a.number++
			continue
		}
		kept[i] = true
		rows[i] = a.renew(service, rows[i], spec)
	}
	for i := range rows {
		if !kept[i] && rows[i].Removed == 0 {
			rows[i].Removed = a.version
			rows[i].Marked = false
		}
	}
	return append(rows, fresh...)
}

// match finds the newest record of the declared machine that is not taken, or -1.
func match(rows []ServerRecord, kept []bool, spec ServerSpec) int {
	for i := len(rows) - 1; i >= 0; i-- {
		if !kept[i] && rows[i].sameMachine(spec) {
			return i
		}
	}
	return -1
}

// renew puts a declaration and the mark into a known record. Whoever becomes active joins
// anew: it may be cold.
func (a *accepting) renew(service string, row ServerRecord, spec ServerSpec) ServerRecord {
	was := row.effective(a.wasOut)
	row.ServerSpec = spec
	row.Removed = 0
	row.Marked = a.mark.after(Mark{Service: service, Server: spec.Name}, row.Marked)
	if was != Active && row.effective(a.isOut) == Active {
		row.Joined = a.version
	}
	return row
}

func (r *ServiceRecord) activeSet(out map[string]bool) Set {
	set := Set{}
	for _, row := range r.Servers {
		if row.effective(out) == Active {
			set = append(set, Member{Number: row.Number, Weight: row.Weight})
		}
	}
	return set
}

// pushPast returns Past for a record whose Current gives way to next. Sets that
// stand elsewhere add nothing to what unsettles a bucket and are left out. When
// more than MaxPast remain, an empty set takes their place: its table agrees
// with no other, so that every bucket counts as unsettled.
func pushPast(old *ServiceRecord, next Set) []Set {
	if old.Current.Equal(next) {
		return old.Past
	}
	past := distinct(append(slices.Clone(old.Past), old.Current), old.Settled, next)
	if len(past) > MaxPast {
		return []Set{{}}
	}
	return past
}

// distinct returns the sets without repetitions and without the others named.
func distinct(sets []Set, others ...Set) []Set {
	var out []Set
	for _, s := range sets {
		if !slices.ContainsFunc(out, s.Equal) && !slices.ContainsFunc(others, s.Equal) {
			out = append(out, s)
		}
	}
	return out
}

// dropForgotten drops the records that earlier versions removed and that no
// set names. One removed in this version stays for one version more.
func (r *ServiceRecord) dropForgotten(version Version) {
	sets := r.sets()
	r.Servers = slices.DeleteFunc(r.Servers, func(row ServerRecord) bool {
		if row.Removed == 0 || row.Removed == version {
			return false
		}
		return !slices.ContainsFunc(sets, func(s Set) bool { return s.Names(row.Number) })
	})
}

// mustNotStop returns NeedsForce if the change leaves a service without an
// active backend server, or no data centre in service, and it was not so before.
func mustNotStop(old, next *State) error {
	var group errs.Group
	for i := range next.Services {
		record := &next.Services[i]
		before := old.find(record.Name)
		if len(record.Current) == 0 && (before == nil || len(before.Current) > 0) {
			group.Add(NeedsForce.New("service %q would have no active backend server", record.Name))
		}
	}
	if allOut(next) && !allOut(old) {
		group.Add(NeedsForce.New("the last data centre would be out"))
	}
	return group.Err()
}

func allOut(s *State) bool {
	if s == nil {
		return false
	}
	return len(s.outDataCentres()) == len(s.DataCentres)
}
