package declare

import (
	"io"
	"math"
	"net/netip"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/strictjson"
)

// Problem is one error in a declaration: Path is the path of the field in the document,
// empty for an error of the whole document, and Message says what is wrong.
type Problem = strictjson.Problem

// Problems is the error that Print and Check return. It contains all problems of a
// declaration.
type Problems = strictjson.Problems

// Config builds a declaration. It is not safe for concurrent use.
type Config struct {
	dataCentres []*DataCentre
	services    []*Service
}

// New returns an empty declaration.
func New() *Config {
	return &Config{}
}

// DataCentre is a group of instances and backend servers.
type DataCentre struct {
	spec config.DataCentreSpec
}

// DataCentreOption is a setting of a data centre.
type DataCentreOption func(*DataCentre)

// Region sets the region of a data centre. Flows stay within a region.
func Region(name string) DataCentreOption {
	return func(d *DataCentre) { d.spec.Region = name }
}

// Out takes a data centre out of service: no packets are sent to its backend servers.
// It stays out of service until the declaration changes. To take it out temporarily,
// use balsamfork takeout, which leaves the declaration unchanged.
func Out() DataCentreOption {
	return func(d *DataCentre) { d.spec.Out = true }
}

// DataCentre adds a data centre.
func (c *Config) DataCentre(name string, options ...DataCentreOption) *DataCentre {
	d := &DataCentre{spec: config.DataCentreSpec{Name: name}}
	for _, option := range options {
		option(d)
	}
	c.dataCentres = append(c.dataCentres, d)
	return d
}

// Service is a virtual address that is served by a set of backend servers.
type Service struct {
	spec        config.ServiceSpec
	servers     []*Server
	fieldErrors parseErrors
}

// ServiceOption is a setting of a service.
type ServiceOption func(*Service)

// Slots sets the number of requests that a backend server runs concurrently. The
// default is 1.
func Slots(n int) ServiceOption {
	return func(s *Service) { s.spec.Slots = n }
}

// IdleLimit sets how long a flow may be idle and still reach its backend server
// through a planned change. Without it there is no limit. UDP services must set it.
func IdleLimit(limit time.Duration) ServiceOption {
	return func(s *Service) { s.spec.IdleLimit = config.Duration(limit) }
}

// Ramp makes a newly started backend server start with the fraction start, over 0 and
// at most 1, of the load of a warm one. The fraction increases to 1 over duration.
func Ramp(start float64, duration time.Duration) ServiceOption {
	return func(s *Service) { s.spec.Ramp = config.RampSpec{Start: start, Duration: config.Duration(duration)} }
}

// TCP adds a service for TCP flows at an address such as 203.0.113.10:443.
func (c *Config) TCP(name, address string, options ...ServiceOption) *Service {
	return c.addService(name, address, config.TCP, options)
}

// UDP adds a service for UDP flows at an address such as 203.0.113.10:443. It
// requires an IdleLimit.
func (c *Config) UDP(name, address string, options ...ServiceOption) *Service {
	return c.addService(name, address, config.UDP, options)
}

func (c *Config) addService(name, address string, protocol config.Protocol, options []ServiceOption) *Service {
	s := &Service{spec: config.ServiceSpec{Name: name, Protocol: protocol, Slots: 1}}
	s.spec.Address = s.fieldErrors.addrPort("address", address)
	for _, option := range options {
		option(s)
	}
	c.services = append(c.services, s)
	return s
}

// Server is a backend server of a service.
type Server struct {
	spec        config.ServerSpec
	fieldErrors parseErrors
}

// ServerOption is a setting of a backend server.
type ServerOption func(*Server)

// Packets sets the UDP address at which a backend server receives the packets of
// flows, encapsulated as GRE in UDP. It is required.
func Packets(address string) ServerOption {
	return func(s *Server) { s.spec.Packets = s.fieldErrors.addrPort("packets", address) }
}

// Requests sets the TCP address at which a backend server receives requests.
func Requests(address string) ServerOption {
	return func(s *Server) { s.spec.Requests = s.fieldErrors.addrPort("requests", address) }
}

// Health sets the URL for health checks of a backend server.
func Health(url string) ServerOption {
	return func(s *Server) { s.spec.Health = url }
}

// Weight sets the weight of a backend server relative to the others of its service,
// from 1 to 1000. The default is 100.
func Weight(weight int) ServerOption {
	return func(s *Server) { s.spec.Weight = uint32(min(max(weight, 0), math.MaxUint32)) }
}

// Draining makes a backend server keep its established flows and receive no new flows
// or requests until the declaration changes. To drain it temporarily, use balsamfork
// drain, which leaves the declaration unchanged.
func Draining() ServerOption {
	return func(s *Server) { s.spec.State = config.Draining }
}

// defaultWeight allows weights to be reduced as well as raised, in steps of 1%.
const defaultWeight = 100

// Server adds a backend server to the service, in the data centre dc.
func (s *Service) Server(name string, dc *DataCentre, options ...ServerOption) *Server {
	server := &Server{spec: config.ServerSpec{Name: name, Weight: defaultWeight, State: config.Active}}
	if dc != nil {
		server.spec.DataCentre = dc.spec.Name
	}
	for _, option := range options {
		option(server)
	}
	s.servers = append(s.servers, server)
	return server
}

// Check returns all problems of the declaration as Problems, or nil.
func (c *Config) Check() error {
	_, err := c.document()
	return err
}

// Print writes the declaration as a JSON document. It returns Problems and writes
// nothing if the declaration is invalid. Otherwise it returns the error of w.
func (c *Config) Print(w io.Writer) error {
	doc, err := c.document()
	if err != nil {
		return err
	}
	data, err := doc.Marshal()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

func (c *Config) document() (config.Document, error) {
	doc := config.Document{Format: config.DocumentFormat, Services: []config.ServiceDocument{}}
	var problems Problems
	for _, d := range c.dataCentres {
		doc.DataCentres = append(doc.DataCentres, d.spec)
	}
	for i, s := range c.services {
		path := strictjson.Index("services", i)
		s.fieldErrors.addTo(path, &problems)
		service := config.ServiceDocument{ServiceSpec: s.spec, BackendServers: []config.ServerSpec{}}
		for j, server := range s.servers {
			server.fieldErrors.addTo(strictjson.Index(path+".backendServers", j), &problems)
			service.BackendServers = append(service.BackendServers, server.spec)
		}
		doc.Services = append(doc.Services, service)
	}
	problems.AddNew(doc.Validate())
	return doc, problems.Err()
}

// parseErrors holds the fields whose text could not be parsed. Their paths are relative
// to the service or backend server.
type parseErrors []Problem

// addrPort parses an IP address and port. If text is invalid, it records an error for
// the field.
func (p *parseErrors) addrPort(field, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		*p = append(*p, Problem{Path: field, Message: strictjson.AddrPortMessage(text)})
	}
	return address
}

// addTo adds the errors to problems, with path prepended to the path of each field.
func (p parseErrors) addTo(path string, problems *Problems) {
	for _, problem := range p {
		problems.Add(strictjson.Field(path, problem.Path), "%s", problem.Message)
	}
}
