package config

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
)

// Action is the kind of change to a data centre, service or backend server.
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

// Diff describes the effect of a change, for operators and tools.
type Diff struct {
	From        Version       `json:"from"`
	To          Version       `json:"to"`
	DataCentres []Step        `json:"dataCentres,omitempty"`
	Services    []ServiceDiff `json:"services,omitempty"`
	// Mark describes the mark that the change sets or removes. It is empty for a
	// declaration.
	Mark string `json:"mark,omitempty"`
	// Marks holds the marks in effect after the change.
	Marks []Mark `json:"marks,omitempty"`
}

// ServiceDiff describes the effect of a change on one service.
type ServiceDiff struct {
	Name   string `json:"name"`
	Action Action `json:"action"`
	Steps  []Step `json:"steps,omitempty"`
	// WeightMoved is the share of the service's weight that moves between
	// backend servers, from 0 to 1.
	WeightMoved float64 `json:"weightMoved"`
	// BucketsUnsettled is the share of the service's buckets whose base and
	// target differ after the change, from 0 to 1. Only Plan sets it.
	BucketsUnsettled float64 `json:"bucketsUnsettled"`
	// Cuts describes the established flows that the change terminates, one line each.
	Cuts []string `json:"cuts,omitempty"`
}

// Step is one action on a named object, with the details that change.
type Step struct {
	Action Action `json:"action"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// ShareFunc returns the share of buckets, from 0 to 1, on which the tables of
// the sets do not all agree.
type ShareFunc func(sets ...Set) float64

// Empty reports whether the change has no effect on data centres or services.
func (d *Diff) Empty() bool {
	return len(d.DataCentres) == 0 && len(d.Services) == 0
}

// Cuts returns one line for each way in which the change terminates established
// flows. It is empty if no flow is terminated.
func (d *Diff) Cuts() []string {
	var cuts []string
	for _, s := range d.Services {
		for _, c := range s.Cuts {
			cuts = append(cuts, fmt.Sprintf("service %s: %s", s.Name, c))
		}
	}
	return cuts
}

// Compare returns the difference between two versions, either of which may be nil.
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
	context := diffContext{outBefore: old.outDataCentres(), outAfter: next.outDataCentres()}
	for i := range next.Services {
		after := &next.Services[i]
		if change, changed := context.service(old.findService(after.Name), after); changed {
			d.Services = append(d.Services, change)
		}
	}
	for i := range old.Services {
		before := &old.Services[i]
		if next.findService(before.Name) == nil {
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

// diffContext holds the data centres that are out before and after a change.
type diffContext struct {
	outBefore map[string]bool
	outAfter  map[string]bool
}

// service compares two records of a service; old is nil for a new one.
func (c diffContext) service(old, next *ServiceRecord) (ServiceDiff, bool) {
	d := ServiceDiff{Name: next.Name, Action: Modify}
	if old == nil {
		d.Action = Add
		old = &ServiceRecord{}
	} else {
		d.addFieldChanges(old.ServiceSpec, next.ServiceSpec)
	}
	d.WeightMoved = weightMoved(old.Current, next.Current)
	for _, record := range next.Servers {
		c.server(&d, old.server(record.Number), record)
	}
	for _, record := range old.Servers {
		if next.server(record.Number) == nil && record.Removed == 0 {
			c.server(&d, &record, ServerRecord{ServerSpec: record.ServerSpec, Number: record.Number, Removed: 1})
		}
	}
	return d, d.Action == Add || len(d.Steps) > 0
}

// server returns the record with the given number, or nil.
func (r *ServiceRecord) server(n Number) *ServerRecord {
	i := slices.IndexFunc(r.Servers, func(s ServerRecord) bool { return s.Number == n })
	if i < 0 {
		return nil
	}
	return &r.Servers[i]
}

func (d *ServiceDiff) addFieldChanges(old, next ServiceSpec) {
	if old.Address != next.Address || old.Protocol != next.Protocol {
		d.Cuts = append(d.Cuts, fmt.Sprintf("the address %v/%v is given up, with all its flows", old.Address, old.Protocol))
	}
	if detail := changedFields(old, next); detail != "" {
		d.Steps = append(d.Steps, Step{Action: Modify, Name: d.Name, Detail: detail})
	}
}

// changedFields lists the fields that differ between two structs of the same type,
// by their JSON names, with the old and new values.
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

// server appends the step that leads from the old record of a backend server to the
// next, if they differ.
func (c diffContext) server(d *ServiceDiff, old *ServerRecord, next ServerRecord) {
	step := Step{Name: next.Name}
	var was ServerState
	if old == nil {
		old = &ServerRecord{Removed: 1}
	} else if old.Removed == 0 {
		was = old.effectiveState(c.outBefore)
	}
	is := next.effectiveState(c.outAfter)
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
	case next.desiredState() == Draining && old.desiredState() != Draining:
		step.Action = Drain
	case next.desiredState() != Draining && old.desiredState() == Draining:
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

// weightMoved returns half the sum of the absolute changes of the members' shares:
// the share of new flows that go to another server.
func weightMoved(old, next Set) float64 {
	shares := map[Number]float64{}
	for _, m := range old {
		shares[m.Number] -= float64(m.Weight) / old.totalWeight()
	}
	for _, m := range next {
		shares[m.Number] += float64(m.Weight) / next.totalWeight()
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

func (s Set) totalWeight() float64 {
	sum := 0.0
	for _, m := range s {
		sum += float64(m.Weight)
	}
	return sum
}

// Summary describes the change and the marks in effect after it, in one line of at
// most limit bytes.
func (d *Diff) Summary(limit int) string {
	what, marks := d.Mark, d.marks()
	if what == "" {
		what = d.steps()
	}
	if marks == "" {
		return truncate(what, limit)
	}
	return truncate(truncate(what, limit/2)+"; "+marks, limit)
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

// marks returns the marks in effect after the change as one line, empty if there
// are none.
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

// truncate shortens a line to at most limit bytes of valid UTF-8.
func truncate(line string, limit int) string {
	if len(line) <= limit {
		return line
	}
	return strings.ToValidUTF8(line[:limit-len("...")], "") + "..."
}
