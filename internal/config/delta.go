package config

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Delta holds the difference between a version that an instance has and a later
// one.
type Delta struct {
	// Header is the header of the later version, with only the recent changes that
	// the instance lacks.
	Header StateHeader `json:"header"`
	// Full is set if the delta is a full copy, to be applied without a base.
	Full bool `json:"whole,omitempty"`
	// Names lists the services in order. It is absent if the instance has the same
	// services in the same order.
	Names []string `json:"names,omitempty"`
	// Changed holds the records that were written after the instance's version.
	Changed []ServiceRecord `json:"changed,omitempty"`
}

// VersionID identifies the version that an instance has; zero for none.
type VersionID struct {
	Version  Version `json:"version"`
	ChangeID string  `json:"changeID,omitempty"`
	// Names is a hash of the names of the services in order.
	Names uint64 `json:"names,string,omitempty"`
}

// VersionID returns the VersionID of the State, zero for a nil State.
func (s *State) VersionID() VersionID {
	if s == nil {
		return VersionID{}
	}
	return VersionID{Version: s.Version, ChangeID: s.ChangeID(), Names: s.namesDigest()}
}

func (s *State) namesDigest() uint64 {
	h := xxh3.New()
	for i := range s.Services {
		_, _ = h.WriteString(s.Services[i].Name)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// DescendsFrom reports whether the recent changes show that the version descends from
// another. In a store that was restored from a backup it may not.
func (h *StateHeader) DescendsFrom(other VersionID) bool {
	version, accepted := h.AcceptedAs(other.ChangeID)
	return accepted && version == other.Version
}

// DeltaFrom returns the delta for an instance with the given version. It is a full
// copy unless this version is known to descend from that one.
func (s *State) DeltaFrom(from VersionID) Delta {
	have := from.Version
	if !s.DescendsFrom(from) {
		have = 0
	}
	d := Delta{Header: s.StateHeader, Full: have == 0}
	d.Header.Recent = slices.DeleteFunc(slices.Clone(s.Recent), func(c AcceptedChange) bool { return c.Version <= have })
	if have == 0 || from.Names != s.namesDigest() {
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

// Apply returns the version that results from applying the delta to base, which may
// be nil. It returns Invalid if the delta was made for another base.
func (d Delta) Apply(base *State) (*State, error) {
	if d.Full {
		base = nil
	}
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
			return nil, Invalid.New("version %d: changed service %q is not in the base", d.Header.Version, r.Name)
		}
		records[r.Name] = r
	}
	next := &State{StateHeader: d.Header}
	if base != nil {
		next.Recent = trimRecent(append(slices.Clone(base.Recent), d.Header.Recent...))
	}
	for _, name := range names {
		record, known := records[name]
		if !known {
			return nil, Invalid.New("version %d: no record for service %q", d.Header.Version, name)
		}
		next.Services = append(next.Services, record)
	}
	return next, nil
}
