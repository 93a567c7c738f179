package config

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// The format numbers of the stored form. Every release adds fields under a new
// StoredFormat; it raises ReadableFrom when a release that ignores those fields
// would serve wrongly.
const (
	// StoredFormat is the stored form that this release writes.
	StoredFormat = 2
	// ReadableFrom is the oldest release, by its StoredFormat, that may serve by
	// what this one writes if nothing is marked.
	ReadableFrom = 1
	// markedReadableFrom is the one that may serve if something is: those before
	// would send packets to a data centre that is out.
	markedReadableFrom = 2
	// MaxPast bounds the sets that Past holds.
	MaxPast = 24
	// maxRecent bounds the changes that a repeated attempt is recognised among.
	maxRecent = 64
)

// Newer is the class of errors for a stored form of a newer release that this
// one must not serve by, or must not change.
var Newer = errs.Class("config: written by a newer release")

// State is the stored form of a configuration: what was declared and what has
// been derived from it and from the versions before.
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
	// Declared is the version that changed the declaration or a mark last. The
	// versions after it only settled services.
	Declared Version `json:"declared"`
	// HashKey has HashKeySize bytes.
	HashKey []byte `json:"hashKey"`
	// NextNumber is the next Number to give out.
	NextNumber  Number             `json:"nextNumber"`
	DataCentres []DataCentreRecord `json:"dataCentres"`
	// Recent names the last changes, oldest first; the last made Version.
	Recent []AcceptedChange `json:"recent"`

	more extra
}

// DataCentreRecord is the stored form of one data centre.
type DataCentreRecord struct {
	DataCentreSpec
	// Marked is set while an operator's mark has the data centre out.
	Marked bool `json:"marked,omitempty"`

	more extra
}

// AcceptedChange names a change and the version that it made.
type AcceptedChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// ServiceRecord is the stored form of one service.
type ServiceRecord struct {
	ServiceSpec
	// Written is the version that changed the record last.
	Written Version `json:"written"`
	// Servers holds every backend server that is declared or that a set still
	// names, in order of Number.
	Servers []ServerRecord `json:"servers"`
	Settled Set            `json:"settled"`
	Past    []Set          `json:"past,omitempty"`
	Current Set            `json:"current"`

	more extra
}

// ServerRecord is the stored form of one backend server.
type ServerRecord struct {
	ServerSpec
	Number Number  `json:"number"`
	Joined Version `json:"joined"`
	// Removed is the version from which on the backend server is no longer
	// declared. Zero means that it is.
	Removed Version `json:"removed,omitempty"`
	// Marked is set while an operator's mark has the backend server drain.
	Marked bool `json:"marked,omitempty"`

	more extra
}

// ChangeID returns the identity of the change that made the version.
func (h *StateHeader) ChangeID() string {
	if len(h.Recent) == 0 {
		return ""
	}
	return h.Recent[len(h.Recent)-1].ID
}

// AcceptedAs returns the version that a change made, if it is a recent one.
func (h *StateHeader) AcceptedAs(changeID string) (Version, bool) {
	for _, r := range h.Recent {
		if r.ID == changeID {
			return r.Version, true
		}
	}
	return 0, false
}

// Readable returns Newer if this release must not serve by the stored form.
func (h *StateHeader) Readable() error {
	if h.ReadableFrom > StoredFormat {
		return Newer.New("format %d may be read from format %d on; this release has %d",
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

// Document returns what is declared, without the marks. A nil State has an empty document.
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

// Config returns the validated configuration that instances serve by, or
// Newer, or Invalid if the stored form contradicts itself.
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
		c.Services = append(c.Services, record.service(out))
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

func (r ServiceRecord) service(out map[string]bool) Service {
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
	for _, row := range r.Servers {
		s.Servers = append(s.Servers, row.server(out))
	}
	return s
}

func (r ServerRecord) server(out map[string]bool) Server {
	return Server{
		Number:     r.Number,
		Name:       r.Name,
		DataCentre: r.DataCentre,
		State:      r.effective(out),
		Weight:     r.Weight,
		Packets:    r.Packets,
		Requests:   r.Requests,
		Health:     r.Health,
		Joined:     r.Joined,
	}
}

// effective returns the state that instances act on.
func (r ServerRecord) effective(out map[string]bool) ServerState {
	if r.Removed != 0 || out[r.DataCentre] {
		return Gone
	}
	return r.wanted()
}

// wanted returns what the declaration and the mark together ask for.
func (r ServerRecord) wanted() ServerState {
	if r.Marked {
		return Draining
	}
	return r.State
}

// sameMachine reports whether a declaration means the machine of the record.
func (r ServerRecord) sameMachine(spec ServerSpec) bool {
	return r.Name == spec.Name && r.DataCentre == spec.DataCentre &&
		r.Packets == spec.Packets && sameSocket(r.Requests, spec.Requests)
}

// sameSocket takes an absent socket for equal to any: adding one to a backend
// server does not make it another machine.
func sameSocket(a, b netip.AddrPort) bool {
	return a == b || !a.IsValid() || !b.IsValid()
}
