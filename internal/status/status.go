// Package status builds the status report of an instance for operators: the
// configuration in force, the known instances, the services and packet counts. The
// report is sent as JSON.
package status

import (
	"context"
	"encoding/json"

	"balsamfork/internal/config"
	"balsamfork/internal/fleet"
	"balsamfork/internal/flow"
	"balsamfork/internal/peer"
)

// Method is the control link method that returns a Report to operators. It has no
// parameters.
const Method = "operator.status"

// ConfigurationMethod is the control link method that returns the configuration in
// force to operators. It has no parameters; its result is a config.State, or null
// if there is no configuration yet.
const ConfigurationMethod = "operator.configuration"

// Report is the status of one instance.
type Report struct {
	Instance fleet.ID       `json:"instance"`
	Version  config.Version `json:"version"`
	Ready    bool           `json:"ready"`
	// Waiting is what the instance waits for while it is not ready.
	Waiting   string     `json:"waiting,omitempty"`
	Instances []Instance `json:"instances"`
	Services  []Service  `json:"services"`
	Flows     Flows      `json:"flows"`
}

// Instance is one row of the table of instances.
type Instance struct {
	ID         fleet.ID       `json:"id"`
	DataCentre string         `json:"dataCentre"`
	State      string         `json:"state"`
	Version    config.Version `json:"version"`
}

// Service is one service and its backend servers.
type Service struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Settled reports whether no change of the service is in progress.
	Settled bool     `json:"settled"`
	Slots   int      `json:"slots"`
	Servers []Server `json:"backendServers"`
}

// Server is the state of one backend server as known to the instance.
type Server struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	Condition  string `json:"condition"`
	Weight     uint32 `json:"weight"`
}

// Flows counts the packets since the start and the current flow records.
type Flows struct {
	Received  uint64 `json:"received"`
	Forwarded uint64 `json:"forwarded"`
	Relayed   uint64 `json:"relayed"`
	Dropped   uint64 `json:"dropped"`
	Records   int    `json:"records"`
}

// Source provides the data of a report.
type Source interface {
	View() *fleet.View
	// Config returns nil until the first configuration is applied.
	Config() *config.Config
	Announcements() []flow.Announcement
	Ready() (bool, string)
	Flows() Flows
}

// Register registers the handler of Method, which returns a report on the source.
func Register(r OperatorRegistry, s Source) {
	r.HandleOperator(Method, func(context.Context, fleet.ID, json.RawMessage) (any, error) {
		return New(s), nil
	})
}

// RegisterConfiguration registers the handler of ConfigurationMethod. The function
// inForce returns the configuration in force, or nil if there is none yet.
func RegisterConfiguration(r OperatorRegistry, inForce func() *config.State) {
	r.HandleOperator(ConfigurationMethod, func(context.Context, fleet.ID, json.RawMessage) (any, error) {
		return inForce(), nil
	})
}

// OperatorRegistry registers the handlers of methods that operators may call.
type OperatorRegistry interface {
	HandleOperator(method string, h peer.Handler)
}

// New returns a report of the current data of the source.
func New(s Source) Report {
	view := s.View()
	ready, waiting := s.Ready()
	r := Report{Instance: view.Self, Ready: ready, Waiting: waiting, Flows: s.Flows()}
	for _, i := range view.Instances {
		r.Instances = append(r.Instances, Instance{
			ID: i.ID, DataCentre: i.DataCentre, State: i.State.String(), Version: i.Applied,
		})
	}
	c := s.Config()
	if c == nil {
		return r
	}
	r.Version = c.Version
	conditions := conditionsByServer(s.Announcements())
	for i := range c.Services {
		r.Services = append(r.Services, service(&c.Services[i], conditions))
	}
	return r
}

func conditionsByServer(announcements []flow.Announcement) map[config.Number]flow.Condition {
	conditions := make(map[config.Number]flow.Condition, len(announcements))
	for _, a := range announcements {
		conditions[a.Server] = a.Condition
	}
	return conditions
}

func service(s *config.Service, conditions map[config.Number]flow.Condition) Service {
	out := Service{
		Name:    s.Name,
		Address: s.Address.String(),
		Settled: s.IsSettled(),
		Slots:   s.Slots,
	}
	for _, b := range s.Servers {
		out.Servers = append(out.Servers, Server{
			Name:       b.Name,
			DataCentre: b.DataCentre,
			State:      b.State.String(),
			Condition:  conditions[b.Number].String(),
			Weight:     b.Weight,
		})
	}
	return out
}
