package config

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Format numbers and limits of the stored form. A release that adds fields has a new
// StoredFormat; it raises ReadableFrom if a release that ignores those fields would
// misroute traffic.
const (
	// StoredFormat is the format that this release writes.
	StoredFormat = 2
	// ReadableFrom is the StoredFormat of the oldest release that may apply what this
	// release writes while no mark is in effect.
	ReadableFrom = 1
	// markedReadableFrom is the same while a mark is in effect: older releases would
	// send packets to a data centre that is out.
	markedReadableFrom = 2
	// MaxPast is the largest number of sets in Past.
	MaxPast = 24
	// maxRecentChanges is the number of changes kept to recognise retries.
	maxRecentChanges = 64
)

// Newer is the class of errors for a stored form of a newer release that this one
// must not apply or must not change.
var Newer = errs.Class("config: written by a newer release")

// State is the stored form of a configuration: the declaration and the data derived
// from it and from previous versions.
type State struct {
	StateHeader
	// Services holds the services in the order in which they were declared.
	Services []ServiceRecord `json:"services"`
}

// StateHeader is a State without its services.
type StateHeader struct {
	Format       int     `json:"format"`
	ReadableFrom int     `json:"readableFrom"`
	Version      Version `json:"version"`
	// Declared is the last version that changed the declaration or a mark, or that
	// restored a lost version. The versions after it only settled services.
	Declared Version `json:"declared"`
	// HashKey has HashKeySize bytes.
	HashKey []byte `json:"hashKey"`
	// NextNumber is the next Number to assign.
	NextNumber  Number             `json:"nextNumber"`
	DataCentres []DataCentreRecord `json:"dataCentres"`
	// Recent lists the latest changes, oldest first; the last one made Version.
	Recent []AcceptedChange `json:"recent"`

	unknown unknownFields
}

// DataCentreRecord is the stored form of one data centre.
type DataCentreRecord struct {
	DataCentreSpec
	// Marked is set while an operator's mark takes the data centre out of service.
	Marked bool `json:"marked,omitempty"`

	unknown unknownFields
}

// AcceptedChange is the ID of a change and the version that it made.
type AcceptedChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// ServiceRecord is the stored form of one service.
type ServiceRecord struct {
	ServiceSpec
	// Written is the last version that changed the record.
	Written Version `json:"written"`
	// Servers holds every backend server that is declared or that a set still
	// refers to, in order of Number.
	Servers []ServerRecord `json:"servers"`
	Settled Set            `json:"settled"`
	Past    []Set          `json:"past,omitempty"`
	Current Set            `json:"current"`

	unknown unknownFields
}

// ServerRecord is the stored form of one backend server.
type ServerRecord struct {
	ServerSpec
	Number Number  `json:"number"`
	Joined Version `json:"joined"`
	// Removed is the version that removed the backend server from the declaration.
	// Zero means that it is declared.
	Removed Version `json:"removed,omitempty"`
	// Marked is set while an operator's mark drains the backend server.
	Marked bool `json:"marked,omitempty"`

	unknown unknownFields
}

// ChangeID returns the ID of the change that made the version.
func (h *StateHeader) ChangeID() string {
	if len(h.Recent) == 0 {
		return ""
	}
	return h.Recent[len(h.Recent)-1].ID
}

// AcceptedAs returns the version that a change made, or false if the change is not
// among the recent ones.
func (h *StateHeader) AcceptedAs(changeID string) (Version, bool) {
	for _, r := range h.Recent {
		if r.ID == changeID {
			return r.Version, true
		}
	}
	return 0, false
}

// Readable returns Newer if the stored form requires a newer release.
func (h *StateHeader) Readable() error {
	if h.ReadableFrom > StoredFormat {
		return Newer.New("format %d requires a release with format %d or later; this release has format %d",
			h.Format, h.ReadableFrom, StoredFormat)
	}
	return nil
}

// Service returns the record with the given name, or nil.
func (s *State) Service(name string) *ServiceRecord {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Document returns the declared document, without the marks. It is empty for a nil
// State.
func (s *State) Document() Document {
	doc := Document{Format: DocumentFormat}
	if s == nil {
		return doc
	}
	for _, dc := range s.DataCentres {
		doc.DataCentres = append(doc.DataCentres, dc.DataCentreSpec)
	}
	for _, record := range s.Services {
		service := ServiceDocument{ServiceSpec: record.ServiceSpec, BackendServers: []ServerSpec{}}
		for _, server := range record.Servers {
			if server.Removed == 0 {
				service.BackendServers = append(service.BackendServers, server.ServerSpec)
			}
		}
		doc.Services = append(doc.Services, service)
	}
	return doc
}

// Config returns the validated configuration that instances apply. Errors are those
// of Check.
func (s *State) Config() (*Config, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := &Config{Version: s.Version, ChangeID: s.ChangeID()}
	copy(c.HashKey[:], s.HashKey)
	out := s.outDataCentres()
	for _, dc := range s.DataCentres {
		c.DataCentres = append(c.DataCentres, DataCentre{Name: dc.Name, Region: dc.Region, Out: dc.isOut()})
	}
	for _, record := range s.Services {
		c.Services = append(c.Services, record.toService(out))
	}
	return c, nil
}

func (r DataCentreRecord) isOut() bool { return r.Out || r.Marked }

func (h *StateHeader) outDataCentres() map[string]bool {
	out := map[string]bool{}
	for _, dc := range h.DataCentres {
		if dc.isOut() {
			out[dc.Name] = true
		}
	}
	return out
}

func (r ServiceRecord) toService(out map[string]bool) Service {
	s := Service{
		Name:      r.Name,
		Address:   r.Address,
		Protocol:  r.Protocol,
		IdleLimit: time.Duration(r.IdleLimit),
		Slots:     r.Slots,
		Ramp:      Ramp{Start: r.Ramp.Start, Duration: time.Duration(r.Ramp.Duration)},
		Settled:   r.Settled,
		Past:      r.Past,
		Current:   r.Current,
	}
	for _, server := range r.Servers {
		s.Servers = append(s.Servers, server.toServer(out))
	}
	return s
}

func (r ServerRecord) toServer(out map[string]bool) Server {
	return Server{
		Number:     r.Number,
		Name:       r.Name,
		DataCentre: r.DataCentre,
		State:      r.effectiveState(out),
		Weight:     r.Weight,
		Packets:    r.Packets,
		Requests:   r.Requests,
		Health:     r.Health,
		Joined:     r.Joined,
	}
}

// effectiveState returns the state that instances act on, given the data centres that
// are out.
func (r ServerRecord) effectiveState(out map[string]bool) ServerState {
	if r.Removed != 0 || out[r.DataCentre] {
		return Gone
	}
	return r.desiredState()
}

// desiredState returns the state that results from the declaration and the mark.
func (r ServerRecord) desiredState() ServerState {
	if r.Marked {
		return Draining
	}
	return r.State
}

// isSameServer reports whether a declaration refers to the backend server of the
// record.
func (r ServerRecord) isSameServer(spec ServerSpec) bool {
	return r.Name == spec.Name && r.DataCentre == spec.DataCentre &&
		r.Packets == spec.Packets && socketsMatch(r.Requests, spec.Requests)
}

// socketsMatch reports whether two addresses are equal or either is absent: adding
// an address to a backend server does not make it another one.
func socketsMatch(a, b netip.AddrPort) bool {
	return a == b || !a.IsValid() || !b.IsValid()
}
