package config

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Delta is what an instance that holds one version lacks of a later one.
type Delta struct {
	// Header has only those recent changes that the instance lacks.
	Header StateHeader `json:"header"`
	// Names lists the services in order. It is absent if the order is the one
	// that the instance has.
	Names []string `json:"names,omitempty"`
	// Changed holds the records that were written after the version it holds.
	Changed []ServiceRecord `json:"changed,omitempty"`
}

// NamesDigest returns a digest of the names of the services in order.
func (s *State) NamesDigest() uint64 {
	if s == nil {
		return 0
	}
	h := xxh3.New()
	for i := range s.Services {
		_, _ = h.WriteString(s.Services[i].Name)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// DeltaFrom returns what an instance lacks that holds the version have, zero
// for none, with the given digest of its services' names.
func (s *State) DeltaFrom(have Version, names uint64) Delta {
	d := Delta{Header: s.StateHeader}
	d.Header.Recent = slices.DeleteFunc(slices.Clone(s.Recent), func(c AcceptedChange) bool { return c.Version <= have })
	if have == 0 || names != s.NamesDigest() {
		for i := range s.Services {
			d.Names = append(d.Names, s.Services[i].Name)
		}
	}
	for _, r := range s.Services {
		if r.Written > have {
			d.Changed = append(d.Changed, r)
		}
	}
	return d
}

// Apply returns the version that the delta leads to from base, which may be nil,
// or Invalid if the delta was made for another base.
func (d Delta) Apply(base *State) (*State, error) {
	records := map[string]ServiceRecord{}
	names := d.Names
	if base != nil {
		for _, r := range base.Services {
			records[r.Name] = r
			if d.Names == nil {
				names = append(names, r.Name)
			}
		}
	}
	for _, r := range d.Changed {
		if d.Names == nil && !slices.Contains(names, r.Name) {
			return nil, Invalid.New("version %d: no place for service %q", d.Header.Version, r.Name)
		}
		records[r.Name] = r
	}
	next := &State{StateHeader: d.Header}
	if base != nil {
		next.Recent = newestChanges(append(slices.Clone(base.Recent), d.Header.Recent...))
	}
	for _, name := range names {
		record, known := records[name]
		if !known {
			return nil, Invalid.New("version %d: no record of service %q", d.Header.Version, name)
		}
		next.Services = append(next.Services, record)
	}
	return next, nil
}
