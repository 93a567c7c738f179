package declare

import (
	"io"
	"math"
	"net/netip"
	"time"

	"balsamfork/internal/config"
	"balsamfork/internal/strictjson"
)

// Problem is one thing that is wrong with a declaration: Path leads to the
// field of the document, Message says what it must be.
type Problem = strictjson.Problem

// Problems is the error that Print and Check return. It holds all problems.
type Problems = strictjson.Problems

// Config is a configuration being declared. It is not safe for concurrent use.
type Config struct {
	dataCentres []*DataCentre
	services    []*Service
}

// New returns an empty configuration.
func New() *Config {
	return &Config{}
}

// DataCentre is a group of instances and backend servers.
type DataCentre struct {
	spec config.DataCentreSpec
}

// DataCentreOption is a setting of a data centre.
type DataCentreOption func(*DataCentre)

// Region names the region of a data centre. Flows stay within a region.
func Region(name string) DataCentreOption {
	return func(d *DataCentre) { d.spec.Region = name }
}

// Out takes a data centre out of service: no packet goes to its backend servers.
// It stays out for as long as it is declared so; for a while, use balsamfork
// takeout, which leaves the declaration as it is.
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

// Service is one address in front of a set of backend servers.
type Service struct {
	spec    config.ServiceSpec
	servers []*Server
	parse   parseErrors
}

// ServiceOption is a setting of a service.
type ServiceOption func(*Service)

// Slots sets how many requests a backend server runs at once. It is 1 unless
// set.
func Slots(n int) ServiceOption {
	return func(s *Service) { s.spec.Slots = n }
}

// IdleLimit sets the longest silence after which a flow must still reach its
// backend server through a planned change. Without it there is no limit, which
// UDP services may not have.
func IdleLimit(limit time.Duration) ServiceOption {
	return func(s *Service) { s.spec.IdleLimit = config.Duration(limit) }
}

// Ramp lets a backend server that has just started take the share start of a
// warm one's load, growing to all of it over duration.
func Ramp(start float64, duration time.Duration) ServiceOption {
	return func(s *Service) { s.spec.Ramp = config.RampSpec{Start: start, Duration: config.Duration(duration)} }
}

// TCP adds a service for TCP flows at an address such as 203.0.113.10:443.
func (c *Config) TCP(name, address string, options ...ServiceOption) *Service {
	return c.service(name, address, config.TCP, options)
}

// UDP adds a service for UDP flows at an address such as 203.0.113.10:443. It
// needs an IdleLimit.
func (c *Config) UDP(name, address string, options ...ServiceOption) *Service {
	return c.service(name, address, config.UDP, options)
}

func (c *Config) service(name, address string, protocol config.Protocol, options []ServiceOption) *Service {
	s := &Service{spec: config.ServiceSpec{Name: name, Protocol: protocol, Slots: 1}}
	s.spec.Address = s.parse.socket("address", address)
	for _, option := range options {
		option(s)
	}
	c.services = append(c.services, s)
	return s
}

// Server is a backend server of a service.
type Server struct {
	spec  config.ServerSpec
	parse parseErrors
}

// ServerOption is a setting of a backend server.
type ServerOption func(*Server)

// Packets sets the UDP address at which a backend server takes flows, as GRE in
// UDP. Every backend server has one.
func Packets(address string) ServerOption {
	return func(s *Server) { s.spec.Packets = s.parse.socket("packets", address) }
}

// Requests sets the TCP address at which a backend server takes requests.
func Requests(address string) ServerOption {
	return func(s *Server) { s.spec.Requests = s.parse.socket("requests", address) }
}

// Health sets the URL that probes of a backend server ask.
func Health(url string) ServerOption {
	return func(s *Server) { s.spec.Health = url }
}

// Weight sets the share of a backend server relative to the others of its
// service, from 1 to 1000. It is 100 unless set.
func Weight(weight int) ServerOption {
	return func(s *Server) { s.spec.Weight = uint32(min(max(weight, 0), math.MaxUint32)) }
}

// Draining lets a backend server keep its flows and take nothing new, for as long
// as it is declared so; for a while, use balsamfork drain, which leaves the
// declaration as it is.
func Draining() ServerOption {
	return func(s *Server) { s.spec.State = config.Draining }
}

// defaultWeight leaves room for finer shares on both sides.
const defaultWeight = 100

// Server adds a backend server to the service, in a data centre.
func (s *Service) Server(name string, in *DataCentre, options ...ServerOption) *Server {
	server := &Server{spec: config.ServerSpec{Name: name, Weight: defaultWeight, State: config.Active}}
	if in != nil {
		server.spec.DataCentre = in.spec.Name
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

// Print writes the declaration as a JSON document. It writes nothing and
// returns Problems if the declaration makes no sense, and else the error of w.
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
		s.parse.report(path, &problems)
		service := config.ServiceDocument{ServiceSpec: s.spec, BackendServers: []config.ServerSpec{}}
		for j, server := range s.servers {
			server.parse.report(strictjson.Index(path+".backendServers", j), &problems)
			service.BackendServers = append(service.BackendServers, server.spec)
		}
		doc.Services = append(doc.Services, service)
	}
	problems.AddNew(doc.Validate())
	return doc, problems.Err()
}

// parseErrors holds what could not be read, by field.
type parseErrors []Problem

func (p *parseErrors) socket(field, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		*p = append(*p, Problem{Path: field, Message: strictjson.NotSocket(text)})
	}
	return address
}

func (p parseErrors) report(path string, to *Problems) {
	for _, one := range p {
		to.Add(strictjson.Field(path, one.Path), "%s", one.Message)
	}
}
