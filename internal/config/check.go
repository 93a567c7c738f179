package config

import (
	"slices"
)

// Check returns Newer if the stored form requires a newer release, or Invalid if
// it breaks an invariant. Instances must not apply it in either case.
func (s *State) Check() error {
	if err := s.Readable(); err != nil {
		return err
	}
	if s.Version == 0 || len(s.HashKey) != HashKeySize {
		return Invalid.New("invalid version number %d or hash key size of %d bytes", s.Version, len(s.HashKey))
	}
	if s.Declared == 0 || s.Declared > s.Version {
		return Invalid.New("version %d has invalid declared version %d", s.Version, s.Declared)
	}
	if s.NextNumber == 0 || s.NextNumber > MaxNumber+1 {
		return Invalid.New("version %d has invalid next backend server number %d", s.Version, s.NextNumber)
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
		return Invalid.New("service %q has invalid written version %d in version %d", r.Name, r.Written, version)
	}
	own := make(map[Number]bool, len(r.Servers))
	last := Number(0)
	for _, server := range r.Servers {
		if server.Number <= last || server.Number >= next || used[server.Number] {
			return Invalid.New("service %q: backend server %q has number %d, which is duplicate, out of order or out of range", r.Name, server.Name, server.Number)
		}
		last = server.Number
		used[server.Number] = true
		own[server.Number] = true
	}
	for _, set := range r.sets() {
		if err := set.check(r.Name, own); err != nil {
			return err
		}
	}
	return nil
}

// sets returns the settled, current and past sets.
func (r *ServiceRecord) sets() []Set {
	return append([]Set{r.Settled, r.Current}, r.Past...)
}

func (s Set) check(service string, known map[Number]bool) error {
	last := Number(0)
	for _, m := range s {
		if m.Number <= last || !known[m.Number] || m.Weight == 0 {
			return Invalid.New("service %q: a set has an invalid entry for backend server %d, weight %d", service, m.Number, m.Weight)
		}
		last = m.Number
	}
	return nil
}

// Equal reports whether two sets have the same members.
func (s Set) Equal(other Set) bool {
	return slices.Equal(s, other)
}

// Contains reports whether the set has a member with the number.
func (s Set) Contains(n Number) bool {
	_, found := slices.BinarySearchFunc(s, n, func(m Member, n Number) int {
		return int(m.Number) - int(n)
	})
	return found
}
