package catalogue

import (
	"iter"
	"maps"

	"balsamfork/internal/cookie"
)

// Backend is a backend server in a snapshot, with the state derived from its records.
type Backend struct {
	Server
	Name     string
	Cookie   uint32
	Revision uint64
	// WarmAt is when the server's warm-up ends.
	WarmAt int64
	// Removed is when the removal of the server's record was read, 0 while it exists.
	Removed int64
	// Unreadable is set if the newest record could not be decoded.
	Unreadable bool
	// WarmupRate is the rate that the server can handle while it is cold, in requests a
	// second; 0 if none is stated.
	WarmupRate float64
	// created is the position at which the server's record was created.
	created Position
	// Ambiguous is set if an earlier server that has not been removed has the same
	// cookie.
	Ambiguous bool
}

// Snapshot is the state of the platform that an instance bases its decisions on. It is
// immutable.
type Snapshot struct {
	// Position is the position of the store that the snapshot describes; its revision is
	// 0 before the first delta has been applied.
	Position
	// Configuration is the current configuration; nil before the first.
	Configuration *Configuration
	// Starts counts the starts of servers that the catalogue has learned of: if it is that
	// of another snapshot, no server has started between them.
	Starts uint64

	routes       map[Destination]*Route
	services     map[string]*Service
	backends     map[string][]*Backend
	serviceNames []string
	byCookie     map[uint32]*Backend
	// evacuated holds the end of each evacuation, by data centre.
	evacuated map[string]int64
	// ambiguous is the number of ambiguous servers.
	ambiguous int
}

// Route returns the route of a destination, or nil.
func (s *Snapshot) Route(d Destination) *Route { return s.routes[d] }

// Service returns the limits of a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Backends returns the backend servers of a service, including removed ones that are
// still retained, in the order of their creation.
func (s *Snapshot) Backends(service string) []*Backend { return s.backends[service] }

// ByCookie returns the backend server of a cookie, or nil. Removed servers are included
// for Retention, since their flows may last that long.
func (s *Snapshot) ByCookie(c uint32) *Backend { return s.byCookie[c] }

// Evacuated reports whether a data centre must not get new flows at the given time.
func (s *Snapshot) Evacuated(dataCentre string, now int64) bool { return now < s.evacuated[dataCentre] }

// Servers returns the backend servers that ByCookie finds.
func (s *Snapshot) Servers() iter.Seq[*Backend] { return maps.Values(s.byCookie) }

// ServiceNames returns the names of the services that have backend servers.
func (s *Snapshot) ServiceNames() []string { return s.serviceNames }

// Size returns the number of backend servers that ByCookie finds, removed ones included.
func (s *Snapshot) Size() int { return len(s.byCookie) }

func newSnapshot(position Position) *Snapshot {
	return &Snapshot{
		Position:  position,
		routes:    map[Destination]*Route{},
		services:  map[string]*Service{},
		backends:  map[string][]*Backend{},
		byCookie:  map[uint32]*Backend{},
		evacuated: map[string]int64{},
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

// addBackend adds a backend server. Servers must be added in the order of their
// creation: of two servers with the same cookie the earlier keeps it, unless it has been
// removed, and the later is Ambiguous and gets no flows.
func (s *Snapshot) addBackend(b *Backend) {
	b.Cookie = cookie.Of(b.Name)
	existing, taken := s.byCookie[b.Cookie]
	b.Ambiguous = taken && existing.Removed == 0
	if b.Ambiguous {
		s.ambiguous++
	} else {
		s.byCookie[b.Cookie] = b
	}
	if limits := s.services[b.Service]; limits != nil {
		b.WarmupRate = limits.WarmupRate
	}
	if len(s.backends[b.Service]) == 0 {
		s.serviceNames = append(s.serviceNames, b.Service)
	}
	s.backends[b.Service] = append(s.backends[b.Service], b)
}

// Cold reports whether the server is still in its warm-up.
func (b *Backend) Cold(now int64) bool { return b.WarmAt > now }
