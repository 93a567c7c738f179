package config

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
)

// Action says what a change does to a data centre, service or backend server.
type Action string

// The actions of a change.
const (
	Add      Action = "add"
	Remove   Action = "remove"
	TakeOut  Action = "take out"
	Return   Action = "return"
	Drain    Action = "drain"
	Undrain  Action = "undrain"
	Reweight Action = "reweight"
	Modify   Action = "modify"
)

// Diff is what a change does, for people and tools to read.
type Diff struct {
	From        Version       `json:"from"`
	To          Version       `json:"to"`
	DataCentres []Step        `json:"dataCentres,omitempty"`
	Services    []ServiceDiff `json:"services,omitempty"`
	// Mark says which mark the change sets or removes, if it is no declaration.
	Mark string `json:"mark,omitempty"`
	// Marks holds the marks that are in effect afterwards.
	Marks []Mark `json:"marks,omitempty"`
}

// ServiceDiff is what a change does to one service.
type ServiceDiff struct {
	Name   string `json:"name"`
	Action Action `json:"action"`
	Steps  []Step `json:"steps,omitempty"`
	// WeightMoved is the share of the service's weight that moves between
	// backend servers, from 0 to 1.
	WeightMoved float64 `json:"weightMoved"`
	// BucketsUnsettled is the share of the service's buckets whose base and
	// target differ afterwards, from 0 to 1. Plan fills it in.
	BucketsUnsettled float64 `json:"bucketsUnsettled"`
	// Cuts says which established flows end, one line each.
	Cuts []string `json:"cuts,omitempty"`
}

// Step is one action on a named thing, with what changes about it.
type Step struct {
	Action Action `json:"action"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// ShareFunc returns the share of buckets, from 0 to 1, on which the tables of
// the sets do not all agree.
type ShareFunc func(sets ...Set) float64

// Empty reports whether the change does nothing.
func (d *Diff) Empty() bool {
	return len(d.DataCentres) == 0 && len(d.Services) == 0
}

// Cuts returns one line for each way in which the change ends established
// flows. It is empty for a change that ends none.
func (d *Diff) Cuts() []string {
	var cuts []string
	for _, s := range d.Services {
		for _, c := range s.Cuts {
			cuts = append(cuts, fmt.Sprintf("service %s: %s", s.Name, c))
		}
	}
	return cuts
}

// Compare returns what lies between two versions, either of which may be nil.
func Compare(old, next *State) *Diff {
	d := &Diff{}
	if old == nil {
		old = &State{}
	}
	if next == nil {
		next = &State{}
	}
	d.From, d.To, d.Marks = old.Version, next.Version, next.Marks()
	d.DataCentres = diffDataCentres(old.DataCentres, next.DataCentres)
	pair := statePair{wasOut: old.outDataCentres(), isOut: next.outDataCentres()}
	for i := range next.Services {
		after := &next.Services[i]
		if change, any := pair.service(old.find(after.Name), after); any {
			d.Services = append(d.Services, change)
		}
	}
	for i := range old.Services {
		before := &old.Services[i]
		if next.find(before.Name) == nil {
			d.Services = append(d.Services, ServiceDiff{Name: before.Name, Action: Remove, WeightMoved: 1,
				Cuts: []string{"the service ends, with all its flows"}})
		}
	}
	return d
}

func diffDataCentres(old, next []DataCentreRecord) []Step {
	var steps []Step
	was := make(map[string]DataCentreRecord, len(old))
	for _, dc := range old {
		was[dc.Name] = dc
	}
	for _, dc := range next {
		before, known := was[dc.Name]
		delete(was, dc.Name)
		if !known {
			steps = append(steps, Step{Action: Add, Name: dc.Name})
			continue
		}
		steps = append(steps, dataCentreSteps(before, dc)...)
	}
	for _, dc := range old {
		if _, left := was[dc.Name]; left {
			steps = append(steps, Step{Action: Remove, Name: dc.Name})
		}
	}
	return steps
}

// dataCentreSteps compares two records of a data centre.
func dataCentreSteps(old, next DataCentreRecord) []Step {
	var steps []Step
	switch {
	case next.isOut() && !old.isOut():
		steps = append(steps, Step{Action: TakeOut, Name: next.Name})
		old.Out = next.Out
	case !next.isOut() && old.isOut():
		steps = append(steps, Step{Action: Return, Name: next.Name})
		old.Out = next.Out
	}
	if detail := changedFields(old.DataCentreSpec, next.DataCentreSpec); detail != "" {
		steps = append(steps, Step{Action: Modify, Name: next.Name, Detail: detail})
	}
	return steps
}

// statePair carries the data centres that are out before and after a change.
type statePair struct {
	wasOut map[string]bool
	isOut  map[string]bool
}

// service compares two records of a service; old is nil for a new one.
func (p statePair) service(old, next *ServiceRecord) (ServiceDiff, bool) {
	d := ServiceDiff{Name: next.Name, Action: Modify}
	if old == nil {
		d.Action = Add
		old = &ServiceRecord{}
	} else {
		d.fields(old.ServiceSpec, next.ServiceSpec)
	}
	d.WeightMoved = weightMoved(old.Current, next.Current)
	for _, row := range next.Servers {
		p.server(&d, old.server(row.Number), row)
	}
	for _, row := range old.Servers {
		if next.server(row.Number) == nil && row.Removed == 0 {
			p.server(&d, &row, ServerRecord{ServerSpec: row.ServerSpec, Number: row.Number, Removed: 1})
		}
	}
	return d, d.Action == Add || len(d.Steps) > 0
}

func (r *ServiceRecord) server(n Number) *ServerRecord {
	i := slices.IndexFunc(r.Servers, func(s ServerRecord) bool { return s.Number == n })
	if i < 0 {
		return nil
	}
	return &r.Servers[i]
}

func (d *ServiceDiff) fields(old, next ServiceSpec) {
	if old.Address != next.Address || old.Protocol != next.Protocol {
		d.Cuts = append(d.Cuts, fmt.Sprintf("the address %v/%v is given up, with all its flows", old.Address, old.Protocol))
	}
	if detail := changedFields(old, next); detail != "" {
		d.Steps = append(d.Steps, Step{Action: Modify, Name: d.Name, Detail: detail})
	}
}

// changedFields says which fields of two structs of one type differ, by their
// JSON names.
func changedFields(old, next any) string {
	before, after := reflect.ValueOf(old), reflect.ValueOf(next)
	var parts []string
	for i := range before.NumField() {
		was, is := before.Field(i).Interface(), after.Field(i).Interface()
		if was == is {
			continue
		}
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		parts = append(parts, fmt.Sprintf("%s %v becomes %v", name, was, is))
	}
	return strings.Join(parts, ", ")
}

// server adds the step from one record of a backend server to the next.
func (p statePair) server(d *ServiceDiff, old *ServerRecord, next ServerRecord) {
	step := Step{Name: next.Name}
	var was ServerState
	if old == nil {
		old = &ServerRecord{Removed: 1}
	} else if old.Removed == 0 {
		was = old.effective(p.wasOut)
	}
	is := next.effective(p.isOut)
	switch {
	case next.Removed != 0 && old.Removed == 0:
		step.Action = Remove
	case next.Removed != 0:
		return
	case old.Removed != 0:
		step.Action = Add
		step.Detail = fmt.Sprintf("%v, weight %d, %v", is, next.Weight, next.Packets)
	case was == is && old.ServerSpec == next.ServerSpec:
		return
	case is == Gone && was != Gone:
		step.Action, step.Detail = TakeOut, next.DataCentre
	case is != Gone && was == Gone:
		step.Action, step.Detail = Return, next.DataCentre
	case next.wanted() == Draining && old.wanted() != Draining:
		step.Action = Drain
	case next.wanted() != Draining && old.wanted() == Draining:
		step.Action = Undrain
	case old.Weight != next.Weight:
		step.Action, step.Detail = Reweight, changedFields(old.ServerSpec, next.ServerSpec)
	default:
		step.Action, step.Detail = Modify, changedFields(old.ServerSpec, next.ServerSpec)
	}
	if was != 0 && was != Gone && is == Gone {
		d.Cuts = append(d.Cuts, fmt.Sprintf("the flows of backend server %s in %s end", next.Name, next.DataCentre))
	}
	d.Steps = append(d.Steps, step)
}

// weightMoved returns half the sum of how much the members' shares change,
// which is the share of new flows that go elsewhere.
func weightMoved(old, next Set) float64 {
	shares := map[Number]float64{}
	for _, m := range old {
		shares[m.Number] -= float64(m.Weight) / old.total()
	}
	for _, m := range next {
		shares[m.Number] += float64(m.Weight) / next.total()
	}
	moved := 0.0
	for _, change := range shares {
		moved += math.Abs(change)
	}
	if len(old) == 0 || len(next) == 0 {
		return min(moved, 1)
	}
	return moved / 2
}

func (s Set) total() float64 {
	sum := 0.0
	for _, m := range s {
		sum += float64(m.Weight)
	}
	return sum
}

// Summary returns what the change does and the marks in effect afterwards, as
// one line of at most limit bytes.
func (d *Diff) Summary(limit int) string {
	what, marks := d.Mark, d.marks()
	if what == "" {
		what = d.steps()
	}
	if marks == "" {
		return clip(what, limit)
	}
	return clip(clip(what, limit/2)+"; "+marks, limit)
}

// steps returns the steps of the change as one line.
func (d *Diff) steps() string {
	var parts []string
	for _, step := range d.DataCentres {
		parts = append(parts, fmt.Sprintf("%s data centre %s", step.Action, step.Name))
	}
	for _, s := range d.Services {
		if s.Action != Modify {
			parts = append(parts, fmt.Sprintf("%s service %s", s.Action, s.Name))
			continue
		}
		for _, step := range s.Steps {
			parts = append(parts, fmt.Sprintf("%s %s/%s", step.Action, s.Name, step.Name))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// marks returns the marks in effect afterwards as one line, empty without any.
func (d *Diff) marks() string {
	if len(d.Marks) == 0 {
		return ""
	}
	names := make([]string, len(d.Marks))
	for i, m := range d.Marks {
		names[i] = m.String()
	}
	return "marks in effect: " + strings.Join(names, ", ")
}

func clip(line string, limit int) string {
	if len(line) <= limit {
		return line
	}
	return strings.ToValidUTF8(line[:limit-len("...")], "") + "..."
}
