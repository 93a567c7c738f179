package config

import (
	"fmt"
	"slices"

	"github.com/zeebo/errs"
)

// AlreadyDeclared is the class of errors for removing a mark although the declaration
// itself has the same setting, so that the removal would have no effect.
var AlreadyDeclared = errs.Class("config: declared so")

// Mark is an operator's override of the declaration: a backend server drains or a
// data centre is out of service. It stays in effect until an operator removes it or
// the object that it names is no longer declared.
type Mark struct {
	// DataCentre names the data centre to take out. If it is empty, Service and
	// Server name the backend server to drain.
	DataCentre string `json:"dataCentre,omitempty"`
	Service    string `json:"service,omitempty"`
	Server     string `json:"backendServer,omitempty"`
}

// String describes the effect of the mark.
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
		for _, server := range service.Servers {
			if server.Marked {
				marks = append(marks, Mark{Service: service.Name, Server: server.Name})
			}
		}
	}
	return marks
}

// markChange sets or removes one mark. A nil markChange does neither.
type markChange struct {
	Mark
	set bool
}

// String describes the change and its mark.
func (m *markChange) String() string {
	if m.set {
		return fmt.Sprintf("set mark: %v", m.Mark)
	}
	return fmt.Sprintf("remove mark: %v", m.Mark)
}

// propose derives the version after old in which the mark is set or removed.
func (m *markChange) propose(old *State, change Change) (*State, *Diff, error) {
	if err := checkPreconditions(old, change); err != nil {
		return nil, nil, err
	}
	if old == nil {
		return nil, nil, Invalid.New("there is no configuration yet to %v in", m)
	}
	marked, declared, err := old.markStatus(m.Mark)
	switch {
	case err != nil:
		return nil, nil, err
	case declared && !m.set:
		return nil, nil, AlreadyDeclared.New("the declaration itself says to %v: change it there", m.Mark)
	case marked == m.set:
		return old, Compare(old, old), nil
	}
	next, diff, err := derive(old, old.Document(), change, m)
	diff.Mark = m.String()
	return next, diff, err
}

// markStatus reports whether the mark is set, and whether the declaration has the
// same setting. It returns Invalid if the mark names an undeclared object.
func (s *State) markStatus(m Mark) (marked, declared bool, err error) {
	if m.DataCentre != "" {
		for _, dc := range s.DataCentres {
			if dc.Name == m.DataCentre {
				return dc.Marked, dc.Out, nil
			}
		}
		return false, false, Invalid.New("no data centre %q", m.DataCentre)
	}
	record := s.findService(m.Service)
	if record == nil {
		return false, false, Invalid.New("no service %q", m.Service)
	}
	i := slices.IndexFunc(record.Servers, func(r ServerRecord) bool { return r.Name == m.Server && r.Removed == 0 })
	if i < 0 {
		return false, false, Invalid.New("service %q has no backend server %q", m.Service, m.Server)
	}
	server := record.Servers[i]
	return server.Marked, server.State == Draining, nil
}

// resolve reports whether the object that the mark names is marked after the change,
// given whether it was before.
func (m *markChange) resolve(mark Mark, before bool) bool {
	if m == nil || m.Mark != mark {
		return before
	}
	return m.set
}
