package config

import (
	"slices"
)

// Check returns Newer or Invalid if instances must not serve by the stored
// form: it was not written by the rules of this package.
func (s *State) Check() error {
	if err := s.Readable(); err != nil {
		return err
	}
	if s.Version == 0 || len(s.HashKey) != HashKeySize {
		return Invalid.New("version %d has a hash key of %d bytes", s.Version, len(s.HashKey))
	}
	if s.Declared == 0 || s.Declared > s.Version {
		return Invalid.New("version %d was declared at %d", s.Version, s.Declared)
	}
	if s.NextNumber == 0 || s.NextNumber > MaxNumber+1 {
		return Invalid.New("version %d has next number %d", s.Version, s.NextNumber)
	}
	if problems := s.Document().Validate(); len(problems) > 0 {
		return Invalid.New("version %d: %v", s.Version, problems)
	}
	used := map[Number]bool{}
	for i := range s.Services {
		if err := s.Services[i].check(s.Version, s.NextNumber, used); err != nil {
			return err
		}
	}
	return nil
}

func (r *ServiceRecord) check(version Version, next Number, used map[Number]bool) error {
	if r.Written == 0 || r.Written > version {
		return Invalid.New("service %q was written at %d, after version %d", r.Name, r.Written, version)
	}
	own := make(map[Number]bool, len(r.Servers))
	last := Number(0)
	for _, row := range r.Servers {
		if row.Number <= last || row.Number >= next || used[row.Number] {
			return Invalid.New("service %q: backend server %q has number %d out of order", r.Name, row.Name, row.Number)
		}
		last = row.Number
		used[row.Number] = true
		own[row.Number] = true
	}
	for _, set := range r.sets() {
		if err := set.check(r.Name, own); err != nil {
			return err
		}
	}
	return nil
}

func (r *ServiceRecord) sets() []Set {
	return append([]Set{r.Settled, r.Current}, r.Past...)
}

func (s Set) check(service string, known map[Number]bool) error {
	last := Number(0)
	for _, m := range s {
		if m.Number <= last || !known[m.Number] || m.Weight == 0 {
			return Invalid.New("service %q: a set names backend server %d with weight %d", service, m.Number, m.Weight)
		}
		last = m.Number
	}
	return nil
}

// Equal reports whether two sets have the same members.
func (s Set) Equal(other Set) bool {
	return slices.Equal(s, other)
}

// Names reports whether the set has a member with the number.
func (s Set) Names(n Number) bool {
	_, found := slices.BinarySearchFunc(s, n, func(m Member, n Number) int {
		return int(m.Number) - int(n)
	})
	return found
}
