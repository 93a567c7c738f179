package config

import (
	"fmt"
	"slices"

	"github.com/zeebo/errs"
)

// DeclaredSo is the class of errors for a mark that cannot be removed with any
// effect: the declaration itself says the same.
var DeclaredSo = errs.Class("config: declared so")

// Mark says, apart from the declaration, that a backend server drains or that a
// data centre is out. It holds until an operator removes it or the declaration
// no longer has what it names.
type Mark struct {
	// DataCentre names the data centre that is out. If it is empty, Service and
	// Server name the backend server that drains.
	DataCentre string `json:"dataCentre,omitempty"`
	Service    string `json:"service,omitempty"`
	Server     string `json:"backendServer,omitempty"`
}

// String says what the mark does.
func (m Mark) String() string {
	if m.DataCentre != "" {
		return fmt.Sprintf("%s data centre %s", TakeOut, m.DataCentre)
	}
	return fmt.Sprintf("%s %s/%s", Drain, m.Service, m.Server)
}

// Marks returns the marks in effect: of data centres first, then of backend
// servers, each in the order of the declaration. A nil State has none.
func (s *State) Marks() []Mark {
	var marks []Mark
	if s == nil {
		return nil
	}
	for _, dc := range s.DataCentres {
		if dc.Marked {
			marks = append(marks, Mark{DataCentre: dc.Name})
		}
	}
	for _, service := range s.Services {
		for _, row := range service.Servers {
			if row.Marked {
				marks = append(marks, Mark{Service: service.Name, Server: row.Name})
			}
		}
	}
	return marks
}

// marking sets or removes one mark. A nil marking does neither.
type marking struct {
	Mark
	set bool
}

// String says what becomes of the mark.
func (m *marking) String() string {
	if m.set {
		return fmt.Sprintf("set mark: %v", m.Mark)
	}
	return fmt.Sprintf("remove mark: %v", m.Mark)
}

// propose derives the version after old in which the mark is set or removed.
func (m *marking) propose(old *State, change Change) (*State, *Diff, error) {
	if err := admissible(old, change); err != nil {
		return nil, nil, err
	}
	if old == nil {
		return nil, nil, Invalid.New("there is no configuration yet to %v in", m)
	}
	marked, declared, err := old.lookUp(m.Mark)
	switch {
	case err != nil:
		return nil, nil, err
	case declared && !m.set:
		return nil, nil, DeclaredSo.New("the declaration itself says to %v: change it there", m.Mark)
	case marked == m.set:
		return old, Compare(old, old), nil
	}
	next, diff, err := derive(old, old.Document(), change, m)
	diff.Mark = m.String()
	return next, diff, err
}

// lookUp reports whether the mark is set, and whether the declaration says the
// same. It returns Invalid if the declaration does not have what it names.
func (s *State) lookUp(m Mark) (marked, declared bool, err error) {
	if m.DataCentre != "" {
		for _, dc := range s.DataCentres {
			if dc.Name == m.DataCentre {
				return dc.Marked, dc.Out, nil
			}
		}
		return false, false, Invalid.New("no data centre %q", m.DataCentre)
	}
	record := s.find(m.Service)
	if record == nil {
		return false, false, Invalid.New("no service %q", m.Service)
	}
	i := slices.IndexFunc(record.Servers, func(r ServerRecord) bool { return r.Name == m.Server && r.Removed == 0 })
	if i < 0 {
		return false, false, Invalid.New("service %q has no backend server %q", m.Service, m.Server)
	}
	row := record.Servers[i]
	return row.Marked, row.State == Draining, nil
}

// after returns whether what the mark names is marked, having been so before or not.
func (m *marking) after(name Mark, before bool) bool {
	if m == nil || m.Mark != name {
		return before
	}
	return m.set
}
