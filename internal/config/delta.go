package config

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Delta is what an instance that holds one version lacks of a later one.
type Delta struct {
	// Header has only those recent changes that the instance lacks.
	Header StateHeader `json:"header"`
	// Whole is set if the version that the instance holds is of no use.
	Whole bool `json:"whole,omitempty"`
	// Names lists the services in order. It is absent if the order is the one
	// that the instance has.
	Names []string `json:"names,omitempty"`
	// Changed holds the records that were written after the version it holds.
	Changed []ServiceRecord `json:"changed,omitempty"`
}

// Held says which version an instance holds; zero for none.
type Held struct {
	Version  Version `json:"version"`
	ChangeID string  `json:"changeID,omitempty"`
	// Names is a digest of the names of the services in order.
	Names uint64 `json:"names,string,omitempty"`
}

// Held returns what a nil or other State amounts to.
func (s *State) Held() Held {
	if s == nil {
		return Held{}
	}
	return Held{Version: s.Version, ChangeID: s.ChangeID(), Names: s.namesDigest()}
}

func (s *State) namesDigest() uint64 {
	h := xxh3.New()
	for i := range s.Services {
		_, _ = h.WriteString(s.Services[i].Name)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Follows reports whether the version is known to descend from another, by the
// recent changes. A store that was restored may hold a version that does not.
func (h *StateHeader) Follows(other Held) bool {
	version, accepted := h.AcceptedAs(other.ChangeID)
	return accepted && version == other.Version
}

// DeltaFrom returns what an instance lacks that holds another version: all,
// unless this one is known to descend from it.
func (s *State) DeltaFrom(held Held) Delta {
	have := held.Version
	if !s.Follows(held) {
		have = 0
	}
	d := Delta{Header: s.StateHeader, Whole: have == 0}
	d.Header.Recent = slices.DeleteFunc(slices.Clone(s.Recent), func(c AcceptedChange) bool { return c.Version <= have })
	if have == 0 || held.Names != s.namesDigest() {
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
	if d.Whole {
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
