package config

import (
	"encoding/json"
	"net/netip"
	"slices"

	"balsamfork/internal/strictjson"
)

// DocumentFormat is the format number of the documents that this release reads and
// writes.
const DocumentFormat = 1

// Document is the configuration that an operator declares, as JSON.
type Document struct {
	// Format is DocumentFormat.
	Format      int               `json:"format" jsonschema:"enum=1"`
	DataCentres []DataCentreSpec  `json:"dataCentres" jsonschema:"minItems=1,maxItems=100"`
	Services    []ServiceDocument `json:"services" jsonschema:"maxItems=2000"`
}

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	Name   string `json:"name" jsonschema:"minLength=1,maxLength=63,pattern=^[-_.\\p{L}\\p{Nd}]+$"`
	Region string `json:"region,omitempty" jsonschema:"maxLength=63,pattern=^[-_.\\p{L}\\p{Nd}]*$"`
	// Out takes the data centre out of service.
	Out bool `json:"out,omitempty"`
}

// ServiceDocument declares a service and the backend servers behind it.
type ServiceDocument struct {
	ServiceSpec
	BackendServers []ServerSpec `json:"backendServers" jsonschema:"maxItems=1000"`
}

// ServiceSpec declares a service without its backend servers.
type ServiceSpec struct {
	Name     string         `json:"name" jsonschema:"minLength=1,maxLength=63,pattern=^[-_.\\p{L}\\p{Nd}]+$"`
	Address  netip.AddrPort `json:"address"`
	Protocol Protocol       `json:"protocol"`
	// IdleLimit is how long a flow may be idle and still reach the same backend
	// server through a planned change. Zero means no limit.
	IdleLimit Duration `json:"idleLimit,omitzero"`
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int      `json:"slots" jsonschema:"minimum=1,maximum=10000"`
	Ramp  RampSpec `json:"ramp,omitzero"`
}

// RampSpec declares the slow start of a backend server: its share grows linearly
// from Start to 1 over Duration. Start is greater than 0 and at most 1.
type RampSpec struct {
	Start    float64  `json:"start" jsonschema:"exclusiveMinimum=0,maximum=1"`
	Duration Duration `json:"duration"`
}

// ServerSpec declares a backend server.
type ServerSpec struct {
	Name       string `json:"name" jsonschema:"minLength=1,maxLength=63,pattern=^[-_.\\p{L}\\p{Nd}]+$"`
	DataCentre string `json:"dataCentre" jsonschema:"minLength=1,maxLength=63"`
	// Packets receives flows as GRE in UDP, Requests receives JSON-RPC over TCP,
	// Health is the URL of the health check. The last two may be absent.
	Packets  netip.AddrPort `json:"packets"`
	Requests netip.AddrPort `json:"requests,omitzero"`
	Health   string         `json:"health,omitempty" jsonschema:"maxLength=255,pattern=^$|^[hH][tT][tT][pP][sS]?://"`
	// Weight is relative to those of the service's other backend servers.
	Weight uint32 `json:"weight" jsonschema:"minimum=1,maximum=1000"`
	// State is Active or Draining; absent means Active.
	State ServerState `json:"state,omitzero"`
}

// ParseDocument decodes and validates a document. The error is of type
// strictjson.Problems and holds all problems, of decoding and of validation.
func ParseDocument(data []byte) (Document, error) {
	var doc Document
	var problems strictjson.Problems
	if err := strictjson.Decode(data, &doc); err != nil {
		problems = err.(strictjson.Problems)
	}
	doc.applyDefaults()
	problems.AddNew(doc.missingLists())
	problems.AddNew(doc.Validate())
	return doc, problems.Err()
}

// missingLists reports missing lists that are required even if empty.
func (d Document) missingLists() strictjson.Problems {
	var problems strictjson.Problems
	if d.Services == nil {
		problems.Add("services", "must be given")
	}
	for i, s := range d.Services {
		if s.BackendServers == nil {
			problems.Add(strictjson.Index("services", i)+".backendServers", "must be given")
		}
	}
	return problems
}

// Marshal returns the document as indented JSON with a final newline.
func (d Document) Marshal() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, Invalid.Wrap(err)
	}
	return append(data, '\n'), nil
}

// Clone returns a deep copy.
func (d Document) Clone() Document {
	d.DataCentres = slices.Clone(d.DataCentres)
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].BackendServers = slices.Clone(d.Services[i].BackendServers)
	}
	return d
}

// WithServerState returns a copy in which one backend server is Active or
// Draining. It returns Invalid if there is no such backend server.
func (d Document) WithServerState(service, server string, state ServerState) (Document, error) {
	out := d.Clone()
	for i := range out.Services {
		s := &out.Services[i]
		if s.Name != service {
			continue
		}
		for j := range s.BackendServers {
			if s.BackendServers[j].Name == server {
				s.BackendServers[j].State = state
				return out, nil
			}
		}
		return d, Invalid.New("service %q has no backend server %q", service, server)
	}
	return d, Invalid.New("no service %q", service)
}

// WithOut returns a copy in which one data centre is out or back in. It returns
// Invalid if there is no such data centre.
func (d Document) WithOut(dataCentre string, isOut bool) (Document, error) {
	out := d.Clone()
	for i := range out.DataCentres {
		if out.DataCentres[i].Name == dataCentre {
			out.DataCentres[i].Out = isOut
			return out, nil
		}
	}
	return d, Invalid.New("no data centre %q", dataCentre)
}

// applyDefaults sets absent fields to their defaults.
func (d *Document) applyDefaults() {
	for i := range d.Services {
		servers := d.Services[i].BackendServers
		for j := range servers {
			if servers[j].State == 0 {
				servers[j].State = Active
			}
		}
	}
}
