package catalogue

import (
	"balsamfork/internal/cookie"
)

// Backend is a backend server in a snapshot, with what follows from its records.
type Backend struct {
	Server
	Name     string
	Cookie   uint32
	Revision uint64
	// WarmAt is when the server stops being cold.
	WarmAt int64
	// Removed is when the server's record was removed, 0 while it exists.
	Removed int64
	// Unreadable says that the newest record could not be decoded.
	Unreadable bool
	// WarmupRate is what the server bears while it is cold, in requests a second.
	WarmupRate float64
	// Ambiguous says that an earlier server has the same cookie.
	Ambiguous bool
}

// Snapshot is what an instance decides by. It never changes.
type Snapshot struct {
	// Revision is the store's revision that the snapshot describes; 0 if nothing
	// is known.
	Revision uint64
	// Configuration is the one in force; nil before the first.
	Configuration *Configuration

	routes    map[Destination]*Route
	services  map[string]*Service
	backends  map[string][]*Backend
	names     []string
	cookies   map[uint32]*Backend
	evacuated map[string]bool
}

// Route returns the route of a destination, or nil.
func (s *Snapshot) Route(d Destination) *Route { return s.routes[d] }

// Service returns the limits of a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Backends returns the backend servers of a service that exist or were removed a
// short time ago, in the order of their names.
func (s *Snapshot) Backends(service string) []*Backend { return s.backends[service] }

// ByCookie returns the backend server of a cookie, or nil. Removed servers are
// found for as long as their flows may last.
func (s *Snapshot) ByCookie(c uint32) *Backend { return s.cookies[c] }

// Evacuated reports whether nothing new may be sent to a data centre.
func (s *Snapshot) Evacuated(dataCentre string) bool { return s.evacuated[dataCentre] }

// ServiceNames returns the services that have backend servers.
func (s *Snapshot) ServiceNames() []string { return s.names }

// Size returns the number of backend servers, removed ones included.
func (s *Snapshot) Size() int { return len(s.cookies) }

func newSnapshot(revision uint64) *Snapshot {
	return &Snapshot{
		Revision:  revision,
		routes:    map[Destination]*Route{},
		services:  map[string]*Service{},
		backends:  map[string][]*Backend{},
		cookies:   map[uint32]*Backend{},
		evacuated: map[string]bool{},
	}
}

func (s *Snapshot) addConfiguration(c *Configuration) {
	s.Configuration = c
	for i := range c.Routes {
		s.routes[c.Routes[i].Destination] = &c.Routes[i]
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
}

// addBackend takes backend servers in the order in which they were first seen: of
// two with one cookie the earlier keeps it, and the later gets no flows.
func (s *Snapshot) addBackend(b *Backend) {
	b.Cookie = cookie.Of(b.Name)
	holder, taken := s.cookies[b.Cookie]
	b.Ambiguous = taken && holder.Removed == 0
	if !b.Ambiguous {
		s.cookies[b.Cookie] = b
	}
	if limits := s.services[b.Service]; limits != nil {
		b.WarmupRate = limits.WarmupRate
	}
	if len(s.backends[b.Service]) == 0 {
		s.names = append(s.names, b.Service)
	}
	s.backends[b.Service] = append(s.backends[b.Service], b)
}

// Cold reports whether the server is still in its warm-up.
func (b *Backend) Cold(now int64) bool { return b.WarmAt > now }
